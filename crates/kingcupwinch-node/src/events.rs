//! Numbered log events, one JSON object a line on standard output.
//!
//! Lines are handed to a thread of their own through a bounded queue; a full queue drops lines
//! and counts them, so that no request waits for a reader of the log.

use slog::{Drain, KV, Logger, OwnedKV, SendSyncRefUnwindSafeKV, o};
use slog_async::OverflowStrategy;

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 2_048;

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// A numbered log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// Every event, by number.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Returns the event's number as it is written.
            pub const fn code(self) -> &'static str {
                match self { $(Event::$name => concat!("KCW-", $number),)* }
            }

            /// Returns the message, the same every time.
            pub const fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

catalogue! {
    /// The instance listens.
    Started = "1101", "instance started";
    /// A stop was asked for.
    StopRequested = "1102", "stop began";
    /// The instance stopped.
    Stopped = "1103", "instance stopped";
    /// The settings were read again.
    Reloaded = "1104", "settings read again";
    /// The settings can't be used; those before stay.
    ReloadFailed = "1105", "settings can't be used";
    /// A listener failed to take a connection.
    AcceptFailed = "1106", "connection could not be accepted";
    /// The store does not answer.
    StoreLost = "1201", "store lost";
    /// The store answers again.
    StoreRecovered = "1202", "store regained";
    /// A record was skipped.
    RecordSkipped = "1203", "record skipped";
    /// A sibling's answer can't be read.
    ResponseSkipped = "1204", "answer skipped";
    /// An append took much longer than usual, or got no answer for so long.
    SlowAppend = "1205", "append slow";
    /// A configuration is in force.
    ConfigInForce = "1301", "configuration in force";
    /// Another instance owns the cell.
    OwnerChanged = "1401", "owner seen";
    /// This instance claimed the cell.
    Claimed = "1402", "cell claimed";
    /// A claim came too late or got no answer.
    ClaimFailed = "1403", "claim failed";
    /// The owner's records were read and its workers are being looked at.
    TookOver = "1404", "cell taken over";
    /// This instance gave the cell up.
    Released = "1405", "cell released";
    /// The owner could not write for too long and gives no orders.
    Suspended = "1406", "orders suspended";
    /// The owner can write again.
    Resumed = "1407", "orders resumed";
    /// A later owner was seen by a worker or the store.
    Fenced = "1408", "fenced by a later owner";
    /// A job or a cancellation was kept.
    RequestAppended = "1501", "request kept in the log";
    /// A request was refused and has not run.
    RequestRefused = "1502", "request refused, not run";
    /// It is not known whether a request was kept.
    RequestOutcomeUnknown = "1503", "request has no certain outcome";
    /// The owner took a job in.
    JobAccepted = "1601", "job taken in";
    /// The owner took a cancellation in.
    JobCancelled = "1602", "job cancelled";
    /// A job's end is in the log and is shown.
    JobEnded = "1603", "job ended";
    /// A run was ordered.
    RunDispatched = "1701", "run ordered";
    /// A worker did not start a run.
    RunNotStarted = "1702", "run not started";
    /// A run was told to stop.
    RunStopSent = "1703", "run told to stop";
    /// A worker listed a run's end.
    RunEnded = "1704", "run ended";
    /// The adviser was asked.
    AdviceReceived = "1705", "adviser asked";
    /// The adviser did not answer.
    AdviceFailed = "1706", "adviser did not answer";
    /// A worker was listed.
    WorkerListed = "1801", "worker listed";
    /// A worker left the directory.
    WorkerUnlisted = "1802", "worker left the directory";
    /// A worker does not answer.
    WorkerLost = "1803", "worker lost";
    /// A worker answers again.
    WorkerRecovered = "1804", "worker regained";
}

/// Writes numbered events; clones share one queue.
#[derive(Debug, Clone)]
pub struct EventLog {
    logger: Logger,
}

impl EventLog {
    /// Makes a log to standard output.
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
