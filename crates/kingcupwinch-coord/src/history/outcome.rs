//! Outcomes of publications, for publishers that read back their records.

use std::collections::VecDeque;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use super::Applied;
use crate::id::{RecordId, Version};

/// The outcome of a publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The publication became this version.
    Won(Version),
    /// Another record replaced the version that the publication is based on.
    Lost {
        /// The record that won, or `None` if it is no longer remembered.
        winner: Option<RecordId>,
    },
    /// The publication is based on a version that did not exist when it was read.
    Ahead,
    /// The publication is malformed, or its tree failed the validation.
    Invalid {
        /// A description of the problem.
        reason: Arc<str>,
    },
}

/// The latest outcomes. A duplicate of a winning record never replaces the win.
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

    pub(super) fn record(&mut self, id: RecordId, applied: &Applied) {
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
            Applied::Invalid { reason } => Some(PublishOutcome::Invalid {
                reason: reason.clone(),
            }),
            Applied::Malformed => Some(PublishOutcome::Invalid {
                reason: "its version is not its base version plus one".into(),
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
