//! The instance list's client.

use kingcupwinch_fakes::{FakeRoster, Reach, RosterFront};
use kingcupwinch_platform::{InstanceListClient, InstanceListError};

use crate::support::{any_port, patience, worker};

#[tokio::test]
async fn a_domain_is_listed_with_what_its_workers_hold() {
    let worker = worker().await;
    let roster = FakeRoster::new();
    let listed = worker.fake.instance("harju-a", "rack-1");
    roster.put(listed.clone());
    roster.put(worker.fake.instance("harju-b", "rack-1"));
    roster.put(listed.clone());
    let front = RosterFront::start(&roster, any_port()).await.unwrap();
    let client = InstanceListClient::new(front.address());
    assert_eq!(client.list("harju-a", patience()).await.unwrap(), [listed]);
    assert_eq!(client.list("harju-c", patience()).await.unwrap(), []);
}

#[tokio::test]
async fn a_list_that_is_out_is_unreached() {
    let front = RosterFront::start(&FakeRoster::new(), any_port())
        .await
        .unwrap();
    let client = InstanceListClient::new(front.address());
    front.set_reach(Reach::Out);
    let error = client.list("harju-a", patience()).await.unwrap_err();
    assert!(matches!(error, InstanceListError::Unavailable(_)));
}
