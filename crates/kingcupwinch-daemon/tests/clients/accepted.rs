//! Each test guards against an owner whose memory runs out because of work that it has accepted, and
//! against a successor that ends the same way when it restores that work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::flood::SERIAL;
use crate::instance::{Instance, KeptConnection, LOWERED, MINIMAL, Scale};

/// Number of callers, each of which waits for a response before its next request.
const CALLERS: usize = 50;
/// Number of accepted jobs that are cancelled to make room.
const CANCELLED: usize = 200;
/// Pause before a request is repeated.
const PAUSE: Duration = Duration::from_millis(100);

/// Requests of the callers, which are sent once each.
struct Load {
    scale: Scale,
    requests: usize,
    method: &'static str,
    body: String,
}

impl Load {
    /// Jobs whose tasks no worker can run, so that none of them ends.
    fn submissions(scale: Scale, requests: usize, body: String) -> Self {
        Load {
            scale,
            requests,
            method: "POST",
            body,
        }
    }

    /// Sends all requests; returns the jobs of those that succeeded.
    async fn send(self, address: SocketAddr) -> Vec<String> {
        let (load, next) = (Arc::new(self), Arc::<AtomicUsize>::default());
        let mut callers = JoinSet::new();
        for _ in 0..CALLERS {
            callers.spawn(Arc::clone(&load).call(address, Arc::clone(&next)));
        }
        callers.join_all().await.concat()
    }

    async fn call(self: Arc<Self>, address: SocketAddr, next: Arc<AtomicUsize>) -> Vec<String> {
        let mut succeeded = Vec::new();
        let mut connection = None;
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= self.requests {
                return succeeded;
            }
            if connection.is_none() {
                connection = KeptConnection::connect(address).await.ok();
            }
            let Some(open) = &mut connection else {
                continue;
            };
            let job = format!("{:016x}", 1_000_000 + number);
            match open.send(self.method, &job, &self.body).await {
                Ok(200) => succeeded.push(job),
                Ok(_) => {}
                Err(_) => connection = None,
            }
        }
    }
}

/// Checks that an owner and its successor stay within their limits, that no accepted job is lost, and that
/// an ordinary job is accepted at the end.
async fn withstands(load: Load) {
    let _serial = SERIAL.lock().await;
    let mut instance = Instance::start(load.scale).await;
    let watch = instance.watch();
    let is_submission = load.method == "POST";
    let succeeded = load.send(instance.callers).await;
    println!("{} requests succeeded", succeeded.len());
    instance.check_watch(&watch);
    drop(watch);
    let mut successor = instance.succeed();
    let watch = successor.watch();
    if is_submission {
        check_known(&successor, &succeeded).await;
        cancel(&successor, &succeeded[..CANCELLED.min(succeeded.len())]).await;
    }
    let is_served = successor.serves().await;
    successor.check_watch(&watch);
    assert!(is_served, "an ordinary request was not answered");
}

/// Checks that each job is known; an instance that has just started may not be able to tell.
async fn check_known(instance: &Instance, jobs: &[String]) {
    for job in jobs {
        let status = repeat(instance, "GET", job).await;
        assert_eq!(status, 200, "job {job} is lost");
    }
}

async fn cancel(instance: &Instance, jobs: &[String]) {
    for job in jobs {
        repeat(instance, "DELETE", job).await;
    }
}

/// Sends a request until it gets a response that is not an error of the instance; returns its status.
async fn repeat(instance: &Instance, method: &str, job: &str) -> u16 {
    loop {
        if let Ok(mut connection) = KeptConnection::connect(instance.callers).await
            && let Ok(status) = connection.send(method, job, "").await
            && status < 500
        {
            return status;
        }
        sleep(PAUSE).await;
    }
}

fn job(specification: usize, steps: usize, tasks: usize) -> String {
    let step = format!(r#"{{"count":{tasks},"cpu":100,"requirements":"none"}}"#);
    let steps = vec![step; steps].join(",");
    let specification = "x".repeat(specification);
    format!(r#"{{"specification":"{specification}","steps":[{steps}]}}"#)
}

#[tokio::test]
async fn jobs_of_many_steps() {
    withstands(Load::submissions(LOWERED, 500, job(10, 250, 1))).await;
}

#[tokio::test]
async fn jobs_of_many_tasks() {
    withstands(Load::submissions(LOWERED, 500, job(10, 250, 10_000))).await;
}

#[tokio::test]
async fn jobs_with_long_specifications() {
    withstands(Load::submissions(MINIMAL, 4_000, job(4_000, 1, 1))).await;
}

#[tokio::test]
async fn small_jobs() {
    withstands(Load::submissions(MINIMAL, 12_000, job(10, 1, 1))).await;
}

#[tokio::test]
async fn cancellations_of_unknown_jobs() {
    withstands(Load {
        method: "DELETE",
        ..Load::submissions(MINIMAL, 60_000, String::new())
    })
    .await;
}
