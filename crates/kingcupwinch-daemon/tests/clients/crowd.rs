//! Clients that send what they have and then keep their connections open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest, Ready};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::instance::Instance;

/// Number of clients: more than an instance accepts connections.
const CLIENTS: usize = 620;
/// Interval at which the descriptors of the instance are counted.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which a client looks whether its connection is closed.
const CLOSED_INTERVAL: Duration = Duration::from_millis(20);

/// What each client sends.
#[derive(Debug, Clone, Default)]
pub(crate) struct Behavior {
    pub(crate) head: String,
    /// Sent repeatedly after the head.
    pub(crate) piece: Vec<u8>,
    pub(crate) count: usize,
    /// Pause after each piece.
    pub(crate) pause: Option<Duration>,
    /// Whether it reads the responses.
    pub(crate) reads: bool,
    /// Time after which it stops sending if it can't send any more.
    pub(crate) send_timeout: Duration,
    /// Time for which it opens another connection whenever one is closed.
    pub(crate) returns_for: Duration,
    /// Number of clients, if it is not the usual one.
    pub(crate) clients: Option<usize>,
}

/// Open connections of clients that send nothing any more; closed when dropped.
pub(crate) struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Connects all clients, and returns when each has sent everything or can't send any more.
    pub(crate) async fn send(behavior: Behavior, instance: &mut Instance) -> Self {
        let (sent, mut done) = tokio::sync::mpsc::channel::<()>(1);
        let behavior = Arc::new(behavior);
        let mut clients = JoinSet::new();
        for _ in 0..behavior.clients.unwrap_or(CLIENTS) {
            let client = run(instance.callers, Arc::clone(&behavior), sent.clone());
            clients.spawn(client);
        }
        drop(sent);
        // Each client drops its sender once it has sent everything.
        while timeout(OBSERVE_INTERVAL, done.recv()).await.is_err() {
            instance.observe();
        }
        Crowd { _clients: clients }
    }
}

async fn run(address: SocketAddr, behavior: Arc<Behavior>, sent: tokio::sync::mpsc::Sender<()>) {
    let until = Instant::now() + behavior.returns_for;
    loop {
        // An instance may refuse or close any connection of a crowd.
        let connected = timeout(behavior.send_timeout, TcpStream::connect(address));
        let stream = match connected.await {
            Ok(Ok(mut stream)) => {
                let _ = send(&mut stream, &behavior).await;
                Some(stream)
            }
            _ => None,
        };
        if Instant::now() >= until {
            drop(sent);
            return stay(stream, &behavior).await;
        }
        if let Some(stream) = stream {
            // The client leaves its responses unread: only that the connection is closed shows.
            let _ = timeout_at(until, closed(&stream)).await;
        }
    }
}

/// Keeps a connection open until the crowd is dropped.
async fn stay(stream: Option<TcpStream>, behavior: &Behavior) {
    let Some(mut stream) = stream else { return };
    let mut buffer = [0; 4_096];
    while behavior.reads && stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
    std::future::pending::<()>().await;
}

/// Waits until the peer has closed a connection.
async fn closed(stream: &TcpStream) {
    let closed = |ready: Ready| ready.is_read_closed() || ready.is_error();
    while !stream.ready(Interest::READABLE).await.is_ok_and(closed) {
        sleep(CLOSED_INTERVAL).await;
    }
}

async fn send(stream: &mut TcpStream, behavior: &Behavior) -> std::io::Result<()> {
    let limit = behavior.send_timeout;
    timeout(limit, stream.write_all(behavior.head.as_bytes())).await??;
    if behavior.pause.is_none() {
        let all = behavior.piece.repeat(behavior.count);
        return timeout(limit, stream.write_all(&all)).await?;
    }
    for _ in 0..behavior.count {
        timeout(limit, stream.write_all(&behavior.piece)).await??;
        sleep(behavior.pause.unwrap_or_default()).await;
    }
    Ok(())
}
