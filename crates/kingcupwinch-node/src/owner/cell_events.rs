//! Log events and counts of what the cell concludes.

use kingcupwinch_cell::{CapHold, CellEvent, Evidence, StartDelay};
use kingcupwinch_time::Span;
use slog::o;

use super::Owner;
use crate::events::Event;
use crate::metrics::Metrics;

impl Owner {
    /// Logs what the cell has concluded.
    pub(super) fn log_cell_events(&mut self) {
        for event in self.cell.take_events() {
            self.log_cell_event(event);
        }
    }

    fn log_cell_event(&self, event: CellEvent) {
        let log = &self.shared.log;
        match event {
            CellEvent::WorkerRestarted {
                worker,
                known_ms,
                reported_ms,
                runs,
                late_grant,
                leases_left,
            } => log.write(
                Event::WorkerRestarted,
                o!("worker" => worker.to_string(), "known_ms" => known_ms,
                    "reported_ms" => reported_ms, "runs" => runs,
                    "late_grant_ms" => late_grant.map(Span::as_millis),
                    "leases_left_ms" => leases_left.as_millis()),
            ),
            CellEvent::WorkerFenced {
                worker,
                token,
                leases_left,
            } => log.write(
                Event::WorkerFenced,
                o!("worker" => worker.to_string(), "token" => token,
                    "leases_left_ms" => leases_left.as_millis()),
            ),
            CellEvent::RunsSettled {
                worker,
                cause,
                runs,
                response_age,
                unlisted_age,
                failed_polls,
                granted_to,
                expired_age,
                successor,
            } => log.write(
                Event::RunsSettled,
                o!("worker" => worker.to_string(), "cause" => cause.as_str(), "runs" => runs,
                    "response_ms_ago" => response_age.map(Span::as_millis),
                    "unlisted_ms_ago" => unlisted_age.map(Span::as_millis),
                    "failed_polls" => failed_polls, "granted_to" => granted_to,
                    "expired_ms_ago" => expired_age.map(Span::as_millis),
                    "successor" => successor.map(|id| id.to_string())),
            ),
            CellEvent::LateEnd {
                worker,
                end,
                is_counted,
            } => log.write(
                Event::LateEnd,
                o!("task" => end.task.to_string(), "run" => end.run, "how" => end.reason.as_str(),
                    "sequence" => end.sequence, "worker" => worker.to_string(),
                    "counted" => is_counted),
            ),
            CellEvent::WorkerCrashed {
                worker,
                cause,
                suspects,
                tasks,
                is_clear,
                outage,
            } => {
                Metrics::count_end(&self.shared.metrics.crashes, cause.as_str());
                let tasks: Vec<String> = tasks.iter().map(ToString::to_string).collect();
                log.write(
                    Event::CrashCounted,
                    o!("worker" => worker.to_string(), "cause" => cause.as_str(),
                        "suspects" => suspects, "tasks" => tasks.join(" "), "clear" => is_clear,
                        "outage" => outage),
                );
            }
            CellEvent::TaskGivenUp { task, crashes } => {
                let clear = crashes
                    .iter()
                    .filter(|crash| crash.evidence == Evidence::Clear);
                let clear = clear.count();
                let workers: Vec<&str> = crashes.iter().map(|crash| &*crash.worker).collect();
                log.write(
                    Event::TaskGivenUp,
                    o!("task" => task.to_string(), "crashes" => crashes.len(), "clear" => clear,
                        "workers" => workers.join(" ")),
                );
            }
            CellEvent::CapReached(hold) => self.log_hold(Event::CapReached, &hold),
            CellEvent::CapExcludes(hold) => self.log_hold(Event::CapExcludes, &hold),
            CellEvent::CapWithdraws(hold) => self.log_hold(Event::CapWithdraws, &hold),
            CellEvent::StartDelayed(delay) => self.log_delay(&delay),
            CellEvent::StartDiscarded {
                task,
                run,
                worker,
                cause,
                age,
            } => log.write(
                Event::StartDiscarded,
                o!("task" => task.to_string(), "run" => run, "worker" => worker.to_string(),
                    "cause" => cause, "placed_ms_ago" => age.as_millis()),
            ),
            CellEvent::StepWaits(wait) => log.write(
                Event::StepWaits,
                o!("step" => wait.step, "queue" => wait.queue.to_string(), "tasks" => wait.tasks,
                    "age_ms" => wait.age.as_millis(), "call_pending" => wait.is_call_pending,
                    "tickets" => wait.tickets, "startable" => wait.startable,
                    "no_ticket" => wait.no_ticket, "denied" => wait.denied,
                    "at_limit" => wait.at_limit, "full" => wait.full, "kept" => wait.kept,
                    "slow" => wait.slow, "at_cap" => wait.is_at_cap,
                    "isolated" => wait.isolated, "unlabelled" => wait.unlabelled,
                    "unusable" => wait.unusable),
            ),
        }
    }

    /// Counts a decision whether to wait for faster workers, and logs it unless there are too many.
    fn log_delay(&self, delay: &StartDelay) {
        Metrics::count_end(&self.shared.metrics.start_delays, delay.outcome);
        if !delay.is_logged {
            return;
        }
        self.shared.log.write(
            Event::StartDelayed,
            o!("step" => delay.step.clone(), "queue" => delay.queue.to_string(),
                "tasks" => delay.tasks, "outcome" => delay.outcome,
                "deadline_ms" => delay.deadline_in.map(Span::as_millis),
                "here_ms" => delay.here.as_millis(), "better_ms" => delay.better.as_millis(),
                "wait_ms" => delay.expected_wait.map(Span::as_millis),
                "rate_age_ms" => delay.rate_age.as_millis(), "ahead_millicores" => delay.ahead,
                "objective_ms" => delay.objective_in.as_millis()),
        );
    }

    /// Logs a step that its customer's cap holds back, with the version of the configuration that set
    /// the cap and the age of its copy.
    fn log_hold(&self, event: Event, hold: &CapHold) {
        let copy = self.shared.configuration.snapshot();
        let age = copy.age(self.shared.now());
        self.shared.log.write(
            event,
            o!("customer" => hold.customer.to_string(), "step" => hold.step.clone(),
                "together" => hold.together, "task_millicores" => hold.task.cpu,
                "task_mb" => hold.task.memory, "task_gpus" => hold.task.gpu,
                "runs" => hold.runs, "used_millicores" => hold.used.cpu,
                "used_mb" => hold.used.memory, "used_gpus" => hold.used.gpu,
                "cap_millicores" => hold.cap.cpu, "cap_mb" => hold.cap.memory,
                "cap_gpus" => hold.cap.gpu, "version" => self.customers_version,
                "copy_age_ms" => age.map(Span::as_millis)),
        );
    }
}
