//! Checks the properties of the ownership specification on real coordinators.
//!
//! Random schedules delay, duplicate and drop messages, appends and reads, pause and restart
//! instances, and let clocks drift.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use kingcupwinch_coord::id::{Incarnation, Offset, ShardId, Term};
use kingcupwinch_coord::ownership::{Action, Coordinator, Event, Message, Phase, Timers};
use kingcupwinch_coord::record::{Member, OwnerRecord, Stamped};
use kingcupwinch_time::{Drift, Span, Time};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use uuid::Uuid;

const SLOTS: usize = 3;
const SHARDS: u16 = 2;
const ROUND: Span = Span::from_millis(100);
const STARTUP_ROUNDS: usize = 60;
const RECOVERY_ROUNDS: usize = 600;
const SNAPSHOT_INTERVAL: Span = Span::from_secs(20);
const SNAPSHOT_RECORDS: u64 = 8;
/// The clock of the second instance runs fast by the maximum drift.
const DRIFT: Drift = Drift::from_ppm(1_000);

#[derive(Debug, Clone)]
enum Step {
    /// The chosen instances exchange messages without faults, with or without access to the log.
    Rounds {
        slots: [bool; SLOTS],
        log: bool,
        count: usize,
    },
    /// Time passes without any other event, in milliseconds.
    Pause(u64),
    Tick(usize),
    /// A read sent `age` milliseconds ago returns the log as it is now, or as it was then if
    /// `stale` is set.
    Read {
        slot: usize,
        age: u64,
        stale: bool,
    },
    Deliver {
        message: Index,
        duplicate: bool,
    },
    Append {
        append: Index,
        duplicate: bool,
        acked: bool,
    },
    Restart(usize),
    Drain(usize),
    /// The records covered by the newest snapshot expire.
    Expire,
}

#[derive(Debug)]
struct Schedule;

impl ReferenceStateMachine for Schedule {
    /// The instances that take part in the startup rounds before the schedule.
    type State = [bool; SLOTS];
    type Transition = Step;

    fn init_state() -> BoxedStrategy<[bool; SLOTS]> {
        prop_oneof![Just([true; SLOTS]), Just([true, false, false])].boxed()
    }

    fn transitions(_: &[bool; SLOTS]) -> BoxedStrategy<Step> {
        let slot = || 0..SLOTS;
        prop_oneof![
            6 => (any::<[bool; SLOTS]>(), any::<bool>(), 1usize..80)
                .prop_map(|(slots, log, count)| Step::Rounds { slots, log, count }),
            3 => (10u64..4_000).prop_map(Step::Pause),
            4 => slot().prop_map(Step::Tick),
            4 => (slot(), 0u64..2_500, any::<bool>())
                .prop_map(|(slot, age, stale)| Step::Read { slot, age, stale }),
            4 => (any::<Index>(), any::<bool>())
                .prop_map(|(message, duplicate)| Step::Deliver { message, duplicate }),
            4 => (any::<Index>(), any::<bool>(), any::<bool>())
                .prop_map(|(append, duplicate, acked)| Step::Append { append, duplicate, acked }),
            1 => slot().prop_map(Step::Restart),
            1 => slot().prop_map(Step::Drain),
            1 => Just(Step::Expire),
        ]
        .boxed()
    }

    fn apply(initial: [bool; SLOTS], _: &Step) -> [bool; SLOTS] {
        initial
    }
}

#[derive(Debug)]
struct SentMessage {
    from: Incarnation,
    to: Incarnation,
    body: Message,
}

#[derive(Debug)]
struct Cluster {
    now: Time,
    incarnations: u64,
    slots: Vec<Coordinator>,
    log: Vec<Stamped<OwnerRecord>>,
    /// The oldest retained offset.
    first: usize,
    /// The length of the log after each append, by the time of the append.
    len_history: BTreeMap<Time, usize>,
    messages: Vec<SentMessage>,
    appends: Vec<Stamped<OwnerRecord>>,
    winners: BTreeMap<(ShardId, Term), Incarnation>,
}

impl Cluster {
    fn new(initial: [bool; SLOTS]) -> Self {
        let mut cluster = Cluster {
            now: Time::from_millis(100_000),
            incarnations: 0,
            slots: Vec::new(),
            log: Vec::new(),
            first: 0,
            len_history: BTreeMap::new(),
            messages: Vec::new(),
            appends: Vec::new(),
            winners: BTreeMap::new(),
        };
        for slot in 0..SLOTS {
            let coord = cluster.start(slot);
            cluster.slots.push(coord);
        }
        cluster.rounds(initial, true, STARTUP_ROUNDS);
        assert!(
            cluster.is_served(),
            "the shards have no owners after startup"
        );
        cluster
    }

    fn start(&mut self, slot: usize) -> Coordinator {
        self.incarnations += 1;
        let member = Member {
            incarnation: Incarnation(Uuid::from_u64_pair(slot as u64, self.incarnations)),
            instance: format!("entry-{slot}").into(),
            link: Arc::from("127.0.0.1:1"),
            forward: Arc::from("127.0.0.1:2"),
            weight: 1,
        };
        let timers = Timers::default()
            .with_drift(DRIFT)
            .with_snapshots(SNAPSHOT_INTERVAL, SNAPSHOT_RECORDS);
        Coordinator::new(
            member,
            SHARDS,
            timers,
            self.incarnations,
            self.local_time(slot, self.now),
        )
    }

    fn local_time(&self, slot: usize, at: Time) -> Time {
        let span = at - Time::ZERO;
        let fast = if slot == 1 {
            DRIFT.lengthen(span)
        } else {
            span
        };
        Time::ZERO + fast
    }

    fn handle(&mut self, slot: usize, event: Event) {
        let now = self.local_time(slot, self.now);
        let coord = &mut self.slots[slot];
        let from = coord.member().incarnation;
        let mut actions = Vec::new();
        coord.handle(event, now, &mut actions);
        for action in actions {
            self.execute(from, action);
        }
        self.check();
    }

    fn execute(&mut self, from: Incarnation, action: Action) {
        match action {
            Action::Append(record) => self.appends.push(record),
            Action::Send { to, body } => self.messages.push(SentMessage { from, to, body }),
            Action::Gained(owned) => self.record_owner(owned.shard, owned.term, from),
            Action::Renewed { shard, term } => self.record_owner(shard, term, from),
            Action::Lost { .. } | Action::Note(_) | Action::Stopped => {}
        }
    }

    fn record_owner(&mut self, shard: ShardId, term: Term, owner: Incarnation) {
        let winner = *self.winners.entry((shard, term)).or_insert(owner);
        assert_eq!(winner, owner, "{shard:?} {term:?} has two winners");
    }

    fn dispatchers(&self, shard: u16) -> usize {
        let may = |slot: &usize| {
            let now = self.local_time(*slot, self.now);
            self.slots[*slot].permit(ShardId(shard), now).is_some()
        };
        (0..SLOTS).filter(may).count()
    }

    fn check(&self) {
        for shard in 0..SHARDS {
            assert!(
                self.dispatchers(shard) <= 1,
                "shard {shard} has two dispatchers"
            );
        }
    }

    fn is_served(&self) -> bool {
        (0..SHARDS).all(|shard| self.dispatchers(shard) == 1)
    }

    fn slot_of(&self, incarnation: Incarnation) -> Option<usize> {
        let is_match = |c: &Coordinator| c.member().incarnation == incarnation;
        self.slots.iter().position(is_match)
    }

    fn pause(&mut self, span: Span) {
        self.now += span;
        self.check();
    }

    fn read(&mut self, slot: usize, age: Span, stale: bool) {
        let sent = self.now - age;
        let tail = if stale {
            let before = self.len_history.range(..=sent).next_back();
            before.map_or(0, |(_, len)| *len)
        } else {
            self.log.len()
        };
        let next = self.slots[slot].next_offset().0 as usize;
        let from = next.max(self.first);
        let unread = from..tail.max(from);
        let records = unread.map(|at| (Offset(at as u64), Some(self.log[at].clone())));
        let event = Event::Read {
            sent: self.local_time(slot, sent),
            first: Offset(self.first as u64),
            tail: Offset(tail.max(from) as u64),
            records: records.collect(),
        };
        self.handle(slot, event);
    }

    fn append(&mut self, record: Stamped<OwnerRecord>, acked: bool) {
        let id = record.id;
        self.log.push(record);
        self.len_history.insert(self.now, self.log.len());
        if acked {
            for slot in 0..SLOTS {
                self.handle(slot, Event::AppendAcked { id });
            }
        }
    }

    fn deliver(&mut self, sent: SentMessage) {
        if let Some(slot) = self.slot_of(sent.to) {
            let SentMessage { from, body, .. } = sent;
            self.handle(slot, Event::Message { from, body });
        }
    }

    fn send_instance_list(&mut self, slot: usize) {
        let live = self.slots.iter().map(|c| c.member().instance.clone());
        let event = Event::InstanceList {
            sent: self.local_time(slot, self.now),
            live: live.collect(),
            leaving: Vec::new(),
        };
        self.handle(slot, event);
    }

    fn rounds(&mut self, chosen: [bool; SLOTS], log: bool, count: usize) {
        for _ in 0..count {
            self.pause(ROUND);
            self.exchange(chosen);
            if log {
                for record in std::mem::take(&mut self.appends) {
                    self.append(record, true);
                }
            }
            for slot in (0..SLOTS).filter(|slot| chosen[*slot]) {
                if log {
                    self.read(slot, Span::ZERO, false);
                    self.send_instance_list(slot);
                }
                self.handle(slot, Event::Tick);
            }
        }
    }

    /// Delivers the messages between the chosen slots. Other messages stay in flight.
    fn exchange(&mut self, chosen: [bool; SLOTS]) {
        let is_chosen =
            |cluster: &Cluster, id| cluster.slot_of(id).is_some_and(|slot| chosen[slot]);
        for sent in std::mem::take(&mut self.messages) {
            if is_chosen(self, sent.from) && is_chosen(self, sent.to) {
                self.deliver(sent);
            } else {
                self.messages.push(sent);
            }
        }
    }

    fn restart(&mut self, slot: usize) {
        self.slots[slot] = self.start(slot);
    }

    fn recover(&mut self) {
        for slot in 0..SLOTS {
            if self.slots[slot].phase() != Phase::Serving {
                self.restart(slot);
            }
        }
        for _ in 0..RECOVERY_ROUNDS {
            if self.is_served() {
                return;
            }
            self.rounds([true; SLOTS], true, 1);
        }
        panic!("some shard has no dispatcher after the faults have stopped");
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Rounds { slots, log, count } => self.rounds(slots, log, count),
            Step::Pause(millis) => self.pause(Span::from_millis(millis)),
            Step::Tick(slot) => self.handle(slot, Event::Tick),
            Step::Read { slot, age, stale } => self.read(slot, Span::from_millis(age), stale),
            Step::Deliver { message, duplicate } => self.deliver_one(message, duplicate),
            Step::Append {
                append,
                duplicate,
                acked,
            } => self.append_one(append, duplicate, acked),
            Step::Restart(slot) => self.restart(slot),
            Step::Drain(slot) => self.handle(slot, Event::Drain),
            Step::Expire => self.expire(),
        }
    }

    fn expire(&mut self) {
        let covered = self.log.iter().filter_map(|record| match &record.body {
            OwnerRecord::Snapshot(snapshot) => Some(snapshot.covers.0 as usize),
            _ => None,
        });
        self.first = covered.max().unwrap_or(0).max(self.first);
    }

    fn deliver_one(&mut self, message: Index, duplicate: bool) {
        if self.messages.is_empty() {
            return;
        }
        let at = message.index(self.messages.len());
        let SentMessage { from, to, body } = &self.messages[at];
        let sent = SentMessage {
            from: *from,
            to: *to,
            body: body.clone(),
        };
        if !duplicate {
            self.messages.swap_remove(at);
        }
        self.deliver(sent);
    }

    fn append_one(&mut self, append: Index, duplicate: bool, acked: bool) {
        if self.appends.is_empty() {
            return;
        }
        let at = append.index(self.appends.len());
        let record = self.appends[at].clone();
        if !duplicate {
            self.appends.swap_remove(at);
        }
        self.append(record, acked);
    }
}

impl StateMachineTest for Cluster {
    type SystemUnderTest = Cluster;
    type Reference = Schedule;

    fn init_test(initial: &[bool; SLOTS]) -> Cluster {
        Cluster::new(*initial)
    }

    fn apply(mut cluster: Cluster, _: &[bool; SLOTS], step: Step) -> Cluster {
        cluster.step(step);
        cluster
    }

    fn teardown(mut cluster: Cluster, _: [bool; SLOTS]) {
        cluster.recover();
    }
}

prop_state_machine! {
    #![proptest_config(support::config(150))]

    #[test]
    fn coordinators_satisfy_the_specification(sequential 1..60 => Cluster);
}
