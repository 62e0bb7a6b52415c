use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use kingcupwinch_coord::id::{Attempt, Incarnation};
use kingcupwinch_wire::sibling::{Body, Envelope, EnvelopeKind, RequestId};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use uuid::Uuid;

use crate::event::Counters;
use crate::inbox::{Inbox, Incoming};
use crate::peer::PeerLink;
use crate::server;
use crate::{LinkCounts, LinkError, LinkEvent, LinkSettings};

const EVENT_QUEUE_LEN: usize = 256;
const FIRST_ATTEMPT: Attempt = Attempt(1);

/// A sibling and the address that its links listen on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// The sibling's incarnation.
    pub incarnation: Incarnation,
    /// The address of the sibling's links.
    pub address: SocketAddr,
}

impl Peer {
    /// Creates a peer.
    pub fn new(incarnation: Incarnation, address: SocketAddr) -> Self {
        Peer {
            incarnation,
            address,
        }
    }
}

/// The links of one instance; dropping them closes all connections.
#[derive(Debug)]
pub struct Links {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

/// The state shared by the server and the connections to peers.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) me: Incarnation,
    pub(crate) settings: LinkSettings,
    pub(crate) counters: Arc<Counters>,
    pub(crate) messages: mpsc::Sender<Incoming>,
    events: mpsc::Sender<LinkEvent>,
    peers: RwLock<HashMap<Incarnation, Arc<PeerLink>>>,
}

impl Shared {
    pub(crate) fn report(&self, event: LinkEvent) {
        // Events are informational, so they are dropped while the queue is full.
        let _full = self.events.try_send(event);
    }

    pub(crate) fn is_peer(&self, id: Incarnation) -> bool {
        self.peers().contains_key(&id)
    }

    fn peer(&self, id: Incarnation) -> Result<Arc<PeerLink>, LinkError> {
        let peers = self.peers();
        peers.get(&id).cloned().ok_or(LinkError::NotPeer(id))
    }

    fn peers(&self) -> RwLockReadGuard<'_, HashMap<Incarnation, Arc<PeerLink>>> {
        self.peers.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn peers_mut(&self) -> RwLockWriteGuard<'_, HashMap<Incarnation, Arc<PeerLink>>> {
        self.peers.write().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Links {
    /// Starts to receive messages for `me` on an address with the default settings; port 0 selects
    /// a free port.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Bind`] if the address can't be bound.
    pub async fn start(address: SocketAddr, me: Incarnation) -> Result<(Self, Inbox), LinkError> {
        Links::start_with(address, me, LinkSettings::default()).await
    }

    /// Starts to receive messages as [`Links::start`] does, with the given settings.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Bind`] if the address can't be bound.
    pub async fn start_with(
        address: SocketAddr,
        me: Incarnation,
        settings: LinkSettings,
    ) -> Result<(Self, Inbox), LinkError> {
        let (messages, inbox_messages) = mpsc::channel(settings.inbox_size);
        let (events, inbox_events) = mpsc::channel(EVENT_QUEUE_LEN);
        let shared = Arc::new(Shared {
            me,
            settings,
            counters: Arc::default(),
            messages,
            events,
            peers: RwLock::default(),
        });
        let started = server::start(address, Arc::clone(&shared)).await;
        let (address, server) = started.map_err(LinkError::Bind)?;
        let links = Links {
            address,
            shared,
            server,
        };
        let inbox = Inbox {
            messages: inbox_messages,
            events: inbox_events,
        };
        Ok((links, inbox))
    }

    /// Returns the address that the links listen on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the set of peers: connects to new peers and closes the links to removed ones.
    pub fn set_peers(&self, peers: impl IntoIterator<Item = Peer>) {
        let mut known = self.shared.peers_mut();
        let mut previous = std::mem::take(&mut *known);
        for peer in peers {
            if peer.incarnation == self.shared.me {
                continue;
            }
            let existing = previous.remove(&peer.incarnation);
            let existing = existing.filter(|link| link.peer() == peer);
            let link = existing.unwrap_or_else(|| PeerLink::start(peer, &self.shared));
            known.insert(peer.incarnation, link);
        }
    }

    /// Sends a one-way message without blocking; the message may be lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the message was not sent.
    pub fn send(&self, to: Incarnation, body: Body) -> Result<(), LinkError> {
        let link = self.shared.peer(to)?;
        link.send(&self.envelope(to, EnvelopeKind::OneWay, body))
    }

    /// Sends a request and waits for the response until the deadline.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response; [`LinkError::is_not_delivered`] tells whether the
    /// peer certainly did not accept the request.
    pub async fn request(
        &self,
        to: Incarnation,
        body: Body,
        deadline: Instant,
    ) -> Result<Body, LinkError> {
        let link = self.shared.peer(to)?;
        link.request(&self.envelope(to, EnvelopeKind::Request, body), deadline)
            .await
    }

    /// Sends a later attempt of a request and waits for the response until the deadline.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Links::request`].
    pub async fn retry(
        &self,
        to: Incarnation,
        request: RequestId,
        attempt: Attempt,
        body: Body,
        deadline: Instant,
    ) -> Result<Body, LinkError> {
        let link = self.shared.peer(to)?;
        let envelope = Envelope {
            request,
            attempt,
            ..self.envelope(to, EnvelopeKind::Request, body)
        };
        link.request(&envelope, deadline).await
    }

    /// Returns whether a peer is connected.
    pub fn is_connected(&self, to: Incarnation) -> bool {
        self.shared.peer(to).is_ok_and(|link| link.is_connected())
    }

    /// Waits until a peer is connected.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::NotPeer`] for an unknown peer and [`LinkError::Timeout`] if the
    /// deadline passes.
    pub async fn wait_connected(
        &self,
        to: Incarnation,
        deadline: Instant,
    ) -> Result<(), LinkError> {
        let link = self.shared.peer(to)?;
        link.wait_connected(deadline).await
    }

    /// Returns the message counts since the start.
    pub fn counts(&self) -> LinkCounts {
        self.shared.counters.counts()
    }

    fn envelope(&self, to: Incarnation, kind: EnvelopeKind, body: Body) -> Envelope {
        Envelope {
            from: self.shared.me,
            to,
            request: RequestId(Uuid::now_v7()),
            attempt: FIRST_ATTEMPT,
            kind,
            body,
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.server.abort();
        self.shared.peers_mut().clear();
    }
}
