//! What an earlier owner left running on a gained worker.

use std::sync::Arc;

use kameo::message::{Context, Message};
use kingcupwinch_coord::id::TaskId;
use kingcupwinch_policy::{HoldKey, MachineKey, Placement};
use kingcupwinch_time::Time;
use kingcupwinch_wire::sibling::TaskPhase;
use kingcupwinch_wire::worker::{RunningWork, WorkKind};

use super::Scheduler;
use super::tasks::{TaskEntry, TaskRun};
use crate::actors::jobs::{KnownTask, SpecsOf};
use crate::jobs::TaskName;

/// The work that runs on a gained worker, with what its jobs say of it.
struct Inherit {
    name: Arc<str>,
    hold: HoldKey,
    taken: Time,
    works: Vec<(RunningWork, Option<KnownTask>)>,
}

impl Scheduler {
    /// Asks what the running work is like, while the whole worker still counts as taken.
    pub(super) fn resolve(
        &mut self,
        name: &Arc<str>,
        hold: HoldKey,
        works: Vec<RunningWork>,
        taken: Time,
    ) {
        let jobs = self.jobs.clone();
        let me = self.me.clone();
        let name = Arc::clone(name);
        tokio::spawn(async move {
            let tasks: Vec<TaskId> = works.iter().map(|work| TaskId(work.task)).collect();
            let known = match jobs {
                Some(jobs) => jobs.ask(SpecsOf(tasks)).await.map(|specs| specs.0),
                None => Ok(Vec::new()),
            };
            let mut known = known.unwrap_or_default().into_iter();
            let works = works
                .into_iter()
                .map(|work| (work, known.next().flatten()))
                .collect();
            // A stopped scheduler counts nothing.
            let _ = me
                .tell(Inherit {
                    name,
                    hold,
                    taken,
                    works,
                })
                .await;
        });
    }

    fn inherit_all(&mut self, inherit: Inherit) {
        self.release(inherit.hold);
        let Some(machine) = self.seats.get(&inherit.name).map(|seat| seat.machine) else {
            return;
        };
        for (work, known) in inherit.works {
            match known.filter(|_| work.kind == WorkKind::Task) {
                Some(known) => self.adopt(machine, &work, known),
                None => self.count_unknown(&inherit.name, machine, &work, inherit.taken),
            }
        }
    }

    fn count_unknown(
        &mut self,
        name: &Arc<str>,
        machine: MachineKey,
        work: &RunningWork,
        taken: Time,
    ) {
        let known = self.live.values().any(|entry| entry.id == work.task);
        if !known && !self.task_keys.contains_key(&TaskId(work.task)) {
            self.doubt(name, machine, work.task, self.inherited_size(), taken);
        }
    }

    /// Goes on with a task that an earlier owner has started.
    fn adopt(&mut self, machine: MachineKey, work: &RunningWork, known: KnownTask) {
        let now = self.now();
        let id = TaskId(work.task);
        let Some(name) = TaskName::read(id) else {
            return;
        };
        if self.task_keys.contains_key(&id) {
            return;
        }
        let adopted = self
            .task_spec(&known.spec, known.idempotent)
            .ok()
            .and_then(|spec| self.cell.adopt(spec, machine, now).ok());
        let Some(place) = adopted else {
            // A gang's member, or a class that is gone: only its capacity is counted.
            if let Some(name) = self.machines.get(&machine).cloned() {
                self.doubt(
                    &name,
                    machine,
                    work.task,
                    super::tasks::size_of(&known.spec),
                    now,
                );
            }
            return;
        };
        let entry = TaskEntry::adopted(id, name.job.id, known, base_of(work, place), now);
        self.insert_task(place.task, entry);
        if let Some(entry) = self.tasks.get_mut(&place.task) {
            entry.run = Some(TaskRun {
                place,
                confirmed: Some(now),
                saved: false,
            });
        }
        self.tell_home(id, TaskPhase::Running);
    }
}

/// Returns the number below the attempts, so that the running one keeps its own.
fn base_of(work: &RunningWork, place: Placement) -> u32 {
    work.attempt.saturating_sub(place.attempt)
}

impl Message<Inherit> for Scheduler {
    type Reply = ();

    async fn handle(&mut self, inherit: Inherit, _ctx: &mut Context<Self, ()>) {
        self.inherit_all(inherit);
        self.decide();
    }
}
