//! Steps that their customer's cap holds back, and their reports for the log of the owner.

use std::sync::Arc;

use kingcupwinch_time::{Span, Time};

use super::{ReadyStep, Turn};
use crate::cell::Cell;
use crate::event::{CapHold, CellEvent};
use crate::job::JobKey;
use crate::run::RunKey;

/// The time between two reports of one kind for one customer, since each round may hold back many steps.
const REPORT_INTERVAL: Span = Span::from_millis(1_000);

/// The steps that caps held back in a round.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CapCounts {
    /// Steps with tasks that could start but for the cap.
    pub held: usize,
    /// Those of them that can never start under the cap.
    pub excluded: usize,
}

impl Cell {
    /// Returns the steps that caps held back in the last round.
    pub fn cap_counts(&self) -> CapCounts {
        self.customers.counts
    }

    /// Returns whether the cap lets no task of a step start now. Such a step takes no further part in the
    /// round: it makes no call to the adviser and reserves no capacity.
    pub(super) fn is_held_by_cap(&mut self, ready: &ReadyStep, now: Time) -> bool {
        let (key, slot) = (ready.job, ready.step);
        if self.cap_room(key, slot) > 0 {
            return false;
        }
        self.customers.counts.held += 1;
        let unit = self.cap_unit(key, slot);
        let is_excluded = self
            .cap_rule(key)
            .is_some_and(|rule| !rule.holds_alone(unit));
        let Some(customer) = self.customer(key).clone() else {
            return true;
        };
        if is_excluded {
            self.customers.counts.excluded += 1;
            if self.customers.note_excluded(&customer) {
                let hold = self.describe_hold(key, slot, customer);
                self.push_event(CellEvent::CapExcludes(hold));
            }
        } else if self
            .customers
            .take_report(&customer, now + REPORT_INTERVAL, now)
        {
            let hold = self.describe_hold(key, slot, customer);
            self.push_event(CellEvent::CapReached(hold));
        }
        true
    }

    /// Reports that a run is discarded before its order is sent, since its customer is above its cap.
    pub(crate) fn note_cap_withdrawal(&mut self, run: RunKey) {
        let (key, name) = (self.runs[run].job, self.runs[run].name);
        let Some(customer) = self.customer(key).clone() else {
            return;
        };
        self.counters.cap_withdrawals += 1;
        let hold = self.describe_hold(key, self.jobs[key].slot(name), customer);
        self.push_event(CellEvent::CapWithdraws(hold));
    }

    fn describe_hold(&self, key: JobKey, slot: usize, customer: Arc<str>) -> CapHold {
        let unit = self.cap_unit(key, slot);
        let usage = self.cap_usage(key, slot);
        CapHold {
            customer,
            step: self.jobs[key].task_name(slot, 0).step_name(),
            together: unit.tasks,
            task: unit.charge,
            runs: usage.runs,
            used: usage.used,
            cap: self.cap_rule(key).map(|rule| rule.cap).unwrap_or_default(),
        }
    }

    /// Returns the step with as many tasks as the cap lets start beside what other steps of its customer
    /// ask the adviser about, or `None` if there is room for none. Tasks that move count already.
    pub(super) fn within_cap(&self, ready: &ReadyStep) -> Option<ReadyStep> {
        let room = match self.cap_rule(ready.job) {
            Some(rule) if ready.turn != Turn::Move => {
                let unit = self.cap_unit(ready.job, ready.step);
                let usage = self.cap_usage_with_asked(ready.job, ready.step);
                rule.room(usage, unit).saturating_mul(unit.tasks)
            }
            _ => u64::MAX,
        };
        let room = usize::try_from(room).unwrap_or(usize::MAX);
        (room > 0).then(|| ReadyStep {
            tasks: ready.tasks.min(room),
            ..*ready
        })
    }
}
