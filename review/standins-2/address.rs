//! A worker goes down and up once. Later it crashes, another worker comes at its address, and the owner is
//! killed. A task that lasts and ran on the worker is not started again in time, though the address
//! refuses calls that are meant for it.

use std::path::Path;
use std::sync::Arc;

use crate::base::{Bounds, Deployment, Record, sleep_ms, worker_spec};
use crate::{Verdict, has_trouble};

const ID: &str = "00000000000000a4";
const TASKS: usize = 10;
const LAST: usize = 9;
/// How long the owner is down.
const DOWN_MS: u64 = 1_500;
/// A machine is in touch `contactMs` after the end of a disruption. The rule then asks for 4 s and 3 s that
/// are calm.
const ALLOWED_MS: u64 = 3_000 + 4_000 + 3_000;

pub fn run(dir: &Path) -> std::io::Result<(Verdict, Arc<Record>)> {
    let bounds = Bounds {
        link_mbps: 1_000.0,
        max_hold_ms: 10_000,
        beat_ms: 1_500,
    };
    let specs = (0..TASKS)
        .map(|i| worker_spec(i, "general", 16_000, &bounds))
        .collect();
    let mut deployment = Deployment::start(3, specs, &bounds, 3, dir)?;
    let record = Arc::clone(&deployment.record);
    sleep_ms(3_000);
    // `FLAP=0` leaves only the first crash out.
    let flaps = has_trouble() && std::env::var("FLAP").map_or(true, |value| value != "0");
    if flaps {
        deployment.workers[LAST].crash();
        sleep_ms(700);
        let spec = worker_spec(LAST, "general", 16_000, &bounds);
        deployment.workers[LAST].begin(spec)?;
    }
    sleep_ms(3_000);
    let body = format!(
        "{{\"specification\":\"-\",\"steps\":[{{\"count\":{TASKS},\"cpu\":2000,\"memMb\":1024,\
         \"estimatedDurationMs\":4000,\"antiAffinity\":1,\"longRunning\":true}}]}}"
    );
    if !deployment.submit(ID, &body) {
        return Ok((
            Verdict::NotRun("the submission was not accepted".into()),
            record,
        ));
    }
    let missing = |d: &Deployment| {
        let tasks = (0..TASKS).map(|index| format!("{ID}.0.0.{index}"));
        tasks.filter(|task| d.worker_of(task).is_none()).count()
    };
    if !deployment.wait(10_000, |d| missing(d) == 0) {
        return Ok((Verdict::NotRun("not all tasks were started".into()), record));
    }
    sleep_ms(2_000);
    let Some(owner) = deployment.owner() else {
        return Ok((
            Verdict::NotRun("no process owns the workers".into()),
            record,
        ));
    };
    if has_trouble() {
        deployment.workers[LAST].crash();
        sleep_ms(100);
        record.add(format!("{} is killed", deployment.nodes[owner].name));
        deployment.nodes[owner].kill();
        sleep_ms(400);
        let mut spec = worker_spec(LAST, "general", 16_000, &bounds);
        spec.id = "w10".into();
        deployment.workers[LAST].begin(spec)?;
        sleep_ms(DOWN_MS - 400);
        deployment.nodes[owner].run()?;
        record.add(format!("{} is started again", deployment.nodes[owner].name));
    }
    let calm_from = record.now();
    let in_time = deployment.wait(ALLOWED_MS, |d| missing(d) == 0);
    let at_limit = missing(&deployment);
    if !in_time {
        deployment.wait(20_000, |d| missing(d) == 0);
    }
    let took = record.now() - calm_from;
    deployment.request((owner + 1) % 3, "DELETE", ID, "");
    let text = format!(
        "{at_limit} tasks that last did not run {ALLOWED_MS} ms after the last disruption; all ran \
         after {took} ms"
    );
    record.add(text.clone());
    let verdict = match at_limit {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    };
    Ok((verdict, record))
}
