//! Converts refusals of live requests to problem documents.

use hyper::StatusCode;
use kingcupwinch_policy::Refusal;
use kingcupwinch_time::Span;
use kingcupwinch_wire::api::{Problem, ProblemOutcome};

use crate::metrics::Outcome;
use crate::server::problem::{not_run, try_later};

/// Retry delay where the policy names none.
pub(crate) const DEFAULT_RETRY: Span = Span::from_secs(1);

/// Builds the problem document for work that the policy refused.
pub(crate) fn to_problem(refusal: &Refusal) -> Problem {
    let detail = refusal.to_string();
    let status = match refusal {
        Refusal::QueueFull(_) | Refusal::Deadline(_) | Refusal::RetryBudgetSpent(_) => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Refusal::RateLimit(_) => StatusCode::TOO_MANY_REQUESTS,
        Refusal::FailedEverywhere | Refusal::MachineCrashes => StatusCode::BAD_GATEWAY,
        _ => StatusCode::UNPROCESSABLE_ENTITY,
    };
    let mut problem = not_run(status, refusal_code(refusal), detail);
    match refusal {
        Refusal::FailedEverywhere => problem.outcome = ProblemOutcome::Failed,
        Refusal::MachineCrashes => problem.outcome = ProblemOutcome::Unknown,
        _ => {}
    }
    problem.retry_ms = refusal.retry_after().map(|span| span.as_millis().max(1));
    problem
}

fn refusal_code(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::QueueFull(_) => "queue-full",
        Refusal::RateLimit(_) => "rate-limit",
        Refusal::Deadline(_) => "deadline",
        Refusal::TooLarge(_) | Refusal::NoFittingMachine => "fits-no-worker",
        Refusal::TooWide => "gang-too-wide",
        Refusal::OverQuota => "over-quota",
        Refusal::BadSize(_) | Refusal::BadSpec => "bad-request",
        Refusal::UnknownClass => "unknown-class",
        Refusal::UnknownCustomer => "unknown-customer",
        Refusal::Cancelled => "cancelled",
        Refusal::RetryBudgetSpent(_) => "retries-spent",
        Refusal::FailedEverywhere => "failed-everywhere",
        Refusal::MachineCrashes => "worker-crashes",
    }
}

/// Builds the problem document for a request whose caller has disconnected.
pub(crate) fn disconnect_problem() -> Problem {
    not_run(
        StatusCode::REQUEST_TIMEOUT,
        "cancelled",
        "the caller disconnected",
    )
}

/// Builds the problem document for a request that arrives while the instance stops.
pub(crate) fn stopping() -> Problem {
    try_later("stopping", "this instance is stopping", DEFAULT_RETRY)
}

/// Returns the metrics label for a refusal.
pub(crate) fn request_outcome(problem: &Problem) -> Outcome {
    match problem.outcome {
        ProblemOutcome::NotRun => Outcome::NotRun,
        ProblemOutcome::Unknown => Outcome::Unknown,
        ProblemOutcome::Failed => Outcome::Failed,
    }
}
