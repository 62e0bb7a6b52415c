//! The scenarios of the scripts. Each returns the exit code of its script: 1 if the rule was broken, 0 if it
//! held, 2 if the case couldn't run.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::{Deployment, Seen};

/// Plays a scenario.
pub fn play(name: &str, deployment: Deployment) -> i32 {
    let played = match name {
        "worker-goes-down-and-up" => worker_goes_down_and_up(deployment),
        "crashes-under-a-gang" => crashes_under_a_gang(deployment),
        _ => None,
    };
    played.unwrap_or(2)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Waits until a condition holds; returns whether it did in time.
fn wait(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        sleep(ms(20));
    }
    false
}

/// Starts a deployment of so many workers, the first of which is of kind `b` and the others of kind `a`, and
/// waits until it accepts and runs a job.
fn begin(deployment: &mut Deployment, workers: usize, attempts: u64) -> Option<()> {
    deployment.publish(1, attempts);
    for index in 0..workers {
        let kind = if index == 0 { "b" } else { "a" };
        deployment.world.add(&format!("w{index}"), kind).ok()?;
    }
    deployment.start_instances().ok()?;
    sleep(ms(2_000));
    let first = "00000000000000f1";
    let body = "{\"specification\":\"200\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":100,\"estimatedDurationMs\":200}]}";
    let is_accepted = deployment.submit(first, body);
    let is_done = || deployment.state(first).as_deref() == Some("completed");
    (is_accepted && wait(ms(15_000), is_done)).then_some(())
}

fn of_job(seen: &[Seen], job: &str) -> Vec<Seen> {
    seen.iter().filter(|row| row.task.starts_with(job)).cloned().collect()
}

/// A gang of ten tasks runs on 12 workers. One worker crashes and is back 2 s later, three times, 8 s apart.
/// No task ever ends `failed`, so the job may not be shown as `failed`.
fn crashes_under_a_gang(mut deployment: Deployment) -> Option<i32> {
    begin(&mut deployment, 12, 2)?;
    let job = "00000000000000a1";
    let body = "{\"specification\":\"15000 10\",\"steps\":[{\"count\":10,\"cpu\":9000,\"memMb\":1000,\
                \"estimatedDurationMs\":15000,\"gang\":true}]}";
    if !deployment.submit(job, body) {
        return None;
    }
    let world = std::sync::Arc::clone(&deployment.world);
    let is_at_work = |after: f64| {
        let rows = of_job(&world.seen(), job);
        rows.iter().filter(|row| row.what == "start" && row.at > after).count() >= 10
    };
    let mut after = 0.0;
    for nth in 0..3 {
        if !wait(ms(20_000), || is_at_work(after)) {
            break;
        }
        sleep(ms(2_500));
        after = deployment.record.now();
        if deployment.has_trouble {
            // The worker of one of the tasks that run: any but two of the 12 has one.
            let rows = of_job(&world.seen(), job);
            let last = rows.iter().rev().find(|row| row.what == "start")?;
            let index: usize = last.worker[1..].parse().ok()?;
            world.crash(index);
            sleep(ms(2_000));
            world.restart(index);
            sleep(ms(3_500));
        }
        deployment.record.note(&format!("crash {nth} is over"));
    }
    let mut last = String::new();
    let is_over = || {
        let state = deployment.state(job).unwrap_or_default();
        if state != last {
            deployment.record.note(&format!("GET {job}: {state}"));
            last = state;
        }
        matches!(last.as_str(), "completed" | "failed" | "cancelled")
    };
    wait(ms(50_000), is_over);
    let failed_ends = of_job(&world.seen(), job).iter().filter(|row| row.what == "failed").count();
    deployment.record.note(&format!("the job is shown as {last}, with {failed_ends} ends `failed`"));
    Some(match last.as_str() {
        "failed" if failed_ends == 0 => 1,
        "completed" => 0,
        _ => 2,
    })
}

/// A task that lasts needs a worker of kind `b`, and one of the 12 workers is. That worker crashes and is back
/// 2 s later under its id, three times, and then stays up. The task ends `failed` on no worker, and has to be
/// started again however it ends, so the job may not be shown as `failed`.
fn worker_goes_down_and_up(mut deployment: Deployment) -> Option<i32> {
    begin(&mut deployment, 12, 3)?;
    let job = "00000000000000b1";
    let body = "{\"specification\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":2000,\"memMb\":1000,\
                \"estimatedDurationMs\":1000,\"longRunning\":true,\"requirements\":\"b\"}]}";
    if !deployment.submit(job, body) {
        return None;
    }
    let world = std::sync::Arc::clone(&deployment.world);
    let starts = || of_job(&world.seen(), job).iter().filter(|row| row.what == "start").count();
    for nth in 0..3 {
        if !wait(ms(10_000), || starts() > nth || !deployment.has_trouble) {
            break;
        }
        sleep(ms(6_000));
        if deployment.has_trouble {
            world.crash(0);
            sleep(ms(2_000));
            world.restart(0);
        }
    }
    // The worker is up from now on.
    let mut last = String::new();
    for _ in 0..30 {
        sleep(ms(500));
        let state = deployment.state(job).unwrap_or_default();
        if state != last {
            deployment.record.note(&format!("GET {job}: {state}"));
            last = state;
        }
    }
    let failed_ends = of_job(&world.seen(), job).iter().filter(|row| row.what == "failed").count();
    let at_work = of_job(&world.seen(), job).last().is_some_and(|row| row.what == "start");
    deployment.record.note(&format!(
        "15 s after the last crash the job is shown as {last}, with {failed_ends} ends `failed`; runs: {at_work}"
    ));
    Some(match last.as_str() {
        "failed" if failed_ends == 0 => 1,
        "running" => 0,
        _ => 2,
    })
}
