//! Checks that readers of a job stream compute the same state as the fold over the whole log, also
//! after snapshots, expired records and restarts.

mod support;

use kingcupwinch_coord::id::{JobId, Offset, RecordId, ShardId, Term};
use kingcupwinch_coord::jobs::{Jobs, Limits};
use kingcupwinch_coord::record::{AcceptedJob, JobEnd, JobRecord, Stamped};
use kingcupwinch_spec::jobs::{JobEntry, JobState, job_state};
use kingcupwinch_time::{Time, WallTime};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use uuid::Uuid;

const READERS: usize = 2;
const JOBS: u64 = 4;

#[derive(Debug, Clone, Default)]
struct Log {
    entries: Vec<JobEntry>,
    first: usize,
}

#[derive(Debug, Clone)]
enum Step {
    Append(JobEntry),
    Snapshot(prop::sample::Index),
    Expire(usize),
    Read { reader: usize, count: usize },
    Restart(usize),
}

impl ReferenceStateMachine for Log {
    type State = Log;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Log> {
        Just(Log::default()).boxed()
    }

    fn transitions(_: &Log) -> BoxedStrategy<Step> {
        let job = || 0..JOBS;
        let entry = prop_oneof![
            2 => job().prop_map(JobEntry::Accepted),
            1 => (job(), 1u64..4).prop_map(|(job, term)| JobEntry::Started { job, term }),
            1 => (job(), any::<bool>())
                .prop_map(|(job, succeeded)| JobEntry::Ended { job, succeeded }),
        ];
        prop_oneof![
            5 => entry.prop_map(Step::Append),
            2 => any::<prop::sample::Index>().prop_map(Step::Snapshot),
            1 => (1usize..4).prop_map(Step::Expire),
            5 => (0..READERS, 1usize..6).prop_map(|(reader, count)| Step::Read { reader, count }),
            1 => (0..READERS).prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply(mut log: Log, step: &Step) -> Log {
        let end = log.entries.len();
        match step {
            Step::Append(entry) => log.entries.push(*entry),
            Step::Snapshot(index) => log.entries.push(JobEntry::Snapshot {
                covers: index.index(end + 1),
            }),
            Step::Expire(count) => log.first = end.min(log.first + count),
            Step::Read { .. } | Step::Restart(_) => {}
        }
        log
    }
}

fn id(job: u64) -> JobId {
    JobId(Uuid::from_u128(job.into()))
}

fn accepted(job: u64) -> AcceptedJob {
    AcceptedJob {
        job: id(job),
        home: ShardId(0),
        accepted: WallTime::default(),
        idempotent: false,
        spec: b"spec".as_slice().into(),
    }
}

fn end(succeeded: bool) -> JobEnd {
    if succeeded {
        JobEnd::Done
    } else {
        JobEnd::Failed
    }
}

fn snapshot(state: &JobState, covers: usize) -> JobRecord {
    JobRecord::Snapshot {
        covers: Offset(covers as u64),
        open: state.open.iter().copied().map(accepted).collect(),
        started: state
            .started
            .iter()
            .map(|(j, t)| (id(*j), Term(*t)))
            .collect(),
        ended: state
            .ended
            .iter()
            .map(|(j, succeeded)| (id(*j), end(*succeeded)))
            .collect(),
        crashed: Vec::new(),
    }
}

impl Log {
    fn record(&self, offset: usize) -> Stamped<JobRecord> {
        let body = match self.entries[offset] {
            JobEntry::Accepted(job) => JobRecord::Accepted(vec![accepted(job)]),
            JobEntry::Started { job, term } => JobRecord::Started(vec![(id(job), Term(term))]),
            JobEntry::Ended { job, succeeded } => JobRecord::Ended(vec![(id(job), end(succeeded))]),
            JobEntry::Snapshot { covers } => snapshot(&job_state(&self.entries[..covers]), covers),
        };
        let id = RecordId(Uuid::from_u128(offset as u128));
        Stamped { id, body }
    }
}

#[derive(Debug)]
struct Readers(Vec<Jobs>);

impl StateMachineTest for Readers {
    type SystemUnderTest = Readers;
    type Reference = Log;

    fn init_test(_: &Log) -> Readers {
        Readers(vec![Jobs::new(Offset(0), Limits::new()); READERS])
    }

    fn apply(mut readers: Readers, log: &Log, step: Step) -> Readers {
        match step {
            Step::Read { reader, count } => {
                let jobs = &mut readers.0[reader];
                jobs.skip_to(Offset(log.first as u64));
                let next = jobs.next().0 as usize;
                for offset in next..log.entries.len().min(next + count) {
                    jobs.apply(Offset(offset as u64), Some(log.record(offset)), Time::ZERO);
                }
            }
            Step::Restart(reader) => {
                readers.0[reader] = Jobs::new(Offset(log.first as u64), Limits::new());
            }
            Step::Append(_) | Step::Snapshot(_) | Step::Expire(_) => {}
        }
        readers
    }

    fn check_invariants(readers: &Readers, log: &Log) {
        for jobs in readers.0.iter().filter(|j| j.is_complete()) {
            let next = jobs.next().0 as usize;
            let expected = snapshot(&job_state(&log.entries[..next]), next);
            let mut actual = jobs.snapshot().expect("the reader is complete");
            actual.ended.sort_by_key(|(job, _)| *job);
            assert_eq!(actual.into_record(), expected);
        }
    }
}

prop_state_machine! {
    #![proptest_config(support::config(1_000))]

    #[test]
    fn every_reader_agrees_with_the_fold(sequential 1..80 => Readers);
}
