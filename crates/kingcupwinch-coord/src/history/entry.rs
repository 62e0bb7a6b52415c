//! Versions of the configuration, and the results of applying records.

use std::sync::Arc;

use kingcupwinch_time::WallTime;

use crate::id::{Offset, RecordId, Version};
use crate::record::ConfigRecord;

/// A version of the configuration that is or was in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The version number.
    pub version: Version,
    /// The record that published the version.
    pub id: RecordId,
    /// The first offset that was not yet applied when the version was known to be in force.
    pub covers: Offset,
    /// The publisher, for display only.
    pub author: Arc<str>,
    /// Time of publication, for display only.
    pub published: WallTime,
    /// The merged configuration tree as canonical JSON.
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

/// The result of applying a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A version came into force.
    InForce {
        /// The version.
        version: Version,
    },
    /// The record is based on a version that another record has already replaced.
    Lost {
        /// The record that replaced that version, or `None` if it is no longer remembered.
        winner: Option<RecordId>,
    },
    /// The record is based on a version that does not exist yet.
    Ahead {
        /// The version in force.
        current: Version,
    },
    /// The configuration tree failed its validation.
    Invalid {
        /// A description of the problem.
        reason: Arc<str>,
    },
    /// The version is not the one after its base, or a snapshot covers offsets after its own.
    Malformed,
    /// The record could not be decoded.
    Undecodable,
    /// The offset or the version was already applied.
    AlreadyApplied,
    /// The snapshot repeats the version in force.
    CurrentSnapshot,
    /// The snapshot contradicts the applied records or does not cover enough offsets.
    StaleSnapshot,
    /// The record is buffered until a snapshot is found.
    Buffered,
}
