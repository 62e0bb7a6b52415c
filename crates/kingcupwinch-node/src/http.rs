//! HTTP/1.1 server with graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use kingcupwinch_platform::{ByteCounter, Counted};
use slog::o;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::events::Event;
use crate::shared::Shared;

/// Maximum open connections of one listener.
const MAX_CONNECTIONS: usize = 600;
/// Maximum size of a request's header section, in bytes.
const MAX_HEADER_BYTES: usize = 32 << 10;
/// Timeout for reading a request's header section; it also closes idle connections.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A response with its whole body.
pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Handles the requests of one listener.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = HttpResponse> + Send;
}

/// Binds an address and serves it in the background; `purpose` labels its bytes. When `drain` turns
/// true, it accepts no more connections and lets open requests complete.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(crate) async fn serve<H: Handler>(
    address: SocketAddr,
    purpose: &'static str,
    handler: Arc<H>,
    shared: Arc<Shared>,
    drain: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let counter = shared.traffic.counter(purpose);
    tokio::spawn(accept(listener, counter, handler, shared, drain));
    Ok(())
}

async fn accept<H: Handler>(
    listener: TcpListener,
    counter: Arc<ByteCounter>,
    handler: Arc<H>,
    shared: Arc<Shared>,
    drain: watch::Receiver<bool>,
) {
    let limit = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut drained = drain.clone();
    loop {
        // At the limit, further connections wait in the listener's backlog.
        let Ok(permit) = Arc::clone(&limit).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = drained.wait_for(|drain| *drain) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let handler = Arc::clone(&handler);
                let drain = drain.clone();
                // Without TCP_NODELAY only latency suffers.
                let _ = stream.set_nodelay(true);
                let stream = Counted::new(stream, Arc::clone(&counter));
                tokio::spawn(async move {
                    connection(stream, handler, drain).await;
                    drop(permit);
                });
            }
            Err(error) => {
                let fields = o!("error" => error.to_string());
                shared.log.write(Event::AcceptFailed, fields);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection<H: Handler>(
    stream: Counted<TcpStream>,
    handler: Arc<H>,
    mut drain: watch::Receiver<bool>,
) {
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES);
    let mut served = pin!(builder.serve_connection(TokioIo::new(stream), service));
    // Errors of a peer end only its own connection.
    tokio::select! {
        _ = served.as_mut() => return,
        _ = drain.wait_for(|drain| *drain) => served.as_mut().graceful_shutdown(),
    }
    let _ = served.await;
}

/// Reads a request's body; `None` if it is larger than `limit` bytes or incomplete.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Option<Bytes> {
    let collected = Limited::new(body, limit).collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Builds a response with a JSON body.
pub(crate) fn json(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Builds a response without a body.
pub(crate) fn empty(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Builds a response without a body that asks the caller to retry after this many seconds.
pub(crate) fn retry_after(status: StatusCode, seconds: u32) -> HttpResponse {
    let mut response = empty(status);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}
