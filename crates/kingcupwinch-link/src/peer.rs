//! The connection to one peer.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming as HttpBody;
use hyper::client::conn::http2::{self, Connection, SendRequest};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use kingcupwinch_coord::id::Attempt;
use kingcupwinch_wire::sibling::{Body, Envelope, EnvelopeKind, MAX_ENVELOPE_BYTES, RequestId};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};
use uuid::Uuid;

use crate::backoff::Backoff;
use crate::links::{Peer, Shared};
use crate::{LinkError, LinkEvent};

type Sender = SendRequest<Full<Bytes>>;
type Driver = Connection<TokioIo<TcpStream>, Full<Bytes>, TokioExecutor>;

/// The link to a peer; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct PeerLink {
    core: Arc<Core>,
    task: JoinHandle<()>,
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The state shared by the connection task and the senders of messages.
#[derive(Debug)]
struct Core {
    peer: Peer,
    shared: Arc<Shared>,
    /// The request sender of the connection, or none while the peer is not connected.
    sender: watch::Sender<Option<Sender>>,
    message_credit: Arc<Semaphore>,
    byte_credit: Arc<Semaphore>,
}

/// The credit held by an outstanding message until it is dropped.
#[derive(Debug)]
struct Credit {
    _message: OwnedSemaphorePermit,
    _bytes: OwnedSemaphorePermit,
}

impl PeerLink {
    pub(crate) fn start(peer: Peer, shared: &Arc<Shared>) -> Arc<Self> {
        let settings = shared.settings;
        let permits = |n: u32| Arc::new(Semaphore::new(usize::try_from(n).unwrap_or(usize::MAX)));
        let core = Arc::new(Core {
            peer,
            shared: Arc::clone(shared),
            sender: watch::Sender::new(None),
            message_credit: permits(settings.message_credit),
            byte_credit: permits(settings.byte_credit),
        });
        let task = tokio::spawn(keep_connected(Arc::clone(&core)));
        Arc::new(PeerLink { core, task })
    }

    pub(crate) fn peer(&self) -> Peer {
        self.core.peer
    }

    pub(crate) fn is_connected(&self) -> bool {
        self.core.sender.borrow().is_some()
    }

    pub(crate) async fn wait_connected(&self, deadline: Instant) -> Result<(), LinkError> {
        let mut sender = self.core.sender.subscribe();
        let up = timeout_at(deadline, sender.wait_for(Option::is_some)).await;
        match up {
            Ok(Ok(_)) => Ok(()),
            _ => Err(LinkError::Timeout),
        }
    }

    pub(crate) fn send(&self, envelope: &Envelope) -> Result<(), LinkError> {
        let (bytes, credit, sender) = self.core.admit(envelope)?;
        let core = Arc::clone(&self.core);
        tokio::spawn(async move {
            let _credit = credit;
            let deadline = Instant::now() + core.shared.settings.message_timeout;
            let posted = post(sender, bytes, deadline).await;
            if !posted.is_ok_and(|response| response.status().is_success()) {
                core.shared.counters.lost.add(1);
            }
        });
        Ok(())
    }

    pub(crate) async fn request(
        &self,
        envelope: &Envelope,
        deadline: Instant,
    ) -> Result<Body, LinkError> {
        let (bytes, _credit, sender) = self.core.admit(envelope)?;
        let response = post(sender, bytes, deadline).await;
        let response = response.map_err(|error| error.into_link_error(self.core.peer))?;
        check_status(response.status())?;
        let bytes = read(response, deadline).await?;
        let response = Envelope::decode(bytes)?;
        if !is_response(&response, envelope) {
            self.core.shared.counters.mismatched.add(1);
            let peer = self.core.peer.incarnation;
            self.core.shared.report(LinkEvent::Mismatched(peer));
            return Err(LinkError::Mismatched);
        }
        Ok(response.body)
    }
}

impl Core {
    /// Encodes a message and acquires credit for it.
    fn admit(&self, envelope: &Envelope) -> Result<(Bytes, Credit, Sender), LinkError> {
        let to = self.peer.incarnation;
        let bytes = Bytes::from(envelope.encode());
        if bytes.len() > MAX_ENVELOPE_BYTES {
            return Err(LinkError::TooLarge(bytes.len()));
        }
        let sender = self.sender.borrow().clone();
        let sender = sender.ok_or(LinkError::Down(to))?;
        let message = Arc::clone(&self.message_credit).try_acquire_owned();
        let size = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let sized = Arc::clone(&self.byte_credit).try_acquire_many_owned(size);
        let credit = Credit {
            _message: message.map_err(|_| LinkError::Full(to))?,
            _bytes: sized.map_err(|_| LinkError::Full(to))?,
        };
        self.shared.counters.sent.add(1);
        self.shared.counters.sent_bytes.add(size.into());
        Ok((bytes, credit, sender))
    }

    /// Connects and verifies with a hello that the peer is the intended one and has this instance
    /// as a peer.
    async fn connect(&self) -> Option<(Sender, Driver)> {
        let deadline = Instant::now() + self.shared.settings.connect_timeout;
        let connecting = TcpStream::connect(self.peer.address);
        let stream = timeout_at(deadline, connecting).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .keep_alive_interval(self.shared.settings.probe_interval)
            .keep_alive_timeout(self.shared.settings.probe_timeout)
            .keep_alive_while_idle(true);
        let handshake = builder.handshake(TokioIo::new(stream));
        let (sender, mut driver) = timeout_at(deadline, handshake).await.ok()?.ok()?;
        let hello = post(sender.clone(), self.hello(), deadline);
        let reply = tokio::select! {
            reply = hello => reply,
            _ = &mut driver => return None,
        };
        let is_accepted = reply.is_ok_and(|response| response.status().is_success());
        is_accepted.then_some((sender, driver))
    }

    fn hello(&self) -> Bytes {
        let envelope = Envelope {
            from: self.shared.me,
            to: self.peer.incarnation,
            request: RequestId(Uuid::now_v7()),
            attempt: Attempt(1),
            kind: EnvelopeKind::OneWay,
            body: Body::Hello,
        };
        envelope.encode().into()
    }
}

async fn keep_connected(core: Arc<Core>) {
    let settings = core.shared.settings;
    let mut backoff = Backoff::new(settings.min_backoff, settings.max_backoff);
    loop {
        if let Some((sender, driver)) = core.connect().await {
            backoff.reset();
            core.sender.send_replace(Some(sender));
            core.shared.report(LinkEvent::Up(core.peer.incarnation));
            // The driver ends when the peer closes the connection or misses a probe.
            let _ended = driver.await;
            core.sender.send_replace(None);
            core.shared.report(LinkEvent::Down(core.peer.incarnation));
        }
        tokio::time::sleep(backoff.next()).await;
    }
}

/// Errors of posting a message.
enum PostError {
    NotSent,
    Timeout,
    Broken(hyper::Error),
}

impl PostError {
    fn into_link_error(self, peer: Peer) -> LinkError {
        match self {
            PostError::NotSent => LinkError::Down(peer.incarnation),
            PostError::Timeout => LinkError::Timeout,
            PostError::Broken(error) => LinkError::Broken(error),
        }
    }
}

async fn post(
    mut sender: Sender,
    bytes: Bytes,
    deadline: Instant,
) -> Result<Response<HttpBody>, PostError> {
    let mut request = Request::new(Full::new(bytes));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("http://sibling/");
    let posting = sender.try_send_request(request);
    let response = timeout_at(deadline, posting).await;
    let response = response.map_err(|_| PostError::Timeout)?;
    response.map_err(|mut error| match error.take_message() {
        // hyper returns the request only if it has not started to write it.
        Some(_) => PostError::NotSent,
        None => PostError::Broken(error.into_error()),
    })
}

fn check_status(status: StatusCode) -> Result<(), LinkError> {
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::INTERNAL_SERVER_ERROR => Err(LinkError::NoResponse),
        status => Err(LinkError::Dropped(status.as_u16())),
    }
}

async fn read(response: Response<HttpBody>, deadline: Instant) -> Result<Bytes, LinkError> {
    let body = Limited::new(response.into_body(), MAX_ENVELOPE_BYTES);
    let read = timeout_at(deadline, body.collect()).await;
    let read = read.map_err(|_| LinkError::Timeout)?;
    let read = read.map_err(|_| LinkError::UnreadableBody)?;
    Ok(read.to_bytes())
}

fn is_response(response: &Envelope, request: &Envelope) -> bool {
    response.kind == EnvelopeKind::Response
        && response.request == request.request
        && response.attempt == request.attempt
        && response.from == request.to
        && response.to == request.from
}
