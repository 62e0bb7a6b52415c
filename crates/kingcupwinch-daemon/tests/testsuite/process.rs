//! The daemon as a separate process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use kingcupwinch_cli::{Console, Exit, run};
use kingcupwinch_fakes::live_response;
use rustix::process::{Pid, Signal, kill_process};

use crate::caller::{Caller, wait_until};
use crate::cluster::{Cluster, DOMAIN};

/// A daemon process that is killed when dropped.
pub(crate) struct Process {
    child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
}

impl Process {
    pub(crate) fn start(cluster: &Cluster, name: &str) -> Self {
        Process::start_with(cluster, name, &[])
    }

    /// Starts a daemon with settings from environment variables.
    pub(crate) fn start_with(cluster: &Cluster, name: &str, settings: &[(&str, &str)]) -> Self {
        let log = cluster.log_server.address().to_string();
        let list = cluster.list_server.address().to_string();
        let any = "127.0.0.1:0";
        let mut child = Command::new(env!("CARGO_BIN_EXE_kingcupwinchd"))
            .args([
                "--name", name, "--domain", DOMAIN, "--log", &log, "--list", &list,
            ])
            .args([
                "--callers",
                any,
                "--forward",
                any,
                "--link",
                any,
                "--operators",
                any,
            ])
            .args(["--log-format", "off"])
            .env("KINGCUPWINCHD_STOP__BALANCER_MS", "50")
            .envs(settings.iter().copied())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let address = |name: &str| {
            let mut parts = line.split_whitespace();
            let address = parts.find_map(|part| part.strip_prefix(name));
            address.unwrap().parse().unwrap()
        };
        Process {
            callers: address("callers="),
            operators: address("operators="),

            child,
        }
    }

    /// Returns the highest resident memory so far, in kilobytes.
    pub(crate) fn peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        peak.unwrap().trim_end_matches("kB").trim().parse().unwrap()
    }

    /// Returns whether the process has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Sends the process a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), signal).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a process is ready, and returns a caller for it.
pub(crate) async fn wait_until_ready(process: &Process) -> Caller {
    let caller = Caller::new(process.callers);
    wait_until("the daemon is ready", || async {
        caller.get("/readyz").await.status == 200
    })
    .await;
    caller
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_separate_process_serves_and_stops_with_exit_code_zero() {
    let cluster = Cluster::start(2).await;
    let mut process = Process::start(&cluster, "entry-1");
    let caller = wait_until_ready(&process).await;
    let reply = caller
        .run("booking", &[("x-request-id", "p1")], "stage")
        .await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.body, live_response("p1", b"stage", 0));
    process.signal(Signal::TERM);
    let status = tokio::task::spawn_blocking(move || process.child.wait().unwrap());
    assert_eq!(status.await.unwrap().code(), Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operators_drain_stops_the_process_with_exit_code_zero() {
    let cluster = Cluster::start(2).await;
    let mut process = Process::start(&cluster, "entry-1");
    wait_until_ready(&process).await;
    let address = process.operators.to_string();
    let words = ["kingcupwinch", "drain", "instance", "--instance", &address];
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(words, &mut Console::new(&mut out, &mut err)).await;
    assert_eq!(exit, Exit::Success, "{}", String::from_utf8_lossy(&err));
    let status = tokio::task::spawn_blocking(move || process.child.wait().unwrap());
    assert_eq!(status.await.unwrap().code(), Some(0));
}
