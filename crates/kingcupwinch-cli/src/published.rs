//! The published configuration, read from the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_config::Tree;
use kingcupwinch_coord::history::{Entry, History, Limits, PublishOutcome};
use kingcupwinch_coord::id::{Offset, RecordId};
use kingcupwinch_time::{BoottimeClock, Clock};
use kingcupwinch_wire::{LogPage, decode_config};

use crate::error::Error;
use crate::log::{ConfigLog, LogError};

/// History of the configuration stream, up to the last record that was read.
#[derive(Debug)]
pub(crate) struct PublishedConfig {
    log: ConfigLog,
    history: History,
}

impl PublishedConfig {
    /// Reads the stream from the oldest retained record to the newest.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be read, or if records have expired that no snapshot covers.
    pub(crate) async fn read(address: SocketAddr, timeout: Duration) -> Result<Self, Error> {
        let mut published = PublishedConfig {
            log: ConfigLog::new(address, timeout),
            history: History::new(Offset(0), Limits::new()),
        };
        published.read_tail().await?;
        if !published.history.is_complete() {
            return Err(Error::Truncated);
        }
        Ok(published)
    }

    /// Returns the client of the log.
    pub(crate) fn log(&self) -> &ConfigLog {
        &self.log
    }

    /// Reads up to the newest record.
    pub(crate) async fn read_tail(&mut self) -> Result<(), LogError> {
        while !self.read_page(Duration::ZERO).await? {}
        Ok(())
    }

    /// Reads a page, waiting up to `wait` for a record, and returns whether it reached the tail.
    pub(crate) async fn read_page(&mut self, wait: Duration) -> Result<bool, LogError> {
        let page = self.log.read(self.history.next(), wait).await?;
        self.apply_page(&page);
        Ok(page.next >= page.tail)
    }

    fn apply_page(&mut self, page: &LogPage) {
        let now = BoottimeClock.now();
        self.history.skip_to(page.first);
        for record in &page.records {
            let decoded = decode_config(&record.bytes).ok();
            self.history.apply(record.offset, decoded, now, &check_tree);
        }
    }

    /// Returns the version in force, 0 before the first publication.
    pub(crate) fn version(&self) -> u64 {
        self.history.version().0
    }

    /// Returns the tree in force, `None` before the first publication.
    pub(crate) fn tree(&self) -> Result<Option<Tree>, Error> {
        let entry = self.history.current();
        entry.map(|entry| parse_tree(entry)).transpose()
    }

    /// Returns the tree of a version that the log still retains.
    pub(crate) fn tree_at(&self, version: u64) -> Result<Tree, Error> {
        let entry = self.entries().find(|entry| entry.version.0 == version);
        let entry = entry.ok_or(Error::UnknownVersion(version, self.version()))?;
        parse_tree(entry)
    }

    /// Returns the versions that the log still retains, oldest first.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.history.past().chain(self.history.current())
    }

    /// Returns the outcome of a publication, `None` while it is unknown.
    pub(crate) fn outcome(&self, id: RecordId) -> Option<&PublishOutcome> {
        self.history.outcome(id)
    }
}

/// Validates a published tree in the same way as the other readers of the stream.
fn check_tree(tree: &str) -> Result<(), Arc<str>> {
    match Tree::from_json(tree) {
        Ok(_) => Ok(()),
        Err(faults) => Err(Arc::from(faults.to_string())),
    }
}

fn parse_tree(entry: &Entry) -> Result<Tree, Error> {
    Ok(Tree::from_json(&entry.tree)?)
}

/// Describes the version that a publication lost to.
pub(crate) fn conflict_text(published: &PublishedConfig, winner: Option<RecordId>) -> String {
    let entry = winner.and_then(|id| published.entries().find(|entry| entry.id == id));
    let current = published.version();
    match entry {
        Some(entry) => format!(
            "it lost to version {}, published by {}; version {current} is in force, so look at it with `diff` and publish again with `--on {current}`",
            entry.version.0, entry.author
        ),
        None => format!(
            "it lost to a version that the log no longer holds; version {current} is in force"
        ),
    }
}
