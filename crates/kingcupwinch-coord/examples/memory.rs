//! Measures the memory and the processor time that keys, jobs or configuration changes take.
//!
//! Each in a process of its own, for freed memory would be used again:
//! `cargo run --release -p kingcupwinch-coord --example memory -- keys|jobs|history`

use std::time::Instant;

use kingcupwinch_coord::dedupe::{self, Decision, Fingerprint, Keys, Request, RequestKey};
use kingcupwinch_coord::history::{self, History};
use kingcupwinch_coord::id::{JobId, Offset, RecordId, ShardId, Term, Version};
use kingcupwinch_coord::jobs::{self, Jobs};
use kingcupwinch_coord::record::{AcceptedJob, ConfigRecord, JobRecord, Stamped};
use kingcupwinch_time::{Time, WallTime};
use uuid::Uuid;

const KEYS: u64 = 1 << 16;
const JOBS: u64 = 1 << 15;
const JOBS_PER_RECORD: u64 = 512;
const VERSIONS: u64 = 22_000;
const ANSWER_BYTES: usize = 100;
const SPEC_BYTES: usize = 300;
const TREE_BYTES: usize = 100_000;

fn resident_bytes() -> u64 {
    const KIB: u64 = 1_024;
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1));
    kib.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * KIB
}

/// Runs `fill` and prints what each of its `count` items took.
fn measure<T>(name: &str, count: u64, fill: impl FnOnce() -> T) {
    let before = resident_bytes();
    let start = Instant::now();
    let kept = fill();
    let nanos = start.elapsed().as_nanos() / u128::from(count);
    let bytes = resident_bytes().saturating_sub(before);
    drop(kept);
    println!(
        "{name}: {count} items, {nanos} ns each, {bytes} bytes in all, {} each",
        bytes / count
    );
}

fn fill_keys() -> Keys {
    let mut keys = Keys::new(Term(1), WallTime::default(), dedupe::Limits::new());
    let wall = WallTime::from_millis(100_000);
    for n in 0..KEYS {
        let request = Request {
            key: RequestKey(Uuid::from_u64_pair(
                n.wrapping_mul(0x9E37_79B9_7F4A_7C15),
                n,
            )),
            issued: WallTime::from_millis(50_000 + n / 2),
            fingerprint: Fingerprint(n),
            deadline: Time::from_millis(n),
        };
        if let Decision::Run(token) = keys.begin(&request, wall) {
            keys.finish(token.dispatch().ran(vec![0; ANSWER_BYTES].into()));
        }
    }
    keys
}

fn accepted(n: u64) -> AcceptedJob {
    AcceptedJob {
        job: JobId(Uuid::from_u64_pair(
            n.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            n,
        )),
        home: ShardId((n % 64) as u16),
        accepted: WallTime::default(),
        idempotent: true,
        spec: vec![0; SPEC_BYTES].into(),
    }
}

fn fill_jobs() -> Jobs {
    let mut jobs = Jobs::new(Offset(0), jobs::Limits::new());
    for offset in 0..JOBS / JOBS_PER_RECORD {
        let first = offset * JOBS_PER_RECORD;
        let batch = (first..first + JOBS_PER_RECORD).map(accepted).collect();
        let record = Stamped {
            id: RecordId(Uuid::from_u64_pair(1, offset)),
            body: JobRecord::Accepted(batch),
        };
        jobs.apply(Offset(offset), Some(record), Time::ZERO);
    }
    jobs
}

fn fill_history() -> History {
    let mut history = History::new(Offset(0), history::Limits::new());
    for n in 0..VERSIONS {
        let body = ConfigRecord {
            based: Version(n),
            version: Version(n + 1),
            origin: None,
            author: "operator".into(),
            published: WallTime::default(),
            tree: "x".repeat(TREE_BYTES).into(),
        };
        let id = RecordId(Uuid::from_u64_pair(2, n));
        history.apply(Offset(n), Some(Stamped { id, body }), Time::ZERO, &|_| {
            Ok(())
        });
    }
    history
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("keys") => measure("keys with a short answer", KEYS, fill_keys),
        Some("jobs") => measure("open jobs", JOBS, fill_jobs),
        Some("history") => measure("configuration changes of a day", VERSIONS, fill_history),
        _ => eprintln!("usage: memory keys|jobs|history"),
    }
}
