//! Property test: random events keep the invariants of a cell.

mod audit;

use kingcupwinch_time::{Span, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rustc_hash::FxHashSet;

use super::Cell;
use crate::decision::{
    Decision, Disposition, Exit, NotStarted, Outcome, Placement, TaskSpec, Usage,
};
use crate::gang::{GangSpec, Spread};
use crate::key::{CreditKey, HoldKey, MachineKey, TaskKey};
use crate::machine::{MachineSpec, MachineState};
use crate::plan::{ClassKind, ClassSpec, CustomerSpec, Permille, Plan, Preemption, Weights};
use crate::resources::Resources;

const ALL_METHODS: Preemption = Preemption {
    throttle: 50,
    checkpoint: true,
    stop: true,
};
const THROTTLE_OR_STOP: Preemption = Preemption {
    throttle: 50,
    checkpoint: false,
    stop: true,
};

fn plan() -> Plan {
    let live = ClassSpec::new("live", ClassKind::Live, 0).with_default_timeout(Span::from_secs(2));
    let heavy = ClassSpec::new("heavy", ClassKind::Batch, 2).with_preemption(ALL_METHODS);
    let light = ClassSpec::new("light", ClassKind::Batch, 1).with_preemption(THROTTLE_OR_STOP);
    let gang = ClassSpec::new("gang", ClassKind::Gang, 1);
    Plan::new()
        .with_class(live.with_shares(Permille::NONE, Permille(800)))
        .with_class(
            heavy
                .with_shares(Permille(200), Permille(900))
                .with_max_queued(40),
        )
        .with_class(light.with_shares(Permille(100), Permille::ALL))
        .with_class(gang)
        .with_customer(CustomerSpec::new("a", 1.0))
        .with_customer(
            CustomerSpec::new("b", 3.0)
                .with_quota(Permille(700))
                .with_max_running(30),
        )
        .with_weights(Weights {
            waiting: 2.0,
            packing: 1.0,
        })
}

#[derive(Debug, Clone)]
enum Event {
    Add {
        cores: u64,
        rack: u8,
        speed: u8,
    },
    Submit {
        class: u16,
        customer: u16,
        cores: u64,
        run: u64,
        idempotent: bool,
    },
    Gang {
        customer: u16,
        count: u32,
        spread: u8,
        idempotent: bool,
    },
    End {
        pick: usize,
        outcome: u8,
    },
    Refuse {
        pick: usize,
        why: u8,
    },
    Throttled {
        pick: usize,
    },
    Cancel {
        pick: usize,
    },
    Leave {
        pick: usize,
    },
    Remove {
        pick: usize,
    },
    Observe {
        pick: usize,
        cores: u64,
    },
    Occupy {
        pick: usize,
    },
    Release {
        pick: usize,
    },
    Grant {
        count: u32,
        life: u64,
    },
    Replan {
        least: u16,
    },
    Wait {
        millis: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let pick = any::<usize>();
    prop_oneof![
        1 => (1u64..16, 0u8..3, 1u8..8).prop_map(|(cores, rack, speed)| Event::Add { cores, rack, speed }),
        12 => (0u16..4, 0u16..3, 0u64..6, 1u64..4000, any::<bool>()).prop_map(
            |(class, customer, cores, run, idempotent)| Event::Submit { class, customer, cores, run, idempotent }
        ),
        2 => (0u16..2, 0u32..12, 0u8..3, any::<bool>())
            .prop_map(|(customer, count, spread, idempotent)| Event::Gang { customer, count, spread, idempotent }),
        10 => (pick, 0u8..14).prop_map(|(pick, outcome)| Event::End { pick, outcome }),
        2 => (pick, 0u8..4).prop_map(|(pick, why)| Event::Refuse { pick, why }),
        2 => pick.prop_map(|pick| Event::Throttled { pick }),
        2 => pick.prop_map(|pick| Event::Cancel { pick }),
        1 => pick.prop_map(|pick| Event::Leave { pick }),
        1 => pick.prop_map(|pick| Event::Remove { pick }),
        1 => (pick, 0u64..20_000).prop_map(|(pick, cores)| Event::Observe { pick, cores }),
        1 => pick.prop_map(|pick| Event::Occupy { pick }),
        1 => pick.prop_map(|pick| Event::Release { pick }),
        1 => (0u32..5, 0u64..500).prop_map(|(count, life)| Event::Grant { count, life }),
        1 => (0u16..300).prop_map(|least| Event::Replan { least }),
        5 => (1u64..3000).prop_map(|millis| Event::Wait { millis }),
    ]
}

/// A cell together with the state that its embedder keeps.
struct Harness {
    cell: Cell,
    now: Time,
    machines: Vec<MachineKey>,
    holds: Vec<HoldKey>,
    running: Vec<Placement>,
    credit: Option<CreditKey>,
    /// Tasks that are not idempotent and may have run.
    maybe_ran: FxHashSet<TaskKey>,
    non_idempotent: FxHashSet<TaskKey>,
}

impl Harness {
    fn new() -> Self {
        Harness {
            cell: Cell::new(plan(), 1).unwrap(),
            now: Time::ZERO,
            machines: Vec::new(),
            holds: Vec::new(),
            running: Vec::new(),
            credit: None,
            maybe_ran: FxHashSet::default(),
            non_idempotent: FxHashSet::default(),
        }
    }

    fn apply(&mut self, event: Event) {
        self.now += Span::from_millis(1);
        match event {
            Event::Add { cores, rack, speed } => self.add(cores, rack, speed),
            Event::Submit {
                class,
                customer,
                cores,
                run,
                idempotent,
            } => {
                let spec = spec(class, customer, cores, run).with_idempotent(idempotent);
                let credit = self.credit.filter(|_| class == 0);
                let task = match credit {
                    Some(credit) => self.cell.submit_with_credit(credit, spec, self.now),
                    None => self.cell.submit(spec, self.now),
                };
                if let Ok(key) = task {
                    self.track(&[key], idempotent);
                }
            }
            Event::Gang {
                customer,
                count,
                spread,
                idempotent,
            } => {
                let task = spec(3, customer, 1, 500).with_idempotent(idempotent);
                let spread =
                    [Spread::Anywhere, Spread::PreferRack, Spread::OneRack][usize::from(spread)];
                let gang = GangSpec::new(task, count).with_spread(spread);
                if let Ok(ticket) = self.cell.submit_gang(gang, self.now) {
                    self.track(&ticket.tasks, idempotent);
                }
            }
            Event::End { pick, outcome } => self.end(pick, outcome),
            Event::Refuse { pick, why } => self.refuse(pick, why),
            Event::Throttled { pick } => {
                if let Some(place) = pick_from(&self.running, pick) {
                    let _ = self.cell.throttled(place, self.now);
                }
            }
            Event::Cancel { pick } => {
                let key = self
                    .cell
                    .tasks
                    .keys()
                    .nth(pick % self.cell.tasks.len().max(1));
                if let Some(key) = key {
                    let _ = self.cell.cancel(key, self.now);
                }
            }
            Event::Leave { pick } => {
                if let Some(machine) = pick_from(&self.machines, pick) {
                    let _ = self.cell.set_leaving(machine, self.now);
                }
            }
            Event::Remove { pick } => {
                if let Some(machine) = pick_from(&self.machines, pick) {
                    let _ = self.cell.remove_machine(machine, self.now);
                }
            }
            Event::Observe { pick, cores } => {
                if let Some(machine) = pick_from(&self.machines, pick) {
                    let used = Resources::new(cores, 0);
                    let _ = self.cell.observe(
                        machine,
                        Usage {
                            used,
                            taken: self.now,
                        },
                    );
                }
            }
            Event::Occupy { pick } => {
                let machine = pick_from(&self.machines, pick);
                let hold =
                    machine.and_then(|m| self.cell.occupy(m, Resources::new(2_000, 512)).ok());
                self.holds.extend(hold);
            }
            Event::Release { pick } => {
                if let Some(hold) = pick_from(&self.holds, pick) {
                    let _ = self.cell.release(hold);
                }
            }
            Event::Grant { count, life } => {
                let class = self.cell.class("live").unwrap();
                let deadline = self.now + Span::from_millis(life);
                let credit = self.cell.grant(class, count, deadline, self.now);
                self.credit = credit.unwrap().map(|c| c.key);
            }
            Event::Replan { least } => {
                let mut plan = plan();
                plan.classes[1].min_share = Permille(least);
                if least % 2 == 0 {
                    plan.classes[2].preemption = Preemption::default();
                }
                self.cell.update_plan(plan, self.now).unwrap();
            }
            Event::Wait { millis } => self.now += Span::from_millis(millis),
        }
        self.decide();
        self.audit();
    }

    fn add(&mut self, cores: u64, rack: u8, speed: u8) {
        let capacity = Resources::new(cores * 1000, cores * 2048)
            .with_slots(8)
            .with_connections(16);
        let spec = MachineSpec::new("m", "z", &format!("r{rack}"), capacity);
        let spec = spec.with_speed(f64::from(speed));
        self.machines
            .push(self.cell.add_machine(spec, self.now).unwrap());
    }

    fn track(&mut self, keys: &[TaskKey], idempotent: bool) {
        if !idempotent {
            self.non_idempotent.extend(keys);
        }
    }

    fn end(&mut self, pick: usize, outcome: u8) {
        let Some(place) = pick_from(&self.running, pick) else {
            return;
        };
        let outcome = match outcome {
            0..=6 => Outcome::Done,
            7 | 8 => Outcome::Failed,
            9 => Outcome::Stopped,
            10 => Outcome::Checkpointed,
            11 => Outcome::Lost,
            _ => Outcome::Crashed,
        };
        let end = Exit::new(outcome, Span::from_millis(300)).with_peak(Resources::new(900, 700));
        self.running.retain(|p| *p != place);
        self.cell.ended(place, end, self.now).unwrap();
        if outcome == Outcome::Checkpointed {
            self.maybe_ran.remove(&place.task);
        }
        let again = self.cell.ended(place, end, self.now);
        assert!(again.is_err(), "a duplicate end was accepted");
    }

    fn refuse(&mut self, pick: usize, why: u8) {
        let Some(place) = pick_from(&self.running, pick) else {
            return;
        };
        let why = match why {
            0 => NotStarted::Full,
            1 => NotStarted::Leaving,
            2 => NotStarted::Unreachable,
            _ => NotStarted::Refused,
        };
        self.running.retain(|p| *p != place);
        let next = self.cell.not_started(place, why, self.now).unwrap();
        self.maybe_ran.remove(&place.task);
        let present = self.cell.tasks.contains_key(place.task);
        assert_eq!(present, next == Disposition::Requeued);
    }

    fn decide(&mut self) {
        let mut out = Vec::new();
        self.cell.decide(self.now, &mut out);
        for decision in out {
            match decision {
                Decision::Start(place) => self.start(place),
                Decision::StartGang { places, .. } => {
                    places.into_iter().for_each(|p| self.start(p));
                }
                Decision::Stop(place) => assert!(!self.non_idempotent.contains(&place.task)),
                Decision::Throttle { target, .. } | Decision::Checkpoint(target) => {
                    assert!(self.running.contains(&target));
                }
                Decision::GiveUp { task, .. } => assert!(!self.cell.tasks.contains_key(task)),
            }
        }
        let next = self.cell.next_deadline();
        assert!(
            next.is_none_or(|t| t > self.now),
            "a deadline is left in the past"
        );
    }

    fn start(&mut self, place: Placement) {
        let not_running = self.running.iter().all(|p| p.task != place.task);
        assert!(not_running, "a task runs in two places");
        let state = self.cell.machine_state(place.machine).unwrap();
        assert!(matches!(
            state,
            MachineState::Active | MachineState::Quarantined
        ));
        if self.non_idempotent.contains(&place.task) {
            assert!(
                self.maybe_ran.insert(place.task),
                "a task that is not idempotent runs twice"
            );
        }
        self.running.push(place);
    }
}

fn spec(class: u16, customer: u16, cores: u64, run: u64) -> TaskSpec {
    let size = Resources::new(cores * 500, cores * 256).with_connections(9 * u64::from(class == 0));
    let (class, customer) = (
        crate::key::ClassKey(class),
        crate::key::CustomerKey(customer),
    );
    TaskSpec::new(class, customer, size, Span::from_millis(run))
}

fn pick_from<T: Copy>(list: &[T], pick: usize) -> Option<T> {
    (!list.is_empty()).then(|| list[pick % list.len()])
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 192,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_events_keep_the_invariants(events in prop::collection::vec(event(), 1..250)) {
        let mut harness = Harness::new();
        for rack in 0..3 {
            harness.add(8, rack, 1);
        }
        for event in events {
            harness.apply(event);
        }
    }
}
