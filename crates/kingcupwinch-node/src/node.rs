//! Startup, reload and graceful shutdown of an instance.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_adapter::{SettingsError, load_settings};
use kingcupwinch_cell::{Disabled, Mechanism};
use kingcupwinch_time::{BoottimeClock, Clock, Span, Time};
use quick_error::quick_error;
use slog::o;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::callers::{CallerHandler, ReadinessHandler};
use crate::events::{Event, EventLog};
use crate::hedged_append::HedgedAppender;
use crate::http::{CALLERS, Handler, HttpResponse, SIBLINGS, empty, json, serve};
use crate::intake::Intake;
use crate::link::watch_link;
use crate::ownership::{OwnershipTask, announce_member};
use crate::relay::StartRelay;
use crate::shared::Shared;
use crate::siblings::{SiblingServer, Siblings};

/// Time that callers may still connect after readiness is withdrawn: two failed probes of the load
/// balancer, which probes once a second, plus network delay.
const UNREADY_WAIT: Duration = Duration::from_millis(2_400);
/// Part of the grace period that is left when the instance exits.
const GRACE_MARGIN: Span = Span::from_millis(700);
/// Part of the grace period that is left when the process ends even if something in it hangs.
const EXIT_MARGIN: Span = Span::from_millis(300);
/// Time between two looks of the watchdog at the clock.
const WATCHDOG_INTERVAL: Duration = Duration::from_millis(100);
/// Exit code of a process that the watchdog ends.
const EXIT_OVERDUE: i32 = 3;

quick_error! {
    /// Error of starting an instance.
    #[derive(Debug)]
    pub enum NodeError {
        /// The settings can't be loaded.
        Settings(source: SettingsError) {
            from()
            source(source)
            display("{source}")
        }
        /// An address can't be bound, or a signal handler can't be installed.
        Io(source: std::io::Error) {
            from()
            source(source)
            display("{source}")
        }
    }
}

/// An instance with its settings.
pub struct Node {
    path: PathBuf,
    shared: Arc<Shared>,
}

struct MetricsServer {
    shared: Arc<Shared>,
}

impl Handler for MetricsServer {
    async fn handle(self: Arc<Self>, _: hyper::Request<hyper::body::Incoming>) -> HttpResponse {
        match self.shared.metrics.render() {
            Ok(text) => json(hyper::StatusCode::OK, text.into()),
            Err(_) => empty(hyper::StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

impl Node {
    /// Creates an instance with the settings of a file. As the owner it does not use the mechanisms
    /// that are `disabled`.
    ///
    /// # Errors
    ///
    /// Fails if the settings can't be loaded.
    pub fn new(path: &Path, disabled: Disabled) -> Result<Self, NodeError> {
        let settings = load_settings(path)?;
        let log = EventLog::new(&settings.instance);
        Ok(Node {
            path: path.to_owned(),
            shared: Shared::new(settings, disabled, log),
        })
    }

    /// Serves until SIGTERM or SIGINT, and then stops gracefully. SIGHUP checks the settings again.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or a signal handler can't be installed.
    pub async fn run(self) -> Result<(), NodeError> {
        let shared = &self.shared;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let (drain, drained) = watch::channel(false);
        let siblings = Siblings::new(Arc::clone(shared));
        self.listen(&siblings, &drained).await?;
        tokio::spawn(crate::configuration::follow(Arc::clone(shared)));
        tokio::spawn(announce_member(Arc::clone(shared)));
        tokio::spawn(watch_link(Arc::clone(shared)));
        let group = tokio::spawn(OwnershipTask::new(Arc::clone(shared), siblings).run());
        let settings = &shared.settings;
        let disabled: Vec<&str> = shared.disabled.iter().map(Mechanism::as_str).collect();
        shared.log.write(
            Event::Started,
            o!("callers" => settings.callers.to_string(), "domain" => settings.domain.to_string(),
                "store" => settings.store.to_string(), "cpu_share" => settings.cpu_share,
                "without" => disabled.join(",")),
        );
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => self.reload(),
            }
        }
        self.stop(group, &drain, drained).await;
        Ok(())
    }

    async fn listen(
        &self,
        siblings: &Siblings,
        drained: &watch::Receiver<bool>,
    ) -> Result<(), NodeError> {
        let shared = &self.shared;
        let settings = &shared.settings;
        let own = Intake::new(Arc::clone(shared));
        let owner_intake = Intake::for_owner(Arc::clone(shared));
        let appender = HedgedAppender {
            shared: Arc::clone(shared),
            siblings: siblings.clone(),
            owner_intake: owner_intake.clone(),
            own_intake: own.clone(),
        };
        let callers = Arc::new(CallerHandler {
            shared: Arc::clone(shared),
            appender,
            siblings: siblings.clone(),
        });
        let readiness = Arc::new(ReadinessHandler {
            shared: Arc::clone(shared),
        });
        let server = Arc::new(SiblingServer {
            shared: Arc::clone(shared),
            owner_intake,
            own_intake: own,
            relay: StartRelay::new(Arc::clone(shared)),
        });
        let metrics = Arc::new(MetricsServer {
            shared: Arc::clone(shared),
        });
        let clones = || (Arc::clone(shared), drained.clone());
        let (state, drain) = clones();
        serve(settings.callers, CALLERS, callers, state, drain).await?;
        let (state, drain) = clones();
        serve(settings.readiness, "readiness", readiness, state, drain).await?;
        let (state, drain) = clones();
        serve(settings.siblings, SIBLINGS, server, state, drain).await?;
        let (state, drain) = clones();
        serve(settings.metrics, "metrics", metrics, state, drain).await?;
        Ok(())
    }

    /// Checks the settings file again without applying it: addresses and the platform's bounds are
    /// fixed for the life of the process.
    fn reload(&self) {
        let log = &self.shared.log;
        match load_settings(&self.path) {
            Ok(settings) => {
                let changed = settings != self.shared.settings;
                log.write(Event::Reloaded, o!("changed" => changed));
            }
            Err(error) => log.write(Event::ReloadFailed, o!("error" => error.to_string())),
        }
    }

    async fn stop(
        &self,
        group: tokio::task::JoinHandle<()>,
        drain: &watch::Sender<bool>,
        drained: watch::Receiver<bool>,
    ) {
        drop(drained);
        let shared = &self.shared;
        let started = Instant::now();
        let watchdog = exit_at(shared.now() + (shared.settings.grace_period - EXIT_MARGIN));
        if let Err(error) = watchdog {
            let text = error.to_string();
            shared.log.write(Event::WatchdogFailed, o!("error" => text));
        }
        let end = started + Duration::from(shared.settings.grace_period - GRACE_MARGIN);
        shared.log.write(Event::StopRequested, o!());
        shared.stopping.send_replace(true);
        // A sibling takes the cell over while this instance still serves callers.
        let is_released = tokio::time::timeout_at(end, group).await.is_ok();
        tokio::time::sleep_until((started + UNREADY_WAIT).min(end)).await;
        drain.send_replace(true);
        // Every connection holds a receiver until it has ended.
        let closed = tokio::time::timeout_at(end, drain.closed()).await.is_ok();
        shared.log.write(
            Event::Stopped,
            o!("released" => is_released, "connections_closed" => closed),
        );
    }
}

/// Ends the process at a time, unless it ends before. A hanging task or decision does not delay that, nor
/// does the log, whose last lines wait until standard output takes them.
fn exit_at(deadline: Time) -> std::io::Result<()> {
    let wait = move || {
        // Threads sleep by a clock that stands still while the machine is suspended.
        while BoottimeClock.now() < deadline {
            std::thread::sleep(WATCHDOG_INTERVAL);
        }
        std::process::exit(EXIT_OVERDUE);
    };
    let thread = std::thread::Builder::new().name("watchdog".to_owned());
    thread.spawn(wait).map(drop)
}
