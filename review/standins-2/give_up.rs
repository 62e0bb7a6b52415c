//! One worker goes down and up by turns. A submission whose task lasts, and that only this worker may
//! run, is shown as failed, though no run of it has ended `failed`.

use std::path::Path;
use std::sync::Arc;

use crate::base::{Bounds, Deployment, Kind, Record, sleep_ms, worker_spec};
use crate::{Verdict, has_trouble};

/// The submission that needs the label, with one task that lasts, and one that does not need it.
const ID: &str = "00000000000000a1";
const OTHER: &str = "00000000000000b1";
/// When the worker goes down, from the first start of the task on, and for how long: three times in
/// 6.5 s.
const DOWN_AT_MS: [u64; 3] = [800, 3_000, 5_200];
const DOWN_MS: u64 = 700;

pub fn run(dir: &Path) -> std::io::Result<(Verdict, Arc<Record>)> {
    let bounds = Bounds {
        link_mbps: 1_000.0,
        max_hold_ms: 6_000,
        beat_ms: 1_500,
    };
    let mut specs: Vec<_> = (0..9)
        .map(|i| worker_spec(i, "general", 16_000, &bounds))
        .collect();
    specs.push(worker_spec(9, "large", 16_000, &bounds));
    let mut deployment = Deployment::start(3, specs, &bounds, 3, dir)?;
    let record = Arc::clone(&deployment.record);
    sleep_ms(4_000);
    let body = "{\"specification\":\"-\",\"steps\":[{\"count\":1,\"cpu\":4000,\"memMb\":1024,\
                \"estimatedDurationMs\":4000,\"longRunning\":true,\"requirements\":\"large\"}]}";
    if !deployment.submit(ID, body) {
        return Ok((
            Verdict::NotRun("the submission was not accepted".into()),
            record,
        ));
    }
    let others = "{\"specification\":\"4000\",\"steps\":[{\"count\":9,\"cpu\":4000,\"memMb\":1024,\
                  \"estimatedDurationMs\":4000,\"requirements\":\"general\"}]}";
    deployment.submit(OTHER, others);
    let task = format!("{ID}.0.0.0");
    if !deployment.wait(10_000, |d| d.worker_of(&task) == Some(9)) {
        return Ok((Verdict::NotRun("the task was not started".into()), record));
    }
    if has_trouble() {
        let start = record.now();
        let spec = worker_spec(9, "large", 16_000, &bounds);
        for at in DOWN_AT_MS {
            sleep_ms((start + at).saturating_sub(record.now()));
            deployment.workers[9].crash();
            sleep_ms(DOWN_MS);
            deployment.workers[9].begin(spec.clone())?;
        }
    }
    // Long enough for the task to run again and for its end to be shown.
    let mut state = String::new();
    for _ in 0..20 {
        sleep_ms(1_000);
        state = deployment.state(ID).unwrap_or_default();
        if state == "failed" {
            break;
        }
    }
    let runs = deployment.worker_of(&task).is_some();
    let other = deployment.state(OTHER).unwrap_or_default();
    let events = deployment.events();
    let of_task = || events.iter().filter(|event| event.task == task);
    let starts = of_task()
        .filter(|event| event.kind == Kind::Started)
        .count();
    let failed = of_task()
        .filter(|event| event.kind == Kind::Ended("failed"))
        .count();
    let text = format!(
        "the submission is shown as `{state}` after {starts} starts, of which {failed} ended \
         `failed`; its task {} at the end; the other submission is shown as `{other}`",
        if runs { "runs" } else { "does not run" }
    );
    record.add(text.clone());
    let verdict = match &*state {
        "failed" if failed == 0 => Verdict::Broken(text),
        "running" if runs => Verdict::Held(text),
        _ => Verdict::NotRun(text),
    };
    Ok((verdict, record))
}
