//! The HTTP server shared by all stand-ins.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};

/// The maximum size of a request body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 32 << 20;

/// An error of a streamed body.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;

pub(crate) type ResponseBody = BoxBody<Bytes, BodyError>;

pub(crate) type Answer = Response<ResponseBody>;

/// Signals that the response is withheld and the connection closed, as an injected fault.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Dropped;

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response is dropped by fault injection")
    }
}

impl std::error::Error for Dropped {}

/// Handles the connections and requests of a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles a request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Answer, Dropped>> + Send;

    /// Records a new connection; returning false closes it at once.
    fn connected(&self) -> bool {
        true
    }

    /// Records the end of an accepted connection.
    fn closed(&self) {}
}

/// A running server, shut down gracefully on drop.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
    // Dropping the sender signals shutdown.
    _stop: oneshot::Sender<Infallible>,
}

impl Server {
    pub(crate) async fn start<H: Handler>(
        address: SocketAddr,
        handler: Arc<H>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(accept(listener, handler, stopped));
        Ok(Server {
            address,
            task,
            _stop: stop,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and stops listening, as when the process is killed.
    pub(crate) fn kill(&self) {
        self.task.abort();
    }
}

async fn accept<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    mut stopped: oneshot::Receiver<Infallible>,
) {
    let graceful = GracefulShutdown::new();
    // Aborting this task drops the set, which closes all connections.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                if handler.connected() {
                    let guard = ConnectionGuard(Arc::clone(&handler));
                    connections.spawn(serve(stream, guard, graceful.watcher()));
                }
            }
            Some(_) = connections.join_next() => {}
            _ = &mut stopped => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Records the end of a connection on drop.
struct ConnectionGuard<H: Handler>(Arc<H>);

impl<H: Handler> Drop for ConnectionGuard<H> {
    fn drop(&mut self) {
        self.0.closed();
    }
}

async fn serve<H: Handler>(
    stream: TcpStream,
    guard: ConnectionGuard<H>,
    watcher: hyper_util::server::graceful::Watcher,
) {
    // With Nagle's algorithm, small responses would wait for the peer's acknowledgements.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let builder = auto::Builder::new(TokioExecutor::new());
    let service = service_fn(|request| Arc::clone(&guard.0).handle(request));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A connection ends with an error when the peer goes away or a response is dropped.
    let _ended = watcher.watch(connection).await;
}

pub(crate) fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

pub(crate) fn empty(status: StatusCode) -> Answer {
    with_body(status, Bytes::new())
}

pub(crate) fn with_body(status: StatusCode, bytes: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(full(bytes));
    *answer.status_mut() = status;
    answer
}

pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let Ok(bytes) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut answer = with_body(status, bytes);
    let media = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, media);
    answer
}

/// Reads a complete body of up to [`MAX_BODY_BYTES`] bytes.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Answer> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|_| empty(StatusCode::BAD_REQUEST))
}

/// Reads a complete body as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Answer> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).map_err(|e| with_body(StatusCode::BAD_REQUEST, e.to_string()))
}

/// Returns a numeric query parameter, or zero if it is absent or not a number.
pub(crate) fn query_number(request: &Request<Incoming>, name: &str) -> u64 {
    query_text(request, name)
        .and_then(|v| v.parse().ok())
        .unwrap_or(0)
}

/// Returns a query parameter without percent-decoding, which platform names don't need.
pub(crate) fn query_text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
