//! Accepts connections, up to a limit, until a graceful stop.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use slog::o;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::body::Body;
use crate::logging::{EventId, EventLog};
use crate::settings::Hold;

/// Maximum number of open streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 512;

/// Receive buffer of a connection, in bytes; the kernel would grow it to megabytes by itself.
const RECEIVE_BYTES: u32 = 16 * 1024;
/// Bytes that an HTTP/2 connection and each of its streams may receive before they are read.
const WINDOW_BYTES: u32 = 64 * 1024;
/// Maximum number of connections that were not accepted yet.
const BACKLOG: u32 = 512;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Handles HTTP requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// A bound port that serves one handler.
#[derive(Debug)]
pub(crate) struct Listener {
    socket: TcpListener,
    address: SocketAddr,
    hold: Hold,
    log: EventLog,
}

impl Listener {
    /// Binds the address.
    ///
    /// # Errors
    ///
    /// Returns the socket's error if the address can't be bound.
    pub(crate) async fn bind(
        address: SocketAddr,
        hold: Hold,
        log: EventLog,
    ) -> std::io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        // Connections inherit it, also before they are accepted.
        socket.set_recv_buffer_size(RECEIVE_BYTES)?;
        socket.bind(address)?;
        let socket = socket.listen(BACKLOG)?;
        let address = socket.local_addr()?;
        Ok(Listener {
            socket,
            address,
            hold,
            log,
        })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `stop` becomes true, then finishes open requests.
    pub(crate) async fn serve<H: Handler>(self, handler: Arc<H>, mut stop: watch::Receiver<bool>) {
        let graceful = GracefulShutdown::new();
        let limit = Arc::new(Semaphore::new(self.hold.connections));
        let builder = Arc::new(make_builder(&self.hold));
        loop {
            tokio::select! {
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, _)) => {
                        let Ok(permit) = Arc::clone(&limit).try_acquire_owned() else {
                            self.log.write(EventId::ConnectionRefused, o!());
                            continue;
                        };
                        let connection = Connection {
                            stream,
                            permit,
                            watcher: graceful.watcher(),
                            builder: Arc::clone(&builder),
                            log: self.log.clone(),
                        };
                        tokio::spawn(connection.run(Arc::clone(&handler)));
                    }
                    Err(err) => {
                        self.log.write(EventId::AcceptFailed, o!("error" => err.to_string()));
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                () = stop_requested(&mut stop) => break,
            }
        }
        drop(self.socket);
        graceful.shutdown().await;
    }
}

/// Waits until a stop is requested or the sender is dropped.
async fn stop_requested(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

fn make_builder(hold: &Hold) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(hold.idle_ms))
        .max_buf_size(hold.header_bytes);
    let headers = u32::try_from(hold.header_bytes).unwrap_or(u32::MAX);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(headers)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS);
    builder
}

/// One accepted connection.
struct Connection {
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    watcher: Watcher,
    builder: Arc<auto::Builder<TokioExecutor>>,
    log: EventLog,
}

impl Connection {
    async fn run<H: Handler>(self, handler: Arc<H>) {
        // A failure to disable Nagle's algorithm costs only latency.
        let _ = self.stream.set_nodelay(true);
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(handler.handle(request).await) }
        });
        let io = TokioIo::new(self.stream);
        let connection = self.builder.serve_connection(io, service).into_owned();
        if let Err(err) = self.watcher.watch(connection).await {
            self.log
                .write(EventId::ConnectionBroken, o!("error" => err.to_string()));
        }
        drop(self.permit);
    }
}
