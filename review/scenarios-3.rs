//! The scenarios of the scripts. Each returns the exit code of its script: 1 if the rule was broken, 0 if it
//! held, 2 if the case couldn't run.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::{Deployment, Seen};

/// Plays a scenario.
pub fn play(name: &str, deployment: Deployment) -> i32 {
    let played = match name {
        "drained-as-instances-restart" => drained_as_instances_restart(deployment),
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

/// Starts a deployment of so many workers, the first two of which are of kind `b` and the others of kind `a`, and
/// waits until it accepts and runs a job.
fn begin(deployment: &mut Deployment, workers: usize, attempts: u64) -> Option<()> {
    deployment.publish(1, attempts);
    for index in 0..workers {
        let kind = if index < 2 { "b" } else { "a" };
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

/// Instances are stopped and started in turn, each once the one before is back. Meanwhile a worker with several tasks of a step
/// that lasts drains and leaves. One task at a time may be away, so that not all of them can move before that.
fn drained_as_instances_restart(mut deployment: Deployment) -> Option<i32> {
    begin(&mut deployment, 12, 3)?;
    let job = "00000000000000c1";
    let body = "{\"specification\":\"lasts\",\"steps\":[{\"count\":8,\"cpu\":900,\"memMb\":1000,\
                \"estimatedDurationMs\":1000,\"longRunning\":true,\"mayMiss\":1,\"requirements\":\"b\"}]}";
    if !deployment.submit(job, body) {
        return None;
    }
    let world = std::sync::Arc::clone(&deployment.world);
    let starts = || of_job(&world.seen(), job).iter().filter(|row| row.what == "start").count();
    if !wait(ms(10_000), || starts() >= 8) {
        return None;
    }
    // The owner has recorded the longest lease by now.
    sleep(ms(14_000));
    let rows = of_job(&world.seen(), job);
    let on = |id: &str| rows.iter().filter(|row| row.worker == id).count();
    let worker = if on("w0") >= on("w1") { 0 } else { 1 };
    if deployment.has_trouble {
        world.drain(worker);
    }
    sleep(ms(2_000));
    for nth in 0..5 {
        let owner = deployment.owner()?;
        let instance = &mut deployment.instances[owner];
        deployment.record.note(&format!("{} gets SIGTERM", instance.name));
        instance.signal("TERM");
        if nth == 0 && deployment.has_trouble {
            sleep(ms(800));
            world.leave(worker);
        }
        let ended = wait(ms(6_500), || instance.has_ended());
        if !ended {
            return None;
        }
        sleep(ms(300));
        instance.start().ok()?;
        deployment.record.note("it has ended, and starts again");
        sleep(ms(3_500));
    }
    judge_gaps(&deployment, job)
}

/// Judges how long tasks of the job were not running after their worker had left. A task that lasts may be down for
/// 6 s, and for 3 s more: longer than that, with room for it, is a breach.
fn judge_gaps(deployment: &Deployment, job: &str) -> Option<i32> {
    let seen = of_job(&deployment.world.seen(), job);
    let now = deployment.record.now();
    let mut longest = 0.0_f64;
    for lost in seen.iter().filter(|row| row.what == "lost") {
        let again = seen.iter().find(|row| row.what == "start" && row.task == lost.task && row.at > lost.at);
        let gap = again.map_or(now, |row| row.at) - lost.at;
        let state = if again.is_some() { "and ran again" } else { "and does not run yet" };
        deployment.record.note(&format!("{} was down for {gap:.1} s, {state}", lost.task));
        longest = longest.max(gap);
    }
    let at_work = seen.iter().filter(|row| row.what == "start").count();
    deployment.record.note(&format!("longest: {longest:.1} s, allowed 9 s; {at_work} starts in all"));
    if deployment.has_trouble && longest == 0.0 {
        return None;
    }
    Some(i32::from(longest > 9.0))
}
