//! Each test guards against an instance whose memory runs out because of clients that come back as soon
//! as their connections are closed. What its connections have received and not read counts, as it does on
//! the machines of the deployments.

use std::time::Duration;

use tokio::time::sleep;

use crate::crowd::{Behavior, Crowd};
use crate::flood::SERIAL;
use crate::instance::{Instance, KeptConnection, LOWERED, SMALLEST, Scale};

/// Time for which the clients come back.
const RETURNS_FOR: Duration = Duration::from_secs(3);

/// Number of clients in the run by hand: three times as many as the smallest instance accepts.
const CLIENTS_BY_HAND: usize = 1_500;

/// Pause between two calls of an ordinary caller.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Checks that an instance stays within its limits beside clients that come back, and that it serves an
/// ordinary caller afterwards.
pub(crate) async fn withstands(scale: Scale, behavior: Behavior) {
    let behavior = Behavior {
        returns_for: RETURNS_FOR,
        ..behavior
    };
    let _serial = SERIAL.lock().await;
    let mut instance = Instance::start(scale).await;
    let watch = instance.watch();
    let _crowd = Crowd::send(behavior, &mut instance).await;
    let is_served = instance.serves().await;
    instance.check_watch(&watch);
    assert!(is_served, "an ordinary request was not answered");
}

#[tokio::test]
async fn bodies_that_stop_one_byte_short() {
    withstands(LOWERED, LOWERED.stated(LOWERED.body_bytes - 1, None)).await;
}

#[tokio::test]
async fn bodies_in_large_chunks_without_the_last() {
    let count = LOWERED.body_bytes / LOWERED.piece_bytes;
    withstands(LOWERED, LOWERED.chunked(LOWERED.piece_bytes, count)).await;
}

#[tokio::test]
async fn bodies_in_chunks_of_one_byte_without_the_last() {
    withstands(LOWERED, LOWERED.chunked(1, LOWERED.body_bytes - 1)).await;
}

#[tokio::test]
async fn responses_that_nobody_reads() {
    withstands(LOWERED, LOWERED.pipelined(false)).await;
}

/// A caller that uses its connection must not lose it to clients that were never served.
#[tokio::test]
async fn a_caller_keeps_its_connection_beside_them() {
    let _serial = SERIAL.lock().await;
    let mut instance = Instance::start(LOWERED).await;
    let mut caller = KeptConnection::open(instance.callers).await;
    let behavior = Behavior {
        returns_for: RETURNS_FOR,
        ..LOWERED.stated(LOWERED.body_bytes - 1, None)
    };
    let calls = async {
        loop {
            caller.call().await;
            sleep(CALL_INTERVAL).await;
        }
    };
    tokio::select! {
        _ = Crowd::send(behavior, &mut instance) => {}
        () = calls => {}
    }
    caller.call().await;
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
            "large chunks",
            SMALLEST.chunked(SMALLEST.piece_bytes, count),
        ),
        (
            "chunks of one byte",
            SMALLEST.chunked(1, SMALLEST.small_chunks),
        ),
        ("endless headers", SMALLEST.endless_header()),
        ("unread responses", SMALLEST.pipelined(false)),
    ] {
        println!("{name}");
        let behavior = Behavior {
            clients: Some(CLIENTS_BY_HAND),
            ..behavior
        };
        withstands(SMALLEST, behavior).await;
    }
}
