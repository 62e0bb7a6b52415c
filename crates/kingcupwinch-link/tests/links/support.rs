//! Connected pairs of links and misbehaving peers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use kingcupwinch_coord::id::{Attempt, Incarnation};
use kingcupwinch_link::{Inbox, LinkEvent, LinkSettings, Links, Peer};
use kingcupwinch_wire::sibling::{Body, Envelope, EnvelopeKind, RequestId};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use uuid::Uuid;

pub(crate) const ME: Incarnation = Incarnation(Uuid::from_u128(1));
pub(crate) const OTHER: Incarnation = Incarnation(Uuid::from_u128(2));
pub(crate) const STRANGER: Incarnation = Incarnation(Uuid::from_u128(3));

/// Timeout of a test that waits for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) fn deadline() -> Instant {
    Instant::now() + TIMEOUT
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Settings under which a busy machine breaks no link and a lost link is retried at once.
pub(crate) fn tolerant() -> LinkSettings {
    LinkSettings {
        connect_timeout: Duration::from_millis(200),
        message_timeout: TIMEOUT,
        probe_interval: TIMEOUT,
        probe_timeout: TIMEOUT,
        min_backoff: Duration::from_millis(1),
        max_backoff: Duration::from_millis(20),
        ..LinkSettings::default()
    }
}

pub(crate) struct Side {
    pub(crate) links: Links,
    pub(crate) inbox: Inbox,
}

pub(crate) async fn side(me: Incarnation, settings: LinkSettings) -> Side {
    side_at(any_port(), me, settings).await
}

pub(crate) async fn side_at(address: SocketAddr, me: Incarnation, settings: LinkSettings) -> Side {
    let started = Links::start_with(address, me, settings).await;
    let (links, inbox) = started.expect("the address is free");
    Side { links, inbox }
}

/// Returns two sides that are connected.
pub(crate) async fn pair(settings: LinkSettings) -> (Side, Side) {
    let (a, b) = (side(ME, settings).await, side(OTHER, settings).await);
    a.links.set_peers([Peer::new(OTHER, b.links.address())]);
    b.links.set_peers([Peer::new(ME, a.links.address())]);
    connected(&a.links, OTHER).await;
    connected(&b.links, ME).await;
    (a, b)
}

pub(crate) async fn connected(links: &Links, to: Incarnation) {
    let waited = links.wait_connected(to, deadline()).await;
    waited.expect("the peer connects before the timeout");
}

/// Receives events until one matches.
pub(crate) async fn wait_for_event(inbox: &mut Inbox, matches: impl Fn(&LinkEvent) -> bool) {
    loop {
        let event = tokio::time::timeout_at(deadline(), inbox.events.recv()).await;
        let event = event.expect("a matching event arrives before the timeout");
        if matches(&event.expect("the links are open")) {
            return;
        }
    }
}

/// Waits until a condition holds.
pub(crate) async fn until(holds: impl Fn() -> bool) {
    let deadline = deadline();
    while !holds() {
        assert!(
            Instant::now() < deadline,
            "the condition holds before the timeout"
        );
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

pub(crate) fn envelope(from: Incarnation, to: Incarnation, body: Body) -> Envelope {
    Envelope {
        from,
        to,
        request: RequestId(Uuid::from_u128(9)),
        attempt: Attempt(1),
        kind: EnvelopeKind::OneWay,
        body,
    }
}

/// Posts raw bytes to a link's address, as a program outside the group might.
pub(crate) async fn post_raw(address: SocketAddr, bytes: Vec<u8>) -> StatusCode {
    let stream = TcpStream::connect(address).await.expect("the links listen");
    let handshake =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.expect("the links speak HTTP/2");
    tokio::spawn(connection);
    let request = Request::post("http://sibling/").body(Full::new(Bytes::from(bytes)));
    let answer = sender.send_request(request.expect("a valid request")).await;
    answer.expect("the links respond").status()
}

/// Starts a peer that answers each message with the result of a function.
pub(crate) async fn scripted_peer(answer: fn(Envelope) -> Option<Envelope>) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_scripted(stream, answer));
        }
    });
    address
}

async fn serve_scripted(stream: TcpStream, answer: fn(Envelope) -> Option<Envelope>) {
    let service = service_fn(move |request: Request<hyper::body::Incoming>| async move {
        let read = request.into_body().collect().await?;
        let envelope = Envelope::decode(read.to_bytes()).expect("a valid envelope");
        let bytes = answer(envelope).map(|e| e.encode()).unwrap_or_default();
        Ok::<_, hyper::Error>(Response::new(Full::new(Bytes::from(bytes))))
    });
    let builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
    // Serving ends when the link closes the connection.
    let _ended = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
