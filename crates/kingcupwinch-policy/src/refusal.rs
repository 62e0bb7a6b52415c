//! Why work is refused, and faults in the calls of an embedder.

use kingcupwinch_time::Span;
use quick_error::quick_error;

use crate::resources::Dimension;

quick_error! {
    /// Why a task was not run. Each certainly did not run, except [`Refusal::FailedEverywhere`] and
    /// [`Refusal::RetryBudgetSpent`], which may follow a failed run. The span of some is when a new try makes
    /// sense.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Refusal {
        /// The class's queue is at its bound.
        QueueFull(retry_after: Span) {
            display("the class's queue is full")
        }
        /// A rate limit of the class or the customer is spent.
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
        /// The gang is wider than the whole cell.
        TooWide {
            display("the gang has more tasks than the cell can hold at once")
        }
        /// The customer's hard quota is smaller than the task.
        OverQuota {
            display("the customer's quota is smaller than the task")
        }
        /// The size is zero or absurd in this dimension.
        BadSize(dimension: Dimension) {
            display("the amount of {dimension} is zero or absurd")
        }
        /// A gang without tasks or a run time without end.
        BadSpec {
            display("the description of the work is not usable")
        }
        /// The class is unknown or no longer in the plan.
        UnknownClass {
            display("the class is unknown")
        }
        /// The customer is unknown or no longer in the plan.
        UnknownCustomer {
            display("the customer is unknown")
        }
        /// The caller cancelled it.
        Cancelled {
            display("cancelled")
        }
        /// The retry budget of its class is spent.
        RetryBudgetSpent(retry_after: Span) {
            display("the retry budget is spent")
        }
        /// It failed on several healthy machines.
        FailedEverywhere {
            display("the task failed on several healthy machines")
        }
    }
}

impl Refusal {
    /// Returns when a new try makes sense, if ever.
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
    /// A call that doesn't match the cell's state; the state is unchanged.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CellError {
        /// No such machine.
        UnknownMachine { display("unknown machine") }
        /// No such task, or it has ended.
        UnknownTask { display("unknown task") }
        /// No such gang, or it has ended.
        UnknownGang { display("unknown gang") }
        /// No such hold, or it was released.
        UnknownHold { display("unknown hold") }
        /// No such credit, or it is spent or expired.
        UnknownCredit { display("unknown credit") }
        /// No such class.
        UnknownClass { display("unknown class") }
        /// The task is not in the state that the event needs.
        WrongState { display("the task is not in the state that the event needs") }
        /// The event names another run of the task than the present one.
        StaleAttempt { display("the event is of another run") }
        /// A capacity that is zero or absurd.
        BadCapacity(dimension: Dimension) { display("the capacity in {dimension} is zero or absurd") }
        /// A plan with a value out of range.
        BadPlan(reason: &'static str) { display("the plan is not usable: {reason}") }
        /// The task may have run already and is not idempotent.
        NotIdempotent { display("the task is not idempotent and may have run") }
    }
}
