//! An instance on the users' platform as a separate process.

use std::io::{PipeReader, Write, pipe};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};

use kingcupwinch_standin::InstanceSettings;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use crate::caller::wait_until;

/// An instance whose log nobody reads, beside a store that refuses connections.
struct UnreadInstance {
    child: Child,
    readiness: SocketAddr,
    _log: PipeReader,
    _dir: TempDir,
}

impl UnreadInstance {
    fn start() -> Self {
        // No other process listens on the loopback address that belongs to the process id.
        let [_, a, b, c] = std::process::id().to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, a | 0x80, b, c));
        let settings = InstanceSettings {
            name: "entry-1".to_owned(),
            domain: "a".to_owned(),
            callers: SocketAddr::new(ip, 7_001),
            ready: SocketAddr::new(ip, 7_002),
            first_port: 7_003,
            store: SocketAddr::new(ip, 7_005),
            adviser: SocketAddr::new(ip, 7_006),
            max_lease_ms: 6_000,
            config_bound_ms: 2_000,
            revoke_ms: None,
            link_kbps: None,
        };
        let dir = TempDir::new().unwrap();
        let path = dir.path().join("settings.toml");
        std::fs::write(&path, settings.render()).unwrap();
        let (log, mut output) = pipe().unwrap();
        let stdout = output.try_clone().unwrap();
        // Fills the pipe and then waits for a reader until the pipe is closed.
        std::thread::spawn(move || output.write_all(&[b'\n'; 4 << 20]));
        let child = Command::new(env!("CARGO_BIN_EXE_kingcupwinchd"))
            .arg("node")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(stdout)
            .spawn()
            .unwrap();
        UnreadInstance {
            child,
            readiness: settings.ready,
            _log: log,
            _dir: dir,
        }
    }
}

impl Drop for UnreadInstance {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An instance was still there at the end of its grace period: it waited for its log to be written, and
/// nobody read it.
#[tokio::test]
async fn an_instance_whose_log_nobody_reads_stops_within_its_grace_period() {
    let mut instance = UnreadInstance::start();
    let readiness = instance.readiness;
    wait_until("the instance listens", || async {
        TcpStream::connect(readiness).is_ok()
    })
    .await;
    let pid = Pid::from_raw(instance.child.id().cast_signed()).unwrap();
    kill_process(pid, Signal::TERM).unwrap();
    let child = &mut instance.child;
    let mut has_ended = || matches!(child.try_wait(), Ok(Some(_)));
    wait_until("the instance ends", || std::future::ready(has_ended())).await;
}
