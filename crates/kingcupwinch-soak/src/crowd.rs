//! Clients that stop just short of the end of their requests, and come back when they are closed.

use std::net::SocketAddr;
use std::time::Duration;

use kingcupwinch_standin::{HOST, PREFIX};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Number of clients of one crowd.
const CLIENTS: usize = 200;
/// Size of the body that a client announces, in bytes.
const BODY_BYTES: usize = 64 << 10;
/// Pause before a client comes back.
const PAUSE: Duration = Duration::from_millis(20);

/// A crowd of clients, which ends when it is dropped.
pub(crate) struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Starts a crowd of clients of an instance.
    pub(crate) fn start(instance: SocketAddr) -> Self {
        let mut clients = JoinSet::new();
        for _ in 0..CLIENTS {
            clients.spawn(async move {
                loop {
                    // The instance may refuse or close any of these connections, or be down.
                    let _ = stop_short(instance).await;
                    tokio::time::sleep(PAUSE).await;
                }
            });
        }
        Crowd { _clients: clients }
    }
}

/// Sends a submission without its last byte, and waits until the connection is closed.
async fn stop_short(instance: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(instance).await?;
    let head = format!(
        "POST {PREFIX}00000000000000cc HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&[b' '; BODY_BYTES - 1]).await?;
    let mut response = [0; 1_024];
    while stream.read(&mut response).await? > 0 {}
    Ok(())
}
