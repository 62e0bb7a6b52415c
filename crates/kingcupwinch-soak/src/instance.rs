//! An instance that runs as a separate process.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use kingcupwinch_standin::InstanceSettings;
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::Instant;

/// Time that a process needs to install its signal handlers, also on a busy machine.
const STARTUP_TIME: Duration = Duration::from_millis(1_000);
/// Interval at which a stopping process is checked for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An instance: its current process and what is needed to start it again.
pub(crate) struct Instance {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Time of the last start.
    started: Instant,
    /// Time at which the process was last asked to stop.
    stop_requested: Option<Instant>,
}

impl Instance {
    /// Writes the settings and starts the process.
    pub(crate) fn start(
        program: &Path,
        dir: &Path,
        settings: &InstanceSettings,
    ) -> io::Result<Self> {
        let file = dir.join(format!("{}.toml", settings.name));
        std::fs::write(&file, settings.render())?;
        let mut instance = Instance {
            program: program.to_owned(),
            settings: file,
            log: dir.join(format!("{}.log", settings.name)),
            child: None,
            started: Instant::now(),
            stop_requested: None,
        };
        instance.ensure_started()?;
        Ok(instance)
    }

    /// Starts the process if it has ended or never ran.
    pub(crate) fn ensure_started(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("node")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.started = Instant::now();
        self.stop_requested = None;
        Ok(())
    }

    /// Returns whether the process has run long enough to handle signals. Until a program installs
    /// a handler, the default action of a signal terminates it.
    pub(crate) fn handles_signals(&mut self) -> bool {
        self.is_running() && self.started.elapsed() > STARTUP_TIME
    }

    fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        matches!(child.try_wait(), Ok(None))
    }

    /// Sends a signal to the process, if it still runs.
    pub(crate) fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if !self.is_running() {
            return Ok(());
        }
        let id = self.child.as_ref().map(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(pid) = pid {
            kill_process(pid, signal)?;
        }
        if signal == Signal::TERM {
            self.stop_requested.get_or_insert_with(Instant::now);
        }
        Ok(())
    }

    /// Returns whether the process runs and was asked to stop less than `timeout` ago.
    pub(crate) fn is_stopping(&mut self, timeout: Duration) -> bool {
        let is_recent = |at: Instant| at.elapsed() < timeout;
        self.is_running() && self.stop_requested.is_some_and(is_recent)
    }

    /// Kills the process and waits for its exit.
    pub(crate) fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Waits for the process to exit by itself; returns `None` on a timeout.
    pub(crate) async fn wait_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            let child = self.child.as_mut()?;
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return Some(status);
            }
            if Instant::now() > deadline {
                return None;
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Killing fails only for a process that has already exited.
        let _ = self.kill();
    }
}
