//! Decides whether a non-idempotent request may run, at its key's home.

mod run;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kameo::actor::ActorRef;
use kingcupwinch_coord::dedupe::{Fingerprint, Request, RequestKey};
use kingcupwinch_coord::hash::{domain_of, shard_of};
use kingcupwinch_coord::id::{Domain, Incarnation, ShardId};
use kingcupwinch_time::Span;
use kingcupwinch_wire::sibling::{
    Body, KeyBegin, KeyDecision, KeyFinish, KeyLookup, KeyLookupReply,
};
use tokio::time::Instant;

pub(crate) use run::KeyRun;

use crate::actors::keys::{Begin, Finish, HomeStep, KeyMemory, Learn, LookUp};
use crate::server::headers::Key;
use crate::shared::Shared;
use crate::siblings::Siblings;

/// How long a sibling may take to answer for a key.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// How often a home that could not be told of an end is told again.
const FINISH_TRIES: u32 = 3;

/// Decides keys, here or at their home.
#[derive(Clone)]
pub(crate) struct KeyService {
    shared: Arc<Shared>,
    memory: ActorRef<KeyMemory>,
    siblings: Arc<Siblings>,
}

/// Where a key is decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum KeyHome {
    /// In this failure domain.
    Here(ShardId),
    /// In another failure domain.
    Elsewhere(Domain),
}

impl KeyService {
    /// Makes the service.
    pub(crate) fn new(
        shared: Arc<Shared>,
        memory: ActorRef<KeyMemory>,
        siblings: Arc<Siblings>,
    ) -> Self {
        KeyService {
            shared,
            memory,
            siblings,
        }
    }

    /// Returns where a key is decided; none while no domain is declared.
    pub(crate) fn home_of(&self, key: RequestKey) -> Option<KeyHome> {
        let config = self.shared.config.load_full();
        let mine = &self.shared.settings.instance.domain;
        let shards = config.tree.domains.get(mine)?.shards;
        let domains: Vec<Domain> = config.tree.domains.keys().cloned().collect();
        let home = domain_of(key.0, &domains)?;
        if home == mine {
            return Some(KeyHome::Here(shard_of(key.0, shards)));
        }
        Some(KeyHome::Elsewhere(Arc::clone(home)))
    }

    /// Asks a key's home in this failure domain for leave to run.
    pub(crate) async fn begin(
        &self,
        home: ShardId,
        key: Key,
        fingerprint: Fingerprint,
        time_left: Span,
    ) -> KeyDecision {
        let begin = KeyBegin {
            key: RequestKey(key.id),
            issued: key.issued,
            fingerprint,
            time_left,
        };
        let ownership = self.shared.ownership.load_full();
        let Some(owner) = ownership.owner(home) else {
            return KeyDecision::Refused("the key's home has no owner now".into());
        };
        if owner.incarnation == self.shared.incarnation {
            return self.begin_here(home, &begin).await;
        }
        let deadline = Instant::now() + ASK_TIMEOUT;
        let answer = self
            .siblings
            .ask(owner.incarnation, Body::KeyBegin(begin), deadline)
            .await;
        match answer {
            Ok(Body::KeyDecision(answer)) => answer,
            // Leave that may have been given is never used, so the request certainly does not run.
            Ok(_) | Err(_) => KeyDecision::Refused("the key's home was not reached".into()),
        }
    }

    /// Decides for a sibling that took the request.
    pub(crate) async fn begin_for(&self, begin: KeyBegin) -> KeyDecision {
        match self.home_of(begin.key) {
            Some(KeyHome::Here(home)) => self.begin_here(home, &begin).await,
            _ => KeyDecision::Refused("the key's home is in another failure domain".into()),
        }
    }

    async fn begin_here(&self, home: ShardId, begin: &KeyBegin) -> KeyDecision {
        let request = Request {
            key: begin.key,
            issued: begin.issued,
            fingerprint: begin.fingerprint,
            deadline: self.shared.now() + begin.time_left,
        };
        match self.memory.ask(Begin { home, request }).await {
            Ok(HomeStep::Answer(answer)) => answer,
            Ok(HomeStep::LookUp(lookup)) => self.ask_siblings(request, lookup).await,
            Err(_) => KeyDecision::Refused("this instance is stopping".into()),
        }
    }

    /// Asks everyone who may have run the key in an earlier term.
    async fn ask_siblings(&self, request: Request, lookup: KeyLookup) -> KeyDecision {
        let mut answer = None;
        for member in &self.shared.ownership.load_full().members {
            match self.look_up_at(member.incarnation, lookup).await {
                KeyLookupReply::Ran(found) => answer = Some(found),
                KeyLookupReply::Running | KeyLookupReply::Unproved => {}
            }
        }
        let learn = Learn {
            home: lookup.home,
            key: lookup.key,
            answer,
        };
        // Without the memory, the next step fails as well.
        let _ = self.memory.tell(learn).await;
        match self
            .memory
            .ask(Begin {
                home: lookup.home,
                request,
            })
            .await
        {
            Ok(HomeStep::Answer(answer)) => answer,
            Ok(HomeStep::LookUp(_)) | Err(_) => KeyDecision::Unknown,
        }
    }

    async fn look_up_at(&self, member: Incarnation, lookup: KeyLookup) -> KeyLookupReply {
        if member == self.shared.incarnation {
            return self.look_up(lookup).await;
        }
        let deadline = Instant::now() + ASK_TIMEOUT;
        match self
            .siblings
            .ask(member, Body::KeyLookup(lookup), deadline)
            .await
        {
            Ok(Body::KeyLookupReply(found)) => found,
            Ok(_) | Err(_) => KeyLookupReply::Unproved,
        }
    }

    /// Says what this instance knows of a key's run.
    pub(crate) async fn look_up(&self, lookup: KeyLookup) -> KeyLookupReply {
        let found = self.memory.ask(LookUp(lookup)).await;
        found.map_or(KeyLookupReply::Unproved, |found| found.0)
    }

    /// Takes a sibling's word on how a request ended.
    pub(crate) async fn finish_for(&self, finish: KeyFinish) {
        // A memory that is gone remembers nothing.
        let _ = self.memory.tell(Finish(finish)).await;
    }

    /// Tells a key's home how a request ended; a home that is not reached counts it as unknown
    /// after its deadline.
    async fn tell_home(&self, finish: KeyFinish) {
        for _ in 0..FINISH_TRIES {
            let ownership = self.shared.ownership.load_full();
            let Some(owner) = ownership.owner(finish.permit.home) else {
                return;
            };
            if owner.incarnation == self.shared.incarnation {
                return self.finish_for(finish).await;
            }
            let deadline = Instant::now() + ASK_TIMEOUT;
            let body = Body::KeyFinish(finish.clone());
            if self
                .siblings
                .ask(owner.incarnation, body, deadline)
                .await
                .is_ok()
            {
                return;
            }
        }
    }
}

/// Returns the fingerprint by which a key's second use for another request is noticed.
pub(crate) fn fingerprint(service: &str, class: &str, body: Option<&Bytes>) -> Fingerprint {
    use std::hash::Hasher;
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    hasher.write(service.as_bytes());
    hasher.write_u8(0);
    hasher.write(class.as_bytes());
    hasher.write_u8(0);
    hasher.write(body.map_or(&[], |body| &body[..]));
    Fingerprint(hasher.finish())
}
