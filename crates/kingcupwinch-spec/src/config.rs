//! Specification of the configuration stream: the active version is a fold over the whole log.
//!
//! A valid publication takes effect if it is based on the version that is active at that point of
//! the log. No other entry changes the active version.

/// An entry of the configuration stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigEntry {
    /// A publication of a configuration.
    Publish {
        /// The id of the record.
        id: u64,
        /// The version on which it is based.
        based: u64,
        /// Whether its configuration tree passes validation.
        valid: bool,
    },
    /// A snapshot of the version that is active after the first `covers` entries.
    Snapshot {
        /// Number of entries that the snapshot covers.
        covers: usize,
    },
    /// A record that cannot be decoded.
    Undecodable,
}

/// A configuration version and the record that published it. Version zero has no record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PublishedVersion {
    /// The version number.
    pub version: u64,
    /// The id of the record that published it, or zero for version zero.
    pub id: u64,
}

/// Returns the version that is active after all entries of the log.
pub fn current_version(log: &[ConfigEntry]) -> PublishedVersion {
    version_history(log).last().copied().unwrap_or_default()
}

/// Returns all versions that have been active, in order.
pub fn version_history(log: &[ConfigEntry]) -> Vec<PublishedVersion> {
    let mut all: Vec<PublishedVersion> = Vec::new();
    for entry in log {
        let version = all.len() as u64;
        match entry {
            ConfigEntry::Publish {
                id,
                based,
                valid: true,
            } if *based == version => all.push(PublishedVersion {
                version: version + 1,
                id: *id,
            }),
            _ => {}
        }
    }
    all
}
