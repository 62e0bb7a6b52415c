//! What became of publications, for publishers that read back.

use std::collections::VecDeque;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use super::Applied;
use crate::id::{RecordId, Version};

/// What became of one publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It made this version.
    Won(Version),
    /// Another record replaced the version that it names.
    Lost {
        /// The record that won, none if it is no longer remembered.
        winner: Option<RecordId>,
    },
    /// It named a version that was not made when it was read.
    Ahead,
    /// Its tree or its form is wrong.
    Invalid {
        /// What is wrong.
        why: Arc<str>,
    },
}

/// The newest verdicts; a win is never replaced by what a doubled record got.
#[derive(Debug, Clone)]
pub(super) struct PublishOutcomes {
    by_id: FxHashMap<RecordId, PublishOutcome>,
    order: VecDeque<RecordId>,
    limit: usize,
}

impl PublishOutcomes {
    pub(super) fn new(limit: usize) -> Self {
        PublishOutcomes {
            by_id: FxHashMap::default(),
            order: VecDeque::new(),
            limit,
        }
    }

    pub(super) fn get(&self, id: RecordId) -> Option<&PublishOutcome> {
        self.by_id.get(&id)
    }

    pub(super) fn note(&mut self, id: RecordId, applied: &Applied) {
        let Some(outcome) = Self::from_applied(applied) else {
            return;
        };
        let won = matches!(self.by_id.get(&id), Some(PublishOutcome::Won(_)));
        if won {
            return;
        }
        if self.by_id.insert(id, outcome).is_none() {
            self.order.push_back(id);
        }
        self.trim();
    }

    fn from_applied(applied: &Applied) -> Option<PublishOutcome> {
        match applied {
            Applied::InForce { version } => Some(PublishOutcome::Won(*version)),
            Applied::Lost { winner } => Some(PublishOutcome::Lost { winner: *winner }),
            Applied::Ahead { .. } => Some(PublishOutcome::Ahead),
            Applied::Invalid { why } => Some(PublishOutcome::Invalid { why: why.clone() }),
            Applied::Malformed => Some(PublishOutcome::Invalid {
                why: "it does not make the version after the one it names".into(),
            }),
            Applied::Undecodable
            | Applied::AlreadyApplied
            | Applied::CurrentSnapshot
            | Applied::StaleSnapshot
            | Applied::Buffered => None,
        }
    }

    fn trim(&mut self) {
        while self.order.len() > self.limit {
            if let Some(old) = self.order.pop_front() {
                self.by_id.remove(&old);
            }
        }
    }
}
