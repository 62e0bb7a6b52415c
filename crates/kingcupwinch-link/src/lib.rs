//! Message links between the instances of one failure domain.
//!
//! Each instance receives messages on one address and keeps one HTTP/2 connection to each sibling.
//! A message is an [`Envelope`](kingcupwinch_wire::sibling::Envelope) of bounded size. Outstanding
//! messages to a sibling are limited in number and bytes, the connection to an unresponsive sibling
//! is replaced, and messages from an incarnation outside the group or for another incarnation are
//! rejected and reported as a [`LinkEvent`]. Delivery is unordered, and one-way messages may be
//! lost.
//!
//! ```
//! use std::time::Duration;
//!
//! use kingcupwinch_coord::id::Incarnation;
//! use kingcupwinch_link::{Links, Peer};
//! use kingcupwinch_wire::sibling::Body;
//! use tokio::time::Instant;
//! use uuid::Uuid;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
//! let (a, b) = (Incarnation(Uuid::now_v7()), Incarnation(Uuid::now_v7()));
//! let any_port = "127.0.0.1:0".parse()?;
//! let (links_a, _inbox_a) = Links::start(any_port, a).await?;
//! let (links_b, mut inbox_b) = Links::start(any_port, b).await?;
//! links_b.set_peers([Peer::new(a, links_a.address())]);
//! links_a.set_peers([Peer::new(b, links_b.address())]);
//!
//! let deadline = Instant::now() + Duration::from_secs(5);
//! links_a.wait_connected(b, deadline).await?;
//! tokio::spawn(async move {
//!     while let Some(message) = inbox_b.messages.recv().await {
//!         message.reply(Body::Done);
//!     }
//! });
//! let response = links_a.request(b, Body::StatsRequest, deadline).await?;
//! assert_eq!(response, Body::Done);
//! # Ok(())
//! # })
//! # }
//! ```

mod backoff;
mod error;
mod event;
mod inbox;
mod links;
mod peer;
mod server;
mod settings;

pub use error::LinkError;
pub use event::{LinkCounts, LinkEvent};
pub use inbox::{Inbox, Incoming};
pub use links::{Links, Peer};
pub use settings::LinkSettings;
