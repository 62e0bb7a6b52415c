use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::body::Incoming;
use kingcupwinch_adapter::ClientLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use super::budget::{Budget, Charge, FREE_BYTES};
use super::limits::{Capacity, Timeouts};
use super::progress::{Phase, Progress, Reason};
use super::{CALLERS, Handler, HttpResponse, empty, json, read_body, serve};
use crate::test_support::{shared_with, unreachable_store};

const SECOND: Duration = Duration::from_secs(1);

fn timeouts() -> Timeouts {
    Timeouts::new(&ClientLimits::default())
}

fn opened() -> (Progress, Instant) {
    let now = Instant::now();
    (Progress::new(now, &timeouts()), now)
}

/// A peer that sends a header section byte by byte must not keep its connection.
#[test]
fn further_bytes_do_not_extend_the_deadline_of_a_header_section() {
    let (mut progress, start) = opened();
    for second in 0..3 {
        let now = start + SECOND * second;
        assert_eq!(progress.overdue(now), None);
        progress.on_read(now, &timeouts());
    }
    assert_eq!(
        progress.overdue(start + SECOND * 3),
        Some(Reason::SlowHeader)
    );
}

/// A peer that sends a byte now and then must not keep the memory of its body.
#[test]
fn a_trickle_is_no_progress_of_a_body() {
    let (mut progress, start) = opened();
    progress.on_request(start);
    progress.on_body_start(start, &timeouts());
    for second in 1..5 {
        let now = start + SECOND * second;
        progress.on_body(now, 1, &timeouts());
        assert_eq!(progress.overdue(now), None);
        assert!(progress.rank(now).is_some());
    }
    assert_eq!(progress.overdue(start + SECOND * 5), Some(Reason::SlowBody));
}

/// A peer that sends just enough must not keep the memory of its body for long.
#[test]
fn a_body_has_a_deadline_also_while_it_makes_progress() {
    let (mut progress, start) = opened();
    progress.on_body_start(start, &timeouts());
    for second in 1..10 {
        let now = start + SECOND * second;
        progress.on_body(now, 4_096, &timeouts());
        assert_eq!((progress.overdue(now), progress.rank(now)), (None, None));
    }
    assert_eq!(
        progress.overdue(start + SECOND * 10),
        Some(Reason::SlowBody)
    );
}

/// A caller within the limits must never be closed: the largest body on a link of 2 Mbit/s, a handler
/// that takes 3 s, a response that is read after 1 s, and the next request after 14 s.
#[test]
fn an_ordinary_caller_is_never_overdue() {
    let (mut progress, start) = opened();
    let mut now = start + SECOND;
    progress.on_read(now, &timeouts());
    now += Duration::from_millis(100);
    progress.on_request(now);
    progress.on_body_start(now, &timeouts());
    for _ in 0..262_144 / 1_024 {
        now += Duration::from_micros(4_096);
        assert_eq!((progress.overdue(now), progress.rank(now)), (None, None));
        progress.on_body(now, 1_024, &timeouts());
    }
    progress.on_request(now);
    now += SECOND * 3;
    assert_eq!((progress.overdue(now), progress.rank(now)), (None, None));
    progress.on_response(now, &timeouts());
    now += SECOND;
    assert_eq!(progress.overdue(now), None);
    progress.on_flush(now, &timeouts());
    assert_eq!(progress.phase(), Phase::Idle);
    assert_eq!(progress.overdue(now + SECOND * 14), None);
}

/// A response that nobody reads must not be kept; one that is read slowly is.
#[test]
fn a_response_has_to_make_progress() {
    let (mut progress, start) = opened();
    progress.on_response(start, &timeouts());
    let read = start + SECOND * 9;
    progress.on_write(read, &timeouts());
    assert_eq!(progress.overdue(read + SECOND * 9), None);
    let end = read + SECOND * 10;
    assert_eq!(progress.overdue(end), Some(Reason::UnreadResponse));
}

/// A peer that sends requests without waiting must not keep its connection; a caller that waits for
/// each response may send any number.
#[test]
fn only_pipelined_requests_are_bounded() {
    let (mut waiting, now) = opened();
    let mut pipelining = waiting.clone();
    for _ in 0..101 {
        waiting.on_read(now, &timeouts());
        for progress in [&mut waiting, &mut pipelining] {
            assert!(!progress.is_exhausted());
            progress.on_request(now);
            progress.on_response(now, &timeouts());
            progress.on_flush(now, &timeouts());
        }
    }
    assert!(!waiting.is_exhausted() && pipelining.is_exhausted());
}

/// Connections that sent no whole request are closed before the idle ones of ordinary callers, those of
/// refused requests before both, and those on which something just arrived not at all.
#[test]
fn stalled_connections_are_displaced_first() {
    let (stalled, start) = opened();
    let now = start + SECOND * 20;
    let mut idle = stalled.clone();
    idle.on_response(start, &timeouts());
    idle.on_flush(start, &timeouts());
    let mut later = Progress::new(start + SECOND, &timeouts());
    later.on_read(start + SECOND * 2, &timeouts());
    let recent = Progress::new(now, &timeouts());
    let mut handled = stalled.clone();
    handled.on_request(start);
    let mut refused = stalled.clone();
    refused.on_refusal();
    refused.on_response(now, &timeouts());
    refused.on_flush(now, &timeouts());
    let all = [&idle, &recent, &later, &handled, &stalled, &refused];
    let mut ranked: Vec<_> = all.iter().filter_map(|one| one.rank(now)).collect();
    ranked.sort();
    let expected = [&refused, &stalled, &later, &idle];
    assert_eq!(ranked, expected.map(|one| one.rank(now).unwrap()));
}

/// All bodies together must stay within the budget, and its memory must be usable again afterwards.
#[test]
fn charges_are_bounded_and_released() {
    let budget = Budget::new(10_000);
    let mut first = Charge::new(&budget);
    assert!(first.raise(FREE_BYTES) && first.bytes() == 0);
    assert!(first.raise(FREE_BYTES + 8_000) && first.raise(FREE_BYTES));
    let mut second = Charge::new(&budget);
    assert!(second.raise(FREE_BYTES) && !second.raise(FREE_BYTES + 2_001));
    assert!(second.raise(FREE_BYTES + 2_000) && budget.used() == 10_000);
    drop(first);
    assert!(second.raise(FREE_BYTES + 10_000));
    drop(second);
    assert_eq!(budget.used(), 0);
}

/// The limits must fit into the smallest instance, and must not restrict others more than before.
#[test]
fn limits_follow_from_the_settings() {
    let capacity = |memory, descriptors| {
        let settings = &shared_with(unreachable_store(), |settings| {
            settings.memory_mb = memory;
            settings.file_descriptors = descriptors;
        })
        .settings;
        let capacity = Capacity::new(settings);
        (capacity.connections, capacity.body_bytes)
    };
    assert_eq!(capacity(Some(120), Some(3_075)), (523, 15_000_000));
    assert_eq!(capacity(Some(512), Some(10_250)), (600, 64_000_000));
    assert_eq!(capacity(Some(512), Some(400)), (100, 64_000_000));
    assert_eq!(capacity(None, None), (523, 15_000_000));
    assert_eq!(capacity(Some(1), Some(1)).0, 16);
}

struct BodyHandler;

impl Handler for BodyHandler {
    async fn handle(self: Arc<Self>, request: hyper::Request<Incoming>) -> HttpResponse {
        match read_body(request, 100_000).await {
            Ok(_) => empty(StatusCode::OK),
            Err(refusal) => refusal.into_response(),
        }
    }
}

async fn send(stream: &mut TcpStream, stated: usize, sent: usize) {
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {stated}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b' '; sent]).await.unwrap();
}

async fn response(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 1_000];
    let count = stream.read(&mut buffer).await.unwrap();
    String::from_utf8(buffer[..count].to_vec()).unwrap()
}

/// Serves on a free port with so much memory.
async fn start<H: Handler>(handler: H, memory_mb: u64) -> (SocketAddr, watch::Sender<bool>) {
    let shared = shared_with(unreachable_store(), |settings| {
        settings.memory_mb = Some(memory_mb);
    });
    let (drain, drained) = watch::channel(false);
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    drop(socket);
    let served = serve(address, CALLERS, Arc::new(handler), shared, drained);
    served.await.unwrap();
    (address, drain)
}

/// A caller whose body is given up for another one must learn that its job was not accepted, and the
/// other one must be served. The memory of 1 MB has space for one large body at a time.
#[tokio::test]
async fn a_stalled_body_gives_way_and_is_refused() {
    let (address, _drain) = start(BodyHandler, 1).await;
    let mut stalled = TcpStream::connect(address).await.unwrap();
    send(&mut stalled, 100_000, 99_999).await;
    let mut small = TcpStream::connect(address).await.unwrap();
    for _ in 0..2 {
        send(&mut small, 2_000, 2_000).await;
        assert!(response(&mut small).await.starts_with("HTTP/1.1 200 "));
    }
    // Without progress for so long it counts as stalled.
    tokio::time::sleep(SECOND + SECOND / 5).await;
    let mut large = TcpStream::connect(address).await.unwrap();
    send(&mut large, 42_000, 42_000).await;
    assert!(response(&mut large).await.starts_with("HTTP/1.1 200 "));
    let refused = response(&mut stalled).await;
    assert!(refused.starts_with("HTTP/1.1 503 ") && refused.contains("retry-after: 1"));
}

/// A caller that is refused before it has sent its whole body must learn that: a connection that is closed
/// with unread bytes is reset, and the response is lost.
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_is_still_sending() {
    let (address, _drain) = start(BodyHandler, 120).await;
    let mut caller = TcpStream::connect(address).await.unwrap();
    send(&mut caller, 200_000, 100_000).await;
    caller.readable().await.unwrap();
    caller.write_all(&vec![b' '; 50_000]).await.unwrap();
    caller.write_all(&vec![b' '; 50_000]).await.unwrap();
    let mut refused = String::new();
    caller.read_to_string(&mut refused).await.unwrap();
    assert!(refused.starts_with("HTTP/1.1 413 "));
}

/// Responds to as many requests as there are permits.
struct Gate(Arc<Semaphore>);

impl Handler for Gate {
    async fn handle(self: Arc<Self>, _: hyper::Request<Incoming>) -> HttpResponse {
        self.0.acquire().await.unwrap().forget();
        empty(StatusCode::OK)
    }
}

/// While all places are taken by requests that are handled, none of them may be closed, since its job may
/// be accepted; the next caller must get the place of the first that is responded to. A connection that
/// always has a further request would otherwise keep its place for ever.
#[tokio::test]
async fn a_place_is_free_once_a_request_is_responded_to() {
    let gate = Arc::new(Semaphore::new(0));
    let (address, _drain) = start(Gate(Arc::clone(&gate)), 1).await;
    let mut callers = Vec::new();
    for _ in 0..17 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        send(&mut stream, 0, 0).await;
        callers.push(stream);
    }
    // The 17 responses need one of the 16 places twice.
    gate.add_permits(1);
    tokio::time::sleep(SECOND * 2).await;
    gate.add_permits(16);
    for stream in &mut callers {
        assert!(response(stream).await.starts_with("HTTP/1.1 200 "));
    }
}

/// Responds with a large body.
struct LargeResponse;

const RESPONSE_BYTES: usize = 256 << 10;

impl Handler for LargeResponse {
    async fn handle(self: Arc<Self>, _: hyper::Request<Incoming>) -> HttpResponse {
        json(StatusCode::OK, vec![b' '; RESPONSE_BYTES].into())
    }
}

/// Nothing is read while a peer takes no responses; a caller that reads its responses late must still
/// get all of them. They are more than the kernel's buffers take.
#[tokio::test]
async fn pipelined_requests_go_on_once_their_responses_are_read() {
    let (address, _drain) = start(LargeResponse, 120).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    for _ in 0..99 {
        send(&mut stream, 0, 0).await;
    }
    let last = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
    stream.write_all(last).await.unwrap();
    tokio::time::sleep(SECOND / 2).await;
    let mut responses = Vec::new();
    stream.read_to_end(&mut responses).await.unwrap();
    let heads = responses.len() - 100 * RESPONSE_BYTES;
    assert!(heads > 0 && heads < 100 * 200);
}
