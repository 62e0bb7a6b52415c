//! The real key memories follow walks through the at-most-once specification.

mod support;

use kingcupwinch_coord::dedupe::{
    Decision, Dispatched, Fingerprint, Fresh, Keys, Limits, OutcomeKind, Permit, Refusal, Request,
    RequestKey, RunDecision, Runs, SiblingAnswer, Token,
};
use kingcupwinch_coord::id::{Attempt, ShardId, Term};
use kingcupwinch_spec::Model;
use kingcupwinch_spec::once::{Event, Home, Once, OnceRules, OnceState, Reply};
use kingcupwinch_time::{Span, Time, WallTime};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use uuid::Uuid;

const KEY: RequestKey = RequestKey(Uuid::from_u128(7));
const PRINT: Fingerprint = Fingerprint(7);
const HOME: ShardId = ShardId(0);
const BOUND: Span = Span::from_millis(2_000);
const TERM: Span = Span::from_millis(10_000);

fn model() -> Once {
    Once::new(OnceRules::new())
}

fn enabled(state: &OnceState) -> Vec<(Event, OnceState)> {
    let mut all = Vec::new();
    model().for_each_next(state, &mut |event, next| all.push((event, next)));
    all
}

#[derive(Debug)]
struct Walk;

impl ReferenceStateMachine for Walk {
    type State = OnceState;
    /// None once no event is enabled.
    type Transition = Option<Event>;

    fn init_state() -> BoxedStrategy<OnceState> {
        Just(model().initial()).boxed()
    }

    fn transitions(state: &OnceState) -> BoxedStrategy<Option<Event>> {
        let events: Vec<Event> = enabled(state).into_iter().map(|(e, _)| e).collect();
        if events.is_empty() {
            return Just(None).boxed();
        }
        prop::sample::select(events).prop_map(Some).boxed()
    }

    fn apply(state: OnceState, event: &Option<Event>) -> OnceState {
        let next = enabled(&state)
            .into_iter()
            .find(|(e, _)| Some(*e) == *event);
        next.map_or(state, |(_, next)| next)
    }

    fn preconditions(state: &OnceState, event: &Option<Event>) -> bool {
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
            other => panic!("no fresh token: {other:?}"),
        }
    }

    fn sent(&mut self) -> Token<Dispatched> {
        match std::mem::replace(self, Held::Nothing) {
            Held::Sent(token) => token,
            other => panic!("no dispatched token: {other:?}"),
        }
    }
}

#[derive(Debug)]
struct Real {
    term: u64,
    effect: WallTime,
    issued: WallTime,
    keys: Keys,
    home: Held,
    runs: Vec<Runs>,
    runners: Vec<Held>,
}

fn limits() -> Limits {
    Limits::new()
        .with_clock_bound(BOUND)
        .with_window(Span::from_secs(3_600))
        .with_memory(2, 10_000)
}

fn answer() -> std::sync::Arc<[u8]> {
    b"ok".as_slice().into()
}

impl Real {
    fn wall(&self) -> WallTime {
        self.effect + BOUND + BOUND
    }

    fn begin(&mut self, key: RequestKey, issued: WallTime) -> Decision {
        let request = Request {
            key,
            issued,
            fingerprint: PRINT,
            deadline: Time::from_millis(1),
        };
        let wall = self.wall();
        self.keys.begin(&request, wall)
    }

    /// Begins two other keys, calls `then`, and ends them.
    fn crowded(&mut self, then: impl FnOnce(&mut Real)) {
        let issued = self.wall() + Span::from_millis(1);
        let mut tokens = Vec::new();
        for n in [100, 101] {
            match self.begin(RequestKey(Uuid::from_u128(n)), issued) {
                Decision::Run(token) => tokens.push(token),
                other => panic!("{other:?}"),
            }
        }
        then(self);
        for token in tokens {
            self.keys.finish(token.not_run());
        }
    }

    fn request(&mut self, after: &OnceState) {
        let issued = self.issued;
        match (after.home, self.begin(KEY, issued)) {
            (Home::Fresh(1), Decision::Run(token)) => self.home = Held::Fresh(token),
            (Home::Asking, Decision::AskSiblings) => {}
            (Home::Over(reply), Decision::Remembered(outcome)) => {
                assert_eq!(reply_of(outcome.kind()), reply);
            }
            (home, decision) => panic!("{decision:?} where the specification has {home:?}"),
        }
    }

    fn hear(&mut self, after: &OnceState, reply: Reply) {
        let token = self.home.sent();
        let ended = match reply {
            Reply::Ran => token.ran(answer()),
            Reply::MayHaveRun => token.unknown(),
            Reply::NotRun => {
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

    fn ask(&mut self, slot: usize) {
        let answer = self.runs[slot].answer(KEY, HOME, Term(self.term));
        if let SiblingAnswer::Ran(answer) = answer {
            self.keys.learn(KEY, Some(answer));
        }
    }

    fn start(&mut self, slot: usize, term: u8, attempt: u8) {
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
            other => panic!("{other:?} where the specification starts"),
        }
        let again = self.runs[slot].begin(&permit, wall);
        assert!(matches!(again, RunDecision::Running), "{again:?}");
    }

    fn end_run(&mut self, slot: usize, event: Event) {
        let ended = match (
            event,
            std::mem::replace(&mut self.runners[slot], Held::Nothing),
        ) {
            (Event::TakeAnswer(_), Held::Sent(token)) => token.ran(answer()),
            (Event::TakeRefusal(_), Held::Sent(token)) => token.refused(Refusal::Full).not_run(),
            (Event::RunnerTimeout(_), Held::Sent(token)) => token.unknown(),
            (Event::RunnerTimeout(_), Held::Fresh(token)) => token.not_run(),
            (event, held) => panic!("{event:?} with {held:?}"),
        };
        self.runs[slot].finish(ended);
    }

    fn take_over(&mut self) {
        self.term += 1;
        self.effect = self.effect + TERM;
        self.keys = Keys::new(Term(self.term), self.effect, limits());
        self.home = Held::Nothing;
    }
}

fn reply_of(kind: OutcomeKind<'_>) -> Reply {
    match kind {
        OutcomeKind::NotRun => Reply::NotRun,
        OutcomeKind::Ran(_) => Reply::Ran,
        OutcomeKind::Unknown => Reply::MayHaveRun,
    }
}

impl StateMachineTest for Real {
    type SystemUnderTest = Real;
    type Reference = Walk;

    fn init_test(_: &OnceState) -> Real {
        let effect = WallTime::from_millis(1_000_000);
        let slots = model().initial().runners.len();
        Real {
            term: 1,
            effect,
            issued: effect,
            keys: Keys::new(Term(1), effect, limits()),
            home: Held::Nothing,
            runs: (0..slots).map(|_| Runs::new(limits())).collect(),
            runners: (0..slots).map(|_| Held::Nothing).collect(),
        }
    }

    fn apply(mut real: Real, after: &OnceState, event: Option<Event>) -> Real {
        let Some(event) = event else { return real };
        match event {
            Event::Issue { early: true } => real.issued = real.effect + BOUND,
            Event::Issue { early: false } => real.issued = real.wall(),
            Event::Request => real.request(after),
            Event::Full => real.crowded(|real| {
                let decision = real.begin(KEY, real.issued);
                assert!(matches!(decision, Decision::Full), "{decision:?}");
            }),
            Event::Forget => real.crowded(|_| {}),
            Event::Permit { .. } => real.home = Held::Sent(real.home.fresh().dispatch()),
            Event::GiveUp => real.keys.finish(real.home.fresh().not_run()),
            Event::Result { reply, .. } => real.hear(after, reply),
            Event::HomeTimeout => assert_eq!(real.keys.expire(Time::MAX), [KEY]),
            Event::HomeRetry => panic!("a flaw"),
            Event::Ask(slot) => real.ask(slot),
            Event::AskedAll => real.keys.learn(KEY, None),
            Event::Start {
                attempt,
                slot,
                term,
            } => real.start(slot, term, attempt),
            Event::Dispatch(slot) => {
                real.runners[slot] = Held::Sent(real.runners[slot].fresh().dispatch());
            }
            Event::TakeAnswer(slot) | Event::TakeRefusal(slot) | Event::RunnerTimeout(slot) => {
                real.end_run(slot, event);
            }
            Event::WorkerRuns(_) | Event::WorkerRefuses(_) | Event::OrphanRuns => {}
            Event::Restart(slot) => {
                real.runs[slot] = Runs::new(limits());
                real.runners[slot] = Held::Nothing;
            }
            Event::TakeOver(_) => real.take_over(),
        }
        real.agrees(after);
        real
    }
}

impl Real {
    /// Asks the home about the key where that changes nothing.
    fn agrees(&mut self, state: &OnceState) {
        if state.home_slot.is_none() || state.home == Home::Unknown {
            return;
        }
        let issued = self.issued;
        let decision = self.begin(KEY, issued);
        let agrees = match (state.home, &decision) {
            (Home::Fresh(_) | Home::Sent(..) | Home::Asking, Decision::Wait) => true,
            (Home::Over(reply), Decision::Remembered(o)) => reply_of(o.kind()) == reply,
            (Home::Below | Home::Forgotten, Decision::TooOld) => true,
            _ => false,
        };
        assert!(
            agrees,
            "{decision:?} where the specification has {:?}",
            state.home
        );
    }
}

prop_state_machine! {
    #![proptest_config(support::config(20_000))]

    #[test]
    fn the_key_memories_follow_the_specification(sequential 1..60 => Real);
}
