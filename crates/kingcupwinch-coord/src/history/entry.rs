//! Versions, and what a record did to them.

use std::sync::Arc;

use kingcupwinch_time::WallTime;

use crate::id::{Offset, RecordId, Version};
use crate::record::ConfigRecord;

/// A version that is or was in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The version.
    pub version: Version,
    /// The record that made it.
    pub id: RecordId,
    /// The first offset not yet judged when this version was known to be in force.
    pub covers: Offset,
    /// Who published it, for people.
    pub author: Arc<str>,
    /// When it was published, for people.
    pub published: WallTime,
    /// The merged tree as canonical JSON.
    pub tree: Arc<str>,
}

impl Entry {
    pub(super) fn new(id: RecordId, covers: Offset, body: &ConfigRecord) -> Self {
        Entry {
            version: body.version,
            id,
            covers,
            author: body.author.clone(),
            published: body.published,
            tree: body.tree.clone(),
        }
    }
}

/// What a record did to the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A new version is in force.
    InForce {
        /// The version.
        version: Version,
    },
    /// The record names a version that another record has already replaced.
    Lost {
        /// The record that won over the same version, none if it is no longer remembered.
        winner: Option<RecordId>,
    },
    /// The record names a version that is not yet made.
    Ahead {
        /// The version in force.
        current: Version,
    },
    /// The tree fails its checks.
    Invalid {
        /// What is wrong.
        why: Arc<str>,
    },
    /// The record does not make the version after the one it names.
    Malformed,
    /// The record could not be decoded.
    Undecodable,
    /// The offset or the version was already taken in.
    AlreadyApplied,
    /// The snapshot repeats the version in force.
    CurrentSnapshot,
    /// The snapshot contradicts what this reader has judged, or covers too little.
    StaleSnapshot,
    /// The record waits until a base is known.
    Buffered,
}
