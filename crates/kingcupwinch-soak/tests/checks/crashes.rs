//! Tests of the checks of tasks that crash their workers and of capacities that change.

use kingcupwinch_soak::{Fault, Invariant, Plan, PlanKind, PlannedFault, Trigger};
use kingcupwinch_standin::{WorkerEvent, WorkerEventKind};
use rstest::rstest;

use super::{JOB, Scenario, long_running_scenario, workers};

/// A job of one task that crashes each worker that starts it, and the times between which it runs. Its
/// state is reported afterwards.
fn crashing_scenario(crashes: u32, state: &str) -> Scenario {
    let mut scenario = Scenario::new();
    scenario.job.steps.pop();
    scenario.job.steps[0].crashing = Some(0);
    for number in 0..crashes {
        let from = 1_000 * u64::from(number + 1);
        scenario.crash(from, from + 100, number + 1);
    }
    scenario.report_state(20_000, state);
    scenario
}

impl Scenario {
    /// Records a run during which its worker crashes.
    fn crash(&mut self, from: u64, until: u64, run: u32) {
        let worker = format!("w-{}", run % 3);
        self.append(from - 1, from);
        self.record(from, &worker, 0, run, WorkerEventKind::Started);
        self.record(until, &worker, 0, run, WorkerEventKind::Ended("crashed"));
    }
}

/// After the third crash, the task may be started twice.
#[rstest]
#[case::none_after_the_second(2, false)]
#[case::two_after_the_third(5, false)]
#[case::three_after_the_third(6, true)]
fn detects_starts_of_a_task_that_crashes_its_workers(#[case] crashes: u32, #[case] is_found: bool) {
    let expected: &[Invariant] = if is_found {
        &[Invariant::CrashLimit]
    } else {
        &[]
    };
    assert_eq!(crashing_scenario(crashes, "failed").violations(), expected);
}

/// Only workers that crash under the task count, and only starts after the third of them.
#[test]
fn counts_only_crashes_and_the_starts_after_them() {
    let mut scenario = crashing_scenario(5, "failed");
    for run in 6..9 {
        let from = 100 * u64::from(run);
        scenario.append(from - 1, from);
        scenario.record(from, "w-5", 0, run, WorkerEventKind::Started);
        scenario.record(from + 50, "w-5", 0, run, WorkerEventKind::Ended("stopped"));
    }
    assert_eq!(scenario.violations(), []);
}

#[rstest]
#[case::still_running("running", &[Invariant::Termination])]
#[case::completed("completed", &[Invariant::AccurateState, Invariant::Termination])]
#[case::failed("failed", &[])]
fn detects_job_that_does_not_fail_for_its_crashes(
    #[case] state: &str,
    #[case] expected: &[Invariant],
) {
    assert_eq!(crashing_scenario(3, state).violations(), expected);
}

/// A harmless task may be given up only if it may not be started again: after the third crash, it may be
/// started twice.
#[rstest]
#[case::four_crashes(4, &[Invariant::AccurateState, Invariant::Termination])]
#[case::five_crashes(5, &[])]
fn detects_harmless_job_that_fails_before_its_starts_are_used_up(
    #[case] crashes: u32,
    #[case] expected: &[Invariant],
) {
    let mut scenario = crashing_scenario(crashes, "failed");
    scenario.job.steps[0].crashing = None;
    assert_eq!(scenario.violations(), expected);
}

/// One crash is no reason to give a task up, and neither is one that is yet to come.
#[rstest]
#[case::one_crash(1, 20_000)]
#[case::before_the_second(2, 2_050)]
fn detects_job_that_fails_before_two_crashes(#[case] crashes: u32, #[case] failed_ms: u64) {
    let mut scenario = crashing_scenario(crashes, "failed");
    scenario.report_state(failed_ms, "failed");
    scenario.job.states.remove(0);
    assert_eq!(scenario.violations(), [Invariant::AccurateState]);
}

/// A harmless job ran on each worker that crashed, and was given up.
#[rstest]
#[case::harmless_job(None)]
#[case::harmless_task_of_a_job(Some(1))]
fn detects_job_that_fails_for_crashes_of_others(#[case] crashing: Option<u16>) {
    let mut scenario = crashing_scenario(4, "failed");
    scenario.job.steps[0].count = 2;
    scenario.job.steps[0].crashing = crashing;
    let found = scenario.violations();
    assert!(found.contains(&Invariant::AccurateState), "{found:?}");
}

/// After two crashes, the other tasks of the job need not run any more.
#[rstest]
#[case::none(0, true)]
#[case::one(1, true)]
#[case::two(2, false)]
fn detects_long_running_task_that_waits_beside_one_that_crashes(
    #[case] crashes: u32,
    #[case] is_found: bool,
) {
    let mut scenario = long_running_scenario(3);
    scenario.job.steps[0].count = 2;
    scenario.job.steps[0].crashing = Some(1);
    let worker = workers(true).nth(3).unwrap();
    for run in 1..=crashes {
        let from = 1_000 + 1_000 * u64::from(run);
        for (ms, kind) in [
            (from, WorkerEventKind::Started),
            (from + 100, WorkerEventKind::Ended("crashed")),
        ] {
            scenario.events.push(WorkerEvent {
                at: scenario.at(ms),
                worker: worker.as_str().into(),
                task: format!("{JOB}.0.0.1").into(),
                run,
                kind,
            });
        }
    }
    let found = scenario.violations();
    assert_eq!(found.contains(&Invariant::Progress), is_found, "{found:?}");
}

/// Returns a scenario of a worker of 4,000 that shrinks to 2,000 at 1 s and grows again at 10 s. Tasks of
/// 1,500 start at these times, and the first ends at 9 s.
fn shrinking_scenario(starts: [u64; 2]) -> Scenario {
    let mut scenario = Scenario::new();
    for step in &mut scenario.job.steps {
        step.cpu = 1_500;
        step.after.clear();
    }
    for (ms, cpu) in [(0, 4_000), (1_000, 2_000), (10_000, 4_000)] {
        scenario.record_worker(ms, "w-1", WorkerEventKind::Capacity(cpu));
    }
    scenario.run_task("w-1", 0, 1, starts[0], 9_000);
    scenario.run_task("w-1", 1, 1, starts[1], 12_000);
    scenario.report_state(13_000, "completed");
    scenario
}

/// What ran before the capacity shrank may go on, and starts count 3 s later.
#[rstest]
#[case::both_before([100, 900], false)]
#[case::shortly_after([100, 3_900], false)]
#[case::later([100, 4_100], true)]
#[case::beside_one_that_ends([4_100, 8_900], true)]
#[case::after_its_end([4_100, 9_100], false)]
#[case::after_growth([4_100, 10_100], false)]
fn detects_start_beyond_a_capacity_that_has_shrunk(
    #[case] starts: [u64; 2],
    #[case] is_found: bool,
) {
    let expected: &[Invariant] = if is_found {
        &[Invariant::Capacity]
    } else {
        &[]
    };
    assert_eq!(shrinking_scenario(starts).violations(), expected);
}

/// A run that was ordered to stop counts until it has ended.
#[test]
fn detects_start_beside_a_run_that_is_being_stopped() {
    let mut scenario = shrinking_scenario([100, 8_000]);
    scenario.job.cancel_sent = Some(scenario.at(7_000));
    assert_eq!(scenario.violations(), [Invariant::Capacity]);
}

/// A capacity that has shrunk has less room for long-running tasks, and one that has grown has more.
#[rstest]
#[case::shrunk(1_000, false)]
#[case::enough(2_000, true)]
fn measures_room_by_the_capacities_of_the_time(#[case] cpu: u64, #[case] is_found: bool) {
    let mut scenario = long_running_scenario(2);
    scenario.job.steps[0].cpu = 1_500;
    for id in workers(true).take(3) {
        scenario.record_worker(8_500, &id, WorkerEventKind::Capacity(cpu));
    }
    let expected: &[Invariant] = if is_found {
        &[Invariant::Progress]
    } else {
        &[]
    };
    assert_eq!(scenario.violations(), expected);
}

/// The plans of a seed are reproducible, and those for tasks that crash workers hold what they need.
#[test]
fn crashing_plan_changes_capacities_and_ends_owners() {
    let plan = Plan::new(PlanKind::Crashing, 7, 30, 3, 6);
    assert_eq!(plan, Plan::new(PlanKind::Crashing, 7, 30, 3, 6));
    let percents = plan
        .faults
        .iter()
        .filter_map(|planned| match planned.fault {
            Fault::ShrinkWorker(_, percent) => Some(percent),
            _ => None,
        });
    let percents: Vec<u64> = percents.collect();
    assert!(percents.len() > 10, "too few capacities change");
    assert!(percents.iter().all(|percent| (25..=75).contains(percent)));
    let is_crash = |planned: &&PlannedFault| planned.trigger == Some(Trigger::Crash);
    assert!(plan.faults.iter().any(|planned| is_crash(&planned)));
}

#[test]
fn a_fifth_to_two_fifths_of_the_workers_leave() {
    for seed in 0..50 {
        let plan = Plan::new(PlanKind::Drains, seed, 8, 6, 24);
        let leaving = plan
            .faults
            .iter()
            .filter_map(|planned| match planned.fault {
                Fault::LeaveWorker(worker) => Some(worker),
                _ => None,
            });
        let mut leaving: Vec<usize> = leaving.collect();
        assert_eq!(leaving.len(), plan.faults.len());
        leaving.sort_unstable();
        leaving.dedup();
        assert!((5..=9).contains(&leaving.len()));
    }
}

#[test]
fn full_plan_changes_capacities_and_ends_owners_at_crashes() {
    let plan = Plan::new(PlanKind::Full, 7, 30, 3, 6);
    let is_resize = |planned: &PlannedFault| matches!(planned.fault, Fault::ShrinkWorker(..));
    assert!(plan.faults.iter().any(is_resize));
    let is_crash = |planned: &PlannedFault| planned.trigger == Some(Trigger::Crash);
    assert!(plan.faults.iter().any(is_crash));
}
