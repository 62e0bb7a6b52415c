//! Jobs whose steps run at set times of day.

use kingcupwinch_cell::{EndReason, JobSpec, JobState, Schedule};
use kingcupwinch_time::Span;

use crate::site::{Site, id, job, step};

/// Unix milliseconds at which each test begins.
const MORNING: u64 = 1_700_000_000_000;

fn timed(count: u32, every_ms: u64) -> JobSpec {
    let mut second = step(1, 1, 500);
    second.after = [0].into_iter().collect();
    JobSpec {
        schedule: Some(Schedule {
            count,
            first_ms: MORNING + 1_000,
            interval_ms: every_ms,
        }),
        ..job(vec![step(1, 1, 500), second])
    }
}

fn site() -> Site {
    let mut site = Site::new(2, 4);
    site.cell.set_wall_clock(MORNING, site.now);
    site
}

fn end_and_record(site: &mut Site) {
    site.end_all(EndReason::Done);
    site.look_all();
    site.run_orders();
}

/// Returns the occurrence and the step of each running task.
fn running_steps(site: &Site) -> Vec<(u32, u16)> {
    let mut names: Vec<_> = site.running().iter().map(|(_, task)| *task).collect();
    names.sort();
    let steps = names.iter().map(|name| (name.occurrence, name.step));
    steps.collect()
}

#[test]
fn an_occurrence_starts_when_it_is_due_and_not_before() {
    let mut site = site();
    site.submit(1, timed(1, 0));
    site.pass(900);
    site.look_all();
    site.decide();
    assert!(site.starts.is_empty());
    site.pass(100);
    site.look_all();
    site.decide();
    assert_eq!(site.starts.len(), 1);
}

#[test]
fn a_job_is_complete_when_its_last_occurrence_is() {
    let mut site = site();
    site.submit(1, timed(2, 5_000));
    site.pass(1_000);
    site.look_all();
    site.run_orders();
    end_and_record(&mut site);
    end_and_record(&mut site);
    assert_eq!(
        site.shown(1),
        Some(JobState::Running),
        "one is still to come"
    );
    site.pass(5_000);
    site.look_all();
    site.run_orders();
    assert_eq!(site.running()[0].1.occurrence, 1);
    end_and_record(&mut site);
    end_and_record(&mut site);
    assert_eq!(site.shown(1), Some(JobState::Completed));
}

#[test]
fn occurrences_overlap_and_keep_their_own_order_of_steps() {
    let mut site = site();
    site.submit(1, timed(2, 200));
    site.pass(1_200);
    site.look_all();
    site.run_orders();
    assert_eq!(running_steps(&site), [(0, 0), (1, 0)]);
    let (worker, first) = *site
        .running()
        .iter()
        .find(|(_, t)| t.occurrence == 0)
        .unwrap();
    site.end(worker, first, EndReason::Done);
    site.look_all();
    site.run_orders();
    assert_eq!(running_steps(&site), [(0, 1), (1, 0)]);
}

/// What was done of earlier occurrences is kept as ranges, and not task by task.
#[test]
fn a_later_owner_goes_on_with_the_occurrences_that_are_left() {
    let mut site = site();
    site.submit(1, timed(3, 1_000));
    for _ in 0..2 {
        site.pass(1_000);
        site.look_all();
        site.run_orders();
        end_and_record(&mut site);
        end_and_record(&mut site);
    }
    let record = site.records[&id(1)].clone();
    assert_eq!(record.done_steps, [(0, 4)]);

    let mut later = Site::new(1, 4);
    later.cell.set_wall_clock(MORNING + 2_100, later.now);
    later.cell.restore(
        id(1),
        Some(timed(3, 1_000)),
        Some(&record),
        Span::ZERO,
        later.now,
    );
    later.decide();
    assert!(
        later.starts.is_empty(),
        "two are done, the third is not due"
    );
    later.pass(900);
    later.look_all();
    later.decide();
    assert_eq!(later.starts.len(), 1);
    assert_eq!(later.starts[0].task.occurrence, 2);
}
