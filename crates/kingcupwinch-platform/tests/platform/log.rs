//! The log's client.

use bytes::Bytes;
use kingcupwinch_coord::id::Offset;
use kingcupwinch_fakes::{Availability, FakeLog, LogServer};
use kingcupwinch_platform::{
    AppendError, LogClient, LostCause, NotSentCause, ReadError, SendError,
};
use kingcupwinch_time::Span;

use crate::support::{any_port, patience, soon};

struct Log {
    log: FakeLog,
    front: LogServer,
    client: LogClient,
}

async fn log() -> Log {
    let log = FakeLog::new();
    let front = LogServer::start(&log, any_port())
        .await
        .expect("a free port");
    let client = LogClient::new(front.address());
    Log { log, front, client }
}

#[tokio::test]
async fn records_are_read_as_they_were_appended() {
    let Log { client, front, .. } = log().await;
    for n in 0..3_u8 {
        let offset = client.append("s", vec![n], patience()).await.unwrap();
        assert_eq!(offset, Offset(n.into()));
    }
    let page = client
        .read("s", Offset(1), 10, Span::ZERO, patience())
        .await;
    let page = page.unwrap();
    let read: Vec<_> = page.records.iter().map(|r| r.bytes.clone()).collect();
    assert_eq!(read, [Bytes::from_static(&[1]), Bytes::from_static(&[2])]);
    assert_eq!((page.next, page.tail), (Offset(3), Offset(3)));
    drop(front);
}

#[tokio::test]
async fn a_waiting_read_is_woken_by_an_append() {
    let Log { client, log, front } = log().await;
    let reader = client.clone();
    let read = tokio::spawn(async move {
        let wait = Span::from_secs(30);
        reader.read("s", Offset(0), 10, wait, patience()).await
    });
    client.append("s", "x", patience()).await.unwrap();
    assert_eq!(read.await.unwrap().unwrap().records.len(), 1);
    assert_eq!(log.appends(), 1);
    drop(front);
}

#[tokio::test]
async fn an_append_in_an_outage_is_certainly_not_taken() {
    let Log { client, log, front } = log().await;
    front.set_availability(Availability::Unavailable);
    let error = client.append("s", "x", patience()).await.unwrap_err();
    assert!(matches!(error, AppendError::Refused(503)));
    assert!(error.is_not_appended());
    assert_eq!(log.appends(), 0);
    let error = client.read("s", Offset(0), 1, Span::ZERO, patience()).await;
    assert!(matches!(error, Err(ReadError::Unavailable(_))));
}

#[tokio::test]
async fn an_append_whose_answer_is_lost_may_have_been_taken() {
    let Log { client, log, front } = log().await;
    front.drop_responses(1);
    let error = client.append("s", "x", patience()).await.unwrap_err();
    assert!(matches!(error, AppendError::Unknown(LostCause::Broken(_))));
    assert!(!error.is_not_appended());
    assert_eq!(log.appends(), 1);
    assert_eq!(
        client.append("s", "y", patience()).await.unwrap(),
        Offset(1)
    );
}

#[tokio::test]
async fn an_append_to_a_silent_log_may_have_been_taken() {
    let Log { client, front, .. } = log().await;
    front.set_availability(Availability::Unresponsive);
    let error = loop {
        // A busy machine may not get as far as sending in time.
        match client.append("s", "x", soon()).await.unwrap_err() {
            AppendError::NotSent(NotSentCause::Timeout) => {}
            error => break error,
        }
    };
    assert!(matches!(error, AppendError::Unknown(LostCause::Timeout)));
    front.set_availability(Availability::Up);
    assert!(client.append("s", "y", patience()).await.is_ok());
}

#[tokio::test]
async fn a_waiting_read_ends_with_the_outage() {
    let Log { client, front, .. } = log().await;
    let reader = client.clone();
    let read = tokio::spawn(async move {
        let wait = Span::from_secs(30);
        reader.read("s", Offset(0), 10, wait, patience()).await
    });
    tokio::task::yield_now().await;
    front.set_availability(Availability::Unavailable);
    let error = read.await.unwrap();
    let lost = SendError::Lost(LostCause::Status(503));
    let Err(ReadError::Unavailable(error)) = error else {
        panic!("{error:?}");
    };
    assert_eq!(error.to_string(), lost.to_string());
}

#[tokio::test]
async fn one_client_can_be_cut_off_while_another_goes_on() {
    let Log { client, log, front } = log().await;
    let other = LogServer::start(&log, any_port()).await.unwrap();
    let other_client = LogClient::new(other.address());
    front.set_availability(Availability::Unavailable);
    assert!(client.append("s", "x", patience()).await.is_err());
    assert!(other_client.append("s", "x", patience()).await.is_ok());
}

#[tokio::test]
async fn a_dead_log_is_certainly_not_appended_to() {
    let Log { client, log, front } = log().await;
    client.append("s", "x", patience()).await.unwrap();
    drop(front);
    let error = loop {
        // Until the port is closed, calls may still reach the server.
        match client.append("s", "y", patience()).await {
            Ok(_) => tokio::task::yield_now().await,
            Err(error) if error.is_not_appended() => break error,
            Err(_) => {}
        }
    };
    assert!(matches!(error, AppendError::NotSent(_)));
    assert!(log.appends() >= 1);
}
