//! Orders to running tasks, repeated until a worker answers.

use kingcupwinch_time::{Span, Time};

use super::Cell;
use super::victims::Reclaim;
use crate::decision::{Decision, Placement};
use crate::key::TaskKey;
use crate::task::{Asked, Phase, Run};

/// The time after which an order without an answer is given again.
const REPEAT_AFTER: Span = Span::from_secs(5);

impl Cell {
    /// Asks a running task to give capacity back.
    pub(super) fn ask(&mut self, key: TaskKey, means: Reclaim, now: Time, out: &mut Vec<Decision>) {
        let Some(run) = self.tasks[key].run().copied() else {
            return;
        };
        let asked = match means {
            Reclaim::Throttle(percent) => Asked::Throttle(percent),
            Reclaim::Checkpoint => Asked::Checkpoint,
            Reclaim::Stop => Asked::Stop,
        };
        self.set_asked(key, &run, asked, now);
        out.extend(self.order(key, &run, asked));
    }

    /// Orders the stop of a running task with the next decisions.
    pub(super) fn order_stop(&mut self, key: TaskKey, run: &Run, now: Time) {
        self.set_asked(key, run, Asked::Stop, now);
        let order = self.order(key, run, Asked::Stop);
        self.orders.extend(order);
    }

    /// Changes what was asked of a running task; a throttled one that leaves counts as such no more.
    pub(super) fn set_asked(&mut self, key: TaskKey, run: &Run, asked: Asked, now: Time) {
        if run.asked == Asked::Throttled && asked != Asked::Throttled {
            self.fleet.update(run.machine, |m| m.throttled -= 1);
        }
        if run.asked != Asked::Throttled && asked == Asked::Throttled {
            self.fleet.update(run.machine, |m| m.throttled += 1);
        }
        self.asks.remove(&(run.repeat, key));
        let repeat = now + REPEAT_AFTER;
        if asked.awaits_answer() {
            self.asks.insert((repeat, key));
        }
        if let Phase::Running(run) = &mut self.tasks[key].phase {
            run.asked = asked;
            run.repeat = repeat;
        }
    }

    /// Gives the orders again that were not answered in time.
    pub(super) fn repeat_asks(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(&(repeat, key)) = self.asks.first() {
            if repeat > now {
                return;
            }
            self.asks.remove(&(repeat, key));
            let Some(run) = self.tasks[key].run().copied() else {
                continue;
            };
            self.set_asked(key, &run, run.asked, now);
            out.extend(self.order(key, &run, run.asked));
        }
    }

    fn order(&mut self, key: TaskKey, run: &Run, asked: Asked) -> Option<Decision> {
        let target: Placement = self.placement(key, run);
        match asked {
            Asked::Nothing | Asked::Throttled => None,
            Asked::Throttle(percent) => {
                self.counters.throttles += 1;
                Some(Decision::Throttle { target, percent })
            }
            Asked::Checkpoint => {
                self.counters.checkpoints += 1;
                Some(Decision::Checkpoint(target))
            }
            Asked::Stop => {
                self.counters.stops += 1;
                Some(Decision::Stop(target))
            }
        }
    }
}
