//! Each test guards against an instance whose memory runs out, or that serves no ordinary caller, because of
//! requests of a form that ordinary callers don't send.

use std::time::Duration;

use crate::crowd::{Behavior, Crowd};
use crate::flood::{SERIAL, submission};
use crate::instance::{Instance, LOWERED};
use crate::returning::withstands;

fn sends(head: String, piece: String, count: usize) -> Behavior {
    Behavior {
        head,
        piece: piece.into_bytes(),
        count,
        send_timeout: LOWERED.send_timeout,
        ..Behavior::default()
    }
}

/// A whole body of the largest size.
fn whole(body: &str) -> Behavior {
    let head = submission(&format!("Content-Length: {}", body.len()));
    sends(head, body.to_owned(), 1)
}

#[tokio::test]
async fn trailers_without_end() {
    let head = submission("Transfer-Encoding: chunked") + "1\r\n \r\n0\r\n";
    let trailer = format!("x-a: {}\r\n", "b".repeat(200));
    withstands(LOWERED, sends(head, trailer, 5_000)).await;
}

#[tokio::test]
async fn chunk_extensions_without_end() {
    let head = submission("Transfer-Encoding: chunked") + "1;a=";
    withstands(LOWERED, sends(head, "b".repeat(1_000), 2_000)).await;
}

#[tokio::test]
async fn expected_continuations_without_a_body() {
    let size = LOWERED.body_bytes;
    let head = submission(&format!("Content-Length: {size}\r\nExpect: 100-continue"));
    withstands(LOWERED, sends(head, String::new(), 0)).await;
}

#[tokio::test]
async fn deeply_nested_bodies() {
    withstands(LOWERED, whole(&"[".repeat(LOWERED.body_bytes))).await;
}

#[tokio::test]
async fn bodies_of_escapes() {
    let escapes = "\\u00e9".repeat(LOWERED.body_bytes / 6 - 10);
    withstands(
        LOWERED,
        whole(&format!(r#"{{"specification":"{escapes}"}}"#)),
    )
    .await;
}

/// An instance must end within its grace time also while a crowd takes its places: it is killed otherwise,
/// and what it was serving is lost.
#[tokio::test]
async fn an_instance_stops_beside_a_crowd() {
    let _serial = SERIAL.lock().await;
    let mut instance = Instance::start(LOWERED).await;
    let behavior = LOWERED.stated(LOWERED.body_bytes - 1, None);
    let _crowd = Crowd::send(behavior, &mut instance).await;
    instance.stop(Duration::from_secs(30)).await;
}
