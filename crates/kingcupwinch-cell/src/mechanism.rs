use std::fmt;

macro_rules! mechanisms {
    ($($(#[$doc:meta])* $name:ident = $label:literal;)*) => {
        /// A mechanism that can be switched off, to measure what it is worth.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Mechanism {
            $($(#[$doc])* $name,)*
        }

        impl Mechanism {
            /// Every mechanism.
            pub const ALL: &[Mechanism] = &[$(Mechanism::$name),*];

            /// Returns the name on the command line and in the log.
            pub fn as_str(self) -> &'static str {
                match self { $(Mechanism::$name => $label,)* }
            }
        }
    };
}

mechanisms! {
    /// Expected work by a regression on the estimates of a queue, instead of the estimates.
    Regression = "regression";
    /// Expected work by the tasks of the same step that are done.
    StepWork = "step-work";
    /// The pace of workers by their kind.
    KindPace = "kind-pace";
    /// The pace of each worker apart from its kind.
    WorkerPace = "worker-pace";
    /// The record of run times for the next owner.
    RunTimeRecord = "run-time-record";
    /// Fast workers first for steps with little slack.
    FastFirst = "fast-first";
    /// No workers that are too slow for the objective.
    PaceLimit = "pace-limit";
    /// Speculative runs of slow tasks.
    Speculation = "speculation";
    /// Quarantine of workers that fail several runs in a row.
    Quarantine = "quarantine";
    /// Placement of jobs while their acceptance is being appended.
    Tentative = "tentative";
    /// Latency-sensitive and best-effort tasks on different workers.
    Isolation = "isolation";
    /// Capacity that is kept free for a gang that waits for more.
    GangReservation = "gang-reservation";
    /// Instances that make no long calls to the adviser.
    CallerSplit = "caller-split";
    /// No calls by instances whose calls are overdue.
    CallerHealth = "caller-health";
    /// Steps of more urgent queues first, with a floor for the others.
    PriorityOrder = "priority-order";
    /// Refusal of jobs that would end after their late limit by the forecast of their queue.
    Forecast = "forecast";
    /// Tasks that wait for a faster worker, and gangs for a rack, as long as that is expected to pay.
    DelayScheduling = "delay-scheduling";
}

impl Mechanism {
    /// The mechanisms that an instance uses only if it is told to. With the order by priority
    /// (docs/design/order-under-load.md) and with admission by forecast (docs/design/admission.md), callers
    /// were served slightly worse on deployments, with delay scheduling far worse
    /// (docs/design/delay-scheduling.md).
    pub const OPT_IN: &[Mechanism] = &[
        Mechanism::PriorityOrder,
        Mechanism::Forecast,
        Mechanism::DelayScheduling,
    ];
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The mechanisms that are switched off. By default this is delay scheduling, with which callers were served
/// worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disabled(u32);

impl Default for Disabled {
    fn default() -> Self {
        Disabled(Disabled::bit(Mechanism::DelayScheduling))
    }
}

impl Disabled {
    /// Returns whether a mechanism is in use.
    pub fn uses(self, mechanism: Mechanism) -> bool {
        self.0 & Self::bit(mechanism) == 0
    }

    /// Returns the mechanisms that are switched off.
    pub fn iter(self) -> impl Iterator<Item = Mechanism> {
        let all = Mechanism::ALL.iter().copied();
        all.filter(move |mechanism| !self.uses(*mechanism))
    }

    fn bit(mechanism: Mechanism) -> u32 {
        1 << mechanism as u32
    }
}

impl FromIterator<Mechanism> for Disabled {
    fn from_iter<I: IntoIterator<Item = Mechanism>>(mechanisms: I) -> Self {
        let bits = mechanisms.into_iter().map(Disabled::bit);
        Disabled(bits.fold(0, |all, bit| all | bit))
    }
}
