//! Reads a configuration folder, with limits on the number and size of its files.

use std::fs::{self, DirEntry, File};
use std::io::{self, Read};
use std::path::Path;
use std::sync::Arc;

use crate::check::check_node;
use crate::fault::{Fault, FaultKind, Faults};
use crate::merge::merge_table;
use crate::node::{Location, Node, Table, Value};
use crate::origin::{LoadedConfig, Origins};
use crate::parse::parse_toml;

/// Maximum number of merged files in a folder.
pub const MAX_FILES: usize = 1_000;

/// Maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 1_048_576;

/// Maximum total size of a folder's files, in bytes.
pub const MAX_FOLDER_BYTES: usize = 4 * MAX_FILE_BYTES;

/// Maximum number of directory entries that are inspected, including skipped ones.
const MAX_ENTRIES: usize = 4_000;

/// Suffix of the names of merged files.
const FILE_SUFFIX: &str = ".toml";

/// Reason why an entry of the folder was skipped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SkipReason {
    /// The name starts with a dot.
    Hidden,
    /// The file is an editor's backup or lock file.
    Backup,
    /// The name doesn't end in `.toml`.
    OtherExtension,
    /// The entry is a folder.
    Folder,
}

impl SkipReason {
    /// Returns the reason as text for operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            SkipReason::Hidden => "hidden",
            SkipReason::Backup => "an editor's backup",
            SkipReason::OtherExtension => "not *.toml",
            SkipReason::Folder => "a folder",
        }
    }
}

/// An entry of the folder that was skipped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedEntry {
    /// Name of the entry.
    pub name: Arc<str>,
    /// Reason for skipping the entry.
    pub reason: SkipReason,
}

/// Reads, merges and checks the `*.toml` files of a folder, ordered by name.
///
/// # Errors
///
/// Returns all faults of the folder, from unreadable files to conflicting settings.
pub fn load_folder(path: impl AsRef<Path>) -> Result<LoadedConfig, Faults> {
    let path = path.as_ref();
    let folder_name = path.display().to_string();
    let listing = Listing::read(path).map_err(|kind| Faults::for_file(&folder_name, kind))?;
    if listing.names.is_empty() {
        return Err(Faults::for_file(&folder_name, FaultKind::Empty));
    }
    let mut faults = Vec::new();
    let mut texts = Vec::new();
    let mut remaining = MAX_FOLDER_BYTES;
    for name in &listing.names {
        match read_file(&path.join(name.as_ref()), remaining) {
            Ok(text) => {
                remaining -= text.len();
                texts.push((Arc::clone(name), text));
            }
            Err(kind) => faults.push(file_fault(name, kind)),
        }
    }
    merge_texts(&texts, listing.skipped, faults)
}

/// Merges and checks files given as pairs of name and text, ordered by name.
///
/// # Errors
///
/// Returns all faults of the files.
pub fn load_texts<'a>(
    texts: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<LoadedConfig, Faults> {
    let mut texts: Vec<(Arc<str>, String)> = texts
        .into_iter()
        .map(|(name, text)| (Arc::from(name), text.to_owned()))
        .collect();
    texts.sort();
    merge_texts(&texts, Vec::new(), Vec::new())
}

fn merge_texts(
    texts: &[(Arc<str>, String)],
    skipped: Vec<SkippedEntry>,
    mut faults: Vec<Fault>,
) -> Result<LoadedConfig, Faults> {
    let mut root = Table::new();
    for (name, text) in texts {
        match parse_toml(name, text) {
            Ok(layer) => merge_table(&mut root, layer, "", &mut faults),
            Err(fault) => faults.push(fault),
        }
    }
    let first = texts.first().map_or("", |(name, _)| name.as_ref());
    let root = Node {
        location: Location::new(first),
        value: Value::Table(root),
    };
    let origins = Origins::new(&root);
    let tree = check_node(&root, &origins, &mut faults);
    if !faults.is_empty() {
        return Err(Faults::new(faults));
    }
    Ok(LoadedConfig {
        tree,
        origins,
        files: texts.iter().map(|(name, _)| Arc::clone(name)).collect(),
        skipped,
    })
}

fn file_fault(name: &str, kind: FaultKind) -> Fault {
    Fault {
        location: Location::new(name),
        path: Arc::from(""),
        kind,
        conflict: None,
    }
}

fn unreadable(error: &io::Error) -> FaultKind {
    FaultKind::Unreadable(Arc::from(error.to_string()))
}

/// Sorted names of a folder's entries.
#[derive(Debug, Default)]
struct Listing {
    names: Vec<Arc<str>>,
    skipped: Vec<SkippedEntry>,
}

impl Listing {
    fn read(path: &Path) -> Result<Self, FaultKind> {
        let mut listing = Listing::default();
        let entries = fs::read_dir(path).map_err(|e| unreadable(&e))?;
        for entry in entries {
            let entry = entry.map_err(|e| unreadable(&e))?;
            listing.add(&entry);
            let inspected = listing.names.len() + listing.skipped.len();
            if listing.names.len() > MAX_FILES || inspected > MAX_ENTRIES {
                return Err(FaultKind::TooManyFiles(MAX_FILES));
            }
        }
        listing.names.sort();
        listing.skipped.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(listing)
    }

    fn add(&mut self, entry: &DirEntry) {
        let name: Arc<str> = Arc::from(entry.file_name().to_string_lossy());
        let is_folder = entry.file_type().is_ok_and(|kind| kind.is_dir());
        match skip_reason(&name, is_folder) {
            Some(reason) => self.skipped.push(SkippedEntry { name, reason }),
            None => self.names.push(name),
        }
    }
}

fn skip_reason(name: &str, is_folder: bool) -> Option<SkipReason> {
    let is_backup = name.ends_with('~')
        || name.starts_with('#')
        || [".swp", ".swo", ".bak", ".orig", ".rej"]
            .iter()
            .any(|ending| name.ends_with(ending));
    if name.starts_with('.') {
        Some(SkipReason::Hidden)
    } else if is_backup {
        Some(SkipReason::Backup)
    } else if is_folder {
        Some(SkipReason::Folder)
    } else if !name.ends_with(FILE_SUFFIX) {
        Some(SkipReason::OtherExtension)
    } else {
        None
    }
}

/// Reads a regular file, limited to the smaller of [`MAX_FILE_BYTES`] and `remaining` bytes.
fn read_file(path: &Path, remaining: usize) -> Result<String, FaultKind> {
    let metadata = fs::metadata(path).map_err(|e| unreadable(&e))?;
    if !metadata.is_file() {
        return Err(FaultKind::Unreadable(Arc::from("not a regular file")));
    }
    let limit = MAX_FILE_BYTES.min(remaining);
    let file = File::open(path).map_err(|e| unreadable(&e))?;
    let mut bytes = Vec::new();
    file.take(limit as u64 + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| unreadable(&e))?;
    if bytes.len() > limit {
        return Err(FaultKind::TooLarge(limit));
    }
    String::from_utf8(bytes).map_err(|_| FaultKind::NotUtf8)
}
