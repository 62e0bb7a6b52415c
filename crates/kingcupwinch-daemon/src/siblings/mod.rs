//! The other instances of this failure domain: messages and forwarded requests.

mod domains;
mod forward;
mod inbox;
mod relay;

use std::sync::{Arc, Mutex, PoisonError};

use kingcupwinch_coord::id::Incarnation;
use kingcupwinch_coord::ownership::message::Message;
use kingcupwinch_coord::record::Member;
use kingcupwinch_link::{LinkError, Links, Peer};
use kingcupwinch_platform::HttpClient;
use kingcupwinch_wire::sibling::Body;
use rustc_hash::FxHashMap;
use tokio::time::Instant;

pub(crate) use domains::{DomainReply, RemoteDomains, was_domain_forwarded};
pub(crate) use forward::{ForwardReply, forward};
pub(crate) use inbox::Router;
pub(crate) use relay::poll_siblings;

use crate::actors::ownership::SendToSibling;

/// Maximum number of connections to one sibling for forwarded requests.
const MAX_FORWARD_CONNECTIONS: usize = 256;

/// The links to the other instances of this failure domain.
#[derive(Debug)]
pub(crate) struct Siblings {
    links: Links,
    clients: Mutex<FxHashMap<Incarnation, HttpClient>>,
}

impl Siblings {
    /// Creates the connection to siblings from links.
    pub(crate) fn new(links: Links) -> Self {
        Siblings {
            links,
            clients: Mutex::default(),
        }
    }

    /// Sends a one-way message, which may be lost.
    pub(crate) fn send_one_way(&self, to: Incarnation, body: Body) {
        // A message to a sibling that is down or overloaded counts as lost.
        let _ = self.links.send(to, body);
    }

    /// Sends a request to a sibling and waits for its reply until the deadline.
    pub(crate) async fn request(
        &self,
        to: Incarnation,
        body: Body,
        deadline: Instant,
    ) -> Result<Body, LinkError> {
        self.links.request(to, body, deadline).await
    }

    /// Returns the client for requests forwarded to a member, or `None` if its address is
    /// malformed.
    fn client(&self, member: &Member) -> Option<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&member.incarnation) {
            return Some(client.clone());
        }
        let address = member.forward.parse().ok()?;
        let client = HttpClient::new(address, MAX_FORWARD_CONNECTIONS);
        clients.insert(member.incarnation, client.clone());
        Some(client)
    }
}

impl SendToSibling for Siblings {
    fn send(&self, to: Incarnation, body: Message) {
        self.send_one_way(to, Body::Ownership(body));
    }

    fn set_members(&self, members: &[Arc<Member>]) {
        let peers = members.iter().filter_map(|member| {
            let address = member.link.parse().ok()?;
            Some(Peer::new(member.incarnation, address))
        });
        self.links.set_peers(peers);
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.retain(|known, _| members.iter().any(|member| member.incarnation == *known));
    }
}
