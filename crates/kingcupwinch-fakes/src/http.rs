//! The HTTP server around each engine.

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

/// The largest request body that a stand-in takes, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 32 << 20;

/// Any failure of a streamed body.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;

pub(crate) type AnswerBody = BoxBody<Bytes, BodyError>;

pub(crate) type Answer = Response<AnswerBody>;

/// The answer is not sent and the connection is closed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Dropped;

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer is dropped by instruction")
    }
}

impl std::error::Error for Dropped {}

/// What a server does with connections and requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a request.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Answer, Dropped>> + Send;

    /// Notes a new connection; it is closed at once if this returns false.
    fn connected(&self) -> bool {
        true
    }

    /// Notes the end of a connection that was taken.
    fn closed(&self) {}
}

/// A running server; dropping it stops it gracefully.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
    // Dropping the sender is the signal to stop.
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

    /// Cuts every connection and stops listening, as when the process dies.
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
    // Dropped with this task, which ends every connection.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                if handler.connected() {
                    let guard = Connected(Arc::clone(&handler));
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

/// Notes the end of a connection when it is dropped.
struct Connected<H: Handler>(Arc<H>);

impl<H: Handler> Drop for Connected<H> {
    fn drop(&mut self) {
        self.0.closed();
    }
}

async fn serve<H: Handler>(
    stream: TcpStream,
    guard: Connected<H>,
    watcher: hyper_util::server::graceful::Watcher,
) {
    // Without it, small answers wait for the peer's acknowledgements.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let builder = auto::Builder::new(TokioExecutor::new());
    let service = service_fn(|request| Arc::clone(&guard.0).answer(request));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A connection ends in an error when the peer goes away or an answer is dropped.
    let _ended = watcher.watch(connection).await;
}

pub(crate) fn full(bytes: impl Into<Bytes>) -> AnswerBody {
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

/// Reads a whole body, up to [`MAX_BODY_BYTES`].
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Answer> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|_| empty(StatusCode::BAD_REQUEST))
}

/// Reads a whole body as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Answer> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes).map_err(|e| with_body(StatusCode::BAD_REQUEST, e.to_string()))
}

/// Returns a parameter of the query, zero if it is absent or not a number.
pub(crate) fn query_number(request: &Request<Incoming>, name: &str) -> u64 {
    query_text(request, name)
        .and_then(|v| v.parse().ok())
        .unwrap_or(0)
}

/// Returns a parameter of the query; names of the platform need no escapes.
pub(crate) fn query_text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
