//! One request's leave to run once, from the home's word to the report of its end.

use bytes::Bytes;
use kingcupwinch_coord::dedupe::{Dispatched, Fresh, Permit, Refusal, RequestKey, Token};
use kingcupwinch_wire::sibling::{KeyEnd, KeyFinish, KeyPermit, StoredResponse};

use super::KeyService;
use crate::actors::keys::{BeginRun, EndRun};
use crate::server::headers::Key;

/// A request's leave to be dispatched, which it gives up while a dispatch is out.
enum Leave {
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
    leave: Leave,
}

impl KeyRun {
    /// Takes this instance's one permission to dispatch; none if it ran or was fenced.
    pub(crate) async fn take(service: &KeyService, key: Key, permit: KeyPermit) -> Option<Self> {
        let wanted = Permit {
            key: RequestKey(key.id),
            issued: key.issued,
            home: permit.home,
            term: permit.term,
            attempt: permit.attempt,
        };
        let token = service.memory.ask(BeginRun(wanted)).await.ok()?.0?;
        Some(KeyRun {
            service: service.clone(),
            key: wanted.key,
            permit,
            leave: Leave::Fresh(token),
        })
    }

    /// Notes that a dispatch starts; returns false if one is out already.
    pub(crate) fn dispatch(&mut self) -> bool {
        match std::mem::replace(&mut self.leave, Leave::Spent) {
            Leave::Fresh(token) => {
                self.leave = Leave::Dispatched(token.dispatch());
                true
            }
            other => {
                self.leave = other;
                false
            }
        }
    }

    /// Notes that the dispatch certainly did not start anything.
    pub(crate) fn take_back(&mut self, proof: Refusal) {
        if let Leave::Dispatched(token) = std::mem::replace(&mut self.leave, Leave::Spent) {
            self.leave = Leave::Fresh(token.refused(proof));
        }
    }

    /// Reports the worker's whole answer; none if it was too large to be remembered or broke off.
    pub(crate) fn ran(mut self, outcome: Option<&StoredResponse>) {
        let answer = outcome.map(StoredResponse::encode);
        self.report(answer);
    }

    fn report(&mut self, answer: Option<Bytes>) {
        let (ended, end) = match (std::mem::replace(&mut self.leave, Leave::Spent), answer) {
            (Leave::Spent, _) => return,
            (Leave::Fresh(token), _) => (token.not_run(), KeyEnd::NotRun),
            (Leave::Dispatched(token), Some(answer)) => {
                let ended = token.ran(answer[..].into());
                (ended, KeyEnd::Ran(answer))
            }
            (Leave::Dispatched(token), None) => (token.unknown(), KeyEnd::Unknown),
        };
        let service = self.service.clone();
        let finish = KeyFinish {
            key: self.key,
            permit: self.permit,
            end,
        };
        tokio::spawn(async move {
            // A memory that is gone remembers nothing.
            let _ = service.memory.tell(EndRun(ended)).await;
            service.tell_home(finish).await;
        });
    }
}

impl Drop for KeyRun {
    fn drop(&mut self) {
        self.report(None);
    }
}
