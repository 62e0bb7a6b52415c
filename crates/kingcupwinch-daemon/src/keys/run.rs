//! One request's leave to run once, from the home's word to the report of its end.

use bytes::Bytes;
use kingcupwinch_coord::dedupe::{Dispatched, Fresh, Permit, Refusal, RequestKey, Token};
use kingcupwinch_wire::sibling::{KeyEnd, KeyFinish, KeyOutcome, KeyPermit};

use super::KeyService;
use crate::actors::keys::{BeginRun, EndRun};
use crate::server::headers::Key;

/// A request's leave to be dispatched, which it gives up while a dispatch is out.
enum RunPermission {
    /// It may be dispatched.
    Fresh(Token<Fresh>),
    /// A dispatch is out.
    Dispatched(Token<Dispatched>),
    /// Its end was reported.
    Spent,
}

/// A request that runs under a key. Dropped before its end is reported, it counts as unknown once
/// a dispatch was out, and as not run before.
pub(crate) struct KeyRun {
    service: KeyService,
    key: RequestKey,
    permit: KeyPermit,
    permission: RunPermission,
}

impl KeyRun {
    /// Takes this instance's one permission to dispatch; none if it ran or was fenced.
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

    /// Notes that a dispatch starts; returns false if one is out already.
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

    /// Notes that the dispatch certainly did not start anything.
    pub(crate) fn record_not_run(&mut self, proof: Refusal) {
        if let RunPermission::Dispatched(token) =
            std::mem::replace(&mut self.permission, RunPermission::Spent)
        {
            self.permission = RunPermission::Fresh(token.refused(proof));
        }
    }

    /// Reports the worker's whole answer; none if it was too large to be remembered or broke off.
    pub(crate) fn ran(mut self, outcome: Option<&KeyOutcome>) {
        let answer = outcome.map(KeyOutcome::encode);
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
            // A memory that is gone remembers nothing.
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
