//! Loopback proxy whose link can be blocked, delayed or reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the buffer of one direction, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// How a proxy treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards everything.
    Open,
    /// Forwards nothing in either direction; holds what arrives until the mode changes.
    Blocked,
    /// Forwards data of the client and holds the responses until the mode changes.
    OneWay,
    /// Forwards every chunk after this delay.
    Delayed(Duration),
    /// Closes all connections, and new ones as soon as they are accepted.
    Reset,
}

/// A proxy in front of one server.
pub(crate) struct Proxy {
    address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl Proxy {
    /// Starts a proxy that forwards to `target`.
    pub(crate) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(Mode::Open));
        tokio::spawn(accept(listener, target, Arc::clone(&mode)));
        Ok(Proxy { address, mode })
    }

    /// Returns the address on which the proxy listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode of all current and future connections.
    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: Arc<watch::Sender<Mode>>) {
    while let Ok((client, _)) = listener.accept().await {
        let mode = mode.subscribe();
        tokio::spawn(async move {
            if *mode.borrow() == Mode::Reset {
                return;
            }
            // If the target refuses the connection, the client's is closed too.
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let (client_in, client_out) = client.into_split();
            let (server_in, server_out) = server.into_split();
            let mut reset = mode.clone();
            tokio::select! {
                () = forward(client_in, server_out, mode.clone(), Direction::ToServer) => {}
                () = forward(server_in, client_out, mode, Direction::ToClient) => {}
                _ = reset.wait_for(|mode| *mode == Mode::Reset) => {}
            }
        });
    }
}

/// Forwards data in one direction until either end closes its connection.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length) = from.read(&mut chunk).await else {
            return;
        };
        let is_open = |mode: &Mode| match mode {
            Mode::Blocked => false,
            Mode::OneWay => direction == Direction::ToServer,
            Mode::Open | Mode::Delayed(_) | Mode::Reset => true,
        };
        let state = match mode.wait_for(is_open).await {
            Ok(state) => *state,
            Err(_) => return,
        };
        if let Mode::Delayed(delay) = state {
            tokio::time::sleep(delay).await;
        }
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
