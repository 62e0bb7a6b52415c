//! Numbered log events.
//!
//! Every record carries the number of its event; `docs/EVENTS.md` lists them all.

mod catalogue;
mod limit;

use std::sync::{Arc, Mutex, PoisonError};

use kingcupwinch_time::{BoottimeClock, Clock};
use slog::{Drain, KV, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV, o};

pub use catalogue::{EventId, EventLevel};

use crate::settings::{Log, LogFormat, LogLevel};
use limit::Limiter;

/// Writes numbered events. Clones share one drain and one limiter.
#[derive(Debug, Clone)]
pub struct EventLog {
    logger: Logger,
    limiter: Arc<Mutex<Limiter>>,
}

impl EventLog {
    /// Creates a log according to the settings.
    pub fn new(settings: &Log, instance: &str) -> Self {
        let logger = make_logger(settings, instance);
        EventLog {
            logger,
            limiter: Arc::default(),
        }
    }

    /// Creates a log that discards everything.
    pub fn discard() -> Self {
        EventLog {
            logger: Logger::root(slog::Discard, o!()),
            limiter: Arc::default(),
        }
    }

    /// Writes one event, subject to its rate limit.
    pub fn write<T>(&self, id: EventId, fields: OwnedKV<T>)
    where
        T: SendSyncRefUnwindSafeKV + 'static,
        OwnedKV<T>: KV,
    {
        let Some(dropped) = self.admit(id) else {
            return;
        };
        let logger = self.logger.new(fields);
        let text = id.text();
        let code = id.code();
        match id.level() {
            EventLevel::Error => {
                slog::error!(logger, "{text}"; "event" => code, "dropped" => dropped);
            }
            EventLevel::Warning => {
                slog::warn!(logger, "{text}"; "event" => code, "dropped" => dropped);
            }
            EventLevel::Info => {
                slog::info!(logger, "{text}"; "event" => code, "dropped" => dropped);
            }
            EventLevel::Debug => {
                slog::debug!(logger, "{text}"; "event" => code, "dropped" => dropped);
            }
        }
    }

    /// Returns the number of records dropped since the last written one, or `None` to drop this
    /// one.
    fn admit(&self, id: EventId) -> Option<u64> {
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.admit(id, BoottimeClock.now())
    }
}

fn make_logger(settings: &Log, instance: &str) -> Logger {
    let fields = o!("instance" => instance.to_owned());
    match settings.format {
        LogFormat::Off => Logger::root(slog::Discard, fields),
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            finish(drain, settings.level, fields)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            finish(drain, settings.level, fields)
        }
    }
}

fn finish<D, T>(drain: D, level: LogLevel, fields: OwnedKV<T>) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
    T: SendSyncRefUnwindSafeKV + 'static,
{
    let drain = slog_async::Async::new(drain).build().fuse();
    let drain = slog::LevelFilter::new(drain, to_slog(level)).fuse();
    Logger::root(drain, fields)
}

fn to_slog(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
