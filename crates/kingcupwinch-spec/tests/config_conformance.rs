//! Checks that readers of the configuration stream activate the same versions as the fold over the
//! whole log. Readers start late, lose expired records, restart, or depend on relays from others.

mod support;

use std::sync::Arc;

use kingcupwinch_coord::history::{History, Limits};
use kingcupwinch_coord::id::{Offset, RecordId, Version};
use kingcupwinch_coord::record::{ConfigRecord, Origin, Stamped};
use kingcupwinch_spec::config::{ConfigEntry, PublishedVersion, current_version, version_history};
use kingcupwinch_time::{Time, WallTime};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use uuid::Uuid;

const READERS: usize = 3;

#[derive(Debug, Clone, Default)]
struct Log {
    entries: Vec<ConfigEntry>,
    first: usize,
}

#[derive(Debug, Clone)]
enum Step {
    Publish { shift: i64, valid: bool },
    Duplicate(prop::sample::Index),
    Undecodable,
    Snapshot(prop::sample::Index),
    Expire(usize),
    Read { reader: usize, count: usize },
    Relay { to: usize, from: usize },
    Restart(usize),
}

impl ReferenceStateMachine for Log {
    type State = Log;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Log> {
        Just(Log::default()).boxed()
    }

    fn transitions(_: &Log) -> BoxedStrategy<Step> {
        let reader = || 0..READERS;
        prop_oneof![
            4 => (-1i64..=1, any::<bool>())
                .prop_map(|(shift, valid)| Step::Publish { shift, valid }),
            1 => any::<prop::sample::Index>().prop_map(Step::Duplicate),
            1 => Just(Step::Undecodable),
            2 => any::<prop::sample::Index>().prop_map(Step::Snapshot),
            1 => (1usize..4).prop_map(Step::Expire),
            6 => (reader(), 1usize..6).prop_map(|(reader, count)| Step::Read { reader, count }),
            2 => (reader(), reader()).prop_map(|(to, from)| Step::Relay { to, from }),
            1 => reader().prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply(mut log: Log, step: &Step) -> Log {
        let end = log.entries.len();
        match step {
            Step::Publish { shift, valid } => {
                let version = current_version(&log.entries).version;
                log.entries.push(ConfigEntry::Publish {
                    id: end as u64 + 1,
                    based: version.saturating_add_signed(*shift),
                    valid: *valid,
                });
            }
            Step::Duplicate(index) if end > 0 => log.entries.push(log.entries[index.index(end)]),
            Step::Undecodable => log.entries.push(ConfigEntry::Undecodable),
            Step::Snapshot(index) => {
                let covers = index.index(end + 1);
                if current_version(&log.entries[..covers]).version > 0 {
                    log.entries.push(ConfigEntry::Snapshot { covers });
                }
            }
            Step::Expire(count) => log.first = end.min(log.first + count),
            Step::Duplicate(_) | Step::Read { .. } | Step::Relay { .. } | Step::Restart(_) => {}
        }
        log
    }
}

fn check(tree: &str) -> Result<(), Arc<str>> {
    (tree == "good").then_some(()).ok_or_else(|| "bad".into())
}

fn record_id(n: u64) -> RecordId {
    RecordId(Uuid::from_u128(n.into()))
}

fn record(
    id: u64,
    based: u64,
    version: u64,
    origin: Option<Origin>,
    valid: bool,
) -> Stamped<ConfigRecord> {
    let body = ConfigRecord {
        based: Version(based),
        version: Version(version),
        origin,
        author: "operator".into(),
        published: WallTime::default(),
        tree: if valid { "good" } else { "bad" }.into(),
    };
    Stamped {
        id: record_id(id),
        body,
    }
}

impl Log {
    fn record(&self, offset: usize) -> Option<Stamped<ConfigRecord>> {
        match self.entries[offset] {
            ConfigEntry::Undecodable => None,
            ConfigEntry::Publish { id, based, valid } => {
                Some(record(id, based, based + 1, None, valid))
            }
            ConfigEntry::Snapshot { covers } => {
                let PublishedVersion { version, id } = current_version(&self.entries[..covers]);
                let origin = Origin {
                    id: record_id(id),
                    covers: Offset(covers as u64),
                };
                Some(record(u64::MAX, version, version, Some(origin), true))
            }
        }
    }
}

#[derive(Debug)]
struct Readers {
    histories: Vec<History>,
    latest: Vec<Version>,
}

impl Readers {
    fn read(&mut self, log: &Log, reader: usize, count: usize) {
        let history = &mut self.histories[reader];
        history.skip_to(Offset(log.first as u64));
        let next = history.next().0 as usize;
        for offset in next..log.entries.len().min(next + count) {
            let before = history.version();
            let record = log.record(offset);
            history.apply(Offset(offset as u64), record, Time::ZERO, &check);
            let is_valid = history.is_complete() || history.version() == before;
            assert!(
                is_valid,
                "an incomplete reader activated a version from the log"
            );
        }
    }

    fn relay(&mut self, to: usize, from: usize) {
        let entries = self.histories[from].since(self.histories[to].version());
        for entry in entries {
            self.histories[to].apply_relay(&entry, Time::ZERO, &check);
        }
    }
}

impl StateMachineTest for Readers {
    type SystemUnderTest = Readers;
    type Reference = Log;

    fn init_test(_: &Log) -> Readers {
        let history = History::new(Offset(0), Limits::new());
        Readers {
            histories: vec![history; READERS],
            latest: vec![Version(0); READERS],
        }
    }

    fn apply(mut readers: Readers, log: &Log, step: Step) -> Readers {
        match step {
            Step::Read { reader, count } => readers.read(log, reader, count),
            Step::Relay { to, from } => readers.relay(to, from),
            Step::Restart(reader) => {
                let start = Offset(log.first as u64);
                readers.histories[reader] = History::new(start, Limits::new());
                readers.latest[reader] = Version(0);
            }
            _ => {}
        }
        for (latest, history) in readers.latest.iter_mut().zip(&readers.histories) {
            assert!(history.version() >= *latest, "the active version decreased");
            *latest = history.version();
        }
        readers
    }

    fn check_invariants(readers: &Readers, log: &Log) {
        for history in &readers.histories {
            let current = history.current().map(|e| (e.version.0, e.id));
            let expected = |w: &PublishedVersion| (w.version, record_id(w.id));
            if history.is_complete() {
                let applied = &log.entries[..history.next().0 as usize];
                assert_eq!(current, version_history(applied).last().map(expected));
            } else if let Some(current) = current {
                assert!(
                    version_history(&log.entries)
                        .iter()
                        .map(expected)
                        .any(|w| w == current)
                );
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(support::config(1_000))]

    #[test]
    fn every_reader_agrees_with_the_fold(sequential 1..80 => Readers);
}
