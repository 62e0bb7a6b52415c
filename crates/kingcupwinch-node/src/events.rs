//! Numbered log events, written to standard output as one JSON object per line.
//!
//! A separate thread writes the lines from a bounded queue. A full queue drops lines and counts
//! them, so that no request waits for a slow reader of the log.

use slog::{Drain, KV, Logger, OwnedKV, SendSyncRefUnwindSafeKV, o};
use slog_async::OverflowStrategy;

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 2_048;

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// A numbered log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// All events, in order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Returns the event's number as it is logged, such as `KCW-1101`.
            pub const fn code(self) -> &'static str {
                match self { $(Event::$name => concat!("KCW-", $number),)* }
            }

            /// Returns the event's constant message.
            pub const fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

catalogue! {
    /// The instance has started and listens.
    Started = "1101", "instance started";
    /// A graceful stop was requested.
    StopRequested = "1102", "graceful stop started";
    /// The instance has stopped.
    Stopped = "1103", "instance stopped";
    /// The settings file was checked again.
    Reloaded = "1104", "settings checked again";
    /// The settings file is not valid; the settings in use stay.
    ReloadFailed = "1105", "settings are not valid";
    /// A listener failed to accept a connection.
    AcceptFailed = "1106", "connection could not be accepted";
    /// Nothing ends the process if its graceful stop hangs.
    WatchdogFailed = "1107", "watchdog of the stop could not be started";
    /// A listener closed connections or refused requests in the last second to keep its limits.
    ClientsLimited = "1108", "connections closed or requests refused to keep limits";
    /// The limits of a listener.
    ListenerLimits = "1109", "limits of a listener";
    /// The store does not respond.
    StoreLost = "1201", "store unreachable";
    /// The store responds again.
    StoreRecovered = "1202", "store reachable again";
    /// A record that can't be decoded was skipped.
    RecordSkipped = "1203", "record skipped";
    /// A sibling's response can't be decoded and was ignored.
    ResponseSkipped = "1204", "response of a sibling skipped";
    /// An append took much longer than usual, with or without a response.
    SlowAppend = "1205", "slow append";
    /// The instance's link carried nearly as much as it can in the last second.
    LinkBusy = "1206", "link nearly full";
    /// The store rejects a record for good; what it is about is set aside.
    RecordRejected = "1207", "record rejected by the store, set aside";
    /// An owner that can't write any more gives the cell up.
    WriterFailed = "1208", "records can't be written, giving the cell up";
    /// Acceptances of ended jobs could not be deleted; the deletion is repeated.
    DeletionFailed = "1209", "acceptances of ended jobs not deleted";
    /// A configuration came into force.
    ConfigInForce = "1301", "configuration in force";
    /// The configuration in force was not confirmed to be the latest for too long.
    ConfigUnconfirmed = "1302", "configuration not confirmed";
    /// The configuration in force is confirmed to be the latest again.
    ConfigConfirmed = "1303", "configuration confirmed again";
    /// The log has a new claim of the cell.
    OwnerChanged = "1401", "owner changed";
    /// This instance claimed the cell.
    Claimed = "1402", "cell claimed";
    /// A claim could not be appended, or the takeover failed.
    ClaimFailed = "1403", "claim failed";
    /// The cell's state was restored and its workers are being polled.
    TookOver = "1404", "cell taken over";
    /// This instance released the cell.
    Released = "1405", "cell released";
    /// The owner was not confirmed to hold the cell for too long, or since a worker refused its orders, and
    /// dispatches nothing.
    Suspended = "1406", "orders suspended";
    /// The owner is confirmed to hold the cell again.
    Resumed = "1407", "orders resumed";
    /// The store or the log reported a later owner.
    Fenced = "1408", "fenced by a later owner";
    /// The owner of this instance ended by itself.
    OwnerEnded = "1409", "owner ended by itself";
    /// The owner deleted, or tried to delete, the record of a member that is gone.
    MemberForgotten = "1410", "record of a member that is gone deleted";
    /// A job or a cancellation was appended to the log.
    RequestAppended = "1501", "request appended to the log";
    /// A request was refused without side effects.
    RequestRefused = "1502", "request refused, not run";
    /// It is not known whether a request was appended to the log.
    RequestOutcomeUnknown = "1503", "request outcome unknown";
    /// The configuration in force has no route or job path for a request.
    NoRoute = "1504", "no route for a request";
    /// A request was refused for its key, or because it can't be told whose it is.
    KeyRefused = "1505", "request refused for its key";
    /// A request for a job of another customer was refused.
    OtherCustomer = "1506", "request for a job of another customer";
    /// The owner did not carry out a cancellation of another customer's job.
    CancellationIgnored = "1507", "cancellation of a job of another customer ignored";
    /// A request was refused since the owner has no memory left for further jobs.
    NoRoom = "1508", "request refused for lack of room at the owner";
    /// The owner received a job.
    JobAccepted = "1601", "job received by the owner";
    /// The owner received a cancellation.
    JobCancelled = "1602", "job cancelled";
    /// A job's end is in the log and visible to callers.
    JobEnded = "1603", "job ended";
    /// A start order was sent to a worker.
    RunDispatched = "1701", "run dispatched";
    /// A worker did not start a run.
    RunNotStarted = "1702", "run not started";
    /// A stop order was sent to a worker.
    RunStopSent = "1703", "run stop sent";
    /// A worker reported the end of a run.
    RunEnded = "1704", "run ended";
    /// The adviser responded.
    AdviceReceived = "1705", "advice received";
    /// The adviser did not respond.
    AdviceFailed = "1706", "adviser did not respond";
    /// A worker listed the end of a run that the owner did not order or had settled before.
    LateEnd = "1707", "late end of a run";
    /// Runs count as ended although their worker did not list their ends.
    RunsSettled = "1708", "runs settled without a list of their worker";
    /// Tasks of a step have waited for over a second although they could start.
    StepWaits = "1709", "step waits";
    /// A worker crashed under tasks that had just started, which counts against them.
    CrashCounted = "1710", "worker crashed under tasks that had just started";
    /// A task is given up because of the crashes under it.
    TaskGivenUp = "1711", "task given up, since workers crashed under it";
    /// An order to change the pace of a best-effort task was sent to a worker.
    PaceSent = "1712", "pace order sent";
    /// A run that waited for the log is not started, since its worker has changed meanwhile.
    StartDiscarded = "1713", "start discarded before its order was sent";
    /// A step of a customer waits since the customer is at its cap, at most once a second per customer.
    /// Without a version, the cap is not known yet.
    CapReached = "1720", "customer at its cap";
    /// A gang is larger than its customer's cap, once per customer and version of the configuration.
    CapExcludes = "1721", "work can never start under the cap of its customer";
    /// A run that waited for its placement to be recorded is discarded, since the cap was lowered or a
    /// run of an earlier owner was found.
    CapWithdraws = "1722", "run discarded, since its customer is above its cap";
    /// Tasks wait for faster workers than those that are free, or start on these: one line for each of the
    /// two per wait of a step, at most 16 a second.
    StartDelayed = "1723", "decided whether to wait for faster workers";
    /// Jobs were refused because they would end after their late limit, at most once a second per queue.
    ForecastRefused = "1730", "jobs refused by the forecast of their queue";
    /// A worker registered in the directory.
    WorkerListed = "1801", "worker listed";
    /// A worker left the directory.
    WorkerUnlisted = "1802", "worker left the directory";
    /// A worker does not respond.
    WorkerLost = "1803", "worker unreachable";
    /// A worker responds again.
    WorkerRecovered = "1804", "worker reachable again";
    /// The process of a worker was replaced by a later one.
    WorkerRestarted = "1805", "worker restarted";
    /// An entry of the directory names no worker that can be used.
    EntryIgnored = "1806", "directory entry ignored";
    /// A restarted worker has responded under a token that no order for its former process has.
    WorkerFenced = "1807", "restarted worker fenced from earlier orders";
    /// A worker has seen a higher fencing token than that of the owner's orders.
    OrdersRefused = "1808", "orders refused for their fencing token";
}

/// Maximum length of a text from outside in a log line, in characters.
const MAX_TEXT_CHARS: usize = 100;

/// Returns a text from outside as it is logged.
pub(crate) fn abbreviated(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}

/// Writes numbered events; clones share one queue.
#[derive(Debug, Clone)]
pub struct EventLog {
    logger: Logger,
}

impl EventLog {
    /// Creates a log on standard output for an instance.
    pub fn new(instance: &str) -> Self {
        let drain = slog_json::Json::default(std::io::stdout()).fuse();
        let drain = slog_async::Async::new(drain)
            .chan_size(QUEUE_LINES)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build()
            .fuse();
        EventLog {
            logger: Logger::root(drain, o!("instance" => instance.to_owned())),
        }
    }

    /// Writes one event.
    pub fn write<T>(&self, event: Event, fields: OwnedKV<T>)
    where
        T: SendSyncRefUnwindSafeKV + 'static,
        OwnedKV<T>: KV,
    {
        let logger = self.logger.new(fields);
        slog::info!(logger, "{}", event.text(); "event" => event.code());
    }
}
