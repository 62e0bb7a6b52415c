//! Malformed, oversized or foreign input gets a clear error and affects no other request.

use kingcupwinch_daemon::Running;
use kingcupwinch_wire::api::ProblemOutcome;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::caller::{Caller, wait_until};
use crate::cluster::Cluster;

async fn assert_still_serving(daemon: &Running) {
    let caller = Caller::new(daemon.addresses().callers);
    let reply = caller.run("booking", &[], "").await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

#[rstest]
#[case::deadline_not_a_number(&[("kcw-deadline-ms", "soon")], 400, "bad-header")]
#[case::deadline_zero(&[("kcw-deadline-ms", "0")], 400, "bad-header")]
#[case::deadline_beyond_a_day(&[("kcw-deadline-ms", "86400001")], 400, "bad-header")]
#[case::class_twice(&[("kcw-class", "check"), ("kcw-class", "check")], 400, "bad-header")]
#[case::unknown_class(&[("kcw-class", "catering")], 400, "unknown-class")]
#[case::unknown_customer(&[("kcw-customer", "nobody")], 400, "unknown-customer")]
#[case::no_key(&[("kcw-class", "dispatch")], 400, "key-required")]
#[case::key_of_another_kind(
    &[("kcw-class", "dispatch"), ("idempotency-key", "van-7")], 400, "bad-header"
)]
#[case::key_of_another_version(
    &[("kcw-class", "dispatch"), ("idempotency-key", "6f0e6b7e-93a4-4f6b-a3c1-0a6f4f0c8f11")],
    400,
    "bad-header"
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_header_is_refused(
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
    #[case] code: &str,
) {
    let cluster = Cluster::start(1).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let caller = Caller::new(daemon.addresses().callers);
    let reply = caller.run("booking", headers, "").await;
    let problem = reply.problem();
    assert_eq!((reply.status.as_u16(), &*problem.code), (status, code));
    assert_eq!(problem.outcome, ProblemOutcome::NotRun);
    assert!(cluster.history.starts().is_empty());
    assert_still_serving(&daemon).await;
}

/// Callers can't set headers reserved for the platform; the worker sees the daemon's values.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_cannot_set_system_headers() {
    let cluster = Cluster::start(1).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let caller = Caller::new(daemon.addresses().callers);
    let forged = "00000000-0000-0000-0000-000000000001";
    let headers = [
        ("platform-task", forged),
        ("platform-term", "18446744073709551615"),
        ("platform-attempt", "77"),
    ];
    assert_eq!(caller.run("booking", &headers, "").await.status, 200);
    let start = &cluster.history.starts()[0];
    assert_ne!(start.task.to_string(), forged);
    assert_ne!(start.term, u64::MAX);
    assert_eq!(start.attempt, 1);
    assert_still_serving(&daemon).await;
}

#[rstest]
#[case::noise(b"\x00\x01\x02\x03\r\n\r\n")]
#[case::bad_length(b"POST /v1/run/booking HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n")]
#[case::no_host_and_bad_name(b"POST /v1/run/booking HTTP/1.1\r\nbad name: 1\r\n\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_malformed_request_closes_its_own_connection(#[case] bytes: &[u8]) {
    let cluster = Cluster::start(1).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let mut stream = TcpStream::connect(daemon.addresses().callers)
        .await
        .unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let text = String::from_utf8_lossy(&answer);
    assert!(text.is_empty() || text.starts_with("HTTP/1.1 4"), "{text}");
    assert!(cluster.history.starts().is_empty());
    assert_still_serving(&daemon).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_headers_are_refused() {
    let cluster = Cluster::start(1).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let mut stream = TcpStream::connect(daemon.addresses().callers)
        .await
        .unwrap();
    let head = format!(
        "POST /v1/run/booking HTTP/1.1\r\nhost: x\r\nx-large: {}\r\n\r\n",
        "a".repeat(64 * 1024)
    );
    // The daemon may close the connection before it has read everything.
    let _closed = stream.write_all(head.as_bytes()).await;
    let mut answer = Vec::new();
    let _closed = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer);
    assert!(
        text.is_empty() || text.starts_with("HTTP/1.1 431"),
        "{text}"
    );
    assert!(cluster.history.starts().is_empty());
    assert_still_serving(&daemon).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_declared_body_beyond_the_limit_is_refused_before_it_is_read() {
    let cluster = Cluster::start(1).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let mut stream = TcpStream::connect(daemon.addresses().callers)
        .await
        .unwrap();
    let head = "POST /v1/run/booking HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 12];
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(answer, b"HTTP/1.1 413");
    assert!(cluster.history.starts().is_empty());
    assert_still_serving(&daemon).await;
}

/// Incomplete requests occupy only their own connections, not a slot.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slowly_sending_caller_delays_no_other() {
    let cluster = Cluster::start(1).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let mut senders = Vec::new();
    for _ in 0..40 {
        let mut stream = TcpStream::connect(daemon.addresses().callers)
            .await
            .unwrap();
        let head = "POST /v1/run/booking HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc";
        stream.write_all(head.as_bytes()).await.unwrap();
        senders.push(stream);
    }
    assert_still_serving(&daemon).await;
    assert_eq!(cluster.history.starts().len(), 1);
}

/// A caller that reads nothing occupies no slot once the worker has answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_reader_delays_no_other() {
    let cluster = Cluster::start(1).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let mut readers = Vec::new();
    for n in 0..8 {
        let mut stream = TcpStream::connect(daemon.addresses().callers)
            .await
            .unwrap();
        let head = format!(
            "POST /v1/run/booking HTTP/1.1\r\nhost: x\r\nx-request-id: slow-{n}\r\n\
             x-answer-bytes: 500000\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        readers.push(stream);
    }
    wait_until("all requests ran", || async {
        let starts = cluster.history.starts();
        starts.len() == 8 && starts.iter().all(|start| start.ended.is_some())
    })
    .await;
    assert_still_serving(&daemon).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_hangs_up_cancels_what_has_not_started() {
    let cluster = Cluster::start(1).await;
    let daemon = cluster.start_daemon("entry-1").await;
    let busy = Caller::new(daemon.addresses().callers);
    let headers = [("x-run-ms", "1000")];
    let running: Vec<_> = (0..4)
        .map(|_| {
            let busy = busy.clone();
            tokio::spawn(async move { busy.run("booking", &headers, "").await })
        })
        .collect();
    wait_until("all slots are taken", || async {
        cluster.history.starts().len() == 4
    })
    .await;
    let operators = Caller::new(daemon.addresses().operators);
    let waiting = |count: u64| {
        let operators = operators.clone();
        move || {
            let operators = operators.clone();
            async move {
                let status = operators.status().await;
                status.queues.iter().map(|q| q.waiting).sum::<u64>() == count
            }
        }
    };
    let mut stream = TcpStream::connect(daemon.addresses().callers)
        .await
        .unwrap();
    let head = "POST /v1/run/booking HTTP/1.1\r\nhost: x\r\nx-request-id: gone\r\n\
                content-length: 0\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    wait_until("the request is queued", waiting(1)).await;
    drop(stream);
    wait_until("the request is cancelled", waiting(0)).await;
    for run in running {
        assert_eq!(run.await.unwrap().status, 200);
    }
    assert_still_serving(&daemon).await;
    assert_eq!(cluster.history.request_starts("gone"), 0);
}

#[rstest]
#[case::config("config")]
#[case::owners("owners-harju-a")]
#[case::jobs("jobs-harju-a")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn corrupt_log_records_are_skipped(#[case] stream: &str) {
    let cluster = Cluster::start(1).await;
    for bytes in [&b""[..], b"no record at all", &[0xff; 300]] {
        cluster.log.append(stream, bytes.to_vec());
    }
    let daemon = cluster.start_daemon("entry-1").await;
    assert_still_serving(&daemon).await;
    cluster.log.append(stream, vec![0x0a; 100]);
    assert_still_serving(&daemon).await;
}
