//! Follows the configuration that operators publish to the log.

use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_adapter::{CONFIGURATION, StoreError, decode_queues};
use slog::o;
use tokio::time::Instant;

use crate::events::Event;
use crate::shared::Shared;

/// Long-poll wait of a read, in milliseconds.
const READ_WAIT_MS: u64 = 1_000;
/// Time that a read may take beyond its long-poll wait.
const READ_MARGIN: Duration = Duration::from_millis(900);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Follows the configuration for the life of the process.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut from = None;
    loop {
        let result = match from {
            None => read_latest(&shared).await,
            Some(offset) => read_from(&shared, offset).await,
        };
        match result {
            Ok(next) => {
                shared.record_store_result(None);
                from = Some(next);
            }
            Err(StoreError::Expired(_)) => from = None,
            Err(error) => {
                shared.record_store_result(Some(&error.to_string()));
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn read_latest(shared: &Shared) -> Result<u64, StoreError> {
    let deadline = Instant::now() + READ_MARGIN;
    let page = shared.store.read_latest(CONFIGURATION, deadline).await?;
    for item in &page.items {
        apply(shared, &item.key, &item.value);
    }
    Ok(page.end)
}

async fn read_from(shared: &Shared, from: u64) -> Result<u64, StoreError> {
    let deadline = Instant::now() + Duration::from_millis(READ_WAIT_MS) + READ_MARGIN;
    let batch = shared
        .store
        .read(CONFIGURATION, from, READ_WAIT_MS, deadline)
        .await?;
    for (_, record) in shared.decode_records("configuration", batch.records) {
        if let Some(value) = &record.value {
            apply(shared, &record.key, value);
        }
    }
    Ok(batch.next)
}

/// Applies a configuration unless one of the same or a later version is in force.
fn apply(shared: &Shared, key: &str, value: &[u8]) {
    let table = match decode_queues(key, value) {
        Ok(Some(table)) => table,
        Ok(None) => return,
        Err(error) => {
            shared.log.write(
                Event::RecordSkipped,
                o!("partition" => "configuration", "key" => key.to_owned(),
                    "error" => error.to_string()),
            );
            return;
        }
    };
    let (version, routes) = (table.version, table.routes.len());
    let is_newer = shared.queues.send_if_modified(|current| {
        let newer = current
            .as_ref()
            .is_none_or(|current| current.version < version);
        if newer {
            *current = Some(Arc::new(table));
        }
        newer
    });
    if is_newer {
        shared.metrics.config_version.set(version as i64);
        shared.log.write(
            Event::ConfigInForce,
            o!("version" => version, "routes" => routes),
        );
    }
}
