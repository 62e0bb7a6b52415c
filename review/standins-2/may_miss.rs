//! A submission with tasks that serve comes while tasks that fill run on all workers. The system stops all
//! tasks that fill at once, though one of them at a time may be unavailable.

use std::path::Path;
use std::sync::Arc;

use crate::base::{Bounds, Deployment, Kind, Record, sleep_ms, worker_spec};
use crate::{Verdict, has_trouble};

const FILLS: &str = "00000000000000a5";
const SERVES: &str = "00000000000000b5";
const TASKS: usize = 4;

pub fn run(dir: &Path) -> std::io::Result<(Verdict, Arc<Record>)> {
    let bounds = Bounds {
        link_mbps: 1_000.0,
        max_hold_ms: 10_000,
        beat_ms: 1_500,
    };
    let specs = (0..TASKS)
        .map(|i| worker_spec(i, "general", 16_000, &bounds))
        .collect();
    let deployment = Deployment::start(3, specs, &bounds, 3, dir)?;
    let record = Arc::clone(&deployment.record);
    sleep_ms(4_000);
    let step =
        "\"memMb\":1024,\"estimatedDurationMs\":4000,\"antiAffinity\":1,\"longRunning\":true";
    let body = format!(
        "{{\"specification\":\"-\",\"steps\":[{{\"count\":{TASKS},\"cpu\":2000,\"fills\":true,\
         \"mayMiss\":1,{step}}}]}}"
    );
    if !deployment.submit(FILLS, &body) {
        return Ok((
            Verdict::NotRun("the submission was not accepted".into()),
            record,
        ));
    }
    let running = |d: &Deployment, id: &str| {
        let tasks = (0..TASKS).map(|index| format!("{id}.0.0.{index}"));
        tasks.filter(|task| d.worker_of(task).is_some()).count()
    };
    if !deployment.wait(10_000, |d| running(d, FILLS) == TASKS) {
        return Ok((Verdict::NotRun("not all tasks were started".into()), record));
    }
    sleep_ms(3_000);
    if has_trouble() {
        let body = format!(
            "{{\"specification\":\"-s\",\"steps\":[{{\"count\":{TASKS},\"cpu\":4000,\"targetMs\":100,\
             {step}}}]}}"
        );
        if !deployment.submit(SERVES, &body) {
            return Ok((
                Verdict::NotRun("the second submission was not accepted".into()),
                record,
            ));
        }
    }
    // The fewest tasks of the step that ran, as the workers saw it.
    sleep_ms(8_000);
    let mut at_work = 0;
    let mut fewest = TASKS;
    let mut stops = 0;
    for event in deployment
        .events()
        .iter()
        .filter(|event| event.task.starts_with(FILLS))
    {
        match event.kind {
            Kind::Started => at_work += 1,
            Kind::Ended(how) => {
                at_work -= 1;
                stops += usize::from(how == "stopped");
                fewest = fewest.min(at_work);
            }
            _ => {}
        }
    }
    let text = format!(
        "{stops} tasks that fill were stopped; at the least, {fewest} of {TASKS} ran, and `mayMiss` is 1"
    );
    record.add(text.clone());
    deployment.request(0, "DELETE", FILLS, "");
    deployment.request(0, "DELETE", SERVES, "");
    let verdict = if stops > 1 && fewest < TASKS - 1 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    };
    Ok((verdict, record))
}
