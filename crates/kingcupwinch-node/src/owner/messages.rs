//! Messages that the [`Owner`] actor handles.

use std::net::SocketAddr;
use std::sync::Arc;

use kameo::message::{Context, Message};
use kingcupwinch_adapter::{OrderError, Partition, WorkerClient, decode_registration};
use kingcupwinch_cell::{
    AdviceCallId, JobId, JobSpec, JobState, JobView, Member, PaceOrder, PollFailure, StartOrder,
    StartOutcome, StopOrder, SubmitOutcome, Ticket, WorkerKey, WorkerPoll, WorkerStatus,
};
use kingcupwinch_time::{Span, Time};
use slog::o;
use tokio::sync::oneshot;

use super::freshness::{MAX_COUNT_AGE, MAX_LOOKUP_AGE};
use super::{LeaseLimits, Owner};
use crate::events::Event;
use crate::layout::{IntakeKey, OWNER_PARTITION};
use crate::metrics::Metrics;

#[cfg(test)]
mod tests;

/// Triggers a scheduling decision.
pub(crate) struct Decide;

/// Reports a time at which this owner certainly still held the cell.
pub(crate) struct TermConfirmed(pub(crate) Time);

/// Offers a fencing token above the term of this owner and below those of all later ones.
pub(crate) struct TokenOffered(pub(crate) u64);

/// Updates the list of instances and their addresses for siblings.
pub(crate) struct Members(pub(crate) Vec<Member>);

/// Stops dispatching; the channel is signalled once all pending records are appended.
pub(crate) struct Release(pub(crate) oneshot::Sender<()>);

/// Reports that another owner holds the cell, and who noticed.
pub(crate) struct Superseded(pub(crate) &'static str);

/// Requests a job's state and customer; the reply is `None` if this owner can't state them with
/// certainty.
pub(crate) struct GetJobState(pub(crate) JobId);

/// Requests the number of waiting jobs of a queue; the reply is `None` if this owner can't count them
/// with certainty.
pub(crate) struct CountWaiting(pub(crate) Arc<str>);

/// Announces jobs that this instance is about to append to the intake; the reply has the positions of those
/// whose ids are taken by jobs of other customers.
pub(crate) struct JobsAnnounced(pub(crate) Vec<(JobId, bytes::Bytes)>);

/// Reports announced jobs that certainly are not in the log.
pub(crate) struct JobsNotAppended(pub(crate) Vec<JobId>);

/// Delivers records read from a partition of the intake.
pub(crate) struct IntakeRead {
    pub(crate) partition: Partition,
    pub(crate) records: Vec<(IntakeKey, Option<bytes::Bytes>)>,
    /// Time as of which all records of the partition are known; `None` if more may follow.
    pub(crate) complete_at: Option<Time>,
}

/// Delivers entries read from the directory.
pub(crate) struct DirectoryRead {
    pub(crate) entries: Vec<(Arc<str>, Option<bytes::Bytes>)>,
    /// Whether the entries are the whole directory, so that workers missing from them have left it.
    pub(crate) is_whole: bool,
    /// A time after which all entries were written, if one is known.
    pub(crate) written_after: Option<Time>,
}

/// Requests the next poll of a worker.
pub(crate) struct NextPoll(pub(crate) WorkerKey);

/// Next step of a worker's polling loop.
#[derive(Debug, kameo::Reply)]
pub(crate) enum PollPlan {
    Poll(WorkerPoll, WorkerClient),
    /// Dispatching is suspended; the loop waits.
    Pause,
    /// The worker was removed, or this owner is retired; the loop ends.
    End,
}

/// Delivers the result of polling a worker.
pub(crate) struct PollResult {
    pub(crate) worker: WorkerKey,
    /// Address that the poll was sent to.
    pub(crate) address: SocketAddr,
    pub(crate) sent: Time,
    pub(crate) result: Result<WorkerStatus, OrderError>,
}

/// Delivers a worker's response to a start order.
pub(crate) struct Started {
    pub(crate) order: StartOrder,
    /// Fencing token of the order.
    pub(crate) token: u64,
    pub(crate) outcome: StartOutcome,
}

/// Reports that a worker accepted a stop order.
pub(crate) struct Stopped {
    pub(crate) order: StopOrder,
}

/// Delivers the adviser's tickets and their validity; `None` if it did not respond.
pub(crate) struct AdviceArrived {
    pub(crate) call: AdviceCallId,
    pub(crate) advice: Option<(Vec<Ticket>, Span)>,
}

/// Reports that a worker has changed a pace.
pub(crate) struct PaceSet {
    pub(crate) order: PaceOrder,
}

/// Delivers whether an instance that may call the adviser responds.
pub(crate) struct CallerProbed {
    pub(crate) instance: Arc<str>,
    pub(crate) has_responded: bool,
}

impl Message<Decide> for Owner {
    type Reply = ();

    async fn handle(&mut self, _: Decide, _: &mut Context<Self, ()>) {
        self.decide();
    }
}

impl Message<TermConfirmed> for Owner {
    type Reply = ();

    async fn handle(&mut self, confirmed: TermConfirmed, _: &mut Context<Self, ()>) {
        self.confirmed_at = self.confirmed_at.max(confirmed.0);
        self.doubt.note_confirmed(confirmed.0);
        self.cell
            .bound_leases(LeaseLimits::end_after(self.confirmed_at));
    }
}

impl Message<TokenOffered> for Owner {
    type Reply = ();

    async fn handle(&mut self, offered: TokenOffered, _: &mut Context<Self, ()>) {
        self.cell.offer_token(offered.0);
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
        // A fenced owner has nothing to release, and its writer has ended.
        if !self.is_retired {
            self.is_retired = true;
            self.release_done = Some(release.0);
        }
    }
}

impl Message<Superseded> for Owner {
    type Reply = ();

    async fn handle(&mut self, by: Superseded, _: &mut Context<Self, ()>) {
        self.fence(by.0);
    }
}

impl Message<GetJobState> for Owner {
    type Reply = Option<Option<JobView>>;

    async fn handle(&mut self, id: GetJobState, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let view = self.cell.job_view(id.0);
        let is_certain = view.is_some() || self.is_view_fresh(MAX_LOOKUP_AGE);
        (self.may_answer() && is_certain).then_some(view)
    }
}

impl Message<CountWaiting> for Owner {
    type Reply = Option<usize>;

    async fn handle(
        &mut self,
        queue: CountWaiting,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let is_certain = self.may_answer() && self.is_view_fresh(MAX_COUNT_AGE);
        is_certain.then(|| self.cell.queued_jobs(&queue.0))
    }
}

impl Message<JobsAnnounced> for Owner {
    type Reply = Vec<usize>;

    async fn handle(
        &mut self,
        jobs: JobsAnnounced,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.shared.now();
        let mut taken = Vec::new();
        let keys: Vec<IntakeKey> = jobs
            .0
            .iter()
            .map(|(id, _)| IntakeKey::Accepted(*id))
            .collect();
        for (position, (id, value)) in jobs.0.into_iter().enumerate() {
            match serde_json::from_slice(&value) {
                Ok(spec) if self.cell.is_taken(id, &spec) => taken.push(position),
                Ok(spec) => self.cell.submit_tentatively(id, spec, now),
                Err(error) => {
                    let fields = o!("job" => id.to_string(), "error" => error.to_string());
                    self.shared.log.write(Event::RecordSkipped, fields);
                }
            }
        }
        self.publish_room(keys, now);
        self.schedule_decision();
        taken
    }
}

impl Message<JobsNotAppended> for Owner {
    type Reply = ();

    async fn handle(&mut self, jobs: JobsNotAppended, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        for id in jobs.0 {
            self.cell.drop_tentative(id, now);
        }
        self.publish_room([], now);
    }
}

impl Message<IntakeRead> for Owner {
    type Reply = ();

    async fn handle(&mut self, read: IntakeRead, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        if let Some(at) = read.complete_at {
            self.freshness.mark_read(read.partition, at);
        }
        if read.records.is_empty() {
            return;
        }
        let keys: Vec<IntakeKey> = read.records.iter().map(|(key, _)| *key).collect();
        for (key, value) in read.records {
            // A tombstone: the record was deleted after its job ended.
            let Some(value) = value else { continue };
            match key {
                IntakeKey::Accepted(id) => {
                    self.add_origin(key, read.partition);
                    if self.cell.is_tentative(id) {
                        self.confirm(id);
                        if self.cell.is_end_recorded(id) {
                            self.schedule_cleanup(id);
                        }
                    } else if self.cell.job_state(id).is_some() {
                        self.handle_duplicate(id, read.partition);
                    } else {
                        self.accept_job(id, &value, now);
                    }
                }
                IntakeKey::Cancelled(id) => {
                    self.add_origin(key, read.partition);
                    if self.cell.job_state(id) == Some(JobState::Cancelled) {
                        self.handle_duplicate(id, read.partition);
                        continue;
                    }
                    self.cancel(id, &value, now);
                    if self.cell.is_end_recorded(id) {
                        self.schedule_cleanup(id);
                    }
                }
            }
        }
        self.publish_room(keys, now);
        self.execute_recorded();
        self.schedule_decision();
    }
}

impl Owner {
    /// Returns whether this owner knew all records of the intake, and certainly held the cell, within
    /// `max_age`. A later owner may have deleted the records of jobs that it ended.
    pub(super) fn is_view_fresh(&self, max_age: Span) -> bool {
        let now = self.shared.now();
        self.freshness.is_fresh(now, max_age) && now.since(self.confirmed_at) <= max_age
    }

    /// Marks an announced job as appended to the log.
    fn confirm(&mut self, id: JobId) {
        self.cell.confirm(id);
        self.shared.log.write(
            Event::JobAccepted,
            o!("job" => id.to_string(), "result" => "announced before"),
        );
    }

    /// Handles a record of a known job. The owner reads its own appends back from their partition,
    /// so only duplicates in other partitions, which come from callers, are logged.
    fn handle_duplicate(&mut self, id: JobId, partition: Partition) {
        if self.cell.is_end_recorded(id) {
            self.schedule_cleanup(id);
        }
        if partition != OWNER_PARTITION {
            self.shared.log.write(
                Event::JobAccepted,
                o!("job" => id.to_string(), "result" => "known"),
            );
        }
    }

    fn accept_job(&mut self, id: JobId, value: &[u8], now: Time) {
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
            .wall_time()
            .as_millis()
            .saturating_sub(spec.accepted_ms);
        let queue = spec.policy.queue.to_string();
        let due = spec.schedule.map(|schedule| schedule.first_ms);
        let result = self.cell.submit(id, spec, now);
        let label = match result {
            SubmitOutcome::New => "new",
            SubmitOutcome::Known => "known",
            SubmitOutcome::Cancelled => "cancelled before",
        };
        self.shared.log.write(
            Event::JobAccepted,
            o!("job" => id.to_string(), "queue" => queue, "result" => label, "age_ms" => age,
                "due_ms" => due),
        );
    }

    pub(super) fn handle_appended(&mut self, batch: u64, now: Time) {
        for (id, state) in self.cell.records_appended(batch, now) {
            Metrics::count_end(&self.shared.metrics.jobs, state.as_str());
            self.shared.log.write(
                Event::JobEnded,
                o!("job" => id.to_string(), "state" => state.as_str()),
            );
            self.schedule_cleanup(id);
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
                    Ok(entry) => {
                        self.register_worker(entry, now);
                        if let Some(time) = read.written_after {
                            self.cell.note_heartbeat(&id, time);
                        }
                    }
                    Err(error) => self.shared.note_odd_entry(&id, &value, &error),
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

impl Message<NextPoll> for Owner {
    type Reply = PollPlan;

    async fn handle(&mut self, key: NextPoll, _: &mut Context<Self, PollPlan>) -> PollPlan {
        let now = self.shared.now();
        if self.is_retired {
            return PollPlan::End;
        }
        if !self.may_dispatch(now) {
            return PollPlan::Pause;
        }
        let order = self.cell.next_poll(key.0, now);
        match order.zip(self.client(key.0)) {
            Some((order, client)) => PollPlan::Poll(order, client),
            None => {
                self.clients.remove(&key.0);
                self.is_worker_list_dirty = true;
                PollPlan::End
            }
        }
    }
}

impl Message<PollResult> for Owner {
    type Reply = ();

    async fn handle(&mut self, poll: PollResult, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        match poll.result {
            Ok(status) => {
                self.doubt.note_response(poll.worker, poll.sent);
                self.log_run_ends(&status, now);
                self.cell.poll_answered(poll.worker, poll.sent, status, now);
                self.log_cell_events();
                self.schedule_decision();
            }
            Err(OrderError::Fenced) => self.handle_refusal(poll.worker, now),
            Err(error) => {
                let failure = error.poll_failure(poll.address, poll.sent);
                self.cell.poll_failed(poll.worker, failure);
                if matches!(failure, PollFailure::Replaced { .. }) {
                    self.schedule_decision();
                }
            }
        }
    }
}

impl Owner {
    fn log_run_ends(&self, status: &WorkerStatus, now: Time) {
        let text = |value: Option<Arc<str>>| value.map(|value| value.to_string());
        for end in &status.ended {
            let Some(run) = self.cell.describe_run(end.task, end.run, now) else {
                continue;
            };
            Metrics::count_end(&self.shared.metrics.runs, end.reason.as_str());
            self.shared.log.write(
                Event::RunEnded,
                o!("task" => end.task.to_string(), "run" => end.run, "how" => end.reason.as_str(),
                    "sequence" => end.sequence, "saved" => end.checkpoint.is_some(), "age_ms" => run.age.as_millis(),
                    "estimate_ms" => run.estimate.as_millis(), "image" => text(run.image),
                    "worker" => run.worker.to_string(), "kind" => text(run.worker_kind)),
            );
        }
    }
}

impl Message<Started> for Owner {
    type Reply = ();

    async fn handle(&mut self, started: Started, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        // The worker may have seen a later token of this owner.
        let worker = started.order.worker;
        if started.outcome == StartOutcome::Fenced && started.token == self.order_token(worker) {
            self.handle_refusal(worker, now);
        }
        self.cell
            .start_answered(&started.order, started.outcome, now);
        if started.outcome != StartOutcome::Started {
            self.schedule_decision();
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

impl Message<PaceSet> for Owner {
    type Reply = ();

    async fn handle(&mut self, set: PaceSet, _: &mut Context<Self, ()>) {
        self.cell.pace_answered(&set.order);
    }
}

impl Message<CallerProbed> for Owner {
    type Reply = ();

    async fn handle(&mut self, probed: CallerProbed, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        self.cell
            .caller_probed(&probed.instance, probed.has_responded, now);
    }
}

impl Message<AdviceArrived> for Owner {
    type Reply = ();

    async fn handle(&mut self, arrived: AdviceArrived, _: &mut Context<Self, ()>) {
        let now = self.shared.now();
        self.cell.advice_received(arrived.call, arrived.advice, now);
        self.schedule_decision();
    }
}
