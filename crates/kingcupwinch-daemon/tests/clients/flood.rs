//! Each test guards against an instance that runs out of memory or descriptors, or that serves no
//! ordinary caller, because of clients of one kind.

use std::time::Duration;

use kingcupwinch_standin::{HOST, PREFIX};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::{Instant, sleep};

use crate::crowd::{Behavior, Crowd};
use crate::instance::{Instance, LOWERED, SMALLEST, Scale};

/// Held by the test that runs.
pub(crate) static SERIAL: Mutex<()> = Mutex::const_new(());

/// Pause after each piece.
const PAUSE: Duration = Duration::from_millis(20);

/// Time for which the end of a crowd's connections is waited for.
const GONE_TIMEOUT: Duration = Duration::from_secs(60);

/// An instance with a crowd that is still connected. No other test runs before it is dropped.
struct Withstood {
    instance: Instance,
    _crowd: Crowd,
    _serial: MutexGuard<'static, ()>,
}

/// Checks that an instance stays within its limits beside a crowd and serves an ordinary caller.
async fn withstands(scale: Scale, behavior: Behavior) -> Withstood {
    let serial = SERIAL.lock().await;
    let mut instance = Instance::start(scale).await;
    let crowd = Crowd::send(behavior, &mut instance).await;
    let is_served = instance.serves().await;
    instance.check_limits();
    assert!(is_served, "an ordinary request was not answered");
    Withstood {
        instance,
        _crowd: crowd,
        _serial: serial,
    }
}

impl Scale {
    pub(crate) fn behavior(&self) -> Behavior {
        Behavior {
            send_timeout: self.send_timeout,
            ..Behavior::default()
        }
    }

    pub(crate) fn stated(&self, piece: usize, pause: Option<Duration>) -> Behavior {
        Behavior {
            head: submission(&format!("Content-Length: {}", self.body_bytes)),
            piece: vec![b' '; piece],
            count: (self.body_bytes - 1) / piece,
            pause,
            ..self.behavior()
        }
    }

    pub(crate) fn chunked(&self, bytes: usize, count: usize) -> Behavior {
        let mut piece = format!("{bytes:x}\r\n").into_bytes();
        piece.resize(piece.len() + bytes, b' ');
        piece.extend(b"\r\n");
        Behavior {
            head: submission("Transfer-Encoding: chunked"),
            piece,
            count,
            ..self.behavior()
        }
    }

    pub(crate) fn pipelined(&self, reads: bool) -> Behavior {
        Behavior {
            piece: format!("GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n\r\n").into_bytes(),
            count: self.requests,
            reads,
            ..self.behavior()
        }
    }

    pub(crate) fn endless_header(&self) -> Behavior {
        Behavior {
            head: format!("GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n"),
            piece: format!("x-{}: {}\r\n", "a".repeat(100), "b".repeat(200)).into_bytes(),
            count: 48,
            ..self.behavior()
        }
    }
}

pub(crate) fn submission(framing: &str) -> String {
    format!("POST {PREFIX}00000000000000aa HTTP/1.1\r\nHost: {HOST}\r\n{framing}\r\n\r\n")
}

#[tokio::test]
async fn bodies_that_stop_one_byte_short() {
    let behavior = LOWERED.stated(LOWERED.body_bytes - 1, None);
    withstands(LOWERED, behavior).await;
}

#[tokio::test]
async fn bodies_that_arrive_piece_by_piece() {
    let behavior = LOWERED.stated(LOWERED.piece_bytes, Some(PAUSE));
    withstands(LOWERED, behavior).await;
}

#[tokio::test]
async fn bodies_in_large_chunks_without_the_last() {
    let count = LOWERED.body_bytes / LOWERED.piece_bytes;
    withstands(LOWERED, LOWERED.chunked(LOWERED.piece_bytes, count)).await;
}

#[tokio::test]
async fn bodies_in_chunks_of_one_byte_without_the_last() {
    withstands(LOWERED, LOWERED.chunked(1, LOWERED.small_chunks)).await;
}

#[tokio::test]
async fn header_sections_that_never_end() {
    withstands(LOWERED, LOWERED.endless_header()).await;
}

#[tokio::test]
async fn pipelined_requests_on_connections_that_stay_open() {
    withstands(LOWERED, LOWERED.pipelined(true)).await;
}

#[tokio::test]
async fn responses_that_nobody_reads() {
    withstands(LOWERED, LOWERED.pipelined(false)).await;
}

/// The same with the limits of the smallest instance, for a run by hand with `--release -- --ignored`.
#[tokio::test]
#[ignore = "takes minutes and sends gigabytes"]
async fn crowds_at_the_smallest_instance() {
    let count = SMALLEST.body_bytes / SMALLEST.piece_bytes;
    for (name, behavior) in [
        (
            "one byte short",
            SMALLEST.stated(SMALLEST.body_bytes - 1, None),
        ),
        (
            "piece by piece",
            SMALLEST.stated(SMALLEST.piece_bytes, Some(PAUSE)),
        ),
        (
            "large chunks",
            SMALLEST.chunked(SMALLEST.piece_bytes, count),
        ),
        (
            "chunks of one byte",
            SMALLEST.chunked(1, SMALLEST.small_chunks),
        ),
        ("endless headers", SMALLEST.endless_header()),
        ("pipelined", SMALLEST.pipelined(true)),
        ("unread responses", SMALLEST.pipelined(false)),
    ] {
        println!("{name}");
        let mut beside = withstands(SMALLEST, behavior).await;
        let sent = Instant::now();
        // An instance has fewer descriptors than this without callers.
        while beside.instance.observe() > 50 && sent.elapsed() < GONE_TIMEOUT {
            sleep(PAUSE).await;
        }
        println!("connections gone after {:?}", sent.elapsed());
    }
}
