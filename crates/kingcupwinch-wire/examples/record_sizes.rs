//! Prints the encoded sizes of log records and worker messages for capacity planning.

use std::sync::Arc;

use kingcupwinch_coord::id::{JobId, RecordId, ShardId, Term, Version};
use kingcupwinch_coord::record::{AcceptedJob, ConfigRecord, JobEnd, JobRecord, Stamped};
use kingcupwinch_time::WallTime;
use kingcupwinch_wire::api::{JobSpec, TaskResources};
use kingcupwinch_wire::worker::{EndedWork, Renewal, RunningWork, Usage, WorkKind, WorkOutcome};
use kingcupwinch_wire::{encode_config, encode_job};
use uuid::Uuid;

/// Numbers of jobs in one group commit.
const GROUP_SIZES: [usize; 3] = [1, 10, 100];

/// The size of a job's payload, in bytes.
const PAYLOAD_BYTES: usize = 200;

fn stamped<T>(body: T) -> Stamped<T> {
    let id = RecordId(Uuid::now_v7());
    Stamped { id, body }
}

fn spec() -> Arc<[u8]> {
    let spec = JobSpec {
        class: "coverage-plan".into(),
        customer: "festivals".into(),
        tasks: 2,
        size: TaskResources {
            millicores: 4_000,
            memory_mb: 8_192,
            accelerators: 0,
        },
        gang: false,
        idempotent: Some(true),
        run_ms: Some(120_000),
        payload: serde_json::Value::String("x".repeat(PAYLOAD_BYTES)),
    };
    serde_json::to_vec(&spec).unwrap_or_default().into()
}

fn accepted(jobs: usize) -> JobRecord {
    let job = || AcceptedJob {
        job: JobId(Uuid::now_v7()),
        home: ShardId(7),
        accepted: WallTime::from_millis(1_790_000_000_000),
        idempotent: true,
        spec: spec(),
    };
    JobRecord::Accepted((0..jobs).map(|_| job()).collect())
}

fn ended(jobs: usize) -> JobRecord {
    let end = || (JobId(Uuid::now_v7()), JobEnd::Done);
    JobRecord::Ended((0..jobs).map(|_| end()).collect())
}

fn started(jobs: usize) -> JobRecord {
    let start = || (JobId(Uuid::now_v7()), Term(1_000));
    JobRecord::Started((0..jobs).map(|_| start()).collect())
}

fn config() -> ConfigRecord {
    ConfigRecord {
        based: Version(22_000),
        version: Version(22_001),
        origin: None,
        author: "liis".into(),
        published: WallTime::from_millis(1_790_000_000_000),
        tree: "".into(),
    }
}

/// Returns the size of a usage report with `tasks` running tasks and one ended task, in bytes.
fn usage_bytes(tasks: usize) -> usize {
    let running = RunningWork {
        task: Uuid::now_v7(),
        attempt: 1,
        term: 1_000,
        kind: WorkKind::Task,
    };
    let ended = EndedWork {
        task: Uuid::now_v7(),
        attempt: 1,
        outcome: WorkOutcome::Done,
        run_ms: 120_000,
    };
    let usage = Usage {
        seq: 100_000,
        age_ms: 200,
        leaving: false,
        busy_slots: 8,
        busy_connections: 8,
        cpu_percent: 90,
        running: vec![running; tasks],
        ended: vec![ended],
    };
    serde_json::to_vec(&usage).map_or(0, |json| json.len())
}

fn renewal_bytes(tasks: usize) -> usize {
    let renewal = Renewal {
        term: 1_000,
        lease_ms: 10_000,
        tasks: vec![Uuid::now_v7(); tasks],
    };
    serde_json::to_vec(&renewal).map_or(0, |json| json.len())
}

fn main() {
    for jobs in GROUP_SIZES {
        let size = |record: JobRecord| encode_job(&stamped(record)).len();
        println!(
            "{jobs} jobs: accepted {} bytes, started {} bytes, ended {} bytes",
            size(accepted(jobs)),
            size(started(jobs)),
            size(ended(jobs)),
        );
    }
    for tasks in [0, 8, 24] {
        println!(
            "{tasks} tasks: usage report {} bytes, renewal {} bytes",
            usage_bytes(tasks),
            renewal_bytes(tasks),
        );
    }
    let envelope = encode_config(&stamped(config())).len();
    println!("configuration without its tree: {envelope} bytes");
}
