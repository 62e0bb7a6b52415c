//! No task ever runs in two places at once.

use kingcupwinch_fakes::{Availability, WorkerFaults};
use kingcupwinch_wire::api::JobPhase;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::caller::{Caller, wait_until};
use crate::cluster::{Cluster, all_dispatched};
use crate::process::Process;

const TASKS: u32 = 12;

fn job(run_ms: u64) -> Value {
    json!({
        "class": "manifest", "customer": "festival", "tasks": TASKS,
        "size": { "millicores": 1_000, "memory_mb": 512 }, "run_ms": run_ms,
    })
}

fn assert_one_place(cluster: &Cluster) {
    let overlapping = cluster.history.overlapping_tasks();
    assert!(
        overlapping.is_empty(),
        "tasks that ran in two places at once: {overlapping:?}"
    );
    for worker in &cluster.workers {
        let counts = worker.counts();
        assert_eq!(counts.overflows, 0, "{counts:?}");
    }
}

async fn wait_done(caller: &Caller, id: &str) {
    wait_until("the job is done", || async {
        let reply = caller.get(&format!("/v1/jobs/{id}")).await;
        let Ok(status) = serde_json::from_slice::<Value>(&reply.body) else {
            return false;
        };
        status["phase"] == json!(JobPhase::Done)
    })
    .await;
}

/// The responses to start requests are lost after the tasks began.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_answers_to_starts_lost() {
    let cluster = Cluster::start(4).await;
    let entries = cluster.start_entries(&["entry-1", "entry-2"]).await;
    for worker in cluster.workers.iter().step_by(2) {
        worker.set_faults(WorkerFaults {
            drops_responses: true,
            ..WorkerFaults::default()
        });
    }
    let caller = entries[0].caller();
    let id = caller.submit(&job(200)).await;
    wait_done(&caller, &id).await;
    assert_one_place(&cluster);
}

/// Workers become unreachable with tasks on them. The tasks restart elsewhere once their leases
/// have expired, and the workers come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_workers_cut_off() {
    let cluster = Cluster::start(4).await;
    let entries = cluster.start_entries(&["entry-1", "entry-2"]).await;
    let caller = entries[0].caller();
    let id = caller.submit(&job(1_500)).await;
    wait_until("all tasks are running", || async {
        cluster.history.starts().len() == usize::try_from(TASKS).unwrap()
    })
    .await;
    let busy = cluster.workers.iter().filter(|w| w.counts().starts > 0);
    let cut: Vec<_> = busy.take(2).collect();
    for worker in &cut {
        worker.set_availability(Availability::Unresponsive);
    }
    wait_until("a task has restarted", || async {
        let starts = cluster.history.starts();
        starts.iter().any(|start| start.attempt > 1)
    })
    .await;
    for worker in &cut {
        worker.set_availability(Availability::Up);
    }
    wait_done(&caller, &id).await;
    assert_one_place(&cluster);
}

/// The owner of the job's home shard is paused for longer than its leases and then resumes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_the_home_paused() {
    let cluster = Cluster::start(4).await;
    for worker in &cluster.workers {
        worker.set_faults(WorkerFaults {
            checks_fencing: false,
            ..WorkerFaults::default()
        });
    }
    let first = Process::start(&cluster, "entry-1");
    let operators = Caller::new(first.operators);
    wait_until("the first instance dispatches", || async {
        operators.status().await.log.fresh
    })
    .await;
    let successors = [cluster.start_entry("entry-2").await];
    wait_until("both instances are voters", || async {
        let status = successors[0].status().await;
        status.members.len() == 2 && status.shards.iter().all(|shard| shard.term >= 2)
    })
    .await;
    let caller = Caller::new(first.callers);
    let id = caller.submit(&job(1_500)).await;
    wait_until("some tasks are running", || async {
        cluster.history.starts().len() >= 4
    })
    .await;
    first.signal(Signal::STOP);
    wait_until("the remaining instance dispatches to every shard", || {
        all_dispatched(&successors)
    })
    .await;
    first.signal(Signal::CONT);
    wait_done(&successors[0].caller(), &id).await;
    assert_one_place(&cluster);
}
