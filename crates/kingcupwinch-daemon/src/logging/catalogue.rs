/// How much an event matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventLevel {
    /// Something an operator has to act on.
    Error,
    /// Something an operator may have to act on.
    Warning,
    /// The ordinary course of things.
    Info,
    /// For developers.
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
            /// Every event, by number.
            pub const ALL: &'static [EventId] = &[$(EventId::$name,)*];

            /// Returns the event's number as it is written, such as `KCW-0101`.
            pub const fn code(self) -> &'static str {
                match self { $(EventId::$name => concat!("KCW-", $number),)* }
            }

            /// Returns how much it matters.
            pub const fn level(self) -> EventLevel {
                match self { $(EventId::$name => EventLevel::$level,)* }
            }

            /// Returns whether it could flood and is held to one record a second.
            pub const fn is_rate_limited(self) -> bool {
                match self { $(EventId::$name => $is_rate_limited,)* }
            }

            /// Returns the message, the same every time.
            pub const fn text(self) -> &'static str {
                match self { $(EventId::$name => $text,)* }
            }
        }
    };
}

catalogue! {
    /// The daemon listens on all its ports.
    Started = "0101", Info, false, "daemon started";
    /// A stop was asked for.
    StopBegan = "0102", Info, false, "graceful stop began";
    /// The daemon stopped with nothing left in flight.
    Stopped = "0103", Info, false, "daemon stopped";
    /// The stop's deadline passed with work in flight.
    StopForced = "0104", Error, false, "stop deadline passed with work in flight";
    /// A listener failed to take a connection.
    AcceptFailed = "0105", Warning, true, "connection could not be accepted";
    /// A connection was refused because too many are open.
    ConnectionRefused = "0106", Warning, true, "too many connections";
    /// A connection ended with a protocol error.
    ConnectionBroken = "0107", Debug, true, "connection ended with an error";
    /// A shard was gained.
    ShardGained = "0201", Info, false, "shard gained";
    /// A shard was lost.
    ShardLost = "0202", Info, false, "shard lost";
    /// The log could not be read.
    LogUnreadable = "0203", Warning, true, "log could not be read";
    /// An append has no certain outcome.
    AppendUncertain = "0204", Warning, true, "append has no certain outcome";
    /// A log record was skipped.
    RecordSkipped = "0205", Warning, true, "log record skipped";
    /// The instance list could not be read.
    ListUnreadable = "0206", Warning, true, "instance list could not be read";
    /// Something the coordination part wants noted.
    OwnershipNote = "0207", Info, true, "ownership note";
    /// A shard is owned at a newer term.
    ShardRenewed = "0208", Debug, false, "shard renewed";
    /// A sibling link dropped something.
    LinkDropped = "0301", Warning, true, "sibling message dropped";
    /// A sibling link came up or went down.
    LinkChanged = "0302", Info, false, "sibling link changed";
    /// A worker appeared.
    WorkerAdded = "0401", Info, false, "worker added";
    /// A worker is leaving and gets nothing new.
    WorkerLeaving = "0402", Info, false, "worker is leaving";
    /// A worker is gone.
    WorkerRemoved = "0403", Info, false, "worker removed";
    /// A worker's usage report could not be read.
    UsageUnreadable = "0404", Warning, true, "usage report could not be read";
    /// A dispatch has no certain outcome.
    DispatchUncertain = "0405", Warning, true, "dispatch has no certain outcome";
    /// A worker refused work.
    WorkerRefused = "0406", Info, true, "worker refused work";
    /// A worker could not be told to stop, throttle or checkpoint a task.
    ControlFailed = "0407", Warning, true, "task could not be controlled";
    /// The policy refused a call.
    PolicyFault = "0408", Error, true, "policy refused a call";
    /// A configuration version is in force.
    ConfigInForce = "0501", Info, false, "configuration in force";
    /// A configuration record was not taken.
    ConfigRejected = "0502", Warning, false, "configuration record rejected";
    /// A job was accepted.
    JobAccepted = "0601", Debug, false, "job accepted";
    /// A job ended.
    JobEnded = "0602", Debug, false, "job ended";
    /// A job's work was taken over from an earlier owner.
    JobsRecovered = "0603", Info, false, "job recovered";
    /// A kept job can't run.
    JobRefused = "0604", Warning, false, "job can't run";
    /// A task was given up.
    TaskGivenUp = "0605", Warning, true, "task given up";
}
