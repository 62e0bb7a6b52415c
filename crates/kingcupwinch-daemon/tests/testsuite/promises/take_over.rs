//! An owner dies or is paused. Its shards get a new owner, and never two at once.

use futures_util::future::join_all;
use kingcupwinch_fakes::{WorkerFaults, live_response};
use rustix::process::Signal;

use crate::caller::{Caller, wait_until};
use crate::cluster::Cluster;
use crate::process::Process;

const CALLS: usize = 40;

/// Makes workers accept all work, so that a violation shows in the history of starts.
fn disable_worker_checks(cluster: &Cluster) {
    for worker in &cluster.workers {
        worker.set_faults(WorkerFaults {
            checks_fencing: false,
            enforces_limits: false,
            ..WorkerFaults::default()
        });
    }
}

async fn wait_for_owner(operators: &Caller, name: &str) {
    wait_until("every shard has the expected owner", || async {
        let status = operators.status().await;
        let owned = |owner: &Option<std::sync::Arc<str>>| owner.as_deref() == Some(name);
        !status.shards.is_empty()
            && status
                .shards
                .iter()
                .all(|s| owned(&s.owner) && s.dispatching)
    })
    .await;
}

/// Waits until every shard was claimed with both instances as voters, which gives it a second term.
async fn wait_for_voters(operators: &Caller) {
    wait_until("the group is complete", || async {
        let status = operators.status().await;
        status.members.len() == 2 && status.shards.iter().all(|shard| shard.term >= 2)
    })
    .await;
}

fn assert_no_violation(cluster: &Cluster) {
    let stale = cluster.history.stale_starts();
    assert!(
        stale.is_empty(),
        "work started under an old term: {stale:?}"
    );
    for worker in &cluster.workers {
        let counts = worker.counts();
        assert_eq!(counts.overflows, 0, "{counts:?}");
    }
}

async fn assert_serves(caller: &Caller) {
    let calls = (0..CALLS).map(|n| {
        let caller = caller.clone();
        async move {
            let id = format!("after-{n}");
            let reply = caller.run("booking", &[("x-request-id", &id)], "").await;
            assert_eq!(reply.status, 200, "{reply:?}");
            assert_eq!(reply.body, live_response(&id, b"", 0));
        }
    });
    join_all(calls).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_dies_is_replaced() {
    let cluster = Cluster::start(2).await;
    disable_worker_checks(&cluster);
    let first = Process::start(&cluster, "entry-1");
    wait_for_owner(&Caller::new(first.operators), "entry-1").await;
    let second = Process::start(&cluster, "entry-2");
    let operators = Caller::new(second.operators);
    wait_for_voters(&operators).await;
    first.signal(Signal::KILL);
    wait_for_owner(&operators, "entry-2").await;
    assert_serves(&Caller::new(second.callers)).await;
    assert_no_violation(&cluster);
}

/// The paused owner resumes with requests in its queue and must not dispatch under its old term.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_was_paused_does_not_dispatch_again() {
    let cluster = Cluster::start(2).await;
    disable_worker_checks(&cluster);
    let first = Process::start(&cluster, "entry-1");
    wait_for_owner(&Caller::new(first.operators), "entry-1").await;
    let second = Process::start(&cluster, "entry-2");
    let operators = Caller::new(second.operators);
    wait_for_voters(&operators).await;

    let busy = Caller::new(first.callers);
    let load: Vec<_> = (0..CALLS)
        .map(|_| {
            let busy = busy.clone();
            let headers = [("x-run-ms", "20")];
            tokio::spawn(async move { busy.run("booking", &headers, "").await })
        })
        .collect();
    wait_until("work is running", || async {
        cluster.history.starts().len() >= 4
    })
    .await;
    first.signal(Signal::STOP);
    wait_for_owner(&operators, "entry-2").await;
    assert_serves(&Caller::new(second.callers)).await;
    first.signal(Signal::CONT);
    for call in load {
        call.await.unwrap();
    }
    assert_no_violation(&cluster);
}
