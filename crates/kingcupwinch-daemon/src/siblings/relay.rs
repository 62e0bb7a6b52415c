//! Fetches newer configurations from siblings while the log can't be read.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use kingcupwinch_coord::history::Entry;
use kingcupwinch_coord::record::{ConfigRecord, Origin, Stamped};
use kingcupwinch_wire::sibling::Body;
use kingcupwinch_wire::{decode_config, encode_config};
use tokio::time::Instant;

use super::Siblings;
use crate::actors::config::{Config, RelayedEntries};
use crate::shared::Shared;

/// Interval between requests to siblings while the log can't be read.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a sibling has to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests newer configurations from siblings while the log can't be read.
pub(crate) async fn poll_siblings(
    shared: Arc<Shared>,
    siblings: Arc<Siblings>,
    config: ActorRef<Config>,
) {
    while config.is_alive() {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        if shared.is_log_unreadable() {
            request_from_all(&shared, &siblings, &config).await;
        }
    }
}

async fn request_from_all(shared: &Shared, siblings: &Siblings, config: &ActorRef<Config>) {
    for member in &shared.ownership.load_full().members {
        if member.incarnation == shared.incarnation {
            continue;
        }
        let version = shared.config.load().version;
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let request = Body::ConfigRequest(version);
        let answer = siblings
            .request(member.incarnation, request, deadline)
            .await;
        if let Ok(Body::ConfigRecords(records)) = answer {
            let entries: Vec<_> = records
                .iter()
                .filter_map(|bytes| decode_entry(bytes))
                .collect();
            // A stopped actor needs no configuration.
            let _ = config.tell(RelayedEntries(entries)).await;
        }
    }
}

fn decode_entry(bytes: &[u8]) -> Option<Arc<Entry>> {
    let record = decode_config(bytes).ok()?;
    let origin = record.body.origin?;
    Some(Arc::new(Entry {
        version: record.body.version,
        id: origin.id,
        covers: origin.covers,
        author: record.body.author,
        published: record.body.published,
        tree: record.body.tree,
    }))
}

/// Encodes a version for a sibling, in the format of the log's snapshots.
pub(super) fn encode_entry(entry: &Entry) -> Vec<u8> {
    let body = ConfigRecord {
        based: entry.version,
        version: entry.version,
        origin: Some(Origin {
            id: entry.id,
            covers: entry.covers,
        }),
        author: Arc::clone(&entry.author),
        published: entry.published,
        tree: Arc::clone(&entry.tree),
    };
    encode_config(&Stamped { id: entry.id, body })
}
