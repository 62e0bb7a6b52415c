//! Decides at a key's home shard whether a non-idempotent request may run.

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

use crate::actors::keys::{BeginKey, BeginReply, FinishKey, KeyStore, LookUpRun, SiblingFinding};
use crate::server::headers::Key;
use crate::shared::Shared;
use crate::siblings::Siblings;

/// Time that a sibling has to answer a question about a key.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of times that the end of a request is reported to its key's home shard.
const MAX_FINISH_ATTEMPTS: u32 = 3;

/// Decides keys, here or at the owner of their home shard.
#[derive(Clone)]
pub(crate) struct KeyService {
    shared: Arc<Shared>,
    key_store: ActorRef<KeyStore>,
    siblings: Arc<Siblings>,
}

/// The location of a key's home shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum KeyHome {
    /// In this failure domain.
    Local(ShardId),
    /// In another failure domain.
    Remote(Domain),
}

impl KeyService {
    /// Creates the service.
    pub(crate) fn new(
        shared: Arc<Shared>,
        key_store: ActorRef<KeyStore>,
        siblings: Arc<Siblings>,
    ) -> Self {
        KeyService {
            shared,
            key_store,
            siblings,
        }
    }

    /// Returns the location of a key's home shard, or `None` while this failure domain is not
    /// configured.
    pub(crate) fn home_of(&self, key: RequestKey) -> Option<KeyHome> {
        let config = self.shared.config.load_full();
        let local_domain = &self.shared.settings.instance.domain;
        let shards = config.tree.domains.get(local_domain)?.shards;
        let domains: Vec<Domain> = config.tree.domains.keys().cloned().collect();
        let home = domain_of(key.0, &domains)?;
        if home == local_domain {
            return Some(KeyHome::Local(shard_of(key.0, shards)));
        }
        Some(KeyHome::Remote(Arc::clone(home)))
    }

    /// Asks the owner of a key's home shard in this failure domain for permission to run its
    /// request.
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
            return KeyDecision::Refused("the key's home shard has no owner at present".into());
        };
        if owner.incarnation == self.shared.incarnation {
            return self.begin_here(home, &begin).await;
        }
        let deadline = Instant::now() + ASK_TIMEOUT;
        let answer = self
            .siblings
            .request(owner.incarnation, Body::KeyBegin(begin), deadline)
            .await;
        match answer {
            Ok(Body::KeyDecision(answer)) => answer,
            // A permission that may have been granted is never used, so the request certainly does
            // not run.
            Ok(_) | Err(_) => KeyDecision::Refused("the key's home shard is unreachable".into()),
        }
    }

    /// Decides a key for a sibling that received the request.
    pub(crate) async fn begin_for(&self, begin: KeyBegin) -> KeyDecision {
        match self.home_of(begin.key) {
            Some(KeyHome::Local(home)) => self.begin_here(home, &begin).await,
            _ => KeyDecision::Refused("the key's home shard is in another failure domain".into()),
        }
    }

    async fn begin_here(&self, home: ShardId, begin: &KeyBegin) -> KeyDecision {
        let request = Request {
            key: begin.key,
            issued: begin.issued,
            fingerprint: begin.fingerprint,
            deadline: self.shared.now() + begin.time_left,
        };
        match self.key_store.ask(BeginKey { home, request }).await {
            Ok(BeginReply::Answer(answer)) => answer,
            Ok(BeginReply::AskSiblings(lookup)) => self.ask_siblings(request, lookup).await,
            Err(_) => KeyDecision::Refused("this instance is stopping".into()),
        }
    }

    /// Asks every member of the group whether it ran the key's request in an earlier term.
    async fn ask_siblings(&self, request: Request, lookup: KeyLookup) -> KeyDecision {
        let mut answer = None;
        for member in &self.shared.ownership.load_full().members {
            match self.look_up_at(member.incarnation, lookup).await {
                KeyLookupReply::Ran(found) => answer = Some(found),
                KeyLookupReply::Running | KeyLookupReply::Unproved => {}
            }
        }
        let finding = SiblingFinding {
            home: lookup.home,
            key: lookup.key,
            answer,
        };
        // If the key store has stopped, the next step fails as well.
        let _ = self.key_store.tell(finding).await;
        match self
            .key_store
            .ask(BeginKey {
                home: lookup.home,
                request,
            })
            .await
        {
            Ok(BeginReply::Answer(answer)) => answer,
            Ok(BeginReply::AskSiblings(_)) | Err(_) => KeyDecision::Unknown,
        }
    }

    async fn look_up_at(&self, member: Incarnation, lookup: KeyLookup) -> KeyLookupReply {
        if member == self.shared.incarnation {
            return self.look_up(lookup).await;
        }
        let deadline = Instant::now() + ASK_TIMEOUT;
        match self
            .siblings
            .request(member, Body::KeyLookup(lookup), deadline)
            .await
        {
            Ok(Body::KeyLookupReply(found)) => found,
            Ok(_) | Err(_) => KeyLookupReply::Unproved,
        }
    }

    /// Returns this instance's knowledge of a key's run.
    pub(crate) async fn look_up(&self, lookup: KeyLookup) -> KeyLookupReply {
        let found = self.key_store.ask(LookUpRun(lookup)).await;
        found.map_or(KeyLookupReply::Unproved, |found| found.0)
    }

    /// Records a sibling's report of how a request ended.
    pub(crate) async fn finish_for(&self, finish: KeyFinish) {
        // A stopped key store records nothing.
        let _ = self.key_store.tell(FinishKey(finish)).await;
    }

    /// Reports to the owner of a key's home shard how a request ended. If the report does not
    /// arrive, the owner counts the request as unknown after its deadline.
    async fn report_finish(&self, finish: KeyFinish) {
        for _ in 0..MAX_FINISH_ATTEMPTS {
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
                .request(owner.incarnation, body, deadline)
                .await
                .is_ok()
            {
                return;
            }
        }
    }
}

/// Returns the fingerprint that detects the reuse of a key for another request.
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
