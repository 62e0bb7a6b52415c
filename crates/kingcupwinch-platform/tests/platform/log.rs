//! The log client.

use bytes::Bytes;
use kingcupwinch_coord::id::Offset;
use kingcupwinch_fakes::{Availability, FakeLog, LogServer};
use kingcupwinch_platform::{
    AppendError, LogClient, LostCause, NotSentCause, ReadError, SendError,
};
use kingcupwinch_time::Span;

use crate::support::{any_port, deadline, soon};

struct Log {
    log: FakeLog,
    server: LogServer,
    client: LogClient,
}

async fn log() -> Log {
    let log = FakeLog::new();
    let server = LogServer::start(&log, any_port())
        .await
        .expect("a free port");
    let client = LogClient::new(server.address());
    Log {
        log,
        server,
        client,
    }
}

#[tokio::test]
async fn records_are_read_as_they_were_appended() {
    let Log { client, server, .. } = log().await;
    for n in 0..3_u8 {
        let offset = client.append("s", vec![n], deadline()).await.unwrap();
        assert_eq!(offset, Offset(n.into()));
    }
    let page = client
        .read("s", Offset(1), 10, Span::ZERO, deadline())
        .await;
    let page = page.unwrap();
    let read: Vec<_> = page.records.iter().map(|r| r.bytes.clone()).collect();
    assert_eq!(read, [Bytes::from_static(&[1]), Bytes::from_static(&[2])]);
    assert_eq!((page.next, page.tail), (Offset(3), Offset(3)));
    drop(server);
}

#[tokio::test]
async fn a_long_poll_ends_with_an_append() {
    let Log {
        client,
        log,
        server,
    } = log().await;
    let reader = client.clone();
    let read = tokio::spawn(async move {
        let wait = Span::from_secs(30);
        reader.read("s", Offset(0), 10, wait, deadline()).await
    });
    client.append("s", "x", deadline()).await.unwrap();
    assert_eq!(read.await.unwrap().unwrap().records.len(), 1);
    assert_eq!(log.appends(), 1);
    drop(server);
}

#[tokio::test]
async fn an_append_during_an_outage_is_certainly_not_appended() {
    let Log {
        client,
        log,
        server,
    } = log().await;
    server.set_availability(Availability::Unavailable);
    let error = client.append("s", "x", deadline()).await.unwrap_err();
    assert!(matches!(error, AppendError::Refused(503)));
    assert!(error.is_not_appended());
    assert_eq!(log.appends(), 0);
    let error = client.read("s", Offset(0), 1, Span::ZERO, deadline()).await;
    assert!(matches!(error, Err(ReadError::Unavailable(_))));
}

#[tokio::test]
async fn an_append_without_a_response_may_have_been_appended() {
    let Log {
        client,
        log,
        server,
    } = log().await;
    server.drop_responses(1);
    let error = client.append("s", "x", deadline()).await.unwrap_err();
    assert!(matches!(error, AppendError::Unknown(LostCause::Broken(_))));
    assert!(!error.is_not_appended());
    assert_eq!(log.appends(), 1);
    assert_eq!(
        client.append("s", "y", deadline()).await.unwrap(),
        Offset(1)
    );
}

#[tokio::test]
async fn an_append_to_an_unresponsive_log_may_have_been_appended() {
    let Log { client, server, .. } = log().await;
    server.set_availability(Availability::Unresponsive);
    let error = loop {
        // On a busy machine the deadline may pass before the request is sent.
        match client.append("s", "x", soon()).await.unwrap_err() {
            AppendError::NotSent(NotSentCause::Timeout) => {}
            error => break error,
        }
    };
    assert!(matches!(error, AppendError::Unknown(LostCause::Timeout)));
    server.set_availability(Availability::Up);
    assert!(client.append("s", "y", deadline()).await.is_ok());
}

#[tokio::test]
async fn an_outage_ends_a_long_poll() {
    let Log { client, server, .. } = log().await;
    let reader = client.clone();
    let read = tokio::spawn(async move {
        let wait = Span::from_secs(30);
        reader.read("s", Offset(0), 10, wait, deadline()).await
    });
    tokio::task::yield_now().await;
    server.set_availability(Availability::Unavailable);
    let error = read.await.unwrap();
    let lost = SendError::Lost(LostCause::Status(503));
    let Err(ReadError::Unavailable(error)) = error else {
        panic!("{error:?}");
    };
    assert_eq!(error.to_string(), lost.to_string());
}

#[tokio::test]
async fn an_outage_of_one_server_does_not_affect_another() {
    let Log {
        client,
        log,
        server,
    } = log().await;
    let other = LogServer::start(&log, any_port()).await.unwrap();
    let other_client = LogClient::new(other.address());
    server.set_availability(Availability::Unavailable);
    assert!(client.append("s", "x", deadline()).await.is_err());
    assert!(other_client.append("s", "x", deadline()).await.is_ok());
}

#[tokio::test]
async fn an_append_to_a_stopped_log_is_certainly_not_appended() {
    let Log {
        client,
        log,
        server,
    } = log().await;
    client.append("s", "x", deadline()).await.unwrap();
    drop(server);
    let error = loop {
        // Calls may reach the server until its port is closed.
        match client.append("s", "y", deadline()).await {
            Ok(_) => tokio::task::yield_now().await,
            Err(error) if error.is_not_appended() => break error,
            Err(_) => {}
        }
    };
    assert!(matches!(error, AppendError::NotSent(_)));
    assert!(log.appends() >= 1);
}
