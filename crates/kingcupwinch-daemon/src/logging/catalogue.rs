/// The severity of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventLevel {
    /// An operator has to act.
    Error,
    /// An operator may have to act.
    Warning,
    /// Normal operation.
    Info,
    /// Details for developers.
    Debug,
}

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $is_rate_limited:literal, $text:literal;)*) => {
        /// A numbered log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum EventId {
            $($(#[$doc])* $name,)*
        }

        impl EventId {
            /// All events, sorted by number.
            pub const ALL: &'static [EventId] = &[$(EventId::$name,)*];

            /// Returns the event's number as it is logged, such as `KCW-0101`.
            pub const fn code(self) -> &'static str {
                match self { $(EventId::$name => concat!("KCW-", $number),)* }
            }

            /// Returns the event's level.
            pub const fn level(self) -> EventLevel {
                match self { $(EventId::$name => EventLevel::$level,)* }
            }

            /// Returns whether the event is limited to one record per second because it could flood
            /// the log.
            pub const fn is_rate_limited(self) -> bool {
                match self { $(EventId::$name => $is_rate_limited,)* }
            }

            /// Returns the constant message of the event.
            pub const fn text(self) -> &'static str {
                match self { $(EventId::$name => $text,)* }
            }
        }
    };
}

catalogue! {
    /// The daemon listens on all its ports.
    Started = "0101", Info, false, "daemon started";
    /// A graceful stop was requested.
    StopBegan = "0102", Info, false, "graceful stop started";
    /// The daemon stopped with nothing left in flight.
    Stopped = "0103", Info, false, "daemon stopped";
    /// The stop's deadline passed with work in flight.
    StopForced = "0104", Error, false, "stop deadline passed with work in flight";
    /// A listener failed to accept a connection.
    AcceptFailed = "0105", Warning, true, "failed to accept a connection";
    /// A connection was refused because too many are open.
    ConnectionRefused = "0106", Warning, true, "connection refused: connection limit reached";
    /// A connection ended with a protocol error.
    ConnectionBroken = "0107", Debug, true, "connection ended with an error";
    /// The instance gained a shard.
    ShardGained = "0201", Info, false, "shard gained";
    /// The instance lost a shard.
    ShardLost = "0202", Info, false, "shard lost";
    /// The log could not be read.
    LogUnreadable = "0203", Warning, true, "failed to read the log";
    /// The outcome of an append to the log is unknown.
    AppendUncertain = "0204", Warning, true, "append outcome unknown";
    /// A log record was skipped.
    RecordSkipped = "0205", Warning, true, "log record skipped";
    /// The instance list could not be read.
    ListUnreadable = "0206", Warning, true, "failed to read the instance list";
    /// A note of the coordination state machine.
    OwnershipNote = "0207", Info, true, "ownership note";
    /// The instance owns a shard at a newer term.
    ShardRenewed = "0208", Debug, false, "shard renewed";
    /// A sibling link dropped something.
    LinkDropped = "0301", Warning, true, "sibling message dropped";
    /// A sibling link came up or went down.
    LinkChanged = "0302", Info, false, "sibling link changed";
    /// A worker was added.
    WorkerAdded = "0401", Info, false, "worker added";
    /// A worker is leaving and gets no new work.
    WorkerLeaving = "0402", Info, false, "worker is leaving";
    /// A worker was removed.
    WorkerRemoved = "0403", Info, false, "worker removed";
    /// A worker's usage report could not be read.
    UsageUnreadable = "0404", Warning, true, "failed to read a usage report";
    /// The outcome of a dispatch is unknown.
    DispatchUncertain = "0405", Warning, true, "dispatch outcome unknown";
    /// A worker refused work.
    WorkerRefused = "0406", Info, true, "worker refused work";
    /// A worker could not be told to stop, throttle or checkpoint a task.
    ControlFailed = "0407", Warning, true, "failed to control a task";
    /// The policy refused a call of the scheduler.
    PolicyFault = "0408", Error, true, "policy rejected a call";
    /// A worker crashed or restarted while it ran tasks.
    WorkerCrashed = "0409", Warning, true, "worker crashed with tasks";
    /// A configuration version became active.
    ConfigActivated = "0501", Info, false, "configuration activated";
    /// A configuration record was rejected.
    ConfigRejected = "0502", Warning, false, "configuration record rejected";
    /// A job was accepted.
    JobAccepted = "0601", Debug, false, "job accepted";
    /// A job ended.
    JobEnded = "0602", Debug, false, "job ended";
    /// A job was recovered from a previous owner.
    JobsRecovered = "0603", Info, false, "job recovered";
    /// A persisted job can't run.
    JobRefused = "0604", Warning, false, "job refused by the scheduler";
    /// A task was given up.
    TaskGivenUp = "0605", Warning, true, "task given up";
}
