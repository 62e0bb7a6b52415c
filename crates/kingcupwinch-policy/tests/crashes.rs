//! Tasks under which machines crash.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Harness, UNIT};
use kingcupwinch_policy::{
    ClassKind, Crashes, Decision, Disposition, Exit, GangSpec, MachineKey, MachineState, Outcome,
    Placement, Refusal, TaskKey,
};
use kingcupwinch_time::{Span, Time};
use rstest::rstest;

/// Time from the start of a faulty task to the crash of its machine.
const CRASH_DELAY: Span = Span::from_millis(300);
/// Time that a crashed machine takes to come back.
const DOWNTIME: Span = Span::from_secs(3);
/// Time between two rounds.
const ROUND_MILLIS: u64 = 100;

/// Machines that crash whenever they run one of the `faulty` tasks.
struct Site {
    harness: Harness,
    machines: Vec<MachineKey>,
    faulty: BTreeSet<TaskKey>,
    runs: BTreeMap<TaskKey, (Placement, Time)>,
    starts: BTreeMap<TaskKey, u32>,
    gave_up: BTreeMap<TaskKey, Refusal>,
    done: BTreeSet<TaskKey>,
    /// Machines that are down, with a hold on all of their capacity.
    down: Vec<(Time, kingcupwinch_policy::HoldKey)>,
    /// How long a harmless task runs.
    run: Span,
}

impl Site {
    fn new(machines: usize, run: Span) -> Self {
        let mut harness = Harness::with_kind(ClassKind::Batch);
        let machines = (0..machines).map(|_| harness.machine("r", 4)).collect();
        Site {
            harness,
            machines,
            faulty: BTreeSet::new(),
            runs: BTreeMap::new(),
            starts: BTreeMap::new(),
            gave_up: BTreeMap::new(),
            done: BTreeSet::new(),
            down: Vec::new(),
            run,
        }
    }

    fn submit(&mut self, is_faulty: bool) -> TaskKey {
        let spec = self.harness.spec("work", 1);
        let task = self.harness.cell.submit(spec, self.harness.now).unwrap();
        if is_faulty {
            self.faulty.insert(task);
        }
        task
    }

    fn submit_many(&mut self, count: usize, is_faulty: bool) -> Vec<TaskKey> {
        (0..count).map(|_| self.submit(is_faulty)).collect()
    }

    fn end(&mut self, place: Placement, outcome: Outcome) {
        self.runs.remove(&place.task);
        match self.harness.end(place, outcome) {
            Disposition::GaveUp(refusal) => {
                self.gave_up.insert(place.task, refusal);
            }
            Disposition::Left => {
                self.done.insert(place.task);
            }
            Disposition::Requeued => {}
        }
    }

    fn crash(&mut self, machine: MachineKey) {
        let runs: Vec<Placement> = self.runs.values().map(|run| run.0).collect();
        for place in runs.into_iter().filter(|place| place.machine == machine) {
            self.end(place, Outcome::Crashed);
        }
        let hold = self.harness.cell.occupy(machine, UNIT.times(100)).unwrap();
        self.down.push((self.harness.now + DOWNTIME, hold));
    }

    fn bring_back(&mut self) {
        let now = self.harness.now;
        let back = self.down.extract_if(.., |(at, _)| *at <= now);
        for (_, hold) in back.collect::<Vec<_>>() {
            self.harness.cell.release(hold).unwrap();
        }
    }

    fn start(&mut self) {
        for decision in self.harness.decide() {
            let places = match decision {
                Decision::Start(place) => vec![place],
                Decision::StartGang { places, .. } => places.to_vec(),
                Decision::GiveUp { task, refusal } => {
                    self.gave_up.insert(task, refusal);
                    continue;
                }
                _ => continue,
            };
            for place in places {
                *self.starts.entry(place.task).or_default() += 1;
                self.runs.insert(place.task, (place, self.harness.now));
            }
        }
    }

    /// Starts what the cell decides, crashes the machines of faulty tasks, and ends harmless tasks.
    fn round(&mut self) {
        self.harness.advance(ROUND_MILLIS);
        self.bring_back();
        self.start();
        let now = self.harness.now;
        let due = |span| move |(_, began): &&(Placement, Time)| *began + span <= now;
        let runs = self.runs.values();
        let crashing: BTreeSet<MachineKey> = runs
            .filter(|(place, _)| self.faulty.contains(&place.task))
            .filter(due(CRASH_DELAY))
            .map(|(place, _)| place.machine)
            .collect();
        for machine in crashing {
            self.crash(machine);
        }
        let runs = self.runs.values();
        let ended = runs
            .filter(|(place, _)| !self.faulty.contains(&place.task))
            .filter(due(self.run));
        for (place, _) in ended.copied().collect::<Vec<_>>() {
            self.end(place, Outcome::Done);
        }
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.round();
        }
    }

    fn most_starts(&self, tasks: &[TaskKey]) -> u32 {
        let starts = tasks.iter().map(|t| self.starts.get(t).copied());
        starts.map(Option::unwrap_or_default).max().unwrap()
    }
}

/// A task whose every start crashes its machine was started for as long as there was retry budget.
#[test]
fn a_task_that_crashes_each_machine_is_given_up_after_three_clear_crashes() {
    let mut site = Site::new(20, Span::from_secs(1));
    let task = site.submit(true);
    site.rounds(600);
    assert_eq!(site.starts[&task], 3);
    assert_eq!(site.gave_up[&task], Refusal::MachineCrashes);
    assert_eq!(site.harness.cell.tasks(), 0);
}

/// Successes of other tasks refill the retry budget, so that the budget bounds nothing.
#[rstest]
#[case::one(1, 1)]
#[case::few(3, 1)]
#[case::many(8, 1)]
#[case::beside_long_runs(3, 20)]
fn harmless_tasks_beside_such_tasks_are_done(#[case] faulty: usize, #[case] run_secs: u64) {
    let mut site = Site::new(20, Span::from_secs(run_secs));
    let mut harmless = site.submit_many(10, false);
    let mut suspects = Vec::new();
    for _ in 0..faulty {
        suspects.push(site.submit(true));
        harmless.extend(site.submit_many(7, false));
    }
    for _ in 0..300 {
        site.rounds(10);
        harmless.extend(site.submit_many(3, false));
    }
    site.rounds(1_000);
    let faulty = suspects;
    assert!(
        site.most_starts(&faulty) <= 5,
        "{}",
        site.most_starts(&faulty)
    );
    assert!(faulty.iter().all(|t| site.gave_up.contains_key(t)));
    let lost = harmless.iter().filter(|t| !site.done.contains(t)).count();

    assert_eq!(lost, 0, "harmless tasks that are not done");
    assert_eq!(site.harness.cell.tasks(), 0);
}

/// A count that an earlier owner recorded goes on.
#[rstest]
#[case::none(Crashes::NONE, 3)]
#[case::one_clear(Crashes::new(1, 1), 2)]
#[case::two_clear(Crashes::new(2, 2), 1)]
#[case::four_weak(Crashes::new(4, 0), 1)]
fn a_recorded_count_goes_on(#[case] crashes: Crashes, #[case] starts: u32) {
    let mut site = Site::new(8, Span::from_secs(1));
    let spec = site.harness.spec("work", 1).with_crashes(crashes);
    let task = site.harness.cell.submit(spec, site.harness.now).unwrap();
    site.faulty.insert(task);
    site.rounds(600);
    assert_eq!(site.starts[&task], starts);
}

#[test]
fn a_conclusive_count_is_refused() {
    let mut site = Site::new(8, Span::from_secs(1));
    for crashes in [Crashes::new(3, 2), Crashes::new(5, 0)] {
        let spec = site.harness.spec("work", 1).with_crashes(crashes);
        let refused = site.harness.cell.submit(spec, site.harness.now);
        assert_eq!(refused, Err(Refusal::MachineCrashes));
    }
}

#[test]
fn any_other_end_acquits() {
    for outcome in [Outcome::Failed, Outcome::Stopped, Outcome::Checkpointed] {
        let mut site = Site::new(8, Span::from_secs(1));
        let spec = site.harness.spec("work", 1);
        let task = site
            .harness
            .cell
            .submit(spec.with_crashes(Crashes::new(2, 1)), site.harness.now);
        let task = task.unwrap();
        site.start();
        site.end(site.runs[&task].0, outcome);
        assert_eq!(site.harness.cell.crashes(task), Some(Crashes::NONE));
    }
}

#[test]
fn a_lost_run_is_weak_evidence() {
    let mut site = Site::new(8, Span::from_secs(1));
    let task = site.submit(false);
    site.start();
    site.end(site.runs[&task].0, Outcome::Lost);
    assert_eq!(site.harness.cell.crashes(task), Some(Crashes::new(1, 0)));
}

/// Everything on a crashed machine is suspected. A suspect starts next without another suspect, if
/// possible alone.
#[test]
fn suspects_are_kept_apart() {
    let mut site = Site::new(4, Span::from_secs(5));
    let tasks = site.submit_many(4, false);
    site.start();
    let machine = site.runs[&tasks[0]].0.machine;
    assert!(site.runs.values().all(|run| run.0.machine == machine));
    site.crash(machine);
    for task in &tasks {
        assert_eq!(site.harness.cell.crashes(*task), Some(Crashes::new(1, 0)));
    }
    site.rounds(10);
    let used: BTreeSet<_> = site.runs.values().map(|run| run.0.machine).collect();
    assert_eq!((site.runs.len(), used.len()), (3, 3));
    site.rounds(100);
    assert_eq!(site.done.len(), 4);
}

/// Suspects that never end fill every machine, so that the next one has to share.
#[test]
fn a_suspect_waits_only_for_a_while() {
    let mut site = Site::new(2, Span::from_secs(100_000));
    let tasks = site.submit_many(4, false);
    site.start();
    let machine = site.runs[&tasks[0]].0.machine;
    site.crash(machine);
    site.rounds(100);
    assert_eq!(site.runs.len(), 2);
    site.rounds(400);
    assert_eq!(site.runs.len(), 4);
}

/// A suspect that waits for a machine of its own blocks nothing behind it.
#[test]
fn waiting_suspects_block_no_others() {
    let mut site = Site::new(2, Span::from_secs(100_000));
    let suspects = site.submit_many(8, false);
    site.start();
    let machines = site.machines.clone();
    for machine in machines {
        site.crash(machine);
    }
    site.rounds(100);
    let other = site.submit(false);
    site.rounds(20);
    assert!(site.runs.contains_key(&other));
    assert_eq!(site.most_starts(&suspects), 2);
}

/// A loss of power hits many machines.
#[test]
fn machines_that_crash_at_once_are_weak_evidence() {
    let mut site = Site::new(20, Span::from_secs(100_000));
    let tasks: Vec<TaskKey> = site.submit_many(80, false);
    site.start();
    for _ in 0..4 {
        for machine in site.machines.clone() {
            site.crash(machine);
        }
        site.rounds(400);
    }
    assert_eq!(site.gave_up.len(), 0);
    assert!(tasks.iter().all(|t| site.runs.contains_key(t)));
}

#[test]
fn a_machine_that_was_to_leave_is_no_evidence() {
    let mut site = Site::new(2, Span::from_secs(1));
    let task = site.submit(false);
    site.start();
    let place = site.runs[&task].0;
    let now = site.harness.now;
    site.harness.cell.set_leaving(place.machine, now).unwrap();
    site.harness
        .cell
        .remove_machine(place.machine, now)
        .unwrap();
    site.end(place, Outcome::Crashed);
    assert_eq!(site.harness.cell.crashes(task), Some(Crashes::NONE));
}

#[test]
fn a_machine_that_is_gone_is_weak_evidence() {
    let mut site = Site::new(2, Span::from_secs(1));
    let task = site.submit(false);
    site.start();
    let place = site.runs[&task].0;
    let now = site.harness.now;
    site.harness
        .cell
        .remove_machine(place.machine, now)
        .unwrap();
    site.end(place, Outcome::Crashed);
    assert_eq!(site.harness.cell.crashes(task), Some(Crashes::new(1, 0)));
}

#[test]
fn crashed_machines_are_not_quarantined() {
    let mut site = Site::new(10, Span::from_secs(1));
    for _ in 0..20 {
        site.submit(true);
        site.rounds(200);
    }
    let states = site.machines.iter();
    let mut states = states.map(|m| site.harness.cell.machine_state(*m));
    assert!(states.all(|state| state == Some(MachineState::Active)));
}

#[test]
fn a_gang_with_such_a_member_is_given_up() {
    let mut site = Site::new(8, Span::from_secs(1));
    site.harness = Harness::with_kind(ClassKind::Gang);
    site.machines = (0..8).map(|_| site.harness.machine("r", 4)).collect();
    let spec = GangSpec::new(site.harness.spec("work", 2), 4);
    let gang = site.harness.cell.submit_gang(spec, site.harness.now);
    let tasks = gang.unwrap().tasks;
    site.faulty.insert(tasks[3]);
    for _ in 0..600 {
        site.round();
        let stopped = site.runs.values().map(|run| run.0);
        let broken = site.starts[&tasks[3]] > 0 && !site.runs.contains_key(&tasks[3]);
        for place in stopped.filter(|_| broken).collect::<Vec<_>>() {
            site.end(place, Outcome::Stopped);
        }
    }
    assert_eq!(site.starts[&tasks[3]], 3);
    assert_eq!(site.harness.cell.tasks(), 0);
    assert_eq!(site.gave_up[&tasks[3]], Refusal::MachineCrashes);
}

/// A live task whose worker goes down under it runs on one more worker at most.
#[test]
fn a_live_task_is_lost_twice_at_most() {
    let mut harness = Harness::with_kind(ClassKind::Live);
    for _ in 0..8 {
        harness.machine("r", 4);
    }
    let task = harness.cell.submit(harness.spec("work", 1), harness.now);
    let task = task.unwrap();
    let mut ends = Vec::new();
    for _ in 0..1_000 {
        for place in harness.starts() {
            let exit = Exit::new(Outcome::Lost, Span::ZERO);
            ends.push(harness.cell.ended(place, exit, harness.now).unwrap());
        }
        harness.advance(100);
    }
    assert_eq!(harness.cell.crashes(task), None);
    assert_eq!(
        ends,
        [
            Disposition::Requeued,
            Disposition::GaveUp(Refusal::MachineCrashes)
        ]
    );
}
