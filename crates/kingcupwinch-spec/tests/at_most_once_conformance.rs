//! Checks that `Keys` and `Runs` of the coordinator follow random walks through the at-most-once
//! specification.

mod support;

use kingcupwinch_coord::dedupe::{
    Decision, Dispatched, Fingerprint, Fresh, Keys, Limits, OutcomeKind, Permit, Refusal, Request,
    RequestKey, RunDecision, Runs, SiblingAnswer, Token,
};
use kingcupwinch_coord::id::{Attempt, ShardId, Term};
use kingcupwinch_spec::Model;
use kingcupwinch_spec::at_most_once::{AtMostOnce, Event, Home, Rules, RunOutcome, State};
use kingcupwinch_time::{Span, Time, WallTime};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use uuid::Uuid;

const KEY: RequestKey = RequestKey(Uuid::from_u128(7));
const FINGERPRINT: Fingerprint = Fingerprint(7);
const HOME: ShardId = ShardId(0);
const CLOCK_BOUND: Span = Span::from_millis(2_000);
const TERM_LENGTH: Span = Span::from_millis(10_000);

fn model() -> AtMostOnce {
    AtMostOnce::new(Rules::new())
}

fn enabled(state: &State) -> Vec<(Event, State)> {
    let mut all = Vec::new();
    model().for_each_next(state, &mut |event, next| all.push((event, next)));
    all
}

#[derive(Debug)]
struct Walk;

impl ReferenceStateMachine for Walk {
    type State = State;
    /// `None` once no event is enabled.
    type Transition = Option<Event>;

    fn init_state() -> BoxedStrategy<State> {
        Just(model().initial()).boxed()
    }

    fn transitions(state: &State) -> BoxedStrategy<Option<Event>> {
        let events: Vec<Event> = enabled(state).into_iter().map(|(e, _)| e).collect();
        if events.is_empty() {
            return Just(None).boxed();
        }
        prop::sample::select(events).prop_map(Some).boxed()
    }

    fn apply(state: State, event: &Option<Event>) -> State {
        let next = enabled(&state)
            .into_iter()
            .find(|(e, _)| Some(*e) == *event);
        next.map_or(state, |(_, next)| next)
    }

    fn preconditions(state: &State, event: &Option<Event>) -> bool {
        event.is_none_or(|event| enabled(state).iter().any(|(e, _)| *e == event))
    }
}

#[derive(Debug)]
enum Held {
    Nothing,
    Fresh(Token<Fresh>),
    Sent(Token<Dispatched>),
}

impl Held {
    fn fresh(&mut self) -> Token<Fresh> {
        match std::mem::replace(self, Held::Nothing) {
            Held::Fresh(token) => token,
            other => panic!("expected a fresh token, found {other:?}"),
        }
    }

    fn sent(&mut self) -> Token<Dispatched> {
        match std::mem::replace(self, Held::Nothing) {
            Held::Sent(token) => token,
            other => panic!("expected a dispatched token, found {other:?}"),
        }
    }
}

#[derive(Debug)]
struct System {
    term: u64,
    effective: WallTime,
    issued: WallTime,
    keys: Keys,
    home: Held,
    runs: Vec<Runs>,
    runners: Vec<Held>,
}

fn limits() -> Limits {
    Limits::new()
        .with_clock_bound(CLOCK_BOUND)
        .with_window(Span::from_secs(3_600))
        .with_memory(2, 10_000)
}

fn answer() -> std::sync::Arc<[u8]> {
    b"ok".as_slice().into()
}

impl System {
    fn wall(&self) -> WallTime {
        self.effective + CLOCK_BOUND + CLOCK_BOUND
    }

    fn begin(&mut self, key: RequestKey, issued: WallTime) -> Decision {
        let request = Request {
            key,
            issued,
            fingerprint: FINGERPRINT,
            deadline: Time::from_millis(1),
        };
        let wall = self.wall();
        self.keys.begin(&request, wall)
    }

    /// Fills the memory with two other keys, calls `then`, and ends them.
    fn with_full_memory(&mut self, then: impl FnOnce(&mut System)) {
        let issued = self.wall() + Span::from_millis(1);
        let mut tokens = Vec::new();
        for n in [100, 101] {
            match self.begin(RequestKey(Uuid::from_u128(n)), issued) {
                Decision::Run(token) => tokens.push(token),
                other => panic!("a new key must run: {other:?}"),
            }
        }
        then(self);
        for token in tokens {
            self.keys.finish(token.not_run());
        }
    }

    fn request(&mut self, after: &State) {
        let issued = self.issued;
        match (after.home, self.begin(KEY, issued)) {
            (Home::Fresh(1), Decision::Run(token)) => self.home = Held::Fresh(token),
            (Home::QueryingSiblings, Decision::AskSiblings) => {}
            (Home::Ended(expected), Decision::Remembered(outcome)) => {
                assert_eq!(run_outcome(outcome.kind()), expected);
            }
            (home, decision) => panic!("decision {decision:?}, but the specification has {home:?}"),
        }
    }

    fn receive_result(&mut self, after: &State, outcome: RunOutcome) {
        let token = self.home.sent();
        let ended = match outcome {
            RunOutcome::Ran => token.ran(answer()),
            RunOutcome::MayHaveRun => token.unknown(),
            RunOutcome::NotRun => {
                let next = token.refused(Refusal::Full);
                if let Home::Fresh(attempt) = after.home {
                    assert_eq!(next.attempt(), Attempt(attempt.into()));
                    self.home = Held::Fresh(next);
                    return;
                }
                next.not_run()
            }
        };
        self.keys.finish(ended);
    }

    fn query(&mut self, slot: usize) {
        let answer = self.runs[slot].answer(KEY, HOME, Term(self.term));
        if let SiblingAnswer::Ran(answer) = answer {
            self.keys.record_sibling_answer(KEY, Some(answer));
        }
    }

    fn receive_permit(&mut self, slot: usize, term: u8, attempt: u8) {
        let wall = self.wall();
        let permit = Permit {
            key: KEY,
            issued: self.issued,
            home: HOME,
            term: Term(term.into()),
            attempt: Attempt(attempt.into()),
        };
        match self.runs[slot].begin(&permit, wall) {
            RunDecision::Start(token) => self.runners[slot] = Held::Fresh(token),
            other => panic!("decision {other:?}, but the specification accepts the permit"),
        }
        let again = self.runs[slot].begin(&permit, wall);
        assert!(matches!(again, RunDecision::Running), "{again:?}");
    }

    fn end_run(&mut self, slot: usize, event: Event) {
        let ended = match (
            event,
            std::mem::replace(&mut self.runners[slot], Held::Nothing),
        ) {
            (Event::ReceiveAnswer(_), Held::Sent(token)) => token.ran(answer()),
            (Event::ReceiveRefusal(_), Held::Sent(token)) => token.refused(Refusal::Full).not_run(),
            (Event::RunnerTimeout(_), Held::Sent(token)) => token.unknown(),
            (Event::RunnerTimeout(_), Held::Fresh(token)) => token.not_run(),
            (event, held) => panic!("unexpected event {event:?} with token {held:?}"),
        };
        self.runs[slot].finish(ended);
    }

    fn take_over(&mut self) {
        self.term += 1;
        self.effective = self.effective + TERM_LENGTH;
        self.keys = Keys::new(Term(self.term), self.effective, limits());
        self.home = Held::Nothing;
    }
}

fn run_outcome(kind: OutcomeKind<'_>) -> RunOutcome {
    match kind {
        OutcomeKind::NotRun => RunOutcome::NotRun,
        OutcomeKind::Ran(_) => RunOutcome::Ran,
        OutcomeKind::Unknown => RunOutcome::MayHaveRun,
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = System;
    type Reference = Walk;

    fn init_test(_: &State) -> System {
        let effective = WallTime::from_millis(1_000_000);
        let slots = model().initial().runners.len();
        System {
            term: 1,
            effective,
            issued: effective,
            keys: Keys::new(Term(1), effective, limits()),
            home: Held::Nothing,
            runs: (0..slots).map(|_| Runs::new(limits())).collect(),
            runners: (0..slots).map(|_| Held::Nothing).collect(),
        }
    }

    fn apply(mut system: System, after: &State, event: Option<Event>) -> System {
        let Some(event) = event else { return system };
        match event {
            Event::Issue { below_floor: true } => system.issued = system.effective + CLOCK_BOUND,
            Event::Issue { below_floor: false } => system.issued = system.wall(),
            Event::Request => system.request(after),
            Event::RefuseFull => system.with_full_memory(|system| {
                let decision = system.begin(KEY, system.issued);
                assert!(matches!(decision, Decision::Full), "{decision:?}");
            }),
            Event::Evict => system.with_full_memory(|_| {}),
            Event::SendPermit { .. } => system.home = Held::Sent(system.home.fresh().dispatch()),
            Event::GiveUp => system.keys.finish(system.home.fresh().not_run()),
            Event::ReceiveResult { outcome, .. } => system.receive_result(after, outcome),
            Event::HomeTimeout => assert_eq!(system.keys.expire(Time::MAX), [KEY]),
            Event::RetryAfterTimeout => panic!("only a mutation allows this event"),
            Event::QuerySibling(slot) => system.query(slot),
            Event::EndQuery => system.keys.record_sibling_answer(KEY, None),
            Event::ReceivePermit {
                attempt,
                slot,
                term,
            } => system.receive_permit(slot, term, attempt),
            Event::Dispatch(slot) => {
                system.runners[slot] = Held::Sent(system.runners[slot].fresh().dispatch());
            }
            Event::ReceiveAnswer(slot)
            | Event::ReceiveRefusal(slot)
            | Event::RunnerTimeout(slot) => {
                system.end_run(slot, event);
            }
            Event::WorkerRuns(_) | Event::WorkerRefuses(_) | Event::OrphanRuns => {}
            Event::Restart(slot) => {
                system.runs[slot] = Runs::new(limits());
                system.runners[slot] = Held::Nothing;
            }
            Event::Takeover(_) => system.take_over(),
        }
        system.check_decision(after);
        system
    }
}

impl System {
    /// Checks the decision of the home about a repeated request, in states in which such a request
    /// changes nothing.
    fn check_decision(&mut self, state: &State) {
        if state.home_slot.is_none() || state.home == Home::Unknown {
            return;
        }
        let issued = self.issued;
        let decision = self.begin(KEY, issued);
        let is_consistent = match (state.home, &decision) {
            (Home::Fresh(_) | Home::Sent(..) | Home::QueryingSiblings, Decision::Wait) => true,
            (Home::Ended(expected), Decision::Remembered(o)) => run_outcome(o.kind()) == expected,
            (Home::RefusedFull | Home::Evicted, Decision::TooOld) => true,
            _ => false,
        };
        assert!(
            is_consistent,
            "decision {decision:?}, but the specification has {:?}",
            state.home
        );
    }
}

prop_state_machine! {
    #![proptest_config(support::config(20_000))]

    #[test]
    fn the_key_memories_follow_the_specification(sequential 1..60 => System);
}
