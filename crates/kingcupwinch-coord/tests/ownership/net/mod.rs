//! Simulation of a failure domain in virtual time: coordinators, links, the log and the instance
//! list.
//!
//! After every step the simulation asserts that no two instances may dispatch to the same shard.
//! Clocks drift; tests inject failures of links, the log and processes.

mod checks;
mod faults;
mod platform;
mod trace;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kingcupwinch_coord::id::{Incarnation, ShardId};
use kingcupwinch_coord::ownership::{Action, Coordinator, Event, Message, Note, Permit, Timers};
use kingcupwinch_coord::record::{Member, OwnerRecord, Stamped};
use kingcupwinch_time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

const POLL: Span = Span::from_millis(500);
const START: Time = Time::from_millis(100_000);
const APPEND_DELAY: (Span, Span) = (Span::from_millis(1), Span::from_millis(5));
const SKEW_PPM: i64 = 1_000;
const PPM_SCALE: u64 = 1_000_000;

#[derive(Debug, Clone)]
enum Step {
    Tick,
    SendRead,
    ReadArrives { read: u64, sent: Time, until: Time },
    ReadTimeout { read: u64 },
    ReadAnswer { read: u64, event: Event },
    AppendArrives { record: Stamped<OwnerRecord> },
    AppendTimeout { record: Stamped<OwnerRecord> },
    Deliver { event: Event },
    AskList,
}

pub(crate) struct Node {
    pub(crate) coord: Coordinator,
    pub(crate) alive: bool,
    /// Deviation of the node's clock rate, in parts per million.
    pub(crate) ppm: i64,
    pub(crate) paused: Time,
    pub(crate) log_cut: bool,
    pub(crate) notes: Vec<Note>,
    pub(crate) appends: u64,
    pub(crate) messages: u64,
    pub(crate) busy_nanos: u64,
    /// Permits as of the last event, which a program may use until they expire.
    permits: Vec<Option<Permit>>,
    died: Option<Time>,
    read: u64,
    unacked: BTreeSet<Uuid>,
}

pub(crate) struct Net {
    pub(crate) now: Time,
    pub(crate) nodes: Vec<Node>,
    pub(crate) shards: u16,
    pub(crate) log: Vec<Option<Stamped<OwnerRecord>>>,
    pub(crate) first: usize,
    pub(crate) log_down: bool,
    pub(crate) lose_replies: bool,
    /// Loss rate of messages and replies, in percent.
    pub(crate) loss: u32,
    /// Maximum delay of a message.
    pub(crate) delay: Span,
    /// Minimum and maximum delay of an append.
    pub(crate) append_delay: (Span, Span),
    /// Maximum time for which a read waits for new records.
    pub(crate) poll: Span,
    /// Whether instance lists omit a random instance from time to time.
    pub(crate) flaky_list: bool,
    /// Whether the invariant is checked after every step.
    pub(crate) checked: bool,
    /// Sent messages with their senders, recorded if `keep_sent` is set.
    pub(crate) sent: Vec<(usize, Message)>,
    pub(crate) keep_sent: bool,
    /// Clock in nanoseconds that is read before and after each event.
    pub(crate) cpu_clock: Option<fn() -> u64>,
    /// Trace lines, recorded if `keep_trace` is set.
    pub(crate) trace: Vec<String>,
    pub(crate) keep_trace: bool,
    seed: u64,
    skew: i64,
    cuts: BTreeSet<(usize, usize)>,
    timers: Timers,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Time, u64), (usize, Step)>,
    pushed: u64,
}

impl Node {
    /// Returns whether the node may dispatch to a shard now, on the permit of the last event or on
    /// a permit obtained now.
    fn may_dispatch(&self, shard: u16, now: Time) -> bool {
        let last = self.permits.get(usize::from(shard)).copied().flatten();
        let is_unexpired = last.is_some_and(|permit| now < permit.until);
        is_unexpired || self.coord.permit(ShardId(shard), now).is_some()
    }

    fn publish(&mut self, shards: u16, now: Time) {
        self.permits = (0..shards)
            .map(|shard| self.coord.permit(ShardId(shard), now))
            .collect();
    }
}

impl Net {
    pub(crate) fn new(nodes: usize, shards: u16, timers: Timers, seed: u64) -> Self {
        Net::with_skew(nodes, shards, timers, seed, SKEW_PPM)
    }

    /// Creates a domain in which every second clock is fast by `skew` parts per million.
    pub(crate) fn with_skew(
        nodes: usize,
        shards: u16,
        timers: Timers,
        seed: u64,
        skew: i64,
    ) -> Self {
        let mut net = Net {
            now: START,
            nodes: Vec::new(),
            shards,
            log: Vec::new(),
            first: 0,
            log_down: false,
            lose_replies: false,
            loss: 0,
            delay: Span::from_millis(3),
            append_delay: APPEND_DELAY,
            poll: POLL,
            flaky_list: false,
            checked: true,
            sent: Vec::new(),
            keep_sent: false,
            cpu_clock: None,
            trace: Vec::new(),
            keep_trace: false,
            seed,
            skew,
            cuts: BTreeSet::new(),
            timers,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            pushed: 0,
        };
        for index in 0..nodes {
            net.start(&format!("entry-{index}"), 1);
        }
        net
    }

    /// Starts a new incarnation of an instance and returns its node index.
    pub(crate) fn start(&mut self, instance: &str, weight: u32) -> usize {
        let index = self.nodes.len();
        let member = Member {
            incarnation: Incarnation(Uuid::from_u64_pair(7, index as u64)),
            instance: Arc::from(instance),
            link: Arc::from("127.0.0.1:1"),
            forward: Arc::from("127.0.0.1:2"),
            weight,
        };
        let ppm = if index.is_multiple_of(2) {
            0
        } else {
            self.skew
        };
        let (shards, timers) = (self.shards, self.timers.clone());
        let seed = index as u64;
        let coord = Coordinator::new(member, shards, timers, seed, local(self.now, ppm));
        self.nodes.push(Node {
            coord,
            alive: true,
            ppm,
            paused: Time::ZERO,
            log_cut: false,
            notes: Vec::new(),
            appends: 0,
            messages: 0,
            busy_nanos: 0,
            permits: Vec::new(),
            died: None,
            read: 0,
            unacked: BTreeSet::new(),
        });
        for step in [Step::Tick, Step::SendRead, Step::AskList] {
            self.push(self.now, index, step);
        }
        index
    }

    pub(crate) fn send_event(&mut self, node: usize, event: Event) {
        self.push(self.now, node, Step::Deliver { event });
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.step_before(end) {}
        self.now = end;
    }

    /// Runs until a condition holds and returns the elapsed time, or `None` if `bound` was
    /// exceeded.
    pub(crate) fn run_until(&mut self, bound: Span, is_met: impl Fn(&Net) -> bool) -> Option<Span> {
        let begin = self.now;
        let end = begin + bound;
        while !is_met(self) {
            if !self.step_before(end) {
                return None;
            }
        }
        Some(self.now - begin)
    }

    /// Runs until every shard has an owner that may dispatch.
    pub(crate) fn run_until_served(&mut self, bound: Span) -> Option<Span> {
        self.run_until(bound, Net::all_dispatched)
    }

    fn step_before(&mut self, end: Time) -> bool {
        let Some((&(at, number), _)) = self.queue.first_key_value() else {
            return false;
        };
        if at > end {
            return false;
        }
        let Some((index, step)) = self.queue.remove(&(at, number)) else {
            return false;
        };
        self.now = at;
        let node = &self.nodes[index];
        let survives = matches!(step, Step::AppendArrives { .. });
        if node.paused > at && node.alive && !survives {
            self.push(node.paused, index, step);
        } else if node.alive || survives {
            self.take(index, step);
        }
        if self.checked {
            for shard in 0..self.shards {
                self.dispatcher(shard);
            }
        }
        true
    }

    fn take(&mut self, index: usize, step: Step) {
        match step {
            Step::Tick => self.tick(index),
            Step::SendRead => self.send_read(index),
            Step::ReadArrives { read, sent, until } => self.read_arrives(index, read, sent, until),
            Step::ReadTimeout { read } => self.read_timeout(index, read),
            Step::ReadAnswer { read, event } => {
                self.handle(index, event);
                self.next_read(index, read, Span::ZERO);
            }
            Step::AppendArrives { record } => self.append_arrives(index, record),
            Step::AppendTimeout { record } => {
                if self.nodes[index].unacked.remove(&record.id.0) {
                    self.handle(index, Event::AppendFailed { id: record.id });
                }
            }
            Step::Deliver { event } => {
                if let Event::AppendAcked { id } = &event {
                    self.nodes[index].unacked.remove(&id.0);
                }
                self.handle(index, event);
            }
            Step::AskList => self.ask_list(index),
        }
    }

    fn tick(&mut self, index: usize) {
        let now = local(self.now, self.nodes[index].ppm);
        if self.nodes[index].coord.deadline() <= now {
            self.handle(index, Event::Tick);
        }
        let deadline = self.nodes[index].coord.deadline();
        if deadline < Time::MAX {
            let wait = (deadline - now).max(Span::from_millis(1));
            self.push(self.now + wait, index, Step::Tick);
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = local(self.now, self.nodes[index].ppm);
        let mut out = Vec::new();
        let before = self.cpu_clock.map_or(0, |cpu_clock| cpu_clock());
        self.nodes[index].coord.handle(event, now, &mut out);
        self.nodes[index].busy_nanos += self.cpu_clock.map_or(0, |cpu_clock| cpu_clock()) - before;
        if self.checked {
            self.nodes[index].publish(self.shards, now);
        }
        for action in out {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        self.trace_action(index, &action);
        match action {
            Action::Append(record) => self.send_append(index, record),
            Action::Send { to, body } => self.send_message(index, to, body),
            Action::Note(note) => self.nodes[index].notes.push(note),
            Action::Stopped => self.kill(index),
            Action::Gained(_) | Action::Renewed { .. } | Action::Lost { .. } => {}
        }
    }

    fn send_message(&mut self, index: usize, to: Incarnation, body: Message) {
        self.nodes[index].messages += 1;
        if self.keep_sent {
            self.sent.push((index, body.clone()));
        }
        let found = self
            .nodes
            .iter()
            .position(|node| node.coord.member().incarnation == to);
        let Some(target) = found else { return };
        if self.cuts.contains(&(index, target)) || self.is_lost() {
            return;
        }
        let from = self.nodes[index].coord.member().incarnation;
        let event = Event::Message { from, body };
        let at = self.now + self.random_delay(self.delay);
        self.push(at, target, Step::Deliver { event });
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.loss
    }

    fn random_delay(&mut self, max_delay: Span) -> Span {
        Span::from_micros(self.rng.random_range(200..=max_delay.as_micros()))
    }

    fn push(&mut self, at: Time, node: usize, step: Step) {
        self.pushed += 1;
        self.queue.insert((at, self.pushed), (node, step));
    }

    /// Runs until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold within 30 seconds.
    pub(crate) fn wait_for(&mut self, is_met: impl Fn(&Net) -> bool) {
        let found = self.run_until(Span::from_secs(30), is_met);
        assert!(
            found.is_some(),
            "the condition did not hold within 30 seconds"
        );
    }
}

/// Converts true time to the time of a clock that deviates by `ppm` parts per million.
pub(crate) fn local(at: Time, ppm: i64) -> Time {
    let micros = at.as_micros();
    let apart = micros * ppm.unsigned_abs() / PPM_SCALE;
    if ppm < 0 {
        Time::from_micros(micros - apart)
    } else {
        Time::from_micros(micros + apart)
    }
}

/// Creates a domain and runs it until all shards are served.
pub(crate) fn settled(nodes: usize, shards: u16, seed: u64) -> Net {
    settled_with(nodes, shards, Timers::default(), seed)
}

/// Creates a domain with the given timers and runs it until all shards are served.
pub(crate) fn settled_with(nodes: usize, shards: u16, timers: Timers, seed: u64) -> Net {
    let mut net = Net::new(nodes, shards, timers, seed);
    net.run(Span::from_secs(15));
    assert!(net.all_dispatched(), "the domain did not settle");
    net
}
