//! Each test guards against an instance whose memory runs out because of clients that come back as soon
//! as their connections are closed. What its connections have received and not read counts, as it does on
//! the machines of the deployments.

use std::time::Duration;

use crate::crowd::{Behavior, Crowd};
use crate::flood::SERIAL;
use crate::instance::{Instance, LOWERED};

/// Time for which the clients come back.
const RETURNS_FOR: Duration = Duration::from_secs(3);

/// Checks that an instance stays within its limits beside clients that come back, and that it serves an
/// ordinary caller afterwards.
async fn withstands(behavior: Behavior) {
    let behavior = Behavior {
        returns_for: RETURNS_FOR,
        ..behavior
    };
    let _serial = SERIAL.lock().await;
    let mut instance = Instance::start(LOWERED).await;
    let watch = instance.watch();
    let _crowd = Crowd::send(behavior, &mut instance).await;
    let is_served = instance.serves().await;
    instance.check_watch(&watch);
    assert!(is_served, "an ordinary request was not answered");
}

#[tokio::test]
async fn bodies_that_stop_one_byte_short() {
    withstands(LOWERED.stated(LOWERED.body_bytes - 1, None)).await;
}

#[tokio::test]
async fn bodies_in_large_chunks_without_the_last() {
    let count = LOWERED.body_bytes / LOWERED.piece_bytes;
    withstands(LOWERED.chunked(LOWERED.piece_bytes, count)).await;
}

#[tokio::test]
async fn bodies_in_chunks_of_one_byte_without_the_last() {
    withstands(LOWERED.chunked(1, LOWERED.body_bytes - 1)).await;
}

#[tokio::test]
async fn responses_that_nobody_reads() {
    withstands(LOWERED.pipelined(false)).await;
}
