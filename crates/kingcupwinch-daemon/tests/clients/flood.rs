//! Each test guards against an instance that runs out of memory or descriptors, or that serves no
//! ordinary caller, because of clients of one kind.

use std::time::Duration;

use kingcupwinch_standin::{HOST, PREFIX};
use tokio::sync::Mutex;

use crate::crowd::{Behavior, Crowd};
use crate::instance::Instance;

/// Held by the test that runs.
static SERIAL: Mutex<()> = Mutex::const_new(());

/// Size of the body that a client announces: the largest that the configuration allows.
const BODY_BYTES: usize = 100_000;
/// Sent size of a body in pieces or large chunks.
const PIECE_BYTES: usize = 9_999;
/// Number of chunks of one byte. Each is a frame, so that few of them already take much memory.
const SMALL_CHUNKS: usize = 2_000;
/// Number of pipelined requests of one client.
const REQUESTS: usize = 100;

/// Checks that an instance stays within its limits beside a crowd and serves an ordinary caller.
async fn withstands(behavior: Behavior) {
    let _serial = SERIAL.lock().await;
    let mut instance = Instance::start().await;
    let crowd = Crowd::send(behavior, &mut instance).await;
    let is_served = instance.serves().await;
    instance.check_limits();
    assert!(is_served, "an ordinary request was not answered");
    drop(crowd);
}

fn submission(framing: &str) -> String {
    format!("POST {PREFIX}00000000000000aa HTTP/1.1\r\nHost: {HOST}\r\n{framing}\r\n\r\n")
}

fn stated(count: usize, pause: Option<Duration>) -> Behavior {
    Behavior {
        head: submission(&format!("Content-Length: {BODY_BYTES}")),
        piece: vec![b' '; (BODY_BYTES - 1) / count],
        count,
        pause,
        reads: false,
    }
}

fn chunked(bytes: usize, count: usize) -> Behavior {
    let mut piece = format!("{bytes:x}\r\n").into_bytes();
    piece.resize(piece.len() + bytes, b' ');
    piece.extend(b"\r\n");
    Behavior {
        head: submission("Transfer-Encoding: chunked"),
        piece,
        count,
        ..Behavior::default()
    }
}

fn pipelined(reads: bool) -> Behavior {
    Behavior {
        piece: format!("GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n\r\n").into_bytes(),
        count: REQUESTS,
        reads,
        ..Behavior::default()
    }
}

#[tokio::test]
async fn bodies_that_stop_one_byte_short() {
    withstands(stated(1, None)).await;
}

#[tokio::test]
async fn bodies_that_arrive_piece_by_piece() {
    withstands(stated(9, Some(Duration::from_millis(20)))).await;
}

#[tokio::test]
async fn bodies_in_large_chunks_without_the_last() {
    withstands(chunked(PIECE_BYTES, BODY_BYTES / PIECE_BYTES)).await;
}

#[tokio::test]
async fn bodies_in_chunks_of_one_byte_without_the_last() {
    withstands(chunked(1, SMALL_CHUNKS)).await;
}

#[tokio::test]
async fn header_sections_that_never_end() {
    withstands(Behavior {
        head: format!("GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n"),
        piece: format!("x-{}: {}\r\n", "a".repeat(100), "b".repeat(200)).into_bytes(),
        count: 48,
        ..Behavior::default()
    })
    .await;
}

#[tokio::test]
async fn pipelined_requests_on_connections_that_stay_open() {
    withstands(pipelined(true)).await;
}

#[tokio::test]
async fn responses_that_nobody_reads() {
    withstands(pipelined(false)).await;
}
