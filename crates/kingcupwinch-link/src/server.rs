//! Takes messages from siblings.

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

/// The largest header list of a request, in bytes.
const MAX_HEADER_BYTES: u32 = 1_024;

type Answer = Response<Full<Bytes>>;

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
    // Dropped with this task, which ends every connection.
    let mut connections = JoinSet::new();
    loop {
        let has_room = connections.len() < shared.settings.connection_limit;
        tokio::select! {
            accepted = listener.accept(), if has_room => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, Arc::clone(&shared)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves a connection; it is closed unless a member of the group speaks on it in time.
async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let settings = shared.settings;
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let proved = Arc::new(AtomicBool::new(false));
    let is_proved = Arc::clone(&proved);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        let proved = Arc::clone(&proved);
        async move { Ok::<_, Infallible>(answer(&shared, &proved, request).await) }
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
    if ended.is_err() && is_proved.load(Ordering::Relaxed) {
        // A connection ends in an error when the peer goes away.
        let _ended = connection.await;
    }
}

async fn answer(shared: &Arc<Shared>, proved: &AtomicBool, request: Request<HttpBody>) -> Answer {
    let envelope = match receive(shared, request).await {
        Ok(envelope) => envelope,
        Err(dropped) => {
            shared.counters.dropped.add(1);
            return dropped;
        }
    };
    proved.store(true, Ordering::Relaxed);
    match (envelope.kind, &envelope.body) {
        (EnvelopeKind::OneWay, Body::Hello) => empty(StatusCode::ACCEPTED),
        (EnvelopeKind::OneWay, _) => take(
            shared,
            Incoming::new(envelope, Arc::clone(&shared.counters)),
        ),
        (EnvelopeKind::Request, _) => ask(shared, envelope).await,
        (EnvelopeKind::Response, _) => empty(StatusCode::BAD_REQUEST),
    }
}

/// Reads a message and checks that it is from the group and for this instance.
async fn receive(shared: &Shared, request: Request<HttpBody>) -> Result<Envelope, Answer> {
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
fn take(shared: &Shared, message: Incoming) -> Answer {
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

async fn ask(shared: &Shared, asked: Envelope) -> Answer {
    let (sender, receiver) = oneshot::channel();
    let mut answer = Envelope {
        from: asked.to,
        to: asked.from,
        request: asked.request,
        attempt: asked.attempt,
        kind: EnvelopeKind::Response,
        body: Body::Done,
    };
    let deadline = Instant::now() + shared.settings.message_timeout;
    let message = Incoming::new(asked, Arc::clone(&shared.counters)).with_answer(sender);
    let taken = take(shared, message);
    if taken.status() != StatusCode::ACCEPTED {
        return taken;
    }
    let Ok(Ok(body)) = timeout_at(deadline, receiver).await else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    answer.body = body;
    Response::new(Full::new(Bytes::from(answer.encode())))
}

fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}
