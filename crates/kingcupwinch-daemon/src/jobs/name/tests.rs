use kingcupwinch_coord::id::{JobId, ShardId, TaskId};
use kingcupwinch_time::WallTime;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use super::{JobName, MAX_TASKS, TaskName};

fn name() -> JobName {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    JobName::new(
        "harju-a",
        ShardId(513),
        WallTime::from_millis(1_800_000_000_000),
        &mut rng,
    )
}

#[test]
fn a_jobs_id_names_its_home() {
    let job = name();
    assert_eq!(JobName::read(job.id), Some(job));
    assert_eq!(job.home, ShardId(513));
    assert!(job.may_be_of("harju-a"));
}

#[test]
fn a_tasks_id_names_its_job_and_index() {
    let job = name();
    for index in [0, 1, 255, 256, 70_000, MAX_TASKS] {
        assert_eq!(
            TaskName::read(job.task(index)),
            Some(TaskName { job, index })
        );
    }
    assert_eq!(JobName::read(JobId(job.task(0).0)), None);
    assert_eq!(TaskName::read(TaskId(job.id.0)), None);
}

#[test]
fn a_foreign_id_is_rejected() {
    assert_eq!(JobName::read(JobId(Uuid::now_v7())), None);
    assert_eq!(TaskName::read(TaskId(Uuid::now_v7())), None);
}
