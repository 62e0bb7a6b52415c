//! The connection limit of the pool.

use http_body_util::BodyExt;
use kingcupwinch_fakes::WorkerFaults;
use kingcupwinch_platform::{NotSentCause, WorkerClient, WorkerError};

use crate::support::{SERVICE, deadline, request, soon, token, until, worker};

/// One connection for live requests in addition to the two for control.
const CONNECTIONS: u32 = 3;

#[tokio::test]
async fn a_connection_is_reused() {
    let worker = worker().await;
    for n in 0..20 {
        let answer = worker
            .client
            .run(SERVICE, request("a", ""), deadline(), || Some(token(n)))
            .await;
        answer.unwrap().into_body().collect().await.unwrap();
    }
    assert_eq!(worker.fake.counts().peak_connections, 1);
}

#[tokio::test]
async fn many_requests_wait_for_few_connections() {
    let worker = worker().await;
    worker.fake.set_faults(WorkerFaults {
        enforces_limits: false,
        ..WorkerFaults::default()
    });
    let client = WorkerClient::new(worker.fake.address(), CONNECTIONS);
    let calls = (0..20).map(|n| {
        let client = client.clone();
        tokio::spawn(async move {
            let request = request("a", "");
            let answer = client
                .run(SERVICE, request, deadline(), || Some(token(n)))
                .await;
            answer.unwrap().into_body().collect().await.unwrap();
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.unwrap();
    }
    let counts = worker.fake.counts();
    assert_eq!((counts.starts, counts.peak_connections), (20, 1));
}

#[tokio::test]
async fn a_request_without_a_connection_before_its_deadline_is_not_sent() {
    let worker = worker().await;
    let client = WorkerClient::new(worker.fake.address(), CONNECTIONS);
    let mut long = request("long", "");
    long.headers_mut().insert("x-run-ms", 600_000.into());
    let busy = client.clone();
    let running = tokio::spawn(async move {
        let answer = busy.run(SERVICE, long, deadline(), || Some(token(1)));
        answer.await.is_ok()
    });
    until(|| worker.history.starts().len() == 1).await;
    let refused = client.run(SERVICE, request("b", ""), soon(), || Some(token(2)));
    let error = refused.await.unwrap_err();
    assert!(matches!(error, WorkerError::NotSent(NotSentCause::Timeout)));
    assert_eq!(worker.history.starts().len(), 1);
    running.abort();
}

#[tokio::test]
async fn a_partially_read_response_closes_its_connection() {
    let worker = worker().await;
    let client = WorkerClient::new(worker.fake.address(), CONNECTIONS);
    let mut large = request("a", "");
    large
        .headers_mut()
        .insert("x-answer-bytes", 30_000_000.into());
    let answer = client.run(SERVICE, large, deadline(), || Some(token(1)));
    drop(answer.await.unwrap());
    let answer = client.run(SERVICE, request("b", ""), deadline(), || Some(token(2)));
    let answer = answer.await.unwrap();
    assert_eq!(answer.headers()["x-request-id"], "b");
}

#[tokio::test]
async fn idle_connections_can_be_closed_for_the_next_owner() {
    let worker = worker().await;
    let answer = worker
        .client
        .run(SERVICE, request("a", ""), deadline(), || Some(token(1)))
        .await;
    answer.unwrap().into_body().collect().await.unwrap();
    until(|| {
        worker.client.close_idle();
        worker.fake.open_connections() == 0
    })
    .await;
}
