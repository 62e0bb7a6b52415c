//! Death and pause of an owner: its workers find a new one, and never two at once.

use futures_util::future::join_all;
use kingcupwinch_fakes::{WorkerFaults, live_response};
use rustix::process::Signal;

use crate::caller::{Caller, wait_until};
use crate::process::Process;
use crate::site::Site;

const CALLS: usize = 40;

/// Workers that check nothing, so that a breach shows in the ledger.
fn trusting(site: &Site) {
    for worker in &site.workers {
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

/// Waits until every shard is claimed with both instances as voters: each has a second term then.
async fn wait_for_voters(operators: &Caller) {
    wait_until("the group is complete", || async {
        let status = operators.status().await;
        status.members.len() == 2 && status.shards.iter().all(|shard| shard.term >= 2)
    })
    .await;
}

fn assert_no_breach(site: &Site) {
    let stale = site.ledger.stale_starts();
    assert!(stale.is_empty(), "started under an old term: {stale:?}");
    for worker in &site.workers {
        let counts = worker.counts();
        assert_eq!(counts.overflows, 0, "{counts:?}");
    }
}

async fn serves(caller: &Caller) {
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
    let site = Site::start(2).await;
    trusting(&site);
    let first = Process::start(&site, "entry-1");
    wait_for_owner(&Caller::new(first.operators), "entry-1").await;
    let second = Process::start(&site, "entry-2");
    let operators = Caller::new(second.operators);
    wait_for_voters(&operators).await;
    first.signal(Signal::KILL);
    wait_for_owner(&operators, "entry-2").await;
    serves(&Caller::new(second.callers)).await;
    assert_no_breach(&site);
}

/// The paused owner wakes with requests at hand and must not dispatch under its old term.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_was_paused_does_not_dispatch_again() {
    let site = Site::start(2).await;
    trusting(&site);
    let first = Process::start(&site, "entry-1");
    wait_for_owner(&Caller::new(first.operators), "entry-1").await;
    let second = Process::start(&site, "entry-2");
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
    wait_until("work runs", || async { site.ledger.starts().len() >= 4 }).await;
    first.signal(Signal::STOP);
    wait_for_owner(&operators, "entry-2").await;
    serves(&Caller::new(second.callers)).await;
    first.signal(Signal::CONT);
    for call in load {
        call.await.unwrap();
    }
    assert_no_breach(&site);
}
