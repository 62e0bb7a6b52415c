//! Reasons for refusing work, and errors of the calls of an embedder.

use kingcupwinch_time::Span;
use quick_error::quick_error;

use crate::resources::Dimension;

quick_error! {
    /// The reason why a task was not run.
    ///
    /// The task did not run, except for [`Refusal::FailedEverywhere`],
    /// [`Refusal::MachineCrashes`] and [`Refusal::RetryBudgetSpent`], which can follow a failed run.
    /// Some reasons carry the time after which a retry makes sense.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Refusal {
        /// The queue of the class is full.
        QueueFull(retry_after: Span) {
            display("the class's queue is full")
        }
        /// A rate limit of the class or the customer is exhausted.
        RateLimit(retry_after: Span) {
            display("a rate limit is reached")
        }
        /// The task would end after its deadline.
        Deadline(retry_after: Span) {
            display("the deadline can't be met")
        }
        /// No machine of the cell is large enough in this dimension.
        TooLarge(dimension: Dimension) {
            display("no machine has enough {dimension}")
        }
        /// Each dimension fits some machine, but no machine fits all of them.
        NoFittingMachine {
            display("no machine has this combination of resources")
        }
        /// The gang has more tasks than the cell can hold at once.
        TooWide {
            display("the gang has more tasks than the cell can hold at once")
        }
        /// The task exceeds the quota of the customer.
        OverQuota {
            display("the customer's quota is smaller than the task")
        }
        /// The size is zero or out of range in this dimension.
        BadSize(dimension: Dimension) {
            display("the amount of {dimension} is zero or out of range")
        }
        /// The number of tasks of a gang or the run time is out of range, or a gang was submitted
        /// to a class of another kind.
        BadSpec {
            display("the number of tasks or the run time is out of range, or the class does not run gangs")
        }
        /// The class is unknown or no longer in the plan.
        UnknownClass {
            display("the class is unknown")
        }
        /// The customer is unknown or no longer in the plan.
        UnknownCustomer {
            display("the customer is unknown")
        }
        /// The caller cancelled the task.
        Cancelled {
            display("cancelled")
        }
        /// The retry budget of the class is exhausted.
        RetryBudgetSpent(retry_after: Span) {
            display("the retry budget is spent")
        }
        /// The task failed on several healthy machines.
        FailedEverywhere {
            display("the task failed on several healthy machines")
        }
        /// Several machines crashed while they ran the task.
        MachineCrashes {
            display("several machines crashed while they ran the task")
        }
    }
}

impl Refusal {
    /// Returns the time after which a retry makes sense, if ever.
    pub fn retry_after(&self) -> Option<Span> {
        match *self {
            Refusal::QueueFull(retry_after)
            | Refusal::RateLimit(retry_after)
            | Refusal::Deadline(retry_after)
            | Refusal::RetryBudgetSpent(retry_after) => Some(retry_after),
            _ => None,
        }
    }
}

quick_error! {
    /// A call that does not match the state of the cell. The state is unchanged.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CellError {
        /// The machine is unknown or gone.
        UnknownMachine { display("unknown machine") }
        /// The task is unknown or has ended.
        UnknownTask { display("unknown task") }
        /// The gang is unknown or has ended.
        UnknownGang { display("unknown gang") }
        /// The hold is unknown or was released.
        UnknownHold { display("unknown hold") }
        /// The credit is unknown, spent or expired.
        UnknownCredit { display("unknown credit") }
        /// The class is unknown.
        UnknownClass { display("unknown class") }
        /// The task is not in the state that the event requires.
        WrongState { display("the task is not in the state that the event needs") }
        /// The event names another run than the current run of the task.
        StaleAttempt { display("the event refers to another run of the task") }
        /// The capacity is zero or out of range in this dimension.
        BadCapacity(dimension: Dimension) { display("the capacity in {dimension} is zero or out of range") }
        /// A value of the plan or of a machine is out of range.
        BadPlan(reason: &'static str) { display("the plan is not usable: {reason}") }
        /// The task may have run already and is not idempotent.
        NotIdempotent { display("the task is not idempotent and may have run") }
    }
}
