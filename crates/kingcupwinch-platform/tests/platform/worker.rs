//! The worker client.

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use kingcupwinch_coord::id::TaskId;
use kingcupwinch_fakes::{Availability, WorkerFaults, live_response};
use kingcupwinch_platform::{LostCause, NotSentCause, RequestBody, WorkerError};
use kingcupwinch_time::Span;
use kingcupwinch_wire::worker::{Refusal, Renewal, TaskStart, WorkKind, WorkOutcome};
use rstest::rstest;
use tokio::sync::mpsc;
use uuid::Uuid;

use crate::support::{SERVICE, Worker, deadline, request, soon, token, until, worker};

const TASK: Uuid = Uuid::from_u128(1);

fn task(run_ms: u64) -> TaskStart {
    TaskStart {
        task: TASK,
        attempt: 1,
        term: 5,
        lease_ms: 600_000,
        class: "plans".into(),
        millicores: 1_000,
        memory_mb: 1_000,
        accelerators: 0,
        run_ms: Some(run_ms),
        payload: serde_json::Value::Null,
    }
}

#[tokio::test]
async fn each_caller_gets_the_complete_response_to_its_own_request() {
    let worker = worker().await;
    let calls = (0..4_u16).map(|n| {
        let client = worker.client.clone();
        tokio::spawn(async move {
            let id = format!("caller-{n}");
            let mut request = request(&id, "is the stage free?");
            let headers = request.headers_mut();
            headers.insert("x-answer-bytes", 100_000.into());
            headers.insert("x-run-ms", (40 - 10 * n).into());
            let tokens = || Some(token(n.into()));
            let answer = client.run(SERVICE, request, deadline(), tokens).await;
            let answer = answer.unwrap();
            assert_eq!(answer.headers()["x-request-id"], id.as_str());
            let whole = answer.into_body().collect().await.unwrap().to_bytes();
            assert_eq!(whole, live_response(&id, b"is the stage free?", 100_000));
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.unwrap();
    }
    assert_eq!(worker.history.starts().len(), 4);
}

#[tokio::test]
async fn bodies_stream_both_ways() {
    let worker = worker().await;
    let (frames, mut receiver) = mpsc::channel::<Bytes>(1);
    let stream = futures_util::stream::poll_fn(move |cx| {
        let polled = receiver.poll_recv(cx);
        polled.map(|bytes| bytes.map(|b| Ok(Frame::data(b))))
    });
    let body: RequestBody = StreamBody::new(stream).boxed_unsync();
    let request = hyper::Request::post("/").header("x-echo", "1");
    let request = request.body(body).unwrap();
    let tokens = || Some(token(1));
    let answer = worker
        .client
        .run(SERVICE, request, deadline(), tokens)
        .await;
    let mut echoed = answer.unwrap().into_body();
    for n in 0..3_u8 {
        frames.send(Bytes::from(vec![n])).await.unwrap();
        let frame = echoed.frame().await.unwrap().unwrap();
        assert_eq!(frame.into_data().unwrap(), Bytes::from(vec![n]));
    }
    drop(frames);
    assert!(echoed.frame().await.is_none());
    until(|| worker.history.starts()[0].ended.is_some()).await;
}

#[rstest]
#[case::leaving(Refusal::Leaving)]
#[case::full(Refusal::Full)]
#[case::stale(Refusal::StaleTerm)]
#[case::late(Refusal::Late)]
#[case::service(Refusal::UnknownService)]
#[tokio::test]
async fn a_refusal_is_not_run(#[case] reason: Refusal) {
    let worker = worker().await;
    worker.fake.set_faults(WorkerFaults {
        refusal: Some(reason),
        ..WorkerFaults::default()
    });
    let answer = worker
        .client
        .run(SERVICE, request("a", ""), deadline(), || Some(token(1)))
        .await;
    let error = answer.unwrap_err();
    assert!(error.is_not_run());
    assert!(matches!(error, WorkerError::Refused(r) if r == reason));
    let short = task(1);
    let started = worker.client.start(&short, deadline(), || Some(token(1)));
    assert!(matches!(started.await, Err(WorkerError::Refused(r)) if r == reason));
    assert!(worker.history.starts().is_empty());
}

#[tokio::test]
async fn work_withheld_by_the_check_is_not_sent() {
    let worker = worker().await;
    let answer = worker
        .client
        .run(SERVICE, request("a", ""), deadline(), || None)
        .await;
    let withheld = WorkerError::NotSent(NotSentCause::Withheld);
    assert_eq!(answer.unwrap_err().to_string(), withheld.to_string());
    assert!(worker.history.starts().is_empty());
}

#[tokio::test]
async fn a_request_without_a_response_may_have_run() {
    let worker = worker().await;
    worker.fake.set_faults(WorkerFaults {
        drops_responses: true,
        ..WorkerFaults::default()
    });
    let answer = worker
        .client
        .run(SERVICE, request("a", ""), deadline(), || Some(token(1)))
        .await;
    let error = answer.unwrap_err();
    assert!(!error.is_not_run());
    assert_eq!(worker.history.request_starts("a"), 1);
    let long = task(600_000);
    let started = worker
        .client
        .start(&long, deadline(), || Some(token(1)))
        .await;
    assert!(!started.unwrap_err().is_not_run());
    // The fencing token gave the live request the same ID.
    let starts = worker.history.starts_of(TASK);
    let kinds: Vec<_> = starts.iter().map(|start| start.kind).collect();
    assert_eq!(kinds, [WorkKind::Live, WorkKind::Task]);
}

/// Calls with a short deadline until a request is sent and times out. On a busy machine the
/// deadline may pass before the request is sent.
async fn call_that_times_out(worker: &Worker) -> WorkerError {
    loop {
        let mut long = request("a", "");
        long.headers_mut().insert("x-run-ms", 600_000.into());
        let tokens = || Some(token(1));
        let answer = worker.client.run(SERVICE, long, soon(), tokens).await;
        match answer {
            Err(WorkerError::NotSent(NotSentCause::Timeout)) => {}
            Err(error) => return error,
            Ok(answer) => panic!("{answer:?}"),
        }
    }
}

#[tokio::test]
async fn a_request_that_times_out_may_have_run_and_continues() {
    let worker = worker().await;
    // A call may time out between sending and arrival.
    while worker.history.starts().is_empty() {
        let error = call_that_times_out(&worker).await;
        assert!(matches!(error, WorkerError::Unknown(LostCause::Timeout)));
        until(|| worker.fake.open_connections() == 0).await;
    }
    let starts = worker.history.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].ended, None);
}

#[tokio::test]
async fn a_request_to_an_unresponsive_worker_may_have_run() {
    let worker = worker().await;
    worker.fake.set_availability(Availability::Unresponsive);
    let error = call_that_times_out(&worker).await;
    assert!(matches!(error, WorkerError::Unknown(LostCause::Timeout)));
    assert!(worker.history.starts().is_empty());
}

#[tokio::test]
async fn a_task_runs_and_its_end_is_reported() {
    let worker = worker().await;
    let client = &worker.client;
    let short = task(1);
    let started = client.start(&short, deadline(), || Some(token(1)));
    started.await.unwrap();
    let mut after = 0;
    let ended = loop {
        let usage = client.usage(after, Span::from_secs(30), deadline()).await;
        let usage = usage.unwrap();
        after = usage.seq;
        if let Some(ended) = usage.ended.first() {
            break *ended;
        }
    };
    assert_eq!((ended.task, ended.outcome), (TASK, WorkOutcome::Done));
}

#[tokio::test]
async fn a_task_can_be_renewed_checkpointed_throttled_and_stopped() {
    let worker = worker().await;
    let client = &worker.client;
    let long = task(600_000);
    let started = client.start(&long, deadline(), || Some(token(1)));
    started.await.unwrap();
    let unknown = Uuid::from_u128(99);
    let renewal = Renewal {
        term: 5,
        lease_ms: 600_000,
        tasks: vec![TASK, unknown],
    };
    let reply = client.renew(&renewal, deadline()).await.unwrap();
    assert_eq!(reply.unknown, [unknown]);
    let task = TaskId(TASK);
    assert!(client.checkpoint(task, deadline()).await.unwrap());
    assert!(client.throttle(task, 50, deadline()).await.unwrap());
    assert!(client.stop(task, deadline()).await.unwrap());
    assert!(!client.stop(task, deadline()).await.unwrap());
    let counts = worker.fake.counts();
    assert_eq!(
        (counts.checkpoints, counts.throttles, counts.stops),
        (1, 1, 1)
    );
}
