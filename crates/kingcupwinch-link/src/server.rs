//! HTTP/2 server that receives messages from siblings.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming as HttpBody;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use kingcupwinch_wire::sibling::{Body, Envelope, EnvelopeKind, MAX_ENVELOPE_BYTES};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, timeout_at};

use crate::LinkEvent;
use crate::inbox::Incoming;
use crate::links::Shared;

/// The maximum size of a request's header list, in bytes.
const MAX_HEADER_BYTES: u32 = 1_024;

type HttpResponse = Response<Full<Bytes>>;

pub(crate) async fn start(
    address: SocketAddr,
    shared: Arc<Shared>,
) -> io::Result<(SocketAddr, JoinHandle<()>)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, shared));
    Ok((address, task))
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    // Aborting this task drops the set, which closes all connections.
    let mut connections = JoinSet::new();
    loop {
        let has_capacity = connections.len() < shared.settings.connection_limit;
        tokio::select! {
            accepted = listener.accept(), if has_capacity => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, Arc::clone(&shared)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves a connection and closes it unless a member of the group sends a message on it within the
/// connect timeout.
async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let settings = shared.settings;
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let verified = Arc::new(AtomicBool::new(false));
    let is_verified = Arc::clone(&verified);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        let verified = Arc::clone(&verified);
        async move { Ok::<_, Infallible>(handle(&shared, &verified, request).await) }
    });
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .max_concurrent_streams(settings.message_credit)
        .max_header_list_size(MAX_HEADER_BYTES)
        .keep_alive_interval(settings.probe_interval)
        .keep_alive_timeout(settings.probe_timeout);
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    let deadline = Instant::now() + settings.connect_timeout;
    let ended = timeout_at(deadline, &mut connection).await;
    if ended.is_err() && is_verified.load(Ordering::Relaxed) {
        // A connection ends with an error when the peer goes away.
        let _ended = connection.await;
    }
}

async fn handle(
    shared: &Arc<Shared>,
    verified: &AtomicBool,
    request: Request<HttpBody>,
) -> HttpResponse {
    let envelope = match receive(shared, request).await {
        Ok(envelope) => envelope,
        Err(rejection) => {
            shared.counters.dropped.add(1);
            return rejection;
        }
    };
    verified.store(true, Ordering::Relaxed);
    match (envelope.kind, &envelope.body) {
        (EnvelopeKind::OneWay, Body::Hello) => empty(StatusCode::ACCEPTED),
        (EnvelopeKind::OneWay, _) => enqueue(
            shared,
            Incoming::new(envelope, Arc::clone(&shared.counters)),
        ),
        (EnvelopeKind::Request, _) => deliver_request(shared, envelope).await,
        (EnvelopeKind::Response, _) => empty(StatusCode::BAD_REQUEST),
    }
}

/// Reads a message and checks that it is from a peer and for this instance.
async fn receive(shared: &Shared, request: Request<HttpBody>) -> Result<Envelope, HttpResponse> {
    let deadline = Instant::now() + shared.settings.message_timeout;
    let body = Limited::new(request.into_body(), MAX_ENVELOPE_BYTES);
    let Ok(Ok(read)) = timeout_at(deadline, body.collect()).await else {
        shared.report(LinkEvent::Unread);
        return Err(empty(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let envelope = Envelope::decode(read.to_bytes()).map_err(|error| {
        shared.report(LinkEvent::Malformed(error));
        empty(StatusCode::BAD_REQUEST)
    })?;
    if envelope.to != shared.me || !shared.is_peer(envelope.from) {
        let (from, to) = (envelope.from, envelope.to);
        shared.report(LinkEvent::Foreign { from, to });
        return Err(empty(StatusCode::FORBIDDEN));
    }
    Ok(envelope)
}

/// Puts a message into the inbox.
fn enqueue(shared: &Shared, message: Incoming) -> HttpResponse {
    let from = message.from();
    match shared.messages.try_send(message) {
        Ok(()) => {
            shared.counters.received.add(1);
            empty(StatusCode::ACCEPTED)
        }
        Err(error) => {
            shared.counters.dropped.add(1);
            if matches!(error, TrySendError::Full(_)) {
                shared.report(LinkEvent::InboxFull(from));
            }
            empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

async fn deliver_request(shared: &Shared, request: Envelope) -> HttpResponse {
    let (sender, receiver) = oneshot::channel();
    let mut response = Envelope {
        from: request.to,
        to: request.from,
        request: request.request,
        attempt: request.attempt,
        kind: EnvelopeKind::Response,
        body: Body::Done,
    };
    let deadline = Instant::now() + shared.settings.message_timeout;
    let message = Incoming::new(request, Arc::clone(&shared.counters)).with_reply(sender);
    let accepted = enqueue(shared, message);
    if accepted.status() != StatusCode::ACCEPTED {
        return accepted;
    }
    let Ok(Ok(body)) = timeout_at(deadline, receiver).await else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    response.body = body;
    Response::new(Full::new(Bytes::from(response.encode())))
}

fn empty(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
