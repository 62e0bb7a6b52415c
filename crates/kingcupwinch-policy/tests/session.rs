//! A whole session as a golden file: events and the decisions that follow.

#![allow(clippy::unwrap_used)]

mod common;

use std::fmt::Write;

use common::{ALL_PREEMPTION, Bench, UNIT};
use kingcupwinch_policy::{
    ClassKind, ClassSpec, Decision, GangSpec, MachineKey, NotStarted, Outcome, Permille, Placement,
    Plan, TaskKey,
};
use kingcupwinch_time::{Span, Time};

/// Names keys by the order in which they appear.
struct Session {
    bench: Bench,
    machines: Vec<MachineKey>,
    tasks: Vec<TaskKey>,
    places: Vec<Placement>,
    text: String,
}

impl Session {
    fn new() -> Self {
        let check = ClassSpec::new("check", ClassKind::Live, 0).with_typical_size(UNIT);
        let plan = ClassSpec::new("plan", ClassKind::Batch, 1)
            .with_preemption(ALL_PREEMPTION)
            .with_shares(Permille(100), Permille::ALL);
        let tour = ClassSpec::new("tour", ClassKind::Gang, 1);
        let plan = Plan::new()
            .with_class(check)
            .with_class(plan)
            .with_class(tour);
        let mut session = Session {
            bench: Bench::new(plan),
            machines: Vec::new(),
            tasks: Vec::new(),
            places: Vec::new(),
            text: String::new(),
        };
        for rack in ["north", "north", "south"] {
            let machine = session.bench.machine(rack, 4);
            session.machines.push(machine);
        }
        session
    }

    fn say(&mut self, line: &str) {
        let since = self.bench.now - Time::from_millis(1);
        writeln!(self.text, "{:>6} ms  {line}", since.as_millis()).unwrap();
    }

    fn submit(&mut self, class: &str, units: u64) -> TaskKey {
        let spec = self.bench.spec(class, units);
        let task = self.bench.cell.submit(spec, self.bench.now).unwrap();
        self.tasks.push(task);
        let name = self.task(task);
        self.say(&format!("submit {name}: {class} of {units}"));
        task
    }

    fn gang(&mut self, count: u32) {
        let gang = GangSpec::new(self.bench.spec("tour", 1), count);
        let ticket = self.bench.cell.submit_gang(gang, self.bench.now).unwrap();
        self.tasks.extend(ticket.tasks);
        self.say(&format!("submit a gang of {count}"));
    }

    fn end(&mut self, task: TaskKey, outcome: Outcome) {
        let index = self.places.iter().position(|p| p.task == task).unwrap();
        let place = self.places.swap_remove(index);
        let next = self.bench.end(place, outcome);
        let name = self.task(task);
        self.say(&format!("{name} ended {outcome:?}: {next:?}"));
    }

    fn refuse(&mut self, task: TaskKey) {
        let index = self.places.iter().position(|p| p.task == task).unwrap();
        let place = self.places.swap_remove(index);
        let now = self.bench.now;
        let next = self
            .bench
            .cell
            .not_started(place, NotStarted::Full, now)
            .unwrap();
        let name = self.task(task);
        self.say(&format!("{name} refused by its worker: {next:?}"));
    }

    /// Decides now, and at each deadline up to `millis` from now.
    fn pass(&mut self, millis: u64) {
        let until = self.bench.now + Span::from_millis(millis);
        loop {
            for decision in self.bench.decide() {
                self.note(decision);
            }
            match self.bench.cell.next_deadline().filter(|t| *t <= until) {
                Some(next) => self.bench.now = next,
                None => break,
            }
        }
        self.bench.now = until;
    }

    fn note(&mut self, decision: Decision) {
        let line = match &decision {
            Decision::Start(place) => format!("start {}", self.place(place)),
            Decision::StartGang { places, .. } => {
                let places: Vec<String> = places.iter().map(|p| self.place(p)).collect();
                format!("start gang {}", places.join(", "))
            }
            Decision::Throttle { target, percent } => {
                format!("throttle {} by {percent}%", self.place(target))
            }
            Decision::Checkpoint(place) => format!("checkpoint {}", self.place(place)),
            Decision::Stop(place) => format!("stop {}", self.place(place)),
            Decision::GiveUp { task, refusal } => {
                format!("give up {}: {refusal}", self.task(*task))
            }
        };
        match decision {
            Decision::Start(place) => self.places.push(place),
            Decision::StartGang { places, .. } => self.places.extend(places),
            _ => {}
        }
        self.say(&format!("  -> {line}"));
    }

    fn place(&self, place: &Placement) -> String {
        let machine = self
            .machines
            .iter()
            .position(|m| *m == place.machine)
            .unwrap();
        format!("{}#{} on m{machine}", self.task(place.task), place.attempt)
    }

    fn task(&self, task: TaskKey) -> String {
        let index = self.tasks.iter().position(|t| *t == task).unwrap();
        format!("t{index}")
    }
}

#[test]
fn a_session_of_lending_gangs_and_a_lost_machine() {
    let mut s = Session::new();
    for _ in 0..3 {
        s.submit("plan", 4);
    }
    s.pass(50);
    let check = s.submit("check", 1);
    s.pass(150);
    let victim = s.places[0].task;
    s.end(victim, Outcome::Checkpointed);
    s.pass(10);
    s.end(check, Outcome::Done);
    s.gang(6);
    s.pass(2_000);
    let rest: Vec<TaskKey> = s.places.iter().map(|p| p.task).collect();
    for task in rest {
        s.end(task, Outcome::Done);
    }
    s.pass(100);
    let members: Vec<TaskKey> = s.places.iter().map(|p| p.task).collect();
    s.end(members[0], Outcome::Failed);
    s.pass(10);
    for task in &members[1..] {
        s.end(*task, Outcome::Stopped);
    }
    s.pass(2_000);
    let lost = s.places[0].machine;
    s.bench.cell.remove_machine(lost, s.bench.now).unwrap();
    let on_lost: Vec<TaskKey> = s
        .places
        .iter()
        .filter(|p| p.machine == lost)
        .map(|p| p.task)
        .collect();
    s.say("a machine is lost");
    s.pass(2_000);
    for task in on_lost {
        s.end(task, Outcome::Lost);
    }
    s.pass(5_000);
    let late = s.submit("check", 1);
    s.pass(5);
    s.refuse(late);
    s.pass(1_000);
    insta::assert_snapshot!(s.text);
}
