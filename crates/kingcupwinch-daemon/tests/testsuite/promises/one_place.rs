//! No task ever runs in two places at once.

use kingcupwinch_fakes::{Availability, WorkerFaults};
use kingcupwinch_wire::api::JobPhase;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::caller::{Caller, wait_until};
use crate::process::Process;
use crate::site::{Site, all_dispatched};

const TASKS: u32 = 12;

fn job(run_ms: u64) -> Value {
    json!({
        "class": "manifest", "customer": "festival", "tasks": TASKS,
        "size": { "millicores": 1_000, "memory_mb": 512 }, "run_ms": run_ms,
    })
}

fn assert_one_place(site: &Site) {
    let doubled = site.ledger.overlapping_tasks();
    assert!(doubled.is_empty(), "in two places at once: {doubled:?}");
    for worker in &site.workers {
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

/// The answers to starts are lost after the tasks began.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_answers_to_starts_lost() {
    let site = Site::start(4).await;
    let entries = site.start_entries(&["entry-1", "entry-2"]).await;
    for worker in site.workers.iter().step_by(2) {
        worker.set_faults(WorkerFaults {
            drops_responses: true,
            ..WorkerFaults::default()
        });
    }
    let caller = entries[0].caller();
    let id = caller.submit(&job(200)).await;
    wait_done(&caller, &id).await;
    assert_one_place(&site);
}

/// Workers fall silent with tasks on them; these are restarted elsewhere once their leases have
/// lapsed, and the workers come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_workers_cut_off() {
    let site = Site::start(4).await;
    let entries = site.start_entries(&["entry-1", "entry-2"]).await;
    let caller = entries[0].caller();
    let id = caller.submit(&job(1_500)).await;
    wait_until("all tasks run", || async {
        site.ledger.starts().len() == usize::try_from(TASKS).unwrap()
    })
    .await;
    let busy = site.workers.iter().filter(|w| w.counts().starts > 0);
    let cut: Vec<_> = busy.take(2).collect();
    for worker in &cut {
        worker.set_availability(Availability::Unresponsive);
    }
    wait_until("a task was started again", || async {
        let starts = site.ledger.starts();
        starts.iter().any(|start| start.attempt > 1)
    })
    .await;
    for worker in &cut {
        worker.set_availability(Availability::Up);
    }
    wait_done(&caller, &id).await;
    assert_one_place(&site);
}

/// The job's home is paused for longer than leases and then goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_the_home_paused() {
    let site = Site::start(4).await;
    for worker in &site.workers {
        worker.set_faults(WorkerFaults {
            checks_fencing: false,
            ..WorkerFaults::default()
        });
    }
    let first = Process::start(&site, "entry-1");
    let operators = Caller::new(first.operators);
    wait_until("the first dispatches", || async {
        operators.status().await.log.fresh
    })
    .await;
    let heirs = [site.start_entry("entry-2").await];
    wait_until("both are voters", || async {
        let status = heirs[0].status().await;
        status.members.len() == 2 && status.shards.iter().all(|shard| shard.term >= 2)
    })
    .await;
    let caller = Caller::new(first.callers);
    let id = caller.submit(&job(1_500)).await;
    wait_until("tasks run", || async { site.ledger.starts().len() >= 4 }).await;
    first.signal(Signal::STOP);
    wait_until("the heir dispatches to all shards", || {
        all_dispatched(&heirs)
    })
    .await;
    first.signal(Signal::CONT);
    wait_done(&heirs[0].caller(), &id).await;
    assert_one_place(&site);
}
