use kingcupwinch_coord::id::{JobId, ShardId, TaskId};
use kingcupwinch_time::WallTime;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use super::{JobIdParts, MAX_TASKS, TaskIdParts};

fn name() -> JobIdParts {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    JobIdParts::new(
        "harju-a",
        ShardId(513),
        WallTime::from_millis(1_800_000_000_000),
        &mut rng,
    )
}

#[test]
fn a_jobs_id_names_its_home() {
    let job = name();
    assert_eq!(JobIdParts::parse(job.id), Some(job));
    assert_eq!(job.home, ShardId(513));
    assert!(job.may_belong_to("harju-a"));
}

#[test]
fn a_tasks_id_names_its_job_and_index() {
    let job = name();
    for index in [0, 1, 255, 256, 70_000, MAX_TASKS] {
        assert_eq!(
            TaskIdParts::parse(job.task(index)),
            Some(TaskIdParts { job, index })
        );
    }
    assert_eq!(JobIdParts::parse(JobId(job.task(0).0)), None);
    assert_eq!(TaskIdParts::parse(TaskId(job.id.0)), None);
}

#[test]
fn a_foreign_id_is_rejected() {
    assert_eq!(JobIdParts::parse(JobId(Uuid::now_v7())), None);
    assert_eq!(TaskIdParts::parse(TaskId(Uuid::now_v7())), None);
}
