//! Loopback proxy whose link can be blocked, delayed or reset.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

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

/// Paces what a link of limited bandwidth carries in each direction, over all its connections.
#[derive(Debug, Default)]
struct Pacer {
    /// Time that a byte takes, if the bandwidth is limited.
    byte_time: Option<Duration>,
    /// When the link is free again, in each direction.
    free_at: Mutex<[Option<Instant>; 2]>,
}

impl Pacer {
    fn new(kbps: Option<u64>) -> Self {
        let byte_time = kbps.map(|kbps| Duration::from_millis(8) / kbps.max(1) as u32);
        Pacer {
            byte_time,
            free_at: Mutex::default(),
        }
    }

    /// Waits until the link has carried a chunk behind what arrived before it.
    async fn carry(&self, length: usize, direction: Direction) {
        let Some(byte_time) = self.byte_time else {
            return;
        };
        let carried_at = {
            let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
            let free_at = &mut free_at[direction as usize];
            let start = free_at.unwrap_or_else(Instant::now).max(Instant::now());
            *free_at.insert(start + byte_time * length as u32)
        };
        tokio::time::sleep_until(carried_at).await;
    }
}

/// A proxy in front of one server.
pub(crate) struct Proxy {
    address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    closings: Arc<watch::Sender<Option<Closing>>>,
}

/// How all current connections of a proxy are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Closing {
    /// The client sees the end of the stream.
    Finish,
    /// The client sees a reset.
    Abort,
    /// The client sees nothing: the connection stays open and carries nothing any more.
    Silence,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl Proxy {
    /// Starts a proxy that forwards to `target`.
    pub(crate) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        Proxy::with_bandwidth(target, None).await
    }

    /// Starts a proxy that forwards to `target` at most `kbps` kbit/s in each direction.
    pub(crate) async fn with_bandwidth(
        target: SocketAddr,
        kbps: Option<u64>,
    ) -> std::io::Result<Self> {
        let pacer = Arc::new(Pacer::new(kbps));
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(Mode::Open));
        let closings = Arc::new(watch::Sender::new(None));
        let links = (Arc::clone(&mode), Arc::clone(&closings));
        tokio::spawn(accept(listener, target, pacer, links.0, links.1));
        Ok(Proxy {
            address,
            mode,
            closings,
        })
    }

    /// Returns the address on which the proxy listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode of all current and future connections.
    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Closes all current connections. New ones are forwarded.
    pub(crate) fn close(&self, closing: Closing) {
        self.closings.send_replace(Some(closing));
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    pacer: Arc<Pacer>,
    mode: Arc<watch::Sender<Mode>>,
    closings: Arc<watch::Sender<Option<Closing>>>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let mode = mode.subscribe();
        let mut closing = closings.subscribe();
        let pacer = Arc::clone(&pacer);
        tokio::spawn(async move {
            if *mode.borrow() == Mode::Reset {
                return;
            }
            // If the target refuses the connection, the client's is closed too.
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let (mut client_in, mut client_out) = client.into_split();
            let (mut server_in, mut server_out) = server.into_split();
            let mut reset = mode.clone();
            tokio::select! {
                () = forward(&mut client_in, &mut server_out, mode.clone(), (&pacer, Direction::ToServer)) => {}
                () = forward(&mut server_in, &mut client_out, mode, (&pacer, Direction::ToClient)) => {}
                () = until_reset(&mut reset) => {}
                _ = closing.changed() => {
                    let kind = *closing.borrow();
                    match kind {
                        Some(Closing::Abort) => {
                            // Fails only for a connection that is closed already.
                            let _ = client_out.as_ref().set_zero_linger();
                        }
                        Some(Closing::Silence) => discard(&mut client_in).await,
                        Some(Closing::Finish) | None => {}
                    }
                }
            }
        });
    }
}

async fn until_reset(mode: &mut watch::Receiver<Mode>) {
    // Without a sender there is no proxy any more.
    let _ = mode.wait_for(|mode| *mode == Mode::Reset).await;
}

/// Reads and drops what the client sends until it closes its connection.
async fn discard(client: &mut OwnedReadHalf) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while client.read(&mut chunk).await.is_ok_and(|length| length > 0) {}
}

/// Forwards data in one direction until either end closes its connection.
async fn forward(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    (pacer, direction): (&Pacer, Direction),
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length) = from.read(&mut chunk).await else {
            return;
        };
        pacer.carry(length, direction).await;
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
