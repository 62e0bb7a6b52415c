//! The permission to run one request once, from the decision of the home shard to the report of its
//! end.

use bytes::Bytes;
use kingcupwinch_coord::dedupe::{Dispatched, Fresh, Permit, Refusal, RequestKey, Token};
use kingcupwinch_wire::sibling::{KeyEnd, KeyFinish, KeyPermit, StoredResponse};

use super::KeyService;
use crate::actors::keys::{BeginRun, EndRun};
use crate::server::headers::Key;

/// The state of a run permission. While a dispatch is in progress, no other can start.
enum RunPermission {
    /// The request may be dispatched.
    Fresh(Token<Fresh>),
    /// A dispatch is in progress or has an unknown outcome.
    Dispatched(Token<Dispatched>),
    /// The end was reported.
    Spent,
}

/// A request that runs under a key. If dropped before its end is reported, it is reported as
/// unknown after a dispatch and as not run otherwise.
pub(crate) struct KeyRun {
    service: KeyService,
    key: RequestKey,
    permit: KeyPermit,
    permission: RunPermission,
}

impl KeyRun {
    /// Acquires this instance's single run token, or returns `None` if the request already ran or
    /// was fenced off.
    pub(crate) async fn take(service: &KeyService, key: Key, permit: KeyPermit) -> Option<Self> {
        let requested = Permit {
            key: RequestKey(key.id),
            issued: key.issued,
            home: permit.home,
            term: permit.term,
            attempt: permit.attempt,
        };
        let token = service.key_store.ask(BeginRun(requested)).await.ok()?.0?;
        Some(KeyRun {
            service: service.clone(),
            key: requested.key,
            permit,
            permission: RunPermission::Fresh(token),
        })
    }

    /// Marks the start of a dispatch; returns false if one is already in progress.
    pub(crate) fn dispatch(&mut self) -> bool {
        match std::mem::replace(&mut self.permission, RunPermission::Spent) {
            RunPermission::Fresh(token) => {
                self.permission = RunPermission::Dispatched(token.dispatch());
                true
            }
            other => {
                self.permission = other;
                false
            }
        }
    }

    /// Records the proof that the dispatch did not start anything, so that another is allowed.
    pub(crate) fn record_not_run(&mut self, proof: Refusal) {
        if let RunPermission::Dispatched(token) =
            std::mem::replace(&mut self.permission, RunPermission::Spent)
        {
            self.permission = RunPermission::Fresh(token.refused(proof));
        }
    }

    /// Reports the worker's whole answer, or `None` if it was too large to be stored or broke off.
    pub(crate) fn report_answer(mut self, outcome: Option<&StoredResponse>) {
        let answer = outcome.map(StoredResponse::encode);
        self.report(answer);
    }

    fn report(&mut self, answer: Option<Bytes>) {
        let (ended, end) = match (
            std::mem::replace(&mut self.permission, RunPermission::Spent),
            answer,
        ) {
            (RunPermission::Spent, _) => return,
            (RunPermission::Fresh(token), _) => (token.not_run(), KeyEnd::NotRun),
            (RunPermission::Dispatched(token), Some(answer)) => {
                let ended = token.ran(answer[..].into());
                (ended, KeyEnd::Ran(answer))
            }
            (RunPermission::Dispatched(token), None) => (token.unknown(), KeyEnd::Unknown),
        };
        let service = self.service.clone();
        let finish = KeyFinish {
            key: self.key,
            permit: self.permit,
            end,
        };
        tokio::spawn(async move {
            // A stopped key store records nothing.
            let _ = service.key_store.tell(EndRun(ended)).await;
            service.report_finish(finish).await;
        });
    }
}

impl Drop for KeyRun {
    fn drop(&mut self) {
        self.report(None);
    }
}
