//! The instance list client.

use kingcupwinch_fakes::{Availability, FakeInstanceList, InstanceListServer};
use kingcupwinch_platform::{InstanceListClient, InstanceListError};

use crate::support::{any_port, deadline, worker};

#[tokio::test]
async fn a_domain_is_listed_with_the_capacity_of_its_workers() {
    let worker = worker().await;
    let list = FakeInstanceList::new();
    let listed = worker.fake.instance("harju-a", "rack-1");
    list.put(listed.clone());
    list.put(worker.fake.instance("harju-b", "rack-1"));
    list.put(listed.clone());
    let server = InstanceListServer::start(&list, any_port()).await.unwrap();
    let client = InstanceListClient::new(server.address());
    assert_eq!(client.list("harju-a", deadline()).await.unwrap(), [listed]);
    assert_eq!(client.list("harju-c", deadline()).await.unwrap(), []);
}

#[tokio::test]
async fn an_outage_is_reported_as_unavailable() {
    let server = InstanceListServer::start(&FakeInstanceList::new(), any_port())
        .await
        .unwrap();
    let client = InstanceListClient::new(server.address());
    server.set_availability(Availability::Unavailable);
    let error = client.list("harju-a", deadline()).await.unwrap_err();
    assert!(matches!(error, InstanceListError::Unavailable(_)));
}
