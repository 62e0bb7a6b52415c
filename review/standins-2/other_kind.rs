//! A part of the store is down, and a worker starts again as another kind meanwhile. It is told to
//! start a task whose required label it does not have.

use std::path::Path;
use std::sync::Arc;

use crate::base::{Bounds, Deployment, Event, Kind, Record, StoreMode, sleep_ms, worker_spec};
use crate::{Verdict, has_trouble};

const ID: &str = "00000000000000a2";

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
    let step = |after: &str| {
        format!(
            "{{\"count\":1,\"cpu\":4000,\"memMb\":1024,\"estimatedDurationMs\":2000,\
             \"requirements\":\"large\"{after}}}"
        )
    };
    let body = format!(
        "{{\"specification\":\"2000,2000\",\"steps\":[{},{}]}}",
        step(""),
        step(",\"after\":[0]")
    );
    if !deployment.submit(ID, &body) {
        return Ok((
            Verdict::NotRun("the submission was not accepted".into()),
            record,
        ));
    }
    let (first, second) = (format!("{ID}.0.0.0"), format!("{ID}.0.1.0"));
    if !deployment.wait(10_000, |d| d.worker_of(&first) == Some(9)) {
        return Ok((Verdict::NotRun("the task was not started".into()), record));
    }
    sleep_ms(1_500);
    if has_trouble() {
        // The partition of the topic `keyed.jobs` answers 503 for 4.2 s; the rest of the store serves.
        record.add("store: the partition of keyed.jobs is down");
        deployment.store.set_gate(|_, topic, _| match topic {
            "keyed.jobs" => StoreMode::Busy,
            _ => StoreMode::Up,
        });
        // The first task ends half a second later.
        sleep_ms(1_200);
        deployment.workers[9].crash();
        sleep_ms(700);
        let spec = worker_spec(9, "general", 16_000, &bounds);
        deployment.workers[9].begin(spec)?;
        sleep_ms(2_300);
        deployment.store.set_gate(|_, _, _| StoreMode::Up);
        record.add("store: the partition of keyed.jobs is up");
        sleep_ms(5_000);
        // The machine of the required kind is back.
        deployment.workers[8].crash();
        sleep_ms(500);
        let spec = worker_spec(8, "large", 16_000, &bounds);
        deployment.workers[8].begin(spec)?;
    }
    deployment.wait(15_000, |d| {
        sleep_ms(500);
        d.state(ID).as_deref() == Some("completed")
    });
    let events = deployment.events();
    let labels_of = |start: &Event| {
        let is_it = |e: &&Event| e.worker == start.worker && e.born == start.born;
        let up = events.iter().filter(is_it).find(|e| e.kind == Kind::Up);
        up.map_or(String::new(), |event| event.task.clone())
    };
    let starts = events
        .iter()
        .filter(|e| e.kind == Kind::Started && e.task == second);
    let wrong: Vec<String> = starts
        .filter(|e| !labels_of(e).contains("large"))
        .map(|e| {
            format!(
                "{} run {} on {} ({})",
                e.task,
                e.run,
                e.worker,
                labels_of(e)
            )
        })
        .collect();
    let text = if wrong.is_empty() {
        "every start was on a worker with the required label".to_owned()
    } else {
        format!(
            "started without the required label `large`: {}",
            wrong.join("; ")
        )
    };
    record.add(text.clone());
    if !wrong.is_empty() {
        return Ok((Verdict::Broken(text), record));
    }
    let is_done = events
        .iter()
        .any(|e| e.kind == Kind::Ended("done") && e.task == second);
    let verdict = if is_done {
        Verdict::Held(text)
    } else {
        Verdict::NotRun("the second task was not done".into())
    };
    Ok((verdict, record))
}
