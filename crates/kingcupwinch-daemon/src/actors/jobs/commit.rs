//! Appends to the job stream: group commits, and snapshots of the open jobs before the log's
//! retention period drops their records.

use std::sync::Arc;
use std::time::Duration;

use kameo::message::{Context, Message};
use kingcupwinch_coord::id::RecordId;
use kingcupwinch_coord::record::{JobRecord, Stamped};
use kingcupwinch_wire::encode_job;
use slog::o;
use tokio::time::Instant;
use uuid::Uuid;

use super::JobManager;
use crate::logging::EventId;

/// Reports that the append of a snapshot has ended, with or without success.
#[derive(Debug, Clone, Copy)]
struct SnapshotAppended;

impl JobManager {
    pub(super) fn append_due(&mut self) {
        let now = self.now();
        let records = self.commit.take(now, || RecordId(Uuid::now_v7()));
        for record in records {
            self.append(record, false);
        }
    }

    /// Appends a snapshot of the open jobs before the log's retention period drops their records.
    pub(super) fn append_snapshot_if_due(&mut self) {
        if self.snapshot_pending || !self.jobs.is_snapshot_due(self.now()) {
            return;
        }
        let Some(snapshot) = self.jobs.snapshot() else {
            return;
        };
        self.snapshot_pending = true;
        let id = RecordId(Uuid::now_v7());
        self.append(
            Stamped {
                id,
                body: snapshot.into_record(),
            },
            true,
        );
    }

    fn append(&self, record: Stamped<JobRecord>, is_snapshot: bool) {
        let log = self.args.log.clone();
        let stream = Arc::clone(&self.args.stream);
        let shared = Arc::clone(&self.args.shared);
        shared.metrics.log_appends.inc();
        let me = self.me.downgrade();
        tokio::spawn(async move {
            let call = Duration::from_millis(shared.settings.platform.call_ms);
            let bytes = encode_job(&record);
            if let Err(err) = log.append(&stream, bytes, Instant::now() + call).await {
                let fields = o!("stream" => stream.to_string(), "error" => err.to_string());
                shared.log.write(EventId::AppendUncertain, fields);
            }
            if let Some(me) = me.upgrade().filter(|_| is_snapshot) {
                // A stopped actor appends no more snapshots.
                let _ = me.tell(SnapshotAppended).await;
            }
        });
    }
}

impl Message<SnapshotAppended> for JobManager {
    type Reply = ();

    async fn handle(&mut self, _appended: SnapshotAppended, _ctx: &mut Context<Self, ()>) {
        self.snapshot_pending = false;
    }
}
