//! The instance under test and what it uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_standin::{HOST, InstanceSettings, PREFIX, StandinStore, publish_queues};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Memory limit of the instance, in megabytes.
const MEMORY_MB: u64 = 48;
/// Maximum resident memory, in kilobytes: 100 of 120 MB, the target for the smallest instances.
const MAX_RESIDENT_KB: u64 = MEMORY_MB * 1_000 * 100 / 120;
/// Limit of open descriptors of the instance.
const FILE_DESCRIPTORS: u64 = 400;
/// Time after which a request that gets no response fails the test.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of one attempt of an ordinary request, and the delay before the next.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A job of one task.
const JOB: &str = r#"{"specification":"100:100","steps":[{"count":1,"cpu":100}]}"#;

/// An instance with its log, and the highest values that were seen of it.
pub(crate) struct Instance {
    child: Child,
    pub(crate) callers: SocketAddr,
    most_descriptors: u64,
    calls: u64,
    _store: Arc<StandinStore>,
    _server: JoinHandle<()>,
    _dir: TempDir,
}

impl Instance {
    /// Starts an instance and waits until it accepts jobs.
    pub(crate) async fn start() -> Self {
        let store = StandinStore::new();
        publish_queues(&store, 1, &[]);
        let (store_address, server) = store.start(0).await.unwrap();
        // No other process listens on the loopback address that belongs to the process id.
        let [_, a, b, c] = std::process::id().to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, a | 0x80, b, c));
        let settings = InstanceSettings {
            name: "entry-1".to_owned(),
            domain: "a".to_owned(),
            callers: SocketAddr::new(ip, 7_011),
            ready: SocketAddr::new(ip, 7_012),
            first_port: 7_013,
            store: store_address,
            adviser: SocketAddr::new(ip, 7_016),
            max_lease_ms: 6_000,
            config_bound_ms: 2_000,
            link_kbps: None,
            revoke_ms: None,
        };
        let dir = TempDir::new().unwrap();
        let path = dir.path().join("settings.toml");
        let limits =
            format!("[limits]\nmemoryMb = {MEMORY_MB}\nfileDescriptors = {FILE_DESCRIPTORS}\n");
        std::fs::write(&path, settings.render().replace("[limits]\n", &limits)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_kingcupwinchd"))
            .arg("node")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let mut instance = Instance {
            child,
            callers: settings.callers,
            most_descriptors: 0,
            calls: 0,
            _store: store,
            _server: server,
            _dir: dir,
        };
        assert!(instance.serves().await, "the instance does not start");
        instance
    }

    /// Submits a job on a new connection, as a caller that retries refused requests; returns whether
    /// it was accepted.
    pub(crate) async fn serves(&mut self) -> bool {
        let deadline = Instant::now() + CALL_TIMEOUT;
        while Instant::now() < deadline {
            self.calls += 1;
            let attempt = submit(self.callers, self.calls);
            if matches!(timeout(ATTEMPT_TIMEOUT, attempt).await, Ok(Ok(true))) {
                return true;
            }
            self.observe();
            sleep(RETRY_DELAY).await;
        }
        false
    }

    /// Counts the open descriptors.
    pub(crate) fn observe(&mut self) {
        let path = format!("/proc/{}/fd", self.child.id());
        let open = std::fs::read_dir(path).map_or(0, Iterator::count) as u64;
        self.most_descriptors = self.most_descriptors.max(open);
    }

    /// Checks that the process is alive and stayed within its limits.
    pub(crate) fn check_limits(&mut self) {
        self.observe();
        assert_eq!(self.child.try_wait().unwrap(), None, "the process ended");
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak: u64 = peak.unwrap().trim_end_matches("kB").trim().parse().unwrap();
        let most = self.most_descriptors;
        println!("peak resident {peak} kB, {most} descriptors");
        assert!(
            peak < MAX_RESIDENT_KB && most < FILE_DESCRIPTORS,
            "peak resident {peak} kB (allowed {MAX_RESIDENT_KB}), \
             {most} descriptors (allowed {FILE_DESCRIPTORS})"
        );
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Submits a job on a new connection; returns whether it was accepted.
async fn submit(address: SocketAddr, number: u64) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    let length = JOB.len();
    let request = format!(
        "POST {PREFIX}{number:016x} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{JOB}"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    Ok(response.starts_with(b"HTTP/1.1 200 "))
}
