//! Collects scrapes from instances over a period.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_time::WallClock;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::sample::parse_scrape;
use super::scrape::{Scrape, file_name};
use crate::console::Console;
use crate::error::Error;
use crate::http::HttpError;
use crate::settings::Settings;

/// Duration and interval of a collection, and where to save the scrapes.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct CollectOptions {
    /// Duration of the collection, in seconds.
    pub(crate) duration_s: u64,
    /// Interval between two rounds, in seconds.
    pub(crate) interval_s: u64,
    /// Folder in which scrapes are saved.
    pub(crate) save_folder: Option<PathBuf>,
}

/// Scrapes all instances in each round; failures are written as notes and left out.
///
/// # Errors
///
/// Fails if no instance is given, or if a file or note can't be written.
pub(crate) async fn collect(
    settings: &Settings,
    options: &CollectOptions,
    console: &mut Console<'_>,
) -> Result<Vec<Scrape>, Error> {
    let instances = settings.require_instances()?;
    let operator = settings.operator_client();
    if let Some(folder) = &options.save_folder {
        fs::create_dir_all(folder).map_err(|cause| Error::File(folder.clone(), cause))?;
    }
    let end = Instant::now() + Duration::from_secs(options.duration_s);
    let mut rounds = interval(Duration::from_secs(options.interval_s));
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut scrapes = Vec::new();
    loop {
        rounds.tick().await;
        let taken_ms = WallClock.now().as_millis();
        for address in instances {
            let answer = operator.get_text(*address, "/metrics").await;
            let scrape = answer.and_then(|text| read(taken_ms, &address.to_string(), text));
            match scrape {
                Ok((scrape, text)) => {
                    save(options.save_folder.as_deref(), &scrape, &text)?;
                    scrapes.push(scrape);
                }
                Err(cause) => console.note(format_args!("{address}: left out: {cause}"))?,
            }
        }
        if Instant::now() >= end {
            return Ok(scrapes);
        }
    }
}

fn read(taken_ms: u64, instance: &str, text: String) -> Result<(Scrape, String), HttpError> {
    let sample = parse_scrape(&text).map_err(|e| HttpError::InvalidResponse(e.to_string()))?;
    let scrape = Scrape {
        taken_ms,
        instance: Arc::from(instance),
        sample,
    };
    Ok((scrape, text))
}

fn save(folder: Option<&Path>, scrape: &Scrape, text: &str) -> Result<(), Error> {
    let Some(folder) = folder else {
        return Ok(());
    };
    let path = folder.join(file_name(scrape.taken_ms, &scrape.instance));
    fs::write(&path, text).map_err(|cause| Error::File(path, cause))
}
