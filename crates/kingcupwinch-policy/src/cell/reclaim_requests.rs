//! Orders to running tasks, repeated until a worker answers.

use kingcupwinch_time::{Span, Time};

use super::Cell;
use super::victims::ReclaimAction;
use crate::decision::{Decision, Placement};
use crate::key::TaskKey;
use crate::task::{Phase, ReclaimState, Run};

/// The time after which an order without an answer is given again.
const RESEND_AFTER: Span = Span::from_secs(5);

impl Cell {
    /// Asks a running task to give capacity back.
    pub(super) fn request_reclaim(
        &mut self,
        key: TaskKey,
        action: ReclaimAction,
        now: Time,
        out: &mut Vec<Decision>,
    ) {
        let Some(run) = self.tasks[key].run().copied() else {
            return;
        };
        let reclaim = match action {
            ReclaimAction::Throttle(percent) => ReclaimState::Throttling(percent),
            ReclaimAction::Checkpoint => ReclaimState::Checkpointing,
            ReclaimAction::Stop => ReclaimState::Stopping,
        };
        self.set_reclaim(key, &run, reclaim, now);
        out.extend(self.reclaim_decision(key, &run, reclaim));
    }

    /// Orders the stop of a running task with the next decisions.
    pub(super) fn request_stop(&mut self, key: TaskKey, run: &Run, now: Time) {
        self.set_reclaim(key, run, ReclaimState::Stopping, now);
        let order = self.reclaim_decision(key, run, ReclaimState::Stopping);
        self.pending.extend(order);
    }

    /// Changes what was asked of a running task; a throttled one that leaves counts as such no more.
    pub(super) fn set_reclaim(
        &mut self,
        key: TaskKey,
        run: &Run,
        reclaim: ReclaimState,
        now: Time,
    ) {
        if run.reclaim == ReclaimState::Throttled && reclaim != ReclaimState::Throttled {
            self.fleet.update(run.machine, |m| m.throttled -= 1);
        }
        if run.reclaim != ReclaimState::Throttled && reclaim == ReclaimState::Throttled {
            self.fleet.update(run.machine, |m| m.throttled += 1);
        }
        self.resends.remove(&(run.resend_at, key));
        let resend_at = now + RESEND_AFTER;
        if reclaim.awaits_reply() {
            self.resends.insert((resend_at, key));
        }
        if let Phase::Running(run) = &mut self.tasks[key].phase {
            run.reclaim = reclaim;
            run.resend_at = resend_at;
        }
    }

    /// Gives the orders again that were not answered in time.
    pub(super) fn resend_requests(&mut self, now: Time, out: &mut Vec<Decision>) {
        while let Some(&(resend_at, key)) = self.resends.first() {
            if resend_at > now {
                return;
            }
            self.resends.remove(&(resend_at, key));
            let Some(run) = self.tasks[key].run().copied() else {
                continue;
            };
            self.set_reclaim(key, &run, run.reclaim, now);
            out.extend(self.reclaim_decision(key, &run, run.reclaim));
        }
    }

    fn reclaim_decision(
        &mut self,
        key: TaskKey,
        run: &Run,
        reclaim: ReclaimState,
    ) -> Option<Decision> {
        let target: Placement = self.placement(key, run);
        match reclaim {
            ReclaimState::None | ReclaimState::Throttled => None,
            ReclaimState::Throttling(percent) => {
                self.counters.throttles += 1;
                Some(Decision::Throttle { target, percent })
            }
            ReclaimState::Checkpointing => {
                self.counters.checkpoints += 1;
                Some(Decision::Checkpoint(target))
            }
            ReclaimState::Stopping => {
                self.counters.stops += 1;
                Some(Decision::Stop(target))
            }
        }
    }
}
