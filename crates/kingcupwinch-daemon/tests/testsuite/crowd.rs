//! Clients that stop just short of the end of their bodies, against the daemon as a separate process.

use std::net::SocketAddr;

use kingcupwinch_fakes::live_response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::caller::wait_until;
use crate::cluster::Cluster;
use crate::process::{Process, wait_until_ready};

/// Number of clients, each with a body that the daemon buffers as a whole.
const CLIENTS: usize = 300;
/// Size of a body in bytes: the default of `hold.request_bytes`.
const BODY_BYTES: usize = 256 * 1024;
/// Memory that the daemon may use, in kilobytes: what a node may spend on control.
const ALLOWED_KB: u64 = 64_000;

/// Sends all of a body but its last byte; returns the connection, unless it was refused.
async fn stop_short(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head =
        format!("POST /v1/run/booking HTTP/1.1\r\nHost: a\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(&vec![b' '; BODY_BYTES - 1]).await.ok()?;
    // A refused client has a response; the others stay.
    let mut response = [0];
    match stream.try_read(&mut response) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Some(stream),
        _ => None,
    }
}

/// The bodies that are buffered at a time must not exceed the memory of a node, and an ordinary request
/// must be served beside them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_one_byte_short() {
    let cluster = Cluster::start(2).await;
    let mut process = Process::start(&cluster, "entry-1");
    let caller = wait_until_ready(&process).await;
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        clients.spawn(stop_short(process.callers));
    }
    let crowd = clients.join_all().await;
    let reply = caller
        .run("booking", &[("x-request-id", "p1")], "stage")
        .await;
    let peak = process.peak_kb();
    println!("peak resident {peak} kB");
    assert!(peak < ALLOWED_KB, "peak resident {peak} kB");
    assert_eq!(reply.body, live_response("p1", b"stage", 0));
    drop(crowd);
    assert!(process.is_running());
}

/// Sends a body of which only a part arrives.
async fn send_part(stream: &mut TcpStream, stated: usize, sent: usize) {
    let head =
        format!("POST /v1/run/booking HTTP/1.1\r\nHost: a\r\nContent-Length: {stated}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b' '; sent]).await.unwrap();
}

/// A caller that is refused for lack of memory must learn that its request did not run. The memory has
/// space for the body of one client, which takes more than half of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_tells_that_the_request_did_not_run() {
    let cluster = Cluster::start(2).await;
    let memory = BODY_BYTES.to_string();
    let settings = [("KINGCUPWINCHD_HOLD__MEMORY_BYTES", memory.as_str())];
    let process = Process::start_with(&cluster, "entry-1", &settings);
    wait_until_ready(&process).await;
    wait_until("a body is refused", || async {
        // Of this body and that of the caller, the one that is read later is refused.
        let mut stalled = TcpStream::connect(process.callers).await.unwrap();
        send_part(&mut stalled, BODY_BYTES, 150_000).await;
        let mut caller = TcpStream::connect(process.callers).await.unwrap();
        send_part(&mut caller, 150_000, 150_000).await;
        let mut response = vec![0; 4_096];
        let count = caller.read(&mut response).await.unwrap();
        let text = String::from_utf8_lossy(&response[..count]).to_lowercase();
        let is_refused = text.starts_with("http/1.1 503 ");
        assert!(!is_refused || text.contains("retry-after: 1") && text.contains("not-run"));
        is_refused
    })
    .await;
}
