//! What the owner is told and asked.

use std::sync::Arc;

use kameo::message::{Context, Message};
use kingcupwinch_adapter::{OrderError, Partition, WorkerPort, decode_registration};
use kingcupwinch_cell::{
    AdviceCallId, JobId, JobSpec, JobState, Member, StartOrder, StartOutcome, StopOrder,
    SubmitOutcome, Ticket, WorkerKey, WorkerPoll, WorkerStatus,
};
use kingcupwinch_time::{Span, Time};
use slog::o;
use tokio::sync::oneshot;

use super::Owner;
use crate::events::Event;
use crate::layout::{DIRECT, IntakeKey};
use crate::metrics::Metrics;

/// Time to decide.
pub(crate) struct Decide;

/// An append under this term that was sent at this time succeeded.
pub(crate) struct Confirmed(pub(crate) Time);

/// The instances, and where siblings reach them.
pub(crate) struct Members(pub(crate) Vec<Member>);

/// Gives no more orders from now on; answered through the channel when all is recorded.
pub(crate) struct Release(pub(crate) oneshot::Sender<()>);

/// Another owner holds the cell.
pub(crate) struct Superseded(pub(crate) &'static str);

/// Asks for a job's state; `None` if this owner can't tell.
pub(crate) struct StateOf(pub(crate) JobId);

/// Asks how many jobs of a queue wait; `None` if this owner can't tell.
pub(crate) struct WaitingOf(pub(crate) Arc<str>);

/// Jobs that this instance is about to append to the intake.
pub(crate) struct Announced(pub(crate) Vec<(JobId, bytes::Bytes)>);

/// Announced jobs that certainly are not in the log.
pub(crate) struct NotKept(pub(crate) Vec<JobId>);

/// Records of a partition of the intake.
pub(crate) struct IntakeRead {
    pub(crate) partition: Partition,
    pub(crate) records: Vec<(IntakeKey, Option<bytes::Bytes>)>,
}

/// Records of the directory; `is_whole` if workers that are missing are not listed.
pub(crate) struct DirectoryRead {
    pub(crate) entries: Vec<(Arc<str>, Option<bytes::Bytes>)>,
    pub(crate) is_whole: bool,
}

/// Asks what to ask of a worker.
pub(crate) struct LookDue(pub(crate) WorkerKey);

/// What a loop of looks is to do.
#[derive(Debug, kameo::Reply)]
pub(crate) enum LookPlan {
    Look(WorkerPoll, WorkerPort),
    /// No orders may be given now.
    Pause,
    /// The worker is forgotten, or this owner is over.
    End,
}

/// A worker's answer to a look, or why there is none.
pub(crate) struct Looked {
    pub(crate) worker: WorkerKey,
    pub(crate) sent: Time,
    pub(crate) result: Result<WorkerStatus, OrderError>,
}

/// A worker's answer to an order to start.
pub(crate) struct Started {
    pub(crate) order: StartOrder,
    pub(crate) answer: StartOutcome,
}

/// A worker took an order to stop.
pub(crate) struct Stopped {
    pub(crate) order: StopOrder,
}

/// The adviser's answer, if there was one.
pub(crate) struct Advised {
    pub(crate) ask: AdviceCallId,
    pub(crate) answer: Option<(Vec<Ticket>, Span)>,
}

impl Message<Decide> for Owner {
    type Reply = ();

    async fn handle(&mut self, _: Decide, _: &mut Context<Self, ()>) {
        self.decide();
    }
}

impl Message<Confirmed> for Owner {
    type Reply = ();

    async fn handle(&mut self, sent: Confirmed, _: &mut Context<Self, ()>) {
        self.confirmed = self.confirmed.max(sent.0);
    }
}

impl Message<Members> for Owner {
    type Reply = ();

    async fn handle(&mut self, members: Members, _: &mut Context<Self, ()>) {
        let name = |member: &Member| Arc::clone(&member.instance);
        let names: Vec<Arc<str>> = members.0.iter().map(name).collect();
        self.cell.set_advice_callers(&names);
        let row = |member: Member| (member.instance, member.address);
        self.addresses = members.0.into_iter().map(row).collect();
    }
}

impl Message<Release> for Owner {
    type Reply = ();

    async fn handle(&mut self, release: Release, _: &mut Context<Self, ()>) {
        self.is_over = true;
        self.released = Some(release.0);
    }
}

impl Message<Superseded> for Owner {
    type Reply = ();

    async fn handle(&mut self, by: Superseded, _: &mut Context<Self, ()>) {
        self.fence(by.0);
    }
}

impl Message<StateOf> for Owner {
    type Reply = Option<Option<JobState>>;

    async fn handle(&mut self, id: StateOf, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let shown = self.cell.job_state(id.0);
        let is_certain = shown.is_some() || self.freshness.is_fresh(self.shared.now());
        (!self.is_over && is_certain).then_some(shown)
    }
}

impl Message<WaitingOf> for Owner {
    type Reply = Option<usize>;

    async fn handle(
        &mut self,
        queue: WaitingOf,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        (!self.is_over).then(|| self.cell.queued_jobs(&queue.0))
    }
}

impl Message<Announced> for Owner {
    type Reply = ();

    async fn handle(&mut self, jobs: Announced, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        for (id, value) in jobs.0 {
            match serde_json::from_slice(&value) {
                Ok(spec) => self.cell.submit_tentatively(id, spec, now),
                Err(error) => {
                    let fields = o!("job" => id.to_string(), "error" => error.to_string());
                    self.shared.log.write(Event::RecordSkipped, fields);
                }
            }
        }
        self.decide_soon();
    }
}

impl Message<NotKept> for Owner {
    type Reply = ();

    async fn handle(&mut self, jobs: NotKept, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        for id in jobs.0 {
            self.cell.drop_tentative(id, now);
        }
    }
}

impl Message<IntakeRead> for Owner {
    type Reply = ();

    async fn handle(&mut self, read: IntakeRead, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        for (key, value) in read.records {
            // A record without a value was dropped after its job's end.
            let Some(value) = value else { continue };
            match key {
                IntakeKey::Accepted(id) => {
                    self.note_origin(id, read.partition);
                    if self.cell.is_tentative(id) {
                        self.confirm(id, now);
                    } else if self.cell.job_state(id).is_some() {
                        self.note_repeat(id, read.partition);
                    } else {
                        self.take_job(id, &value, now);
                    }
                }
                IntakeKey::Cancelled(id) => {
                    self.note_origin(id, read.partition);
                    if self.cell.job_state(id) == Some(JobState::Cancelled) {
                        self.note_repeat(id, read.partition);
                        continue;
                    }
                    self.cell.cancel(id, now);
                    self.shared
                        .log
                        .write(Event::JobCancelled, o!("job" => id.to_string()));
                }
            }
        }
        self.send_recorded();
        self.decide_soon();
    }
}

impl Owner {
    /// Notes that an announced job is in the log.
    fn confirm(&mut self, id: JobId, now: Time) {
        self.cell.confirm(id, now);
        self.shared.log.write(
            Event::JobTaken,
            o!("job" => id.to_string(), "result" => "announced before"),
        );
    }

    /// Notes a record of a job that is known. The owner's own appends come back to it with each read
    /// of their partition; only repeats by callers are told.
    fn note_repeat(&mut self, id: JobId, partition: Partition) {
        if self.cell.job_state(id).is_some_and(JobState::is_final) {
            self.note_ended(id);
        }
        if partition != DIRECT {
            self.shared.log.write(
                Event::JobTaken,
                o!("job" => id.to_string(), "result" => "known"),
            );
        }
    }

    fn take_job(&mut self, id: JobId, value: &[u8], now: Time) {
        let spec: JobSpec = match serde_json::from_slice(value) {
            Ok(spec) => spec,
            Err(error) => {
                let fields = o!("job" => id.to_string(), "error" => error.to_string());
                self.shared.log.write(Event::RecordSkipped, fields);
                return;
            }
        };
        let age = self
            .shared
            .day()
            .as_millis()
            .saturating_sub(spec.accepted_ms);
        let queue = spec.policy.queue.to_string();
        let due = spec.schedule.map(|times| times.first_ms);
        let result = self.cell.submit(id, spec, now);
        let label = match result {
            SubmitOutcome::New => "new",
            SubmitOutcome::Known => "known",
            SubmitOutcome::Cancelled => "cancelled before",
        };
        self.shared.log.write(
            Event::JobTaken,
            o!("job" => id.to_string(), "queue" => queue, "result" => label, "age_ms" => age,
                "due_ms" => due),
        );
    }

    pub(super) fn note_recorded(&mut self, batch: u64, now: Time) {
        for (id, shown) in self.cell.records_appended(batch, now) {
            Metrics::count_end(&self.shared.metrics.jobs, shown.as_str());
            self.shared.log.write(
                Event::JobEnded,
                o!("job" => id.to_string(), "state" => shown.as_str()),
            );
            self.note_ended(id);
        }
    }
}

impl Message<DirectoryRead> for Owner {
    type Reply = ();

    async fn handle(&mut self, read: DirectoryRead, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        if read.is_whole {
            for (_, id, _) in self.cell.workers() {
                if !read.entries.iter().any(|(listed, _)| *listed == id) {
                    self.cell.mark_unlisted(&id, now);
                }
            }
        }
        for (id, value) in read.entries {
            match value {
                Some(value) => match decode_registration(&id, &value) {
                    Some(entry) => self.list(entry, now),
                    None => self.shared.log.write(
                        Event::RecordSkipped,
                        o!("partition" => "directory", "worker" => id.to_string()),
                    ),
                },
                None => {
                    self.cell.mark_unlisted(&id, now);
                    self.shared
                        .log
                        .write(Event::WorkerUnlisted, o!("worker" => id.to_string()));
                }
            }
        }
    }
}

impl Message<LookDue> for Owner {
    type Reply = LookPlan;

    async fn handle(&mut self, key: LookDue, _: &mut Context<Self, LookPlan>) -> LookPlan {
        let now = self.shared.now();
        if self.is_over {
            return LookPlan::End;
        }
        if !self.may_order(now) {
            return LookPlan::Pause;
        }
        let order = self.cell.next_poll(key.0, now);
        match order.zip(self.ports.get(&key.0).cloned()) {
            Some((order, port)) => LookPlan::Look(order, port),
            None => {
                self.ports.remove(&key.0);
                self.is_worker_list_new = true;
                LookPlan::End
            }
        }
    }
}

impl Message<Looked> for Owner {
    type Reply = ();

    async fn handle(&mut self, looked: Looked, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        match looked.result {
            Ok(look) => {
                self.log_ends(&look, now);
                self.cell
                    .poll_answered(looked.worker, looked.sent, look, now);
                self.decide_soon();
            }
            Err(OrderError::Fenced) => self.fence("worker"),
            Err(error) => self.cell.poll_failed(looked.worker, error.missed()),
        }
    }
}

impl Owner {
    fn log_ends(&self, look: &WorkerStatus, now: Time) {
        for end in &look.ended {
            let Some(age) = self.cell.run_age(end.task, end.run, now) else {
                continue;
            };
            Metrics::count_end(&self.shared.metrics.runs, end.reason.as_str());
            self.shared.log.write(
                Event::RunEnded,
                o!("task" => end.task.to_string(), "run" => end.run, "how" => end.reason.as_str(),
                    "saved" => end.checkpoint.is_some(), "age_ms" => age.as_millis()),
            );
        }
    }
}

impl Message<Started> for Owner {
    type Reply = ();

    async fn handle(&mut self, started: Started, _: &mut Context<Self, ()>) {
        if started.answer == StartOutcome::Fenced {
            self.fence("worker");
            return;
        }
        let now = self.shared.now();
        self.cell
            .start_answered(&started.order, started.answer, now);
        if started.answer != StartOutcome::Started {
            self.decide_soon();
        }
    }
}

impl Message<Stopped> for Owner {
    type Reply = ();

    async fn handle(&mut self, stopped: Stopped, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        self.cell.stop_answered(&stopped.order, now);
    }
}

impl Message<Advised> for Owner {
    type Reply = ();

    async fn handle(&mut self, advised: Advised, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        self.cell.advice_received(advised.ask, advised.answer, now);
        self.decide_soon();
    }
}
