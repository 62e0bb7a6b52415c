//! The configuration in force as a fold over the whole log.
//!
//! The first valid publication over the version it names wins; nothing else changes anything.

/// An entry of the configuration stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigEntry {
    /// A publication.
    Publish {
        /// Its record id.
        id: u64,
        /// The version that it names.
        based: u64,
        /// Whether its tree passes the checks.
        valid: bool,
    },
    /// A snapshot of what was in force over the first `covers` entries.
    Snapshot {
        /// The entries that it covers.
        covers: usize,
    },
    /// A record that can't be decoded.
    Undecodable,
}

/// A version and the record that made it; version zero has none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PublishedVersion {
    /// The version.
    pub version: u64,
    /// The record that made it.
    pub id: u64,
}

/// Returns what is in force after all entries.
pub fn current_version(log: &[ConfigEntry]) -> PublishedVersion {
    version_history(log).last().copied().unwrap_or_default()
}

/// Returns every version that was ever in force, in order.
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
