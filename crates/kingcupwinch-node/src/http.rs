//! HTTP/1.1 server with graceful shutdown.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use kingcupwinch_platform::{ByteCounter, Counted};
use slog::o;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};

use crate::events::Event;
use crate::shared::Shared;

mod body;
mod budget;
mod connection;
mod limits;
mod listener;
mod progress;
mod stream;
#[cfg(test)]
mod tests;

pub(crate) use body::read_body;
pub(crate) use listener::{CALLERS, SIBLINGS};

use connection::{Connection, OpenConnection};
use limits::{Capacity, buffer_bytes};
use listener::Listener;
use progress::{Phase, Reason};
use stream::TrackedStream;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which a connection to close is looked for while a new one waits for its place.
const DISPLACE_INTERVAL: Duration = Duration::from_millis(50);

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
    let listener = Listener::start(purpose, Arc::clone(&shared));
    let socket = bind(address, &listener.capacity)?;
    let counter = shared.traffic.counter(purpose);
    tokio::spawn(accept(socket, listener, counter, handler, shared, drain));
    Ok(())
}

/// Binds an address. Its connections inherit the size of the receive buffer, also before they are
/// accepted.
fn bind(address: SocketAddr, capacity: &Capacity) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(capacity.receive_bytes as u32)?;
    socket.bind(address)?;
    socket.listen(capacity.backlog)
}

async fn accept<H: Handler>(
    socket: TcpListener,
    listener: Arc<Listener>,
    counter: Arc<ByteCounter>,
    handler: Arc<H>,
    shared: Arc<Shared>,
    drain: watch::Receiver<bool>,
) {
    let limit = Arc::new(Semaphore::new(listener.capacity.connections));
    let mut drained = drain.clone();
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = drained.wait_for(|drain| *drain) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let permit = tokio::select! {
                    permit = find_place(&limit, &listener) => permit,
                    _ = drained.wait_for(|drain| *drain) => return,
                };
                let handler = Arc::clone(&handler);
                let drain = drain.clone();
                // Without TCP_NODELAY only latency suffers.
                let _ = stream.set_nodelay(true);
                let stream = Counted::new(stream, Arc::clone(&counter));
                let opened = OpenConnection(listener.open());
                tokio::spawn(async move {
                    serve_connection(stream, &opened.0, handler, drain).await;
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

/// Returns the place of a new connection; closes another one if all are taken. If each of them is served
/// or has just made progress, the next to be responded to is closed.
async fn find_place(limit: &Arc<Semaphore>, listener: &Listener) -> Option<OwnedSemaphorePermit> {
    loop {
        if let Ok(permit) = Arc::clone(limit).try_acquire_owned() {
            return Some(permit);
        }
        if !listener.displace_connection() {
            listener.note_waiting();
        }
        let permit = Arc::clone(limit).acquire_owned();
        if let Ok(permit) = timeout(DISPLACE_INTERVAL, permit).await {
            listener.clear_waiting();
            return permit.ok();
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: Counted<TcpStream>,
    connection: &Arc<Connection>,
    handler: Arc<H>,
    mut drain: watch::Receiver<bool>,
) {
    let service = service_fn(|mut request: Request<Incoming>| {
        let (handler, connection) = (Arc::clone(&handler), Arc::clone(connection));
        async move {
            poll_fn(|cx| connection.poll_writable(cx)).await;
            if connection.begin_request() == Phase::Idle {
                // It arrived together with the one before: others have their turn first.
                yield_now().await;
            }
            request.extensions_mut().insert(Arc::clone(&connection));
            let mut response = handler.handle(request).await;
            if connection.is_exhausted() {
                connection.listener.count(Reason::Pipelined);
                close_after(&mut response);
            } else if connection.listener.take_waiting() {
                close_after(&mut response);
            }
            let timeouts = connection.listener.timeouts();
            connection.advance(|progress, now| progress.on_response(now, &timeouts));
            Ok::<_, Infallible>(response)
        }
    });
    let header_bytes = connection.listener.max_header_bytes();
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes(header_bytes))
        .max_header_size(header_bytes);
    let io = TokioIo::new(TrackedStream::new(stream, Arc::clone(connection)));
    let mut served = pin!(builder.serve_connection(io, service));
    // Errors of a peer end only its own connection.
    let ended = tokio::select! {
        biased;
        _ = served.as_mut() => return,
        reason = end(connection) => Some(reason),
        _ = drain.wait_for(|drain| *drain) => None,
    };
    let Some(reason) = ended else {
        served.as_mut().graceful_shutdown();
        tokio::select! {
            biased;
            _ = served => {}
            reason = end(connection) => connection.listener.note_end(reason),
        }
        return;
    };
    connection.listener.note_end(reason);
}

/// Waits until a connection has to be closed, and returns why.
async fn end(connection: &Connection) -> Reason {
    let mut sleep = pin!(sleep_until(Instant::now()));
    poll_fn(|cx| {
        loop {
            // A body has its own deadline, and a request whose body is refused still gets a response.
            if connection.phase() == Phase::Body {
                return Poll::Pending;
            }
            if let Poll::Ready(reason) = connection.poll_end(cx) {
                return Poll::Ready(reason);
            }
            let Some(deadline) = connection.deadline() else {
                return Poll::Pending;
            };
            if sleep.deadline() != deadline {
                sleep.as_mut().reset(deadline);
            }
            ready!(sleep.as_mut().poll(cx));
        }
    })
    .await
}

/// Has the connection closed once a response is written, and announces that.
fn close_after(response: &mut HttpResponse) {
    let value = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, value);
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
