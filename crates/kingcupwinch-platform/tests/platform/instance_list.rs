//! The instance list's client.

use kingcupwinch_fakes::{Availability, FakeInstanceList, InstanceListServer};
use kingcupwinch_platform::{InstanceListClient, InstanceListError};

use crate::support::{any_port, patience, worker};

#[tokio::test]
async fn a_domain_is_listed_with_what_its_workers_hold() {
    let worker = worker().await;
    let list = FakeInstanceList::new();
    let listed = worker.fake.instance("harju-a", "rack-1");
    list.put(listed.clone());
    list.put(worker.fake.instance("harju-b", "rack-1"));
    list.put(listed.clone());
    let front = InstanceListServer::start(&list, any_port()).await.unwrap();
    let client = InstanceListClient::new(front.address());
    assert_eq!(client.list("harju-a", patience()).await.unwrap(), [listed]);
    assert_eq!(client.list("harju-c", patience()).await.unwrap(), []);
}

#[tokio::test]
async fn a_list_that_is_out_is_unreached() {
    let front = InstanceListServer::start(&FakeInstanceList::new(), any_port())
        .await
        .unwrap();
    let client = InstanceListClient::new(front.address());
    front.set_availability(Availability::Unavailable);
    let error = client.list("harju-a", patience()).await.unwrap_err();
    assert!(matches!(error, InstanceListError::Unavailable(_)));
}
