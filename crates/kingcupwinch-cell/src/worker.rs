mod fence;
mod leases;

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};

use kingcupwinch_time::{Span, Time};
use rustc_hash::FxHashSet;

use crate::end_rate::EndRate;
use crate::event::SettleCause;
use crate::id::TaskName;
use crate::pace::PaceControl;
use crate::record::WorkerRecord;
use crate::run::{RunEnd, RunKey};
use crate::run_time::WorkerPace;
use crate::spec::{Resources, StepSpec};

pub(crate) use fence::OrderFence;
pub(crate) use leases::WorkerLeases;

slotmap::new_key_type! {
    /// The key of a worker in the cell.
    pub struct WorkerKey;
}

/// The index of the kind in a worker's labels.
const KIND_LABEL: usize = 0;
/// The index of the rack in a worker's labels.
pub(crate) const RACK_LABEL: usize = 1;
/// The share of a lease by which another owner may have extended it, since it read the worker's clock
/// some time before: one in this many parts.
const EXPIRY_DIVISOR: u64 = 20;
/// How long a worker that left the directory may still be used if it responds to polls. After an
/// outage, the directory lacks live workers for about two seconds.
const UNLISTED_GRACE: Span = Span::from_millis(2_500);
/// Failed runs in a row after which a worker is quarantined. They are usually of different tasks,
/// since a task avoids the worker where it failed last.
const QUARANTINE_FAILURES: u32 = 2;
/// The first quarantine of a worker. Each further one lasts twice as long.
const QUARANTINE_TIME: Span = Span::from_millis(2_500);
/// The largest number of doublings of the quarantine.
const MAX_QUARANTINE_DOUBLINGS: u32 = 3;

/// Returns whether two start times are those of different processes. False if either is unknown.
pub(crate) fn is_other_process(known_ms: Option<u64>, other_ms: Option<u64>) -> bool {
    known_ms
        .zip(other_ms)
        .is_some_and(|(known, other)| known != other)
}

/// Returns whether another start time is that of a later process. False if either is unknown.
fn is_later_process(known_ms: Option<u64>, other_ms: Option<u64>) -> bool {
    known_ms
        .zip(other_ms)
        .is_some_and(|(known, other)| known < other)
}

/// Returns how long after it was granted by another owner a lease has certainly expired.
pub fn longest_expiry(lease: Span) -> Span {
    lease + lease.divided_by(EXPIRY_DIVISOR)
}

/// A worker as the directory lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// The id. It is never reused for another worker at another address.
    pub id: Arc<str>,
    /// The address that takes orders, as `IP:PORT`.
    pub address: Arc<str>,
    /// The service that the worker runs.
    pub service: Arc<str>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether the worker is about to leave and takes no new work.
    pub draining: bool,
    /// The total capacity.
    pub capacity: Resources,
    /// The kind and the rack, in this order.
    pub labels: Vec<Arc<str>>,
    /// The start of the worker process in Unix milliseconds. `None` if the worker is known only
    /// from the list of an earlier owner.
    pub started_ms: Option<u64>,
}

impl Registration {
    /// Builds the entry of a worker of which only the id and the address are known. It takes no new
    /// work.
    pub(crate) fn of_lost(id: &Arc<str>, address: Arc<str>) -> Self {
        Registration {
            id: Arc::clone(id),
            address,
            service: "".into(),
            domain: "".into(),
            draining: true,
            capacity: Resources::default(),
            labels: Vec::new(),
            started_ms: None,
        }
    }

    /// Returns whether a start time shows that the worker process was restarted. False if either
    /// start time is unknown.
    pub(crate) fn is_restart(&self, started_ms: Option<u64>) -> bool {
        is_other_process(self.started_ms, started_ms)
    }
}

/// A run as its worker lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskName,
    /// The run number.
    pub run: u32,
    /// The last checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
    /// The progress in percent.
    pub percent: u8,
    /// The tail of the response times of a latency-sensitive task in the last half second, in
    /// milliseconds, if it is reported.
    pub tail_ms: Option<u32>,
}

/// A worker's response to a poll.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerStatus {
    /// The worker's steady clock in milliseconds.
    pub clock_ms: u64,
    /// The start of the worker process in Unix milliseconds. A change shows a restart.
    pub started_ms: Option<u64>,
    /// The active runs.
    pub running: Vec<RunningTask>,
    /// The ended runs that were not acknowledged, at most the oldest 500.
    pub ended: Vec<RunEnd>,
}

/// What a failed poll shows about the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollFailure {
    /// There was no usable response. The runs of the worker may still be active.
    Unresponsive,
    /// The worker closed the connection cleanly or refused one. Its process may have ended, or a
    /// network partition may refuse connections on its behalf.
    Closed,
    /// A worker with another id responded at the worker's address.
    Replaced {
        /// The address that the poll was sent to.
        address: SocketAddr,
        /// When the poll was sent.
        sent: Time,
    },
}

/// The next poll of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerPoll {
    /// The new end of all leases on the worker's clock, in milliseconds. `None` renews no lease.
    pub lease_until: Option<u64>,
    /// The highest sequence number of a run end that is in the log. The worker may forget the ends
    /// up to it.
    pub acked_through: u64,
    /// Whether the worker should delay its response until a run ends.
    pub long_poll: bool,
}

#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) registration: Registration,
    /// The start time in the directory entry, which may be that of another process than the one that
    /// responds.
    listed_ms: Option<u64>,
    /// The start of the latest process that an entry has shown, whether the entry was used or not.
    shown_ms: Option<u64>,
    /// The last heartbeat in the directory was written after this time.
    pub(crate) heartbeat_after: Time,
    /// When the worker left the directory, if it did.
    pub(crate) unlisted_at: Option<Time>,
    pub(crate) used: Resources,
    /// Active best-effort runs and latency-sensitive runs.
    pub(crate) best_effort_runs: u32,
    pub(crate) latency_sensitive_runs: u32,
    pub(crate) pace_control: PaceControl,
    pub(crate) runs: FxHashSet<RunKey>,
    pub(crate) leases: WorkerLeases,
    pub(crate) fence: OrderFence,
    /// The last run end that was processed, and the last one that is in the log.
    pub(crate) last_end_seen: u64,
    pub(crate) last_end_acked: u64,
    /// The first end in the last response, if it listed any.
    pub(crate) first_listed: Option<u64>,
    /// Polls in a row that failed. A start order that could not be sent counts as one.
    pub(crate) failed_polls: u32,
    /// When the worker last responded to a poll.
    pub(crate) last_response: Time,
    /// When the first poll was sent after one that failed, if the worker has not responded since.
    pub(crate) silent_from: Option<Time>,
    /// Whether the worker has not responded since polls were paused.
    pub(crate) is_overdue: bool,
    /// Whether a poll that failed since the last response found the connection closed.
    is_connection_closed: bool,
    /// When the last poll was sent that another worker answered at this worker's address, if no
    /// response has come since. What ran here before has ended.
    replaced_at: Option<Time>,
    /// Whether an earlier owner may have used the worker and this owner has not polled it yet.
    pub(crate) inherited: bool,
    /// Until when an earlier owner may give orders.
    handover_until: Time,
    /// The address that the last owner recorded, until the worker responds.
    recorded_address: Option<Arc<str>>,
    /// The start of the process that responded last to an earlier owner, until the worker responds.
    recorded_start: Option<u64>,
    /// Whether the worker lists a run whose job, and thus its size, this owner doesn't know.
    pub(crate) has_unknown_runs: bool,
    pub(crate) pace: WorkerPace,
    /// The ends of runs on the worker.
    pub(crate) end_rate: EndRate,
    failure_streak: u32,
    quarantines: u32,
    pub(crate) quarantined_until: Time,
}

impl Worker {
    pub(crate) fn new(registration: Registration) -> Self {
        Worker {
            listed_ms: registration.started_ms,
            shown_ms: registration.started_ms,
            registration,
            heartbeat_after: Time::ZERO,
            unlisted_at: None,
            used: Resources::default(),
            best_effort_runs: 0,
            latency_sensitive_runs: 0,
            pace_control: PaceControl::default(),
            runs: FxHashSet::default(),
            leases: WorkerLeases::new(Time::ZERO),
            fence: OrderFence::default(),
            last_end_seen: 0,
            last_end_acked: 0,
            first_listed: None,
            failed_polls: 0,
            last_response: Time::ZERO,
            silent_from: None,
            is_overdue: false,
            is_connection_closed: false,
            replaced_at: None,
            inherited: false,
            handover_until: Time::ZERO,
            recorded_address: None,
            recorded_start: None,
            has_unknown_runs: false,
            pace: WorkerPace::default(),
            end_rate: EndRate::default(),
            failure_streak: 0,
            quarantines: 0,
            quarantined_until: Time::ZERO,
        }
    }

    /// Marks the worker as one that an earlier owner may have used, and may use until the end of the
    /// overlap. All its leases have certainly expired at `leases_expire`.
    pub(crate) fn with_earlier_owner(mut self, handover_until: Time, leases_expire: Time) -> Self {
        self.inherited = true;
        self.handover_until = handover_until;
        self.leases = WorkerLeases::new(leases_expire);
        self
    }

    /// Sets what the last owner recorded. The worker may hold a lease of at most `longest` that was
    /// granted to an earlier process, if the record says so or the directory lists a later process.
    pub(crate) fn set_recorded(&mut self, record: &WorkerRecord, longest: Span, now: Time) {
        self.recorded_address = Some(Arc::clone(&record.address));
        self.recorded_start = record.started_ms;
        if record.long_lease || is_later_process(record.started_ms, self.listed_ms) {
            self.leases.note_late(longest, now);
        }
    }

    /// Returns the start of the process that responded last, to this owner or an earlier one, if it is
    /// known.
    pub(crate) fn responded_start(&self) -> Option<u64> {
        if self.leases.has_clock() {
            self.registration.started_ms
        } else {
            self.recorded_start
        }
    }

    /// Returns whether the directory has listed the worker to this owner. If not, the worker is known
    /// only from the record of the last owner.
    fn has_entry(&self) -> bool {
        !self.registration.service.is_empty()
    }

    /// Returns whether the directory says that the worker is about to leave.
    pub(crate) fn is_leaving(&self) -> bool {
        self.registration.draining && self.has_entry()
    }

    /// Returns the address to record for a later owner. It is empty if the address is unknown: the
    /// directory names another one than the last owner recorded and the worker has not responded, or
    /// the entry is not that of the process that responded.
    fn address_to_record(&self) -> Arc<str> {
        let address = &self.registration.address;
        let is_disputed = match &self.recorded_address {
            Some(recorded) => recorded != address,
            None => self.leases.has_clock() && !self.is_responder_address(),
        };
        if is_disputed {
            "".into()
        } else {
            Arc::clone(address)
        }
    }

    /// Builds the record for a later owner.
    pub(crate) fn to_record(&self) -> WorkerRecord {
        WorkerRecord {
            id: Arc::clone(&self.registration.id),
            address: self.address_to_record(),
            started_ms: self.responded_start(),
            long_lease: self.leases.has_late(),
        }
    }

    /// Returns whether the address is that of the process that responded, if one did. An entry of
    /// another process under the same id may name another address. Without an entry, the process
    /// has responded at the recorded address.
    fn is_responder_address(&self) -> bool {
        !self.has_entry() || self.listed_ms == self.registration.started_ms
    }

    /// Updates the entry from the directory. Only a response of the worker shows that it was
    /// restarted: entries may be read late, also those of an earlier process. While the worker
    /// responds, entries of other processes are ignored, but for this: one of a later process that is new
    /// to this owner shows that this process may hold a lease of at most `longest`.
    pub(crate) fn update_registration(&mut self, entry: Registration, longest: Span, now: Time) {
        let known_ms = self.registration.started_ms;
        let process_ms = self.responded_start().or(known_ms);
        if entry.started_ms > self.shown_ms && is_later_process(process_ms, entry.started_ms) {
            self.leases.note_late(longest, now);
        }
        self.shown_ms = self.shown_ms.max(entry.started_ms);
        if self.registration.is_restart(entry.started_ms) && self.failed_polls == 0 {
            return;
        }
        if entry.address != self.registration.address {
            self.replaced_at = None;
        }
        self.unlisted_at = None;
        self.listed_ms = entry.started_ms;
        self.registration = Registration {
            started_ms: known_ms.or(entry.started_ms),
            ..entry
        };
    }

    /// Returns whether the worker can take new work, in quarantine or not.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        !self.registration.draining
            && !self.inherited
            && !self.is_overdue
            && !self.has_unknown_runs
            && !self.registration.is_restart(self.listed_ms)
            && self.leases.has_clock()
            && self.failed_polls == 0
            && self.unlisted_at.is_none_or(|at| now < at + UNLISTED_GRACE)
    }

    /// Returns whether only steps that have no other worker may use this one.
    pub(crate) fn is_quarantined(&self, now: Time) -> bool {
        self.quarantined_until > now
    }

    /// Charges a run of a step to the worker.
    pub(crate) fn add_run(&mut self, step: &StepSpec) {
        self.used.add(step.charged_resources());
        self.best_effort_runs += u32::from(step.best_effort);
        self.latency_sensitive_runs += u32::from(step.latency_sensitive);
    }

    /// Releases what a run of a step was charged.
    pub(crate) fn remove_run(&mut self, step: &StepSpec) {
        self.used.sub(step.charged_resources());
        self.best_effort_runs -= u32::from(step.best_effort);
        self.latency_sensitive_runs -= u32::from(step.latency_sensitive);
    }

    /// Returns the kind, which is empty if the worker has no labels.
    pub(crate) fn kind(&self) -> &Arc<str> {
        static UNKNOWN: LazyLock<Arc<str>> = LazyLock::new(|| Arc::from(""));
        self.registration.labels.get(KIND_LABEL).unwrap_or(&UNKNOWN)
    }

    pub(crate) fn available(&self) -> Resources {
        self.registration.capacity.remaining(self.used)
    }

    /// Returns whether the runs that are charged to the worker exceed its capacity, which may have shrunk.
    pub(crate) fn is_over_capacity(&self) -> bool {
        self.registration.capacity.task_capacity(self.used) == 0
    }

    /// Records a response to a poll, with the worker's clock in milliseconds.
    pub(crate) fn note_response(&mut self, clock_ms: u64, read_at: Time) {
        self.leases.read_clock(clock_ms, read_at);
        self.last_response = read_at;
        self.failed_polls = 0;
        self.silent_from = None;
        self.is_overdue = false;
        self.is_connection_closed = false;
        self.replaced_at = None;
        self.inherited = false;
        self.recorded_address = None;
    }

    /// Returns how long ago the worker responded to this owner, if it ever did.
    pub(crate) fn response_age(&self, now: Time) -> Option<Span> {
        self.leases
            .has_clock()
            .then(|| now.since(self.last_response))
    }

    /// Records a failed poll.
    pub(crate) fn note_poll_failure(&mut self, failure: PollFailure) {
        self.failed_polls += 1;
        match failure {
            PollFailure::Unresponsive => {}
            PollFailure::Closed => self.is_connection_closed = true,
            PollFailure::Replaced { address, sent } => {
                if self.is_known_at(address) && self.last_response <= sent {
                    self.replaced_at = self.replaced_at.max(Some(sent));
                }
            }
        }
    }

    /// Returns whether the process that may run tasks is known to be at an address: at that of the
    /// process that responded last, or, before any response, at the one that the last owner recorded.
    fn is_known_at(&self, address: SocketAddr) -> bool {
        let is_certain = if self.leases.has_clock() {
            self.is_responder_address()
        } else {
            self.recorded_address.as_ref() == Some(&self.registration.address)
        };
        is_certain && self.registration.address.parse() == Ok(address)
    }

    /// Returns whether earlier owners had certainly stopped giving orders at a time.
    pub(crate) fn is_handed_over(&self, at: Time) -> bool {
        self.handover_until <= at
    }

    /// Returns when the poll was sent that shows that the process had ended, if one does.
    pub(crate) fn replaced_at(&self) -> Option<Time> {
        self.replaced_at
    }

    /// Returns why certainly nothing runs on the worker, or `None` if something may.
    pub(crate) fn idle_cause(&self, exit_window: Span, now: Time) -> Option<SettleCause> {
        if self.failed_polls == 0 {
            return None;
        }
        if self.leases.expire() < now {
            return Some(SettleCause::LeaseExpired);
        }
        self.has_exited(exit_window).then_some(SettleCause::Exited)
    }

    /// Returns whether the process has ended: it closed its connections and removed its directory
    /// entry after its last response. The entry of a silent worker would expire more than
    /// `exit_window` after its last heartbeat.
    fn has_exited(&self, exit_window: Span) -> bool {
        let left_promptly = self
            .unlisted_at
            .is_some_and(|at| self.last_response <= at && at < self.heartbeat_after + exit_window);
        self.is_connection_closed && left_promptly
    }

    /// Grants a lease that begins now. Returns its end on the worker's clock in milliseconds, or
    /// `None` if the clock is unknown or the lease has no length, and remembers when the lease has
    /// certainly expired.
    pub(crate) fn grant_lease(&mut self, now: Time, lease: Span) -> Option<u64> {
        let process = self.registration.started_ms;
        self.leases.grant(now, lease, process)
    }

    pub(crate) fn note_done(&mut self) {
        self.failure_streak = 0;
        self.quarantines = 0;
    }

    /// Counts a failed run. Several in a row quarantine the worker. Returns whether a quarantine
    /// begins.
    pub(crate) fn note_failure(&mut self, now: Time) -> bool {
        // These runs began before the quarantine, which already accounts for their failures.
        if self.is_quarantined(now) {
            return false;
        }
        self.failure_streak += 1;
        if self.failure_streak < QUARANTINE_FAILURES {
            return false;
        }
        let doublings = self.quarantines.min(MAX_QUARANTINE_DOUBLINGS);
        self.quarantined_until = now + QUARANTINE_TIME.times(1 << doublings);
        self.quarantines += 1;
        // One more failure after the quarantine starts the next one.
        self.failure_streak = QUARANTINE_FAILURES - 1;
        true
    }
}
