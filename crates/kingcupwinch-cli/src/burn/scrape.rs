//! Scrapes of instances, in memory or saved in a folder.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use quick_error::quick_error;

use super::sample::{Sample, parse_scrape};

/// File extension of saved scrapes.
const FILE_EXTENSION: &str = "prom";

quick_error! {
    /// Error of a saved scrape.
    #[derive(Debug)]
    pub enum ScrapeError {
        /// The folder or a file can't be read.
        Read(path: PathBuf, cause: io::Error) {
            display("{} can't be read: {cause}", path.display())
            source(cause)
        }
        /// A file name isn't `<milliseconds>-<instance>.prom`.
        Name(path: PathBuf) {
            display("{} isn't named <milliseconds>-<instance>.prom", path.display())
        }
    }
}

/// Counters of an instance at one time.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Scrape {
    /// Time of the scrape, in milliseconds since the Unix epoch.
    pub(crate) taken_ms: u64,
    /// Name or address of the instance.
    pub(crate) instance: Arc<str>,
    /// Counters of the instance.
    pub(crate) sample: Sample,
}

/// Returns the file name of a saved scrape.
pub(crate) fn file_name(taken_ms: u64, instance: &str) -> String {
    format!("{taken_ms}-{instance}.{FILE_EXTENSION}")
}

/// Reads the saved scrapes of a folder, oldest first.
///
/// # Errors
///
/// Fails if the folder or a file can't be read or parsed, or if a scrape has an invalid file name.
pub(crate) fn load_scrapes(folder: &Path) -> Result<Vec<Scrape>, ScrapeError> {
    let read_error = |path: &Path| {
        let path = path.to_owned();
        move |cause| ScrapeError::Read(path, cause)
    };
    let mut scrapes = Vec::new();
    for entry in fs::read_dir(folder).map_err(read_error(folder))? {
        let path = entry.map_err(read_error(folder))?.path();
        if path
            .extension()
            .is_none_or(|extension| extension != FILE_EXTENSION)
        {
            continue;
        }
        let (taken_ms, instance) =
            parse_file_name(&path).ok_or_else(|| ScrapeError::Name(path.clone()))?;
        let text = fs::read_to_string(&path).map_err(read_error(&path))?;
        let sample = parse_scrape(&text).map_err(read_error(&path))?;
        scrapes.push(Scrape {
            taken_ms,
            instance,
            sample,
        });
    }
    scrapes.sort_by(|a, b| (a.taken_ms, &a.instance).cmp(&(b.taken_ms, &b.instance)));
    Ok(scrapes)
}

fn parse_file_name(path: &Path) -> Option<(u64, Arc<str>)> {
    let (taken, instance) = path.file_stem()?.to_str()?.split_once('-')?;
    Some((taken.parse().ok()?, Arc::from(instance)))
}
