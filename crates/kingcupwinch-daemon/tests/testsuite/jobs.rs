//! Batch jobs and gangs from submission to the end.

use hyper::Method;
use kingcupwinch_fakes::{FakeWorker, WorkerFaults};
use kingcupwinch_wire::api::{JobPhase, ProblemOutcome};
use rstest::rstest;
use serde_json::{Value, json};

use crate::caller::wait_until;
use crate::cluster::{BASE, Cluster, DOMAIN, Entry, all_dispatched, any_port, make_spec};

fn job(class: &str, tasks: u32, run_ms: u64) -> Value {
    json!({
        "class": class, "customer": "festival", "tasks": tasks, "gang": class == "coverage",
        "size": { "millicores": 1_000, "memory_mb": 512 }, "run_ms": run_ms,
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_batch_job_runs_each_task_once_to_its_end() {
    let cluster = Cluster::start(4).await;
    let entries = cluster.start_entries(&["entry-1", "entry-2"]).await;
    let id = entries[0].caller().submit(&job("manifest", 40, 30)).await;
    entries[0].caller().wait_done(&id).await;
    assert_eq!(
        entries[1].caller().job(&id).await.phase,
        JobPhase::Done,
        "any instance knows the job"
    );
    assert_eq!(cluster.history.starts().len(), 40);
    for worker in &cluster.workers {
        assert!(worker.counts().peak_running <= 4);
        assert_eq!(worker.counts().overflows, 0);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn batch_work_moves_to_siblings_with_free_workers() {
    let cluster = Cluster::start(6).await;
    let entries = cluster
        .start_entries(&["entry-1", "entry-2", "entry-3"])
        .await;
    let id = entries[0].caller().submit(&job("manifest", 120, 150)).await;
    entries[0].caller().wait_done(&id).await;
    let used = cluster
        .workers
        .iter()
        .filter(|worker| worker.counts().starts > 0)
        .count();
    assert_eq!(used, 6, "work runs on every worker");
    assert_eq!(cluster.history.starts().len(), 120);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gangs_tasks_start_together() {
    let cluster = Cluster::start(4).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let id = entries[0].caller().submit(&job("coverage", 8, 400)).await;
    entries[0].caller().wait_done(&id).await;
    let starts = cluster.history.starts();
    assert_eq!(starts.len(), 8);
    let last_start = starts.iter().map(|start| start.started).max();
    let first_end = starts.iter().filter_map(|start| start.ended).min();
    assert!(
        last_start < first_end,
        "every task starts before the first ends"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_job_starts_nothing_more_and_cancels_twice_alike() {
    let cluster = Cluster::start(1).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let caller = entries[0].caller();
    let id = caller.submit(&job("manifest", 50, 5_000)).await;
    wait_until("a task is running", || async {
        cluster.workers[0].counts().starts >= 4
    })
    .await;
    for _ in 0..2 {
        let path = format!("/v1/jobs/{id}");
        let reply = caller.send(Method::DELETE, &path, &[], "").await.unwrap();
        assert_eq!(reply.status, 204, "{reply:?}");
    }
    assert_eq!(caller.job(&id).await.phase, JobPhase::Cancelled);
    wait_until("running tasks are stopped", || async {
        cluster.workers[0].counts().stops == 4
    })
    .await;
    assert_eq!(cluster.workers[0].counts().starts, 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_fits_no_worker_fails_with_the_reason_in_the_log_and_blocks_nobody() {
    let cluster = Cluster::start(2).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let caller = entries[0].caller();
    let mut huge = job("manifest", 1, 10);
    huge["size"]["millicores"] = json!(1_000_000);
    let huge = caller.submit(&huge).await;
    let small = caller.submit(&job("manifest", 2, 10)).await;
    caller.wait_done(&small).await;
    wait_until("the oversized job has failed", || async {
        caller.job(&huge).await.phase == JobPhase::Failed
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_survive_the_death_of_their_home() {
    let cluster = Cluster::start(6).await;
    let mut entries = cluster
        .start_entries(&["entry-1", "entry-2", "entry-3"])
        .await;
    let id = entries[0].caller().submit(&job("manifest", 24, 800)).await;
    wait_until("a task is running", || async {
        !cluster.history.starts().is_empty()
    })
    .await;
    entries.remove(0).kill();
    wait_until("the others dispatch", || all_dispatched(&entries)).await;
    let caller = entries[0].caller();
    wait_until("the job is done", || async {
        let reply = caller.get(&format!("/v1/jobs/{id}")).await;
        reply.status == 200 && reply.text().contains("\"done\"")
    })
    .await;
    assert!(
        cluster.history.overlapping_tasks().is_empty(),
        "no task runs in two places at once"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_must_not_run_twice_starts_once_though_answers_are_lost() {
    let cluster = Cluster::start(2).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    for worker in &cluster.workers {
        worker.set_faults(WorkerFaults {
            drops_responses: true,
            ..worker.faults()
        });
    }
    let id = entries[0].caller().submit(&job("repair", 3, 50)).await;
    entries[0].caller().wait_done(&id).await;
    let starts = cluster.history.starts();
    assert_eq!(starts.len(), 3, "{starts:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_is_refused_as_not_run_while_the_log_is_out() {
    let cluster = Cluster::start(1).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    cluster
        .log_server
        .set_availability(kingcupwinch_fakes::Availability::Unavailable);
    let caller = entries[0].caller();
    wait_until("the daemon has noticed the outage", || async {
        let text = job("manifest", 1, 10).to_string();
        let reply = caller
            .send(Method::POST, "/v1/jobs", &[], text)
            .await
            .unwrap();
        reply.status == 503 && reply.problem().outcome == ProblemOutcome::NotRun
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gang_wider_than_its_class_allows_is_refused() {
    let cluster = Cluster::start(4).await;
    let entries = cluster.start_entries(&["entry-1"]).await;
    let text = job("coverage", 9, 10).to_string();
    let reply = entries[0]
        .caller()
        .send(Method::POST, "/v1/jobs", &[], text)
        .await
        .unwrap();
    assert_eq!(reply.status, 400, "{reply:?}");
    let problem = reply.problem();
    assert_eq!(problem.outcome, ProblemOutcome::NotRun);
    assert_eq!(
        &*problem.detail,
        "a gang of class coverage has at most 8 tasks, not 9"
    );
    assert!(cluster.history.starts().is_empty());
}

/// Starts a cluster of one worker and one instance with short leases of tasks.
async fn start_with_short_leases() -> (Cluster, Entry) {
    let cluster = Cluster::start(1).await;
    cluster.publish(&format!("{BASE}\n[timers]\ntask_lease_ms = 1_000\n"), 1);
    let entry = cluster.start_entries(&["entry-1"]).await.remove(0);
    wait_until("the short leases are in force", || async {
        entry.status().await.version == 2
    })
    .await;
    (cluster, entry)
}

async fn wait_for_rack(entry: &Entry, rack: &str) {
    wait_until("the worker is listed anew", || async {
        let workers = entry.status().await.workers;
        workers.iter().any(|worker| &*worker.rack == rack)
    })
    .await;
}

/// A worker with running tasks is listed anew, with another rack or after it was missing for a
/// while. Its tasks continue, their leases are renewed and they keep their places.
#[rstest]
#[case::changed(false)]
#[case::missing(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_is_listed_anew_keeps_its_tasks(#[case] missing: bool) {
    let (cluster, entry) = start_with_short_leases().await;
    let caller = entry.caller();
    let first = caller.submit(&job("manifest", 4, 4_000)).await;
    wait_until("all tasks are running", || async {
        cluster.history.starts().len() == 4
    })
    .await;
    if missing {
        cluster.instance_list.remove("worker-0");
        wait_until("the worker is missing", || async {
            entry.status().await.workers.is_empty()
        })
        .await;
    }
    let listed = cluster.workers[0].instance(DOMAIN, "rack-9");
    cluster.instance_list.put(listed);
    wait_for_rack(&entry, "rack-9").await;
    let second = caller.submit(&job("manifest", 4, 30)).await;
    caller.wait_done(&first).await;
    caller.wait_done(&second).await;
    assert_eq!(cluster.history.starts().len(), 8, "each task starts once");
    assert_eq!(cluster.workers[0].counts().overflows, 0);
}

/// A worker is restarted under its name and listens elsewhere. What ran on it is started again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_on_a_worker_that_was_restarted_start_again() {
    let (mut cluster, entry) = start_with_short_leases().await;
    let caller = entry.caller();
    let id = caller.submit(&job("manifest", 4, 2_000)).await;
    wait_until("all tasks are running", || async {
        cluster.history.starts().len() == 4
    })
    .await;
    cluster.workers[0].kill();
    let spec = make_spec("worker-0");
    let restarted = FakeWorker::start(spec, &cluster.history, any_port()).await;
    cluster.workers[0] = restarted.unwrap();
    let listed = cluster.workers[0].instance(DOMAIN, "rack-9");
    cluster.instance_list.put(listed);
    caller.wait_done(&id).await;
    assert_eq!(cluster.workers[0].counts().starts, 4);
}
