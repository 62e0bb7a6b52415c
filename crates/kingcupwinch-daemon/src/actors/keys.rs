//! The state behind at-most-once execution: the keys of home shards, and the runs of this instance.

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

/// Interval between checks of open requests against their deadlines.
const EXPIRY_INTERVAL: Span = Span::from_millis(200);

/// The first term of a shard. No request can have run in an earlier one.
const FIRST_TERM: Term = Term(1);

/// Arguments of the key store.
pub(crate) struct KeysArgs {
    /// State shared by every part of the daemon.
    pub(crate) shared: Arc<Shared>,
}

/// The actor that holds the idempotency keys of this instance's home shards and the runs that it
/// performed.
pub(crate) struct KeyStore {
    shared: Arc<Shared>,
    me: ActorRef<KeyStore>,
    homes: FxHashMap<ShardId, Home>,
    runs: Runs,
    alarm: Alarm,
}

/// The keys of one home shard and the run tokens that have been handed out.
struct Home {
    keys: Keys,
    tokens: FxHashMap<RequestKey, Token<Fresh>>,
}

impl Actor for KeyStore {
    type Args = KeysArgs;
    type Error = Infallible;

    async fn on_start(args: KeysArgs, me: ActorRef<Self>) -> Result<Self, Infallible> {
        let runs = Runs::new(limits(&args.shared));
        let mut key_store = KeyStore {
            shared: args.shared,
            me,
            homes: FxHashMap::default(),
            runs,
            alarm: Alarm::default(),
        };
        key_store.set_alarm();
        Ok(key_store)
    }
}

/// Returns the limits of both stores according to the active configuration.
fn limits(shared: &Shared) -> Limits {
    let config = shared.config.load();
    let timers = &config.tree.timers;
    Limits::new()
        .with_window(Span::from_millis(timers.window_ms.get()))
        .with_clock_bound(Span::from_millis(timers.clock_ms.get()))
}

impl KeyStore {
    fn set_alarm(&mut self) {
        let now = self.shared.now();
        self.alarm.set(Some(now + EXPIRY_INTERVAL), now, &self.me);
    }

    fn add_home(&mut self, owned: OwnedShard) {
        let effective = effective_at(&owned, self.shared.now());
        let keys = Keys::new(owned.term, effective, limits(&self.shared));
        self.homes.insert(
            owned.shard,
            Home {
                keys,
                tokens: FxHashMap::default(),
            },
        );
    }

    fn begin(&mut self, home: ShardId, request: &Request) -> BeginReply {
        let now = self.shared.now();
        let term = self
            .shared
            .ownership
            .load()
            .permit(home, now)
            .map(|permit| permit.term);
        let entry = self.homes.get_mut(&home);
        let (Some(term), Some(entry)) = (term, entry) else {
            return BeginReply::Answer(KeyDecision::Refused(
                "the owner of the key's home shard is changing".into(),
            ));
        };
        if entry.keys.term() != term {
            return BeginReply::Answer(KeyDecision::Refused(
                "the owner of the key's home shard is changing".into(),
            ));
        }
        match entry.keys.begin(request, WallClock.now()) {
            Decision::Run(token) => {
                let permit = KeyPermit {
                    home,
                    term,
                    attempt: token.attempt(),
                };
                entry.tokens.insert(request.key, token);
                BeginReply::Answer(KeyDecision::Run(permit))
            }
            Decision::AskSiblings => BeginReply::AskSiblings(KeyLookup {
                key: request.key,
                home,
                term,
            }),
            other => BeginReply::Answer(key_answer(&other)),
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

    fn apply_finding(&mut self, finding: SiblingFinding) {
        if let Some(home) = self.homes.get_mut(&finding.home) {
            home.keys.record_sibling_answer(
                finding.key,
                finding.answer.map(|answer| Arc::from(&answer[..])),
            );
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

/// Returns the wall-clock time at which an ownership took effect. Keys issued later can't have run
/// in an earlier term.
fn effective_at(owned: &OwnedShard, now: Time) -> WallTime {
    if owned.term == FIRST_TERM && !owned.inherited {
        return WallTime::from_millis(0);
    }
    WallClock.now() + owned.effective.since(now)
}

fn key_answer(decision: &Decision) -> KeyDecision {
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
        Decision::Ahead => KeyDecision::Refused("the key's timestamp lies in the future".into()),
        Decision::Mismatch => {
            KeyDecision::Refused("the key was used for another request; use a new key".into())
        }
        Decision::Full => KeyDecision::Refused("the limit of open keys is reached".into()),
    }
}

/// Reports that this instance now owns a shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HomeGained(pub(crate) OwnedShard);

/// Reports that this instance's ownership continues in a later term, with no other owner in
/// between.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HomeRenewed {
    /// The shard.
    pub(crate) shard: ShardId,
    /// The new term.
    pub(crate) term: Term,
}

/// Reports that this instance no longer owns a shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HomeLost(pub(crate) ShardId);

/// Asks a key's home shard for permission to run its request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BeginKey {
    /// The key's home shard.
    pub(crate) home: ShardId,
    /// The request.
    pub(crate) request: Request,
}

/// The reply to [`BeginKey`].
#[derive(Debug, Clone, Reply)]
pub(crate) enum BeginReply {
    /// The decision.
    Answer(KeyDecision),
    /// The siblings have to be asked first. The sender then reports a [`SiblingFinding`] and begins
    /// again.
    AskSiblings(KeyLookup),
}

/// The siblings' answers about a key; `answer` is `None` if no sibling can prove that its request
/// ran.
#[derive(Debug, Clone)]
pub(crate) struct SiblingFinding {
    /// The key's home shard.
    pub(crate) home: ShardId,
    /// The key.
    pub(crate) key: RequestKey,
    /// The response of the run.
    pub(crate) answer: Option<Bytes>,
}

/// Reports to the home shard how a request ended.
#[derive(Debug, Clone)]
pub(crate) struct FinishKey(pub(crate) KeyFinish);

/// Asks whether this instance ran a key's request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LookUpRun(pub(crate) KeyLookup);

/// This instance's knowledge of a key's request.
#[derive(Debug, Clone, Reply)]
pub(crate) struct RunFound(pub(crate) KeyLookupReply);

/// Asks for the single run token of a key's request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BeginRun(pub(crate) Permit);

/// The single run token of a key's request, or `None` if the request was already run or fenced off.
#[derive(Debug, Reply)]
pub(crate) struct RunToken(pub(crate) Option<Token<Fresh>>);

/// Returns the run token together with the outcome.
#[derive(Debug, Clone)]
pub(crate) struct EndRun(pub(crate) Ended);

impl Message<HomeGained> for KeyStore {
    type Reply = ();

    async fn handle(&mut self, gained: HomeGained, _ctx: &mut Context<Self, ()>) {
        self.add_home(gained.0);
    }
}

impl Message<HomeRenewed> for KeyStore {
    type Reply = ();

    async fn handle(&mut self, renewed: HomeRenewed, _ctx: &mut Context<Self, ()>) {
        if let Some(home) = self.homes.get_mut(&renewed.shard) {
            home.keys.advance_term(renewed.term);
        }
    }
}

impl Message<HomeLost> for KeyStore {
    type Reply = ();

    async fn handle(&mut self, lost: HomeLost, _ctx: &mut Context<Self, ()>) {
        self.homes.remove(&lost.0);
    }
}

impl Message<BeginKey> for KeyStore {
    type Reply = BeginReply;

    async fn handle(
        &mut self,
        begin: BeginKey,
        _ctx: &mut Context<Self, BeginReply>,
    ) -> BeginReply {
        self.begin(begin.home, &begin.request)
    }
}

impl Message<SiblingFinding> for KeyStore {
    type Reply = ();

    async fn handle(&mut self, finding: SiblingFinding, _ctx: &mut Context<Self, ()>) {
        self.apply_finding(finding);
    }
}

impl Message<FinishKey> for KeyStore {
    type Reply = ();

    async fn handle(&mut self, finish: FinishKey, _ctx: &mut Context<Self, ()>) {
        self.finish(finish.0);
    }
}

impl Message<LookUpRun> for KeyStore {
    type Reply = RunFound;

    async fn handle(&mut self, look_up: LookUpRun, _ctx: &mut Context<Self, RunFound>) -> RunFound {
        let KeyLookup { key, home, term } = look_up.0;
        RunFound(match self.runs.answer(key, home, term) {
            SiblingAnswer::Ran(answer) => KeyLookupReply::Ran(Bytes::copy_from_slice(&answer)),
            SiblingAnswer::Running => KeyLookupReply::Running,
            SiblingAnswer::Unproved => KeyLookupReply::Unproved,
        })
    }
}

impl Message<BeginRun> for KeyStore {
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

impl Message<EndRun> for KeyStore {
    type Reply = ();

    async fn handle(&mut self, end: EndRun, _ctx: &mut Context<Self, ()>) {
        self.runs.finish(end.0);
    }
}

impl Message<Tick> for KeyStore {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _ctx: &mut Context<Self, ()>) {
        self.alarm.clear();
        self.expire();
        self.set_alarm();
    }
}
