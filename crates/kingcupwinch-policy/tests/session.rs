//! Snapshot test of a whole session: events and the decisions that follow.

#![allow(clippy::unwrap_used)]

mod common;

use std::fmt::Write;

use common::{ALL_PREEMPTION, Harness, UNIT};
use kingcupwinch_policy::{
    ClassKind, ClassSpec, Decision, GangSpec, MachineKey, NotStarted, Outcome, Permille, Placement,
    Plan, TaskKey,
};
use kingcupwinch_time::{Span, Time};

/// Runs a session and logs it; keys are named by their order of appearance.
struct Session {
    harness: Harness,
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
            harness: Harness::new(plan),
            machines: Vec::new(),
            tasks: Vec::new(),
            places: Vec::new(),
            text: String::new(),
        };
        for rack in ["north", "north", "south"] {
            let machine = session.harness.machine(rack, 4);
            session.machines.push(machine);
        }
        session
    }

    fn log(&mut self, line: &str) {
        let since = self.harness.now - Time::from_millis(1);
        writeln!(self.text, "{:>6} ms  {line}", since.as_millis()).unwrap();
    }

    fn submit(&mut self, class: &str, units: u64) -> TaskKey {
        let spec = self.harness.spec(class, units);
        let task = self.harness.cell.submit(spec, self.harness.now).unwrap();
        self.tasks.push(task);
        let name = self.task(task);
        self.log(&format!("submit {name}: {class} of {units}"));
        task
    }

    fn gang(&mut self, count: u32) {
        let gang = GangSpec::new(self.harness.spec("tour", 1), count);
        let ticket = self
            .harness
            .cell
            .submit_gang(gang, self.harness.now)
            .unwrap();
        self.tasks.extend(ticket.tasks);
        self.log(&format!("submit a gang of {count}"));
    }

    fn end(&mut self, task: TaskKey, outcome: Outcome) {
        let index = self.places.iter().position(|p| p.task == task).unwrap();
        let place = self.places.swap_remove(index);
        let next = self.harness.end(place, outcome);
        let name = self.task(task);
        self.log(&format!("{name} ended {outcome:?}: {next:?}"));
    }

    fn refuse(&mut self, task: TaskKey) {
        let index = self.places.iter().position(|p| p.task == task).unwrap();
        let place = self.places.swap_remove(index);
        let now = self.harness.now;
        let next = self
            .harness
            .cell
            .not_started(place, NotStarted::Full, now)
            .unwrap();
        let name = self.task(task);
        self.log(&format!("{name} refused by its worker: {next:?}"));
    }

    /// Runs decision rounds now and at each deadline up to `millis` from now.
    fn advance(&mut self, millis: u64) {
        let until = self.harness.now + Span::from_millis(millis);
        loop {
            for decision in self.harness.decide() {
                self.log_decision(decision);
            }
            match self.harness.cell.next_deadline().filter(|t| *t <= until) {
                Some(next) => self.harness.now = next,
                None => break,
            }
        }
        self.harness.now = until;
    }

    fn log_decision(&mut self, decision: Decision) {
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
        self.log(&format!("  -> {line}"));
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
    let mut session = Session::new();
    for _ in 0..3 {
        session.submit("plan", 4);
    }
    session.advance(50);
    let check = session.submit("check", 1);
    session.advance(150);
    let victim = session.places[0].task;
    session.end(victim, Outcome::Checkpointed);
    session.advance(10);
    session.end(check, Outcome::Done);
    session.gang(6);
    session.advance(2_000);
    let rest: Vec<TaskKey> = session.places.iter().map(|p| p.task).collect();
    for task in rest {
        session.end(task, Outcome::Done);
    }
    session.advance(100);
    let members: Vec<TaskKey> = session.places.iter().map(|p| p.task).collect();
    session.end(members[0], Outcome::Failed);
    session.advance(10);
    for task in &members[1..] {
        session.end(*task, Outcome::Stopped);
    }
    session.advance(2_000);
    let lost = session.places[0].machine;
    session
        .harness
        .cell
        .remove_machine(lost, session.harness.now)
        .unwrap();
    let on_lost: Vec<TaskKey> = session
        .places
        .iter()
        .filter(|p| p.machine == lost)
        .map(|p| p.task)
        .collect();
    session.log("a machine is lost");
    session.advance(2_000);
    for task in on_lost {
        session.end(task, Outcome::Lost);
    }
    session.advance(5_000);
    let late = session.submit("check", 1);
    session.advance(5);
    session.refuse(late);
    session.advance(1_000);
    insta::assert_snapshot!(session.text);
}
