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

/// A sibling and where its links listen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// The sibling.
    pub incarnation: Incarnation,
    /// Its address.
    pub address: SocketAddr,
}

impl Peer {
    /// Makes a peer.
    pub fn new(incarnation: Incarnation, address: SocketAddr) -> Self {
        Peer {
            incarnation,
            address,
        }
    }
}

/// The links of one instance; dropping them closes every connection.
#[derive(Debug)]
pub struct Links {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

/// What the server and the connections to peers share.
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
        // Notes are for people; a full queue loses them.
        let _full = self.events.try_send(event);
    }

    pub(crate) fn is_peer(&self, who: Incarnation) -> bool {
        self.peers().contains_key(&who)
    }

    fn peer(&self, who: Incarnation) -> Result<Arc<PeerLink>, LinkError> {
        let peers = self.peers();
        peers.get(&who).cloned().ok_or(LinkError::NotPeer(who))
    }

    fn peers(&self) -> RwLockReadGuard<'_, HashMap<Incarnation, Arc<PeerLink>>> {
        self.peers.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn peers_mut(&self) -> RwLockWriteGuard<'_, HashMap<Incarnation, Arc<PeerLink>>> {
        self.peers.write().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Links {
    /// Starts to take messages for `me` on an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(address: SocketAddr, me: Incarnation) -> Result<(Self, Inbox), LinkError> {
        Links::start_with(address, me, LinkSettings::default()).await
    }

    /// Starts as [`Links::start`] does, with settings.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
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

    /// Returns where it takes messages.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the group's other members: connects to new ones and closes the links to former ones.
    pub fn set_peers(&self, peers: impl IntoIterator<Item = Peer>) {
        let mut known = self.shared.peers_mut();
        let mut former = std::mem::take(&mut *known);
        for peer in peers {
            if peer.incarnation == self.shared.me {
                continue;
            }
            let kept = former.remove(&peer.incarnation);
            let kept = kept.filter(|link| link.peer() == peer);
            let link = kept.unwrap_or_else(|| PeerLink::start(peer, &self.shared));
            known.insert(peer.incarnation, link);
        }
    }

    /// Sends a message that is not answered. Never blocks; the message may be lost.
    ///
    /// # Errors
    ///
    /// Fails if the message certainly was not sent.
    pub fn send(&self, to: Incarnation, body: Body) -> Result<(), LinkError> {
        let link = self.shared.peer(to)?;
        link.tell(&self.envelope(to, EnvelopeKind::OneWay, body))
    }

    /// Sends a message and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer; [`LinkError::is_not_delivered`] says whether the peer certainly did
    /// not take the message.
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

    /// Sends a later attempt of a request, as [`Links::request`] does with a first one.
    ///
    /// # Errors
    ///
    /// As [`Links::request`].
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
    /// Fails if it is not a peer or the deadline passes.
    pub async fn wait_connected(
        &self,
        to: Incarnation,
        deadline: Instant,
    ) -> Result<(), LinkError> {
        let link = self.shared.peer(to)?;
        link.wait_connected(deadline).await
    }

    /// Returns counts since the start.
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
