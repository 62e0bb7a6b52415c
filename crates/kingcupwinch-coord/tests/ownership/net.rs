//! A failure domain in virtual time: coordinators, their links, the log and the instance list.
//!
//! After every step it asserts that no shard has two dispatching instances. Clocks drift; links,
//! the log and processes fail as told.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kingcupwinch_coord::id::{Incarnation, Offset, ShardId};
use kingcupwinch_coord::ownership::message::Placed;
use kingcupwinch_coord::ownership::{Action, Coordinator, Event, Message, Note, Phase, Timers};
use kingcupwinch_coord::record::{Member, OwnerRecord, Stamped};
use kingcupwinch_time::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

const POLL: Span = Span::from_millis(500);
const POLL_STEP: Span = Span::from_millis(20);
const ANSWER_TIMEOUT: Span = Span::from_millis(800);
const READ_PAUSE: Span = Span::from_millis(100);
const LIST_EVERY: Span = Span::from_millis(1_000);
const LIST_DELAY: Span = Span::from_millis(3_000);
const START: Time = Time::from_millis(100_000);
const APPEND_DELAY: (Span, Span) = (Span::from_millis(1), Span::from_millis(5));
const SKEW: i64 = 1_000;
const PPM: u64 = 1_000_000;

#[derive(Debug, Clone)]
enum Step {
    Tick,
    SendRead,
    ReadArrives { read: u64, sent: Time, until: Time },
    ReadTimeout { read: u64 },
    ReadAnswer { read: u64, event: Event },
    AppendArrives { record: Stamped<OwnerRecord> },
    AppendTimeout { record: Stamped<OwnerRecord> },
    Happens { event: Event },
    AskList,
}

pub(crate) struct Node {
    pub(crate) coord: Coordinator,
    pub(crate) alive: bool,
    /// Deviation of its clock's rate, in parts per million.
    pub(crate) ppm: i64,
    pub(crate) paused: Time,
    pub(crate) log_cut: bool,
    pub(crate) notes: Vec<Note>,
    pub(crate) appends: u64,
    pub(crate) messages: u64,
    pub(crate) busy_nanos: u64,
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
    pub(crate) lose_answers: bool,
    /// Share of messages and answers that are lost, in percent.
    pub(crate) loss: u32,
    /// Longest delay of a message.
    pub(crate) delay: Span,
    /// Shortest and longest delay of an append.
    pub(crate) append_delay: (Span, Span),
    /// Longest wait of a read for records.
    pub(crate) poll: Span,
    /// Whether lists leave out a random instance now and then.
    pub(crate) flicker: bool,
    /// Whether the invariant is checked after every step.
    pub(crate) checked: bool,
    /// Sender and message, where they are kept.
    pub(crate) sent: Vec<(usize, Message)>,
    pub(crate) keep_sent: bool,
    /// Reads a clock before and after each event, in nanoseconds.
    pub(crate) meter: Option<fn() -> u64>,
    /// One line for each record, gain and loss, where they are kept.
    pub(crate) story: Vec<String>,
    pub(crate) keep_story: bool,
    seed: u64,
    skew: i64,
    cuts: BTreeSet<(usize, usize)>,
    timers: Timers,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Time, u64), (usize, Step)>,
    pushed: u64,
}

impl Net {
    pub(crate) fn new(nodes: usize, shards: u16, timers: Timers, seed: u64) -> Self {
        Net::with_skew(nodes, shards, timers, seed, SKEW)
    }

    /// Makes a domain in which every other clock runs fast by `skew` parts per million.
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
            lose_answers: false,
            loss: 0,
            delay: Span::from_millis(3),
            append_delay: APPEND_DELAY,
            poll: POLL,
            flicker: false,
            checked: true,
            sent: Vec::new(),
            keep_sent: false,
            meter: None,
            story: Vec::new(),
            keep_story: false,
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

    /// Starts a fresh incarnation of an instance; its clock runs at a rate within the drift bound.
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
            died: None,
            read: 0,
            unacked: BTreeSet::new(),
        });
        for step in [Step::Tick, Step::SendRead, Step::AskList] {
            self.push(self.now, index, step);
        }
        index
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.nodes[node].died = Some(self.now);
    }

    /// Kills an instance and starts it again as a fresh incarnation.
    pub(crate) fn restart(&mut self, node: usize) -> usize {
        self.kill(node);
        let instance = self.nodes[node].coord.member().instance.clone();
        self.start(&instance, 1)
    }

    pub(crate) fn pause(&mut self, node: usize, span: Span) {
        self.nodes[node].paused = self.now + span;
    }

    pub(crate) fn cut(&mut self, a: usize, b: usize) {
        self.cuts.insert((a, b));
        self.cuts.insert((b, a));
    }

    /// Loses messages from `a` to `b` only.
    pub(crate) fn cut_one_way(&mut self, a: usize, b: usize) {
        self.cuts.insert((a, b));
    }

    /// Cuts a node off from every other one.
    pub(crate) fn isolate(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            self.cut(node, other);
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        self.log_down = false;
        self.lose_answers = false;
        self.loss = 0;
        self.flicker = false;
        self.delay = Span::from_millis(3);
        self.append_delay = APPEND_DELAY;
        for node in &mut self.nodes {
            node.log_cut = false;
            node.paused = Time::ZERO;
        }
    }

    /// Appends a record, or bytes that do not decode, as another writer.
    pub(crate) fn append_raw(&mut self, record: Option<Stamped<OwnerRecord>>) {
        self.log.push(record);
    }

    pub(crate) fn tell(&mut self, node: usize, event: Event) {
        self.push(self.now, node, Step::Happens { event });
    }

    /// Returns the node that may dispatch to a shard now; paused and dead ones may not.
    pub(crate) fn dispatcher(&self, shard: u16) -> Option<usize> {
        let mut found = self.dispatchers(shard);
        let first = found.next();
        let second = found.next();
        assert!(
            second.is_none(),
            "seed {}, {}: shard {shard} has two dispatchers, {first:?} and {second:?}",
            self.seed,
            self.now
        );
        first
    }

    fn dispatchers(&self, shard: u16) -> impl Iterator<Item = usize> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.alive && node.paused <= self.now)
            .filter(move |(_, node)| {
                let now = local(self.now, node.ppm);
                node.coord.permit(ShardId(shard), now).is_some()
            })
            .map(|(index, _)| index)
    }

    /// Returns how many shards each node may dispatch to.
    pub(crate) fn counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.nodes.len()];
        for shard in 0..self.shards {
            if let Some(node) = self.dispatcher(shard) {
                counts[node] += 1;
            }
        }
        counts
    }

    pub(crate) fn all_dispatched(&self) -> bool {
        (0..self.shards).all(|shard| self.dispatcher(shard).is_some())
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.step_before(end) {}
        self.now = end;
    }

    /// Runs until a condition holds, and returns how long that took; none past the bound.
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

    /// Runs until every shard has a dispatching owner.
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
            Step::Happens { event } => {
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
        let before = self.meter.map_or(0, |meter| meter());
        self.nodes[index].coord.handle(event, now, &mut out);
        self.nodes[index].busy_nanos += self.meter.map_or(0, |meter| meter()) - before;
        for action in out {
            self.carry_out(index, action);
        }
    }

    /// Adds a line to the story, at the seconds since the start.
    pub(crate) fn tell_story(&mut self, text: &str) {
        if self.keep_story {
            let at = (self.now - START).as_secs_f64();
            self.story.push(format!("{at:7.3} {text}"));
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        self.tell_action(index, &action);
        match action {
            Action::Append(record) => self.send_append(index, record),
            Action::Send { to, body } => self.send_message(index, to, body),
            Action::Note(note) => self.nodes[index].notes.push(note),
            Action::Stopped => self.kill(index),
            Action::Gained(_) | Action::Renewed { .. } | Action::Lost { .. } => {}
        }
    }

    fn tell_action(&mut self, index: usize, action: &Action) {
        let name = self.nodes[index].coord.member().instance.clone();
        match action {
            Action::Gained(owned) => {
                let wait = (owned.effective - local(self.now, self.nodes[index].ppm)).as_millis();
                let (shard, term) = (owned.shard.0, owned.term.0);
                self.tell_story(&format!("{name} gains {shard} at term {term} in {wait} ms"));
            }
            Action::Renewed { shard, term } => {
                self.tell_story(&format!("{name} renews {} at term {}", shard.0, term.0));
            }
            Action::Lost { shard, reason, .. } => {
                self.tell_story(&format!("{name} loses {}: {reason:?}", shard.0));
            }
            Action::Note(note) => self.tell_story(&format!("{name} notes {}", note.code())),
            Action::Stopped => self.tell_story(&format!("{name} stops")),
            Action::Append(_) | Action::Send { .. } => {}
        }
    }

    fn tell_record(&mut self, index: usize, record: &OwnerRecord) {
        let name = self.nodes[index].coord.member().instance.clone();
        let offset = self.log.len();
        let what = match record {
            OwnerRecord::Join(_) => "join".to_owned(),
            OwnerRecord::Leave(_) => "leave".to_owned(),
            OwnerRecord::Retire(_) => "retirement".to_owned(),
            OwnerRecord::Claim(claim) => {
                format!(
                    "claim of {} shards, {} voters",
                    claim.shards.len(),
                    claim.voters.len()
                )
            }
            OwnerRecord::Release { shards, .. } => format!("release of {} shards", shards.len()),
            OwnerRecord::HandOver(plan) => format!("hand-over of {} shards", plan.shards.len()),
            OwnerRecord::Snapshot(snapshot) => format!("snapshot up to {}", snapshot.covers.0),
        };
        self.tell_story(&format!("{name} appends {offset}: {what}"));
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
        let at = self.now + self.some_delay(self.delay);
        self.push(at, target, Step::Happens { event });
    }

    fn send_append(&mut self, index: usize, record: Stamped<OwnerRecord>) {
        self.nodes[index].appends += 1;
        self.nodes[index].unacked.insert(record.id.0);
        let timeout = Step::AppendTimeout {
            record: record.clone(),
        };
        self.push(self.now + ANSWER_TIMEOUT, index, timeout);
        if self.nodes[index].log_cut {
            return;
        }
        let (least, most) = self.append_delay;
        let at = self.now + self.some_delay(most).max(least);
        self.push(at, index, Step::AppendArrives { record });
    }

    fn append_arrives(&mut self, index: usize, record: Stamped<OwnerRecord>) {
        if self.log_down {
            return;
        }
        let id = record.id;
        self.tell_record(index, &record.body);
        self.log.push(Some(record));
        if self.lose_answers || self.is_lost() || !self.nodes[index].alive {
            return;
        }
        let at = self.now + self.some_delay(self.delay);
        let event = Event::AppendAcked { id };
        self.push(at, index, Step::Happens { event });
    }

    fn send_read(&mut self, index: usize) {
        let read = self.nodes[index].read;
        let sent = local(self.now, self.nodes[index].ppm);
        let at = self.now + self.some_delay(self.delay);
        let until = at + self.poll;
        let arrives = Step::ReadArrives { read, sent, until };
        self.push(at, index, arrives);
        let timeout = self.now + ANSWER_TIMEOUT;
        self.push(timeout, index, Step::ReadTimeout { read });
    }

    fn read_arrives(&mut self, index: usize, read: u64, sent: Time, until: Time) {
        if self.log_down || self.nodes[index].log_cut {
            return;
        }
        let from = self.nodes[index].coord.next_offset().0 as usize;
        let is_empty = from >= self.log.len();
        if is_empty && self.now < until {
            let step = Step::ReadArrives { read, sent, until };
            self.push(self.now + POLL_STEP, index, step);
            return;
        }
        if self.is_lost() {
            return;
        }
        let event = self.answer_read(from, sent);
        let at = self.now + self.some_delay(self.delay);
        self.push(at, index, Step::ReadAnswer { read, event });
    }

    fn answer_read(&self, from: usize, sent: Time) -> Event {
        let begin = from.max(self.first);
        let records: Vec<Placed> = (begin..self.log.len())
            .map(|offset| (Offset(offset as u64), self.log[offset].clone()))
            .take(100)
            .collect();
        Event::Read {
            sent,
            first: Offset(self.first as u64),
            tail: Offset(self.log.len() as u64),
            records,
        }
    }

    fn read_timeout(&mut self, index: usize, read: u64) {
        if self.nodes[index].read == read {
            self.handle(index, Event::ReadFailed);
            self.next_read(index, read, READ_PAUSE);
        }
    }

    fn next_read(&mut self, index: usize, read: u64, pause: Span) {
        if self.nodes[index].read == read {
            self.nodes[index].read += 1;
            self.push(self.now + pause, index, Step::SendRead);
        }
    }

    fn ask_list(&mut self, index: usize) {
        self.push(self.now + LIST_EVERY, index, Step::AskList);
        if self.nodes[index].log_cut {
            return;
        }
        let left_out = (self.flicker && self.rng.random_bool(0.5))
            .then(|| self.rng.random_range(0..self.nodes.len()));
        let live: BTreeSet<Arc<str>> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, _)| Some(*other) != left_out)
            .filter(|(_, node)| node.died.is_none_or(|died| died + LIST_DELAY > self.now))
            .map(|(_, node)| node.coord.member().instance.clone())
            .collect();
        let event = Event::Roster {
            sent: local(self.now, self.nodes[index].ppm),
            live: live.into_iter().collect(),
            leaving: Vec::new(),
        };
        self.handle(index, event);
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.loss
    }

    fn some_delay(&mut self, longest: Span) -> Span {
        Span::from_micros(self.rng.random_range(200..=longest.as_micros()))
    }

    fn push(&mut self, at: Time, node: usize, step: Step) {
        self.pushed += 1;
        self.queue.insert((at, self.pushed), (node, step));
    }

    /// Runs in short steps until a condition holds.
    pub(crate) fn watch(&mut self, is_met: impl Fn(&Net) -> bool) {
        let found = self.run_until(Span::from_secs(30), is_met);
        assert!(found.is_some(), "the condition was not met");
    }

    /// Returns the offset of the first record from `start` on that a test accepts.
    pub(crate) fn find(&self, start: usize, is_it: impl Fn(&OwnerRecord) -> bool) -> Option<usize> {
        (start..self.log.len()).find(|offset| {
            let record = self.log[*offset].as_ref();
            record.is_some_and(|record| is_it(&record.body))
        })
    }

    pub(crate) fn id(&self, node: usize) -> Incarnation {
        self.nodes[node].coord.member().incarnation
    }

    /// Returns the nodes that serve, oldest first.
    pub(crate) fn serving(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].alive)
            .filter(|index| self.nodes[*index].coord.phase() == Phase::Serving)
            .collect()
    }

    /// Returns the node that dispatches to the most shards.
    pub(crate) fn busiest(&self) -> usize {
        let counts = self.counts();
        (0..counts.len())
            .max_by_key(|index| (counts[*index], Reverse(*index)))
            .unwrap_or(0)
    }
}

/// Returns a node's own time at a true time.
pub(crate) fn local(at: Time, ppm: i64) -> Time {
    let micros = at.as_micros();
    let apart = micros * ppm.unsigned_abs() / PPM;
    if ppm < 0 {
        Time::from_micros(micros - apart)
    } else {
        Time::from_micros(micros + apart)
    }
}

/// Makes a started, settled domain.
pub(crate) fn settled(nodes: usize, shards: u16, seed: u64) -> Net {
    settled_with(nodes, shards, Timers::default(), seed)
}

/// Makes a started, settled domain with other settings.
pub(crate) fn settled_with(nodes: usize, shards: u16, timers: Timers, seed: u64) -> Net {
    let mut net = Net::new(nodes, shards, timers, seed);
    net.run(Span::from_secs(15));
    assert!(net.all_dispatched(), "the domain did not settle");
    net
}
