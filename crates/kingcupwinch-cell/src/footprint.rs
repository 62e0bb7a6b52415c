//! Memory that a cell's jobs take at their owner, and whether it has room for another one.
//!
//! The slopes are measured; docs/CAPACITY.md has their points. Only what callers can make grow without end is counted: jobs that have not ended, final states and
//! cancellations that are kept for a while. What runs is bounded by the workers.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::spec::JobSpec;

/// Resident memory of a job without its steps, payload and names, in bytes: its rows here and in the
/// indexes of its owner.
const JOB_BYTES: u64 = 1_400;
/// Resident memory of a step with its description, in bytes.
const STEP_BYTES: u64 = 720;
/// Resident memory of a step of a further occurrence, which shares the description, in bytes.
const OCCURRENCE_STEP_BYTES: u64 = 450;
/// Resident memory of a payload as a multiple of its size: buffers of the requests that brought the jobs
/// leave holes between the payloads.
const PAYLOAD_COPIES: u64 = 2;
/// Memory of a final state that is kept for queries, in bytes.
const ENDED_JOB_BYTES: u64 = 256;
/// Memory of a cancellation whose job is not known, in bytes.
const EARLY_CANCEL_BYTES: u64 = 384;

/// Largest job that counts as small, in bytes: several times those of the known deployments.
const SMALL_JOB_BYTES: u64 = 16 << 10;
/// Part of the bound that only small jobs may use, as a divisor: a crowd of large jobs leaves room for
/// ordinary ones.
const SMALL_JOB_SHARE: u64 = 8;
/// Part of the bound for cancellations of unknown jobs, as a divisor.
const EARLY_CANCEL_SHARE: u64 = 8;

/// What a request adds to the memory of the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Demand {
    /// A job of a customer, if it has one, in bytes.
    Job(u64, Option<Arc<str>>),
    /// A cancellation of a job that is not known.
    EarlyCancel,
}

impl Demand {
    /// Returns the memory in bytes.
    pub fn bytes(&self) -> u64 {
        match self {
            Demand::Job(bytes, _) => *bytes,
            Demand::EarlyCancel => EARLY_CANCEL_BYTES,
        }
    }
}

/// Memory of a cell's jobs in bytes, worked out from slopes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Footprint {
    total: u64,
    early_cancels: u64,
    customers: FxHashMap<Option<Arc<str>>, u64>,
}

impl Footprint {
    /// Returns all of the memory, in bytes.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Adds what a request demands.
    pub fn add(&mut self, demand: &Demand) {
        self.total += demand.bytes();
        match demand {
            Demand::Job(bytes, customer) => {
                *self.customers.entry(customer.clone()).or_default() += bytes;
            }
            Demand::EarlyCancel => self.early_cancels += EARLY_CANCEL_BYTES,
        }
    }

    /// Removes what a request demanded.
    pub fn remove(&mut self, demand: &Demand) {
        self.total = self.total.saturating_sub(demand.bytes());
        match demand {
            Demand::Job(bytes, customer) => {
                if let Some(used) = self.customers.get_mut(customer) {
                    *used = used.saturating_sub(*bytes);
                    if *used == 0 {
                        self.customers.remove(customer);
                    }
                }
            }
            Demand::EarlyCancel => {
                self.early_cancels = self.early_cancels.saturating_sub(EARLY_CANCEL_BYTES);
            }
        }
    }

    pub(crate) fn add_ended(&mut self) {
        self.total += ENDED_JOB_BYTES;
    }

    pub(crate) fn remove_ended(&mut self) {
        self.total = self.total.saturating_sub(ENDED_JOB_BYTES);
    }

    /// Replaces the number of cancellations whose jobs are not known.
    pub(crate) fn set_early_cancels(&mut self, count: usize) {
        self.total -= self.early_cancels;
        self.early_cancels = count as u64 * EARLY_CANCEL_BYTES;
        self.total += self.early_cancels;
    }

    /// Returns whether a request has room within a bound in bytes. Where there are customers, one of them
    /// may use as much as is free: one alone gets half of the bound, `n` get all but an `n + 1`th part.
    pub fn admits(&self, demand: &Demand, limit: u64) -> bool {
        let free = limit.saturating_sub(self.total);
        let bytes = demand.bytes();
        match demand {
            Demand::EarlyCancel => {
                let own_limit = limit / EARLY_CANCEL_SHARE;
                bytes <= free && self.early_cancels + bytes <= own_limit
            }
            Demand::Job(_, customer) => {
                let kept = if bytes > SMALL_JOB_BYTES {
                    limit / SMALL_JOB_SHARE
                } else {
                    0
                };
                let used = self.customers.get(customer).copied().unwrap_or(0);
                let has_share = !self.has_customers(customer) || used + bytes <= free;
                bytes + kept <= free && has_share
            }
        }
    }

    fn has_customers(&self, customer: &Option<Arc<str>>) -> bool {
        customer.is_some() || self.customers.keys().any(Option::is_some)
    }
}

/// Returns the largest job for which a bound ever has room, in bytes.
pub fn largest_job(limit: u64) -> u64 {
    limit - limit / SMALL_JOB_SHARE
}

impl JobSpec {
    /// Returns the memory that the job takes at its owner until it ends, in bytes: without its runs, whose
    /// number the workers bound.
    pub fn held_bytes(&self) -> u64 {
        let occurrences = self.schedule.map_or(1, |schedule| schedule.count.max(1));
        let further = u64::from(occurrences - 1) * self.steps.len() as u64;
        let steps: u64 = self
            .steps
            .iter()
            .map(|step| {
                let names = [&step.required_label, &step.data_rack, &step.image];
                let names = names.into_iter().flatten().map(|name| name.len() as u64);
                // A bit for each task that is done, until all are.
                STEP_BYTES + names.sum::<u64>() + u64::from(step.count) / 8
            })
            .sum();
        JOB_BYTES
            + self.payload.len() as u64 * PAYLOAD_COPIES
            + steps
            + further * OCCURRENCE_STEP_BYTES
    }

    /// Returns what the job demands of its owner.
    pub fn demand(&self) -> Demand {
        Demand::Job(self.held_bytes(), self.customer.clone())
    }
}
