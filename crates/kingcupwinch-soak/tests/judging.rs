//! The soak finds what it looks for, and its plans repeat.

use std::time::{Duration, Instant};

use kingcupwinch_soak::{JobSeen, Plan, Promise, StepSeen, check};
use kingcupwinch_standin::{WorkerEvent, WorkerEventKind};
use rstest::rstest;

const JOB: &str = "00000000000000aa";

/// A day of one job of two steps with one task each.
struct Day {
    begun: Instant,
    job: JobSeen,
    seen: Vec<WorkerEvent>,
}

impl Day {
    fn new() -> Self {
        let begun = Instant::now();
        let step = |after: Vec<u16>| StepSeen { count: 1, after };
        Day {
            begun,
            job: JobSeen {
                id: JOB.into(),
                steps: vec![step(vec![]), step(vec![0])],
                accepted: Some(begun),
                ..JobSeen::default()
            },
            seen: Vec::new(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.begun + Duration::from_millis(ms)
    }

    fn note(&mut self, ms: u64, worker: &str, step: u16, run: u32, kind: WorkerEventKind) {
        self.seen.push(WorkerEvent {
            at: self.at(ms),
            worker: worker.into(),
            task: format!("{JOB}.0.{step}.0").into(),
            run,
            kind,
        });
    }

    /// A worker runs the task of a step from one time to another.
    fn run(&mut self, worker: &str, step: u16, run: u32, from: u64, until: u64) {
        self.note(from, worker, step, run, WorkerEventKind::Started);
        self.note(until, worker, step, run, WorkerEventKind::Ended("done"));
        self.note(until, worker, step, run, WorkerEventKind::Acknowledged);
    }

    fn show(&mut self, ms: u64, state: &str) {
        let at = self.at(ms);
        self.job.shown.push((at, state.into()));
    }

    fn breaches(&self) -> Vec<Promise> {
        let mut seen = self.seen.clone();
        seen.sort_by_key(|line| line.at);
        let found = check(std::slice::from_ref(&self.job), &seen);
        let mut promises: Vec<Promise> = found.iter().map(|breach| breach.promise).collect();
        promises.dedup();
        promises
    }
}

fn good_day() -> Day {
    let mut day = Day::new();
    day.run("w-1", 0, 1, 10, 100);
    day.run("w-2", 1, 2, 150, 300);
    day.show(50, "running");
    day.show(400, "completed");
    day
}

#[test]
fn a_good_day_breaks_nothing() {
    assert_eq!(good_day().breaches(), []);
}

#[test]
fn two_runs_at_a_time_are_found() {
    let mut day = good_day();
    day.note(50, "w-3", 0, 3, WorkerEventKind::Started);
    day.note(60, "w-3", 0, 3, WorkerEventKind::Ended("stopped"));
    assert_eq!(day.breaches(), [Promise::OnePlace]);
}

#[test]
fn a_run_after_the_end_is_found() {
    let mut day = good_day();
    day.note(350, "w-3", 1, 3, WorkerEventKind::Started);
    day.note(360, "w-3", 1, 3, WorkerEventKind::Ended("stopped"));
    assert_eq!(day.breaches(), [Promise::OnceDone]);
}

/// Pattern: a worker was cut off until its lease lapsed, and told of the end afterwards.
#[test]
fn an_end_that_was_heard_of_after_the_lease_binds_nobody() {
    let mut day = good_day();
    day.note(5_000, "w-3", 1, 3, WorkerEventKind::Started);
    day.note(5_200, "w-3", 1, 3, WorkerEventKind::Ended("done"));
    day.note(5_300, "w-3", 1, 3, WorkerEventKind::Acknowledged);
    for line in &mut day.seen {
        if &*line.worker == "w-2" && line.kind == WorkerEventKind::Acknowledged {
            line.at = day.begun + Duration::from_millis(6_000);
        }
    }
    assert_eq!(day.breaches(), [Promise::OnceDone]);
    day.note(4_900, "w-2", 1, 0, WorkerEventKind::LeaseExpired);
    assert_eq!(day.breaches(), []);
}

#[test]
fn a_step_ahead_of_its_turn_is_found() {
    let mut day = Day::new();
    day.run("w-1", 0, 1, 10, 100);
    day.run("w-2", 1, 2, 90, 300);
    day.show(400, "completed");
    assert_eq!(day.breaches(), [Promise::Order]);
}

#[test]
fn a_worker_over_its_room_is_found() {
    let mut day = good_day();
    day.note(20, "w-1", 0, 1, WorkerEventKind::Overcommitted);
    assert_eq!(day.breaches(), [Promise::Capacity]);
}

#[rstest]
#[case(&[(200, "completed"), (400, "completed")], Promise::TrueState)]
#[case(&[(400, "completed"), (500, "running"), (600, "completed")], Promise::TrueState)]
#[case(&[(350, "cancelled"), (400, "completed")], Promise::TrueState)]
#[case(&[(3_050, "gone"), (3_400, "completed")], Promise::Known)]
#[case(&[(400, "running")], Promise::Ends)]
#[case(&[], Promise::Ends)]
fn a_wrong_state_is_found(#[case] shown: &[(u64, &str)], #[case] promise: Promise) {
    let mut day = good_day();
    day.job.shown.clear();
    for (ms, state) in shown {
        day.show(*ms, state);
    }
    assert_eq!(day.breaches(), [promise]);
}

#[test]
fn a_refused_job_that_ran_is_found() {
    let mut day = good_day();
    day.job.accepted = None;
    day.job.is_refused = true;
    assert_eq!(day.breaches(), [Promise::TrueRefusal]);
}

#[test]
fn a_start_long_after_the_cancellation_is_found() {
    let mut day = good_day();
    day.job.cancel_sent = Some(day.at(310));
    day.job.cancelled = Some(day.at(320));
    day.note(10_400, "w-4", 1, 9, WorkerEventKind::Started);
    day.note(10_500, "w-4", 1, 9, WorkerEventKind::Ended("stopped"));
    let found = day.breaches();
    assert!(found.contains(&Promise::Cancelled), "{found:?}");
}

#[test]
fn a_seed_gives_one_plan_and_another_seed_another() {
    let plan = Plan::new(7, 30, 3, 6);
    assert_eq!(plan, Plan::new(7, 30, 3, 6));
    assert_ne!(plan, Plan::new(8, 30, 3, 6));
    let overlaps = plan.faults.windows(2).filter(|pair| {
        let end = pair[0].at_ms + pair[0].for_ms;
        end > pair[1].at_ms
    });
    assert!(overlaps.count() > 3, "faults overlap");
    assert!(plan.faults.last().unwrap().at_ms < 30_000);
}
