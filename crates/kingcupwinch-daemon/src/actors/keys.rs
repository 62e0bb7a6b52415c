//! The memories of the at-most-once rule: that of homes, and that of what this instance ran.

use std::sync::Arc;

use bytes::Bytes;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use kameo::{Actor, Reply};
use kingcupwinch_coord::dedupe::{
    Decision, Ended, Fresh, Keys, Limits, OutcomeKind, Permit, Request, RequestKey, RunDecision,
    Runs, SiblingAnswer, Token,
};
use kingcupwinch_coord::id::{ShardId, Term};
use kingcupwinch_coord::ownership::OwnedShard;
use kingcupwinch_time::{Span, Time, WallClock, WallTime};
use kingcupwinch_wire::sibling::{
    KeyDecision, KeyEnd, KeyFinish, KeyLookup, KeyLookupReply, KeyPermit,
};
use rustc_hash::FxHashMap;

use super::alarm::{Alarm, Tick};
use crate::shared::Shared;

/// How often open requests are checked against their deadlines.
const EXPIRY_GAP: Span = Span::from_millis(200);

/// The first term of a shard: nobody can have run anything in an earlier one.
const FIRST_TERM: Term = Term(1);

/// What the actor starts from.
pub(crate) struct KeysArgs {
    /// What every part shares.
    pub(crate) shared: Arc<Shared>,
}

/// The memories of the at-most-once rule.
pub(crate) struct KeyMemory {
    shared: Arc<Shared>,
    me: ActorRef<KeyMemory>,
    homes: FxHashMap<ShardId, Home>,
    runs: Runs,
    alarm: Alarm,
}

/// The keys of one home shard, and the permissions that are out.
struct Home {
    keys: Keys,
    tokens: FxHashMap<RequestKey, Token<Fresh>>,
}

impl Actor for KeyMemory {
    type Args = KeysArgs;
    type Error = Infallible;

    async fn on_start(args: KeysArgs, me: ActorRef<Self>) -> Result<Self, Infallible> {
        let runs = Runs::new(limits(&args.shared));
        let mut memory = KeyMemory {
            shared: args.shared,
            me,
            homes: FxHashMap::default(),
            runs,
            alarm: Alarm::default(),
        };
        memory.set_alarm();
        Ok(memory)
    }
}

/// The limits of both memories as the configuration in force sets them.
fn limits(shared: &Shared) -> Limits {
    let config = shared.config.load();
    let timers = &config.tree.timers;
    Limits::new()
        .with_window(Span::from_millis(timers.window_ms.get()))
        .with_clock_bound(Span::from_millis(timers.clock_ms.get()))
}

impl KeyMemory {
    fn set_alarm(&mut self) {
        let now = self.shared.now();
        self.alarm.set(Some(now + EXPIRY_GAP), now, &self.me);
    }

    fn gain(&mut self, owned: OwnedShard) {
        let effect = effect_of(&owned, self.shared.now());
        let keys = Keys::new(owned.term, effect, limits(&self.shared));
        self.homes.insert(
            owned.shard,
            Home {
                keys,
                tokens: FxHashMap::default(),
            },
        );
    }

    fn begin(&mut self, home: ShardId, request: &Request) -> HomeStep {
        let now = self.shared.now();
        let term = self
            .shared
            .ownership
            .load()
            .permit(home, now)
            .map(|permit| permit.term);
        let entry = self.homes.get_mut(&home);
        let (Some(term), Some(entry)) = (term, entry) else {
            return HomeStep::Answer(KeyDecision::Refused("the key's home is changing".into()));
        };
        if entry.keys.term() != term {
            return HomeStep::Answer(KeyDecision::Refused("the key's home is changing".into()));
        }
        match entry.keys.begin(request, WallClock.now()) {
            Decision::Run(token) => {
                let permit = KeyPermit {
                    home,
                    term,
                    attempt: token.attempt(),
                };
                entry.tokens.insert(request.key, token);
                HomeStep::Answer(KeyDecision::Run(permit))
            }
            Decision::AskSiblings => HomeStep::LookUp(KeyLookup {
                key: request.key,
                home,
                term,
            }),
            other => HomeStep::Answer(settled_answer(&other)),
        }
    }

    fn finish(&mut self, finish: KeyFinish) {
        let Some(home) = self.homes.get_mut(&finish.permit.home) else {
            return;
        };
        let Some(token) = home.tokens.remove(&finish.key) else {
            return;
        };
        if token.attempt() != finish.permit.attempt {
            home.tokens.insert(finish.key, token);
            return;
        }
        let ended = match finish.end {
            KeyEnd::Ran(answer) => token.dispatch().ran(Arc::from(&answer[..])),
            KeyEnd::NotRun => token.not_run(),
            KeyEnd::Unknown => token.dispatch().unknown(),
        };
        home.keys.finish(ended);
    }

    fn learn(&mut self, learn: Learn) {
        if let Some(home) = self.homes.get_mut(&learn.home) {
            home.keys
                .learn(learn.key, learn.answer.map(|answer| Arc::from(&answer[..])));
        }
    }

    fn expire(&mut self) {
        let now = self.shared.now();
        for home in self.homes.values_mut() {
            for key in home.keys.expire(now) {
                home.tokens.remove(&key);
            }
        }
    }
}

/// Returns the civil time at which an ownership took effect; keys issued later can't have run in
/// an earlier term.
fn effect_of(owned: &OwnedShard, now: Time) -> WallTime {
    if owned.term == FIRST_TERM && !owned.inherited {
        return WallTime::from_millis(0);
    }
    WallClock.now() + owned.effective.since(now)
}

fn settled_answer(decision: &Decision) -> KeyDecision {
    match decision {
        Decision::Run(_) | Decision::AskSiblings | Decision::Wait => KeyDecision::Running,
        Decision::Remembered(outcome) => match outcome.kind() {
            OutcomeKind::Ran(answer) => KeyDecision::Ended(Bytes::copy_from_slice(answer)),
            OutcomeKind::NotRun => KeyDecision::Refused(
                "a request with this key was refused before; use a new key".into(),
            ),
            OutcomeKind::Unknown => KeyDecision::Unknown,
        },
        Decision::TooOld => KeyDecision::Unknown,
        Decision::Ahead => KeyDecision::Refused("the key's time lies in the future".into()),
        Decision::Mismatch => {
            KeyDecision::Refused("the key was used for another request; use a new key".into())
        }
        Decision::Full => KeyDecision::Refused("too many keys are open".into()),
    }
}

/// A shard's ownership was gained.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GainHome(pub(crate) OwnedShard);

/// A shard's ownership goes on in a later term, with no other owner in between.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RenewHome {
    /// The shard.
    pub(crate) shard: ShardId,
    /// The new term.
    pub(crate) term: Term,
}

/// A shard's ownership was lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoseHome(pub(crate) ShardId);

/// Asks the home for leave to run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Begin {
    /// The key's home.
    pub(crate) home: ShardId,
    /// The request.
    pub(crate) request: Request,
}

/// What a home says to [`Begin`].
#[derive(Debug, Clone, Reply)]
pub(crate) enum HomeStep {
    /// The answer.
    Answer(KeyDecision),
    /// Siblings have to be asked first; then [`Learn`] and begin again.
    LookUp(KeyLookup),
}

/// What siblings said of a key; none if nobody can prove that it ran.
#[derive(Debug, Clone)]
pub(crate) struct Learn {
    /// The key's home.
    pub(crate) home: ShardId,
    /// The key.
    pub(crate) key: RequestKey,
    /// The answer of the run.
    pub(crate) answer: Option<Bytes>,
}

/// Tells the home how a request ended.
#[derive(Debug, Clone)]
pub(crate) struct Finish(pub(crate) KeyFinish);

/// Asks whether this instance ran a key's request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LookUp(pub(crate) KeyLookup);

/// What this instance knows of a key's request.
#[derive(Debug, Clone, Reply)]
pub(crate) struct Found(pub(crate) KeyLookupReply);

/// Asks for the one permission to dispatch a key's request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BeginRun(pub(crate) Permit);

/// The one permission to dispatch a key's request, none if it is not to be had.
#[derive(Debug, Reply)]
pub(crate) struct RunToken(pub(crate) Option<Token<Fresh>>);

/// Gives the permission back with the outcome.
#[derive(Debug, Clone)]
pub(crate) struct EndRun(pub(crate) Ended);

impl Message<GainHome> for KeyMemory {
    type Reply = ();

    async fn handle(&mut self, gained: GainHome, _ctx: &mut Context<Self, ()>) {
        self.gain(gained.0);
    }
}

impl Message<RenewHome> for KeyMemory {
    type Reply = ();

    async fn handle(&mut self, renewed: RenewHome, _ctx: &mut Context<Self, ()>) {
        if let Some(home) = self.homes.get_mut(&renewed.shard) {
            home.keys.continue_in(renewed.term);
        }
    }
}

impl Message<LoseHome> for KeyMemory {
    type Reply = ();

    async fn handle(&mut self, lost: LoseHome, _ctx: &mut Context<Self, ()>) {
        self.homes.remove(&lost.0);
    }
}

impl Message<Begin> for KeyMemory {
    type Reply = HomeStep;

    async fn handle(&mut self, begin: Begin, _ctx: &mut Context<Self, HomeStep>) -> HomeStep {
        self.begin(begin.home, &begin.request)
    }
}

impl Message<Learn> for KeyMemory {
    type Reply = ();

    async fn handle(&mut self, learn: Learn, _ctx: &mut Context<Self, ()>) {
        self.learn(learn);
    }
}

impl Message<Finish> for KeyMemory {
    type Reply = ();

    async fn handle(&mut self, finish: Finish, _ctx: &mut Context<Self, ()>) {
        self.finish(finish.0);
    }
}

impl Message<LookUp> for KeyMemory {
    type Reply = Found;

    async fn handle(&mut self, look_up: LookUp, _ctx: &mut Context<Self, Found>) -> Found {
        let KeyLookup { key, home, term } = look_up.0;
        Found(match self.runs.answer(key, home, term) {
            SiblingAnswer::Ran(answer) => KeyLookupReply::Ran(Bytes::copy_from_slice(&answer)),
            SiblingAnswer::Running => KeyLookupReply::Running,
            SiblingAnswer::Unproved => KeyLookupReply::Unproved,
        })
    }
}

impl Message<BeginRun> for KeyMemory {
    type Reply = RunToken;

    async fn handle(&mut self, begin: BeginRun, _ctx: &mut Context<Self, RunToken>) -> RunToken {
        match self.runs.begin(&begin.0, WallClock.now()) {
            RunDecision::Start(token) => RunToken(Some(token)),
            RunDecision::Running | RunDecision::Remembered(_) | RunDecision::Stale => {
                RunToken(None)
            }
        }
    }
}

impl Message<EndRun> for KeyMemory {
    type Reply = ();

    async fn handle(&mut self, end: EndRun, _ctx: &mut Context<Self, ()>) {
        self.runs.finish(end.0);
    }
}

impl Message<Tick> for KeyMemory {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _ctx: &mut Context<Self, ()>) {
        self.alarm.clear();
        self.expire();
        self.set_alarm();
    }
}
