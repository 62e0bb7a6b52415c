//! Baselines: first-in first-out over all work, on a random machine or on the least loaded one.

use std::collections::VecDeque;

use kingcupwinch_policy::{
    Decision, Disposition, Exit, GangKey, GangSpec, GangTicket, MachineKey, MachineSpec, Outcome,
    Placement, Refusal, Resources, TaskKey, TaskSpec,
};
use kingcupwinch_time::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::scheduler::Scheduler;

/// The most starts of one task.
const MAX_ATTEMPTS: u32 = 4;

/// How a baseline chooses among the machines with room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    Random,
    LeastLoaded,
}

struct Machine {
    capacity: Resources,
    used: Resources,
    gone: bool,
}

struct Task {
    spec: TaskSpec,
    gang: Option<GangKey>,
    attempts: u32,
    machine: Option<MachineKey>,
}

/// A strict first-in first-out queue; the head waits until it fits.
pub(crate) struct Baseline {
    choice: Choice,
    machines: SlotMap<MachineKey, Machine>,
    order: Vec<MachineKey>,
    tasks: SlotMap<TaskKey, Task>,
    gangs: SlotMap<GangKey, Vec<TaskKey>>,
    queue: VecDeque<TaskKey>,
    queued: Vec<usize>,
    rng: ChaCha8Rng,
    steps: u64,
    retries: u64,
}

impl Baseline {
    pub(crate) fn new(choice: Choice, classes: usize, seed: u64) -> Self {
        Baseline {
            choice,
            machines: SlotMap::with_key(),
            order: Vec::new(),
            tasks: SlotMap::with_key(),
            gangs: SlotMap::with_key(),
            queue: VecDeque::new(),
            queued: vec![0; classes],
            rng: ChaCha8Rng::seed_from_u64(seed),
            steps: 0,
            retries: 0,
        }
    }

    fn insert(&mut self, spec: TaskSpec, gang: Option<GangKey>) -> TaskKey {
        self.tasks.insert(Task {
            spec,
            gang,
            attempts: 0,
            machine: None,
        })
    }

    fn enqueue(&mut self, key: TaskKey) {
        self.queued[self.tasks[key].spec.class.index()] += 1;
        self.queue.push_back(key);
    }

    fn find(&mut self, need: &Resources) -> Option<MachineKey> {
        self.steps += 1;
        let count = self.order.len();
        let start = self.rng.random_range(0..count.max(1));
        let ring = (0..count).map(|i| self.order[(start + i) % count]);
        let mut fits = ring.filter(|&m| {
            let machine = &self.machines[m];
            !machine.gone && need.fits(&machine.capacity.minus(&machine.used))
        });
        match self.choice {
            Choice::Random => fits.next(),
            Choice::LeastLoaded => fits.min_by(|a, b| {
                let load = |m: MachineKey| {
                    let machine = &self.machines[m];
                    machine.used.dominant_share(&machine.capacity)
                };
                load(*a).total_cmp(&load(*b))
            }),
        }
    }

    fn begin(&mut self, key: TaskKey, machine: MachineKey) -> Placement {
        let task = &mut self.tasks[key];
        task.attempts += 1;
        task.machine = Some(machine);
        let used = &mut self.machines[machine].used;
        *used = used.plus(&task.spec.size);
        Placement {
            task: key,
            machine,
            attempt: task.attempts,
        }
    }

    fn undo(&mut self, place: Placement) {
        let task = &mut self.tasks[place.task];
        task.attempts -= 1;
        task.machine = None;
        let used = &mut self.machines[place.machine].used;
        *used = used.minus(&task.spec.size);
    }

    /// Starts all members or none.
    fn start_gang(&mut self, gang: GangKey, out: &mut Vec<Decision>) -> bool {
        let members = self.gangs[gang].clone();
        let mut places = Vec::new();
        for task in members {
            let need = self.tasks[task].spec.size;
            match self.find(&need) {
                Some(machine) => places.push(self.begin(task, machine)),
                None => {
                    places.into_iter().for_each(|p| self.undo(p));
                    return false;
                }
            }
        }
        let places = places.into_iter().collect();
        out.push(Decision::StartGang { gang, places });
        true
    }
}

impl Scheduler for Baseline {
    fn add_machine(&mut self, spec: MachineSpec, _now: Time) -> Option<MachineKey> {
        let key = self.machines.insert(Machine {
            capacity: spec.capacity,
            used: Resources::ZERO,
            gone: false,
        });
        self.order.push(key);
        Some(key)
    }

    fn remove_machine(&mut self, machine: MachineKey, _now: Time) {
        self.machines[machine].gone = true;
    }

    fn observe(&mut self, _machine: MachineKey, _used: Resources, _taken: Time) {}

    fn submit(&mut self, spec: TaskSpec, _now: Time) -> Result<TaskKey, Refusal> {
        let key = self.insert(spec, None);
        self.enqueue(key);
        Ok(key)
    }

    fn submit_gang(&mut self, spec: GangSpec, _now: Time) -> Result<GangTicket, Refusal> {
        let gang = self.gangs.insert(Vec::new());
        let tasks: Vec<TaskKey> = (0..spec.count)
            .map(|_| self.insert(spec.task, Some(gang)))
            .collect();
        self.gangs[gang] = tasks.clone();
        self.enqueue(tasks[0]);
        Ok(GangTicket { gang, tasks })
    }

    fn cancel(&mut self, task: TaskKey, _now: Time) {
        let waiting = self.tasks.get(task).is_some_and(|t| t.machine.is_none());
        if waiting && let Some(old) = self.tasks.remove(task) {
            self.queued[old.spec.class.index()] -= 1;
        }
    }

    fn ended(&mut self, place: Placement, end: Exit, _now: Time) -> Disposition {
        let task = &mut self.tasks[place.task];
        task.machine = None;
        let used = &mut self.machines[place.machine].used;
        *used = used.minus(&task.spec.size);
        let done = end.outcome == Outcome::Done;
        if done || !task.spec.idempotent || task.attempts >= MAX_ATTEMPTS || task.gang.is_some() {
            self.tasks.remove(place.task);
            return Disposition::Left;
        }
        self.retries += 1;
        self.enqueue(place.task);
        Disposition::Requeued
    }

    fn throttled(&mut self, _place: Placement, _now: Time) {}

    fn decide(&mut self, _now: Time, out: &mut Vec<Decision>) {
        while let Some(&key) = self.queue.front() {
            let Some(task) = self.tasks.get(key) else {
                self.queue.pop_front();
                continue;
            };
            let (class, gang, need) = (task.spec.class.index(), task.gang, task.spec.size);
            let started = match gang {
                Some(gang) => self.start_gang(gang, out),
                None => match self.find(&need) {
                    Some(machine) => {
                        let place = self.begin(key, machine);
                        out.push(Decision::Start(place));
                        true
                    }
                    None => false,
                },
            };
            if !started {
                return;
            }
            self.queue.pop_front();
            self.queued[class] -= 1;
        }
    }

    fn next_deadline(&self) -> Option<Time> {
        None
    }

    fn queued(&self, class: usize) -> usize {
        self.queued[class]
    }

    fn steps(&self) -> u64 {
        self.steps
    }

    fn retries(&self) -> u64 {
        self.retries
    }
}
