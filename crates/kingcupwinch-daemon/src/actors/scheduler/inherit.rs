//! Work that a previous owner left running on the workers of a newly owned shard.

use std::sync::Arc;

use kameo::message::{Context, Message};
use kingcupwinch_coord::id::TaskId;
use kingcupwinch_policy::{HoldKey, MachineKey, Placement};
use kingcupwinch_time::Time;
use kingcupwinch_wire::sibling::TaskPhase;
use kingcupwinch_wire::worker::{RunningWork, WorkKind};

use super::Scheduler;
use super::tasks::{TaskEntry, TaskRun};
use crate::actors::jobs::{GetSpecs, KnownTask};
use crate::jobs::TaskIdParts;

/// The work that runs on an inherited worker, with the descriptions found in open jobs.
struct InheritedWork {
    name: Arc<str>,
    machine: MachineKey,
    hold: HoldKey,
    taken: Time,
    work_items: Vec<(RunningWork, Option<KnownTask>)>,
}

impl Scheduler {
    /// Looks up the descriptions of the running work. The whole worker stays reserved until the
    /// result arrives.
    pub(super) fn look_up_inherited(
        &mut self,
        name: &Arc<str>,
        (machine, hold): (MachineKey, HoldKey),
        work_items: Vec<RunningWork>,
        taken: Time,
    ) {
        let jobs = self.jobs.clone();
        let me = self.me.clone();
        let name = Arc::clone(name);
        tokio::spawn(async move {
            let tasks: Vec<TaskId> = work_items.iter().map(|work| TaskId(work.task)).collect();
            let known = match jobs {
                Some(jobs) => jobs.ask(GetSpecs(tasks)).await.map(|specs| specs.0),
                None => Ok(Vec::new()),
            };
            let mut known = known.unwrap_or_default().into_iter();
            let work_items = work_items
                .into_iter()
                .map(|work| (work, known.next().flatten()))
                .collect();
            // A stopped scheduler needs no result.
            let _ = me
                .tell(InheritedWork {
                    name,
                    machine,
                    hold,
                    taken,
                    work_items,
                })
                .await;
        });
    }

    fn apply_inherited(&mut self, inherit: InheritedWork) {
        let machine = inherit.machine;
        let owned = self.workers.get_mut(&inherit.name);
        // A machine that is gone has no holds.
        let Some(owned) = owned.filter(|owned| owned.machine == machine) else {
            return;
        };
        let ended = owned.ended_in_lookup.take().unwrap_or_default();
        self.release_hold(inherit.hold);
        let work_items = inherit.work_items.into_iter();
        let running = work_items.filter(|(work, _)| !ended.contains(&(work.task, work.attempt)));
        for (work, known) in running {
            match known.filter(|_| work.kind == WorkKind::Task) {
                Some(known) => self.adopt(machine, &work, known),
                None => self.hold_unknown_work(&inherit.name, machine, &work, inherit.taken),
            }
        }
    }

    fn hold_unknown_work(
        &mut self,
        name: &Arc<str>,
        machine: MachineKey,
        work: &RunningWork,
        taken: Time,
    ) {
        self.hold_unconfirmed(name, machine, work.task, self.inherited_size(), taken);
    }

    /// Adopts a task that a previous owner has started.
    fn adopt(&mut self, machine: MachineKey, work: &RunningWork, known: KnownTask) {
        let now = self.now();
        let id = TaskId(work.task);
        let Some(parts) = TaskIdParts::parse(id) else {
            return;
        };
        if self.task_keys.contains_key(&id) {
            return;
        }
        let adopted = self
            .task_spec(&known.spec, known.idempotent)
            .ok()
            .map(|spec| spec.with_crashes(known.crashes))
            .and_then(|spec| self.cell.adopt(spec, machine, now).ok());
        let Some(place) = adopted else {
            // The task belongs to a gang, or its class no longer exists, so only its capacity is
            // reserved.
            if let Some(name) = self.machines.get(&machine).cloned() {
                self.hold_unconfirmed(
                    &name,
                    machine,
                    work.task,
                    super::tasks::size_of(&known.spec),
                    now,
                );
            }
            return;
        };
        let entry = TaskEntry::adopted(id, parts.job.id, known, attempt_base(work, place), now);
        self.insert_task(place.task, entry);
        if let Some(entry) = self.tasks.get_mut(&place.task) {
            entry.run = Some(TaskRun {
                place,
                confirmed: Some(now),
                acknowledged: true,
                checkpointed: false,
            });
        }
        self.notify_home(id, TaskPhase::Running);
    }
}

/// Returns the base to add to the policy's attempt numbers, so that the running attempt keeps its
/// number.
fn attempt_base(work: &RunningWork, place: Placement) -> u32 {
    work.attempt.saturating_sub(place.attempt)
}

impl Message<InheritedWork> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, inherit: InheritedWork, _ctx: &mut Context<Self, ()>) {
        self.apply_inherited(inherit);
        self.decide();
    }
}
