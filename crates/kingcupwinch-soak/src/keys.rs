//! Customers whose keys are added and withdrawn, and callers that use such keys.

use std::time::{Duration, Instant};

use kingcupwinch_standin::PublishedCustomer;

use crate::checks::{Invariant, Observations, Runs, Violation, add_violation};
use crate::disturbances::is_in_touch;
use crate::routes::CONFIG_BOUND;

/// Number of customers.
pub(crate) const CUSTOMERS: usize = 3;
/// Age of the copy of the configuration from which instances with such a limit serve no key.
pub(crate) const REVOKE_LIMIT: Duration = Duration::from_millis(3_000);

/// What is recorded as the state of a job if the key of its caller is refused as unknown.
pub(crate) const REFUSED_KEY: &str = "refused key";

const UNAUTHORIZED: u16 = 401;
/// Response to a request without a job whose key is served.
const SERVED: u16 = 405;

/// A key that the operator added, and withdrew later.
#[derive(Debug, Clone)]
pub struct ObservedKey {
    /// Version that added it.
    pub version: u64,
    /// Time at which that version was acknowledged.
    pub added: Instant,
    /// Time at which a version without it was sent.
    pub withdrawal_sent: Option<Instant>,
    /// Time at which that version was acknowledged.
    pub withdrawn: Option<Instant>,
}

/// A response of an instance to a request with a key.
#[derive(Debug, Clone, Copy)]
pub struct KeyUse {
    /// Index of the instance.
    pub instance: usize,
    /// Index of the key; `None` for a key that never existed.
    pub key: Option<usize>,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time at which the response had arrived.
    pub received: Instant,
    /// Status of the response.
    pub status: u16,
}

/// Keys of customers, and requests with them.
#[derive(Debug, Clone, Default)]
pub struct KeyObservations {
    /// The keys that were added.
    pub keys: Vec<ObservedKey>,
    /// Responses to requests with these keys, and with keys that never existed.
    pub uses: Vec<KeyUse>,
    /// Ids of the jobs that were submitted with keys that never existed.
    pub forged_jobs: Vec<String>,
}

/// Returns the key of a customer that is never withdrawn.
pub(crate) fn lasting_key(customer: usize) -> String {
    format!("lasting-{}", customer % CUSTOMERS)
}

/// Returns the key that a version adds.
pub(crate) fn added_key(version: u64) -> String {
    format!("added-{version}")
}

/// Returns a key that no version has.
pub(crate) fn forged_key(version: u64) -> String {
    format!("forged-{version}")
}

/// Returns the customers with their lasting keys and the added keys of these versions.
pub(crate) fn customers(versions: impl Iterator<Item = u64>) -> Vec<PublishedCustomer> {
    let lasting = |number| PublishedCustomer {
        name: format!("customer-{number}"),
        keys: vec![lasting_key(number)],
    };
    let mut customers: Vec<PublishedCustomer> = (0..CUSTOMERS).map(lasting).collect();
    for version in versions {
        let customer = version as usize % CUSTOMERS;
        customers[customer].keys.push(added_key(version));
    }
    customers
}

/// Checks every response to a request with a key, and that nothing runs that was submitted with a
/// forged one.
pub(crate) fn check_keys(
    observations: &Observations<'_>,
    runs: &Runs,
    violations: &mut Vec<Violation>,
) {
    for task in runs.keys() {
        let mut forged = observations.keys.forged_jobs.iter();
        if forged.any(|id| task.starts_with(id.as_str())) {
            add_violation(violations, Invariant::KeyForged, task.to_string());
        }
    }
    for job in observations.jobs {
        if job.states.iter().any(|(_, state)| state == REFUSED_KEY) {
            let detail = format!(
                "the key of {} was refused, which is never withdrawn",
                job.id
            );
            add_violation(violations, Invariant::KeyServed, detail);
        }
    }
    for used in &observations.keys.uses {
        let KeyUse {
            instance,
            sent,
            received,
            status,
            ..
        } = *used;
        let is_served = status == SERVED;
        let Some(key) = used.key else {
            if is_served {
                let detail = format!("instance-{instance} served a key that never existed");
                add_violation(violations, Invariant::KeyForged, detail);
            }
            continue;
        };
        let Some(key) = observations.keys.keys.get(key) else {
            continue;
        };
        if is_refused_in_force(key, used) {
            let detail = format!(
                "instance-{instance} refused key {} {:?} after its acknowledgement",
                key.version,
                sent - key.added
            );
            add_violation(violations, Invariant::KeyServed, detail);
        }
        let Some(withdrawn) = key.withdrawn.filter(|withdrawn| sent > *withdrawn) else {
            continue;
        };
        let in_touch = is_in_touch(observations.disturbances, instance, sent, received);
        let bound = if in_touch {
            Some(CONFIG_BOUND)
        } else {
            observations.revoke_limit
        };
        if is_served && bound.is_some_and(|bound| sent > withdrawn + bound) {
            let detail = format!(
                "instance-{instance} served key {} {:?} after its withdrawal, {}",
                key.version,
                sent - withdrawn,
                if in_touch { "in touch" } else { "not in touch" },
            );
            add_violation(violations, Invariant::KeyWithdrawn, detail);
        }
    }
}

/// Returns whether a key was refused as unknown although it was in force from the bound before the
/// request until the response. An instance that can't know of it must not refuse it for good, in touch
/// or not.
fn is_refused_in_force(key: &ObservedKey, used: &KeyUse) -> bool {
    used.status == UNAUTHORIZED
        && used.sent > key.added + CONFIG_BOUND
        && key
            .withdrawal_sent
            .is_none_or(|withdrawal| used.received < withdrawal)
}
