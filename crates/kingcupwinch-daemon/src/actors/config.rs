//! Follows the configuration stream and activates each new version.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use kameo::{Actor, Reply};
use kingcupwinch_config::Tree;
use kingcupwinch_coord::history::{Applied, Entry, History, Limits};
use kingcupwinch_coord::id::{Offset, RecordId, Version};
use kingcupwinch_coord::record::Stamped;
use kingcupwinch_platform::LogClient;
use kingcupwinch_wire::{decode_config, encode_config};
use slog::o;
use tokio::sync::watch;
use tokio::time::Instant;
use uuid::Uuid;

use super::reader::{NextOffset, PageRead, ReadFailed};
use crate::logging::EventId;
use crate::shared::{ActiveConfig, Shared};

/// The name of the configuration stream.
pub(crate) const STREAM: &str = "config";

/// Arguments of the configuration actor.
pub(crate) struct ConfigArgs {
    /// State shared by every part of the daemon.
    pub(crate) shared: Arc<Shared>,
    /// Client of the platform's log service.
    pub(crate) log: LogClient,
    /// Receives each version that becomes active.
    pub(crate) versions: watch::Sender<Version>,
}

/// Asks for every version newer than this one, for a sibling that can't read the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VersionsAfter(pub(crate) Version);

/// Configuration versions in ascending order.
#[derive(Debug, Reply)]
pub(crate) struct VersionEntries(pub(crate) Vec<Arc<Entry>>);

/// Configuration versions relayed by a sibling, in ascending order.
#[derive(Debug)]
pub(crate) struct RelayedEntries(pub(crate) Vec<Arc<Entry>>);

/// The actor that drives a [`History`].
pub(crate) struct Config {
    args: ConfigArgs,
    history: History,
    snapshot_pending: bool,
}

impl Actor for Config {
    type Args = ConfigArgs;
    type Error = Infallible;

    async fn on_start(args: ConfigArgs, _me: ActorRef<Self>) -> Result<Self, Infallible> {
        let limits = Limits::new().with_spread(args.shared.seed());
        let history = History::new(Offset(0), limits);
        Ok(Config {
            args,
            history,
            snapshot_pending: false,
        })
    }
}

impl Config {
    fn apply_page(&mut self, read: &PageRead) {
        let now = self.args.shared.now();
        self.history.skip_to(read.page.first);
        for record in &read.page.records {
            let decoded = decode_config(&record.bytes).ok();
            let applied = self.history.apply(record.offset, decoded, now, &check);
            self.handle_applied(&applied, record.offset);
        }
    }

    fn handle_applied(&mut self, applied: &Applied, offset: Offset) {
        match applied {
            Applied::InForce { version } => self.activate(*version),
            Applied::CurrentSnapshot | Applied::AlreadyApplied | Applied::Buffered => {}
            other => {
                let fields = o!("offset" => offset.0, "why" => format!("{other:?}"));
                self.args.shared.log.write(EventId::ConfigRejected, fields);
            }
        }
    }

    fn activate(&mut self, version: Version) {
        let Some(entry) = self.history.current() else {
            return;
        };
        let Ok(tree) = Tree::from_json(&entry.tree) else {
            return;
        };
        let fields = o!("version" => version.0, "author" => entry.author.to_string());
        self.args.shared.log.write(EventId::ConfigActivated, fields);
        self.args
            .shared
            .config
            .store(Arc::new(ActiveConfig { version, tree }));
        self.args
            .shared
            .metrics
            .config_version
            .set(i64::try_from(version.0).unwrap_or(i64::MAX));
        self.args.versions.send_replace(version);
    }

    /// Appends the active version again before the log's retention period drops its record.
    fn append_snapshot_if_due(&mut self, me: &ActorRef<Self>) {
        if self.snapshot_pending || !self.history.is_snapshot_due(self.args.shared.now()) {
            return;
        }
        let Some(body) = self.history.snapshot() else {
            return;
        };
        self.snapshot_pending = true;
        let record = Stamped {
            id: RecordId(Uuid::now_v7()),
            body,
        };
        let log = self.args.log.clone();
        let shared = Arc::clone(&self.args.shared);
        shared.metrics.log_appends.inc();
        let me = me.downgrade();
        tokio::spawn(async move {
            let call = Duration::from_millis(shared.settings.platform.call_ms);
            let bytes = encode_config(&record);
            if let Err(err) = log.append(STREAM, bytes, Instant::now() + call).await {
                let fields = o!("stream" => STREAM, "error" => err.to_string());
                shared.log.write(EventId::AppendUncertain, fields);
            }
            if let Some(me) = me.upgrade() {
                let _ = me.tell(SnapshotAppended).await;
            }
        });
    }
}

/// Reports that the append of a snapshot has ended, with or without success.
#[derive(Debug, Clone, Copy)]
struct SnapshotAppended;

/// Validates a tree as every reader of the log does.
fn check(json: &str) -> Result<(), Arc<str>> {
    match Tree::from_json(json) {
        Ok(_) => Ok(()),
        Err(faults) => Err(faults.to_string().into()),
    }
}

impl Message<PageRead> for Config {
    type Reply = NextOffset;

    async fn handle(&mut self, read: PageRead, ctx: &mut Context<Self, NextOffset>) -> NextOffset {
        self.args.shared.set_log_readable(true);
        self.apply_page(&read);
        self.append_snapshot_if_due(ctx.actor_ref());
        NextOffset(self.history.next())
    }
}

impl Message<ReadFailed> for Config {
    type Reply = ();

    async fn handle(&mut self, _failed: ReadFailed, _ctx: &mut Context<Self, ()>) {
        self.args.shared.set_log_readable(false);
    }
}

impl Message<SnapshotAppended> for Config {
    type Reply = ();

    async fn handle(&mut self, _appended: SnapshotAppended, _ctx: &mut Context<Self, ()>) {
        self.snapshot_pending = false;
    }
}

impl Message<VersionsAfter> for Config {
    type Reply = VersionEntries;

    async fn handle(
        &mut self,
        since: VersionsAfter,
        _ctx: &mut Context<Self, VersionEntries>,
    ) -> VersionEntries {
        VersionEntries(self.history.since(since.0))
    }
}

impl Message<RelayedEntries> for Config {
    type Reply = ();

    async fn handle(&mut self, relayed: RelayedEntries, _ctx: &mut Context<Self, ()>) {
        let now = self.args.shared.now();
        for entry in &relayed.0 {
            let applied = self.history.apply_relay(entry, now, &check);
            self.handle_applied(&applied, entry.covers);
        }
    }
}
