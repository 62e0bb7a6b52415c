//! The instance under test and what it uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use kingcupwinch_standin::{HOST, InstanceSettings, PREFIX, StandinStore, frame, keyed_record};
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::usage::{Watch, descriptors};

/// Limits of an instance and the size of the crowd that it is to withstand.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scale {
    /// Memory limit of the instance, in megabytes.
    pub(crate) memory_mb: u64,
    /// Limit of open descriptors of the instance.
    pub(crate) descriptors: u64,
    /// Size of the body that a client announces: the largest that the configuration allows.
    pub(crate) body_bytes: usize,
    /// Size of a body's pieces and large chunks, in bytes: a divisor of a body that is one byte short.
    pub(crate) piece_bytes: usize,
    /// Number of chunks of one byte. Each is a frame, so that few of them already take much memory.
    pub(crate) small_chunks: usize,
    /// Number of pipelined requests of one client.
    pub(crate) requests: usize,
    /// Time after which a client that can't send any more stops sending.
    pub(crate) send_timeout: Duration,
}

impl Scale {
    /// Returns the memory that an instance may use, in kilobytes: 100 of 120 MB, the target for the
    /// smallest instances.
    fn allowed_kb(&self) -> u64 {
        self.memory_mb * 1_000 * 100 / 120
    }
}

/// Lowered limits, which a crowd reaches within a second.
pub(crate) const LOWERED: Scale = Scale {
    memory_mb: 48,
    descriptors: 400,
    body_bytes: 100_000,
    piece_bytes: 11_111,
    small_chunks: 2_000,
    requests: 100,
    send_timeout: Duration::from_secs(2),
};

/// Limits that a large number of small requests reaches within seconds.
pub(crate) const MINIMAL: Scale = Scale {
    memory_mb: 30,
    ..LOWERED
};

/// Limits of the smallest instance of the deployments.
pub(crate) const SMALLEST: Scale = Scale {
    memory_mb: 120,
    descriptors: 3_075,
    body_bytes: 262_144,
    piece_bytes: 13_797,
    small_chunks: 262_143,
    requests: 100_000,
    send_timeout: Duration::from_secs(20),
};

/// Time after which a request that gets no response fails the test.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of one attempt of an ordinary request, and the delay before the next.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A job of one task.
const JOB: &str = r#"{"specification":"100:100","steps":[{"count":1,"cpu":100}]}"#;

/// The log of a deployment.
struct Log {
    _store: Arc<StandinStore>,
    address: SocketAddr,
    _server: JoinHandle<()>,
}

/// An instance with its log, and the highest values that were seen of it.
pub(crate) struct Instance {
    child: Child,
    pub(crate) callers: SocketAddr,
    scale: Scale,
    most_descriptors: u64,
    calls: u64,
    log: Arc<Log>,
    _dir: TempDir,
}

impl Instance {
    /// Starts an instance and waits until it accepts jobs.
    pub(crate) async fn start(scale: Scale) -> Self {
        let store = StandinStore::new();
        publish(&store, scale.body_bytes);
        let (address, server) = store.start(0).await.unwrap();
        let log = Arc::new(Log {
            _store: store,
            address,
            _server: server,
        });
        let mut instance = Instance::spawn(scale, log, "entry-1");
        assert!(instance.serves().await, "the instance does not start");
        // Until its exec has completed, a child still has the descriptors of this process, among them
        // the crowd of the test before; only those that it has once it serves are its own.
        instance.most_descriptors = 0;
        instance.observe();
        instance
    }

    /// Kills the instance; returns another one with the same log and at the same addresses, which may not
    /// serve yet.
    pub(crate) fn succeed(self) -> Self {
        let (scale, log) = (self.scale, Arc::clone(&self.log));
        drop(self);
        Instance::spawn(scale, log, "entry-2")
    }

    fn spawn(scale: Scale, log: Arc<Log>, name: &str) -> Self {
        // No other process listens on the loopback address that belongs to the process id.
        let [_, a, b, c] = std::process::id().to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, a | 0x80, b, c));
        let settings = InstanceSettings {
            name: name.to_owned(),
            domain: "a".to_owned(),
            callers: SocketAddr::new(ip, 7_011),
            ready: SocketAddr::new(ip, 7_012),
            first_port: 7_013,
            store: log.address,
            adviser: SocketAddr::new(ip, 7_016),
            max_lease_ms: 6_000,
            config_bound_ms: 2_000,
            link_kbps: None,
            revoke_ms: None,
        };
        let dir = TempDir::new().unwrap();
        let path = dir.path().join("settings.toml");
        let limits = format!(
            "[limits]\nmemoryMb = {}\nfileDescriptors = {}\n",
            scale.memory_mb, scale.descriptors
        );
        std::fs::write(&path, settings.render().replace("[limits]\n", &limits)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_kingcupwinchd"))
            .arg("node")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Instance {
            child,
            callers: settings.callers,
            scale,
            most_descriptors: 0,
            calls: 0,
            log,
            _dir: dir,
        }
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

    /// Sends SIGTERM and waits until the process has ended, by itself and without an error.
    pub(crate) async fn stop(mut self, limit: Duration) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), Signal::TERM).unwrap();
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                assert_eq!(
                    status.code(),
                    Some(0),
                    "the process did not stop gracefully"
                );
                return;
            }
            assert!(Instant::now() < deadline, "the process does not stop");
            sleep(RETRY_DELAY).await;
        }
    }

    /// Observes the process and the connections of its callers from now on.
    pub(crate) fn watch(&self) -> Watch {
        Watch::start(self.child.id(), self.callers)
    }

    /// Checks that the process is alive, and that what was observed of it stayed within its limits: its
    /// memory, to which unread bytes count, and its descriptors.
    pub(crate) fn check_watch(&mut self, watch: &Watch) {
        assert_eq!(self.child.try_wait().unwrap(), None, "the process ended");
        let (memory, open) = (watch.peaks.memory_kb(), watch.peaks.descriptors());
        let allowed = self.scale.allowed_kb();
        let descriptors = self.scale.descriptors;
        println!("peak memory {memory} kB, {open} descriptors");
        assert!(
            memory < allowed && open < descriptors,
            "peak memory {memory} kB (allowed {allowed}), \
             {open} descriptors (allowed {descriptors})"
        );
    }

    /// Counts the open descriptors.
    pub(crate) fn observe(&mut self) -> u64 {
        let open = descriptors(self.child.id());
        self.most_descriptors = self.most_descriptors.max(open);
        open
    }

    /// Checks that the process is alive and stayed within its limits.
    pub(crate) fn check_limits(&mut self) {
        self.observe();
        assert_eq!(self.child.try_wait().unwrap(), None, "the process ended");
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak: u64 = peak.unwrap().trim_end_matches("kB").trim().parse().unwrap();
        let most = self.most_descriptors;
        let allowed = self.scale.allowed_kb();
        let descriptors = self.scale.descriptors;
        println!("peak resident {peak} kB, {most} descriptors");
        assert!(
            peak < allowed && most < descriptors,
            "peak resident {peak} kB (allowed {allowed}), \
             {most} descriptors (allowed {descriptors})"
        );
    }
}

/// A caller's connection that stays open between its requests.
pub(crate) struct KeptConnection(TcpStream);

/// The number of a response's status.
pub(crate) type Status = u16;

impl KeptConnection {
    /// Connects to an instance and is served once.
    pub(crate) async fn open(address: SocketAddr) -> Self {
        let mut connection = KeptConnection::connect(address).await.unwrap();
        connection.call().await;
        connection
    }

    /// Connects to an instance.
    pub(crate) async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        Ok(KeptConnection(TcpStream::connect(address).await?))
    }

    /// Asks for a job that does not exist; fails unless a response arrives on this connection.
    pub(crate) async fn call(&mut self) {
        self.send("GET", "00000000000000bb", "").await.unwrap();
    }

    /// Sends a request for a job, and returns the status of its response.
    pub(crate) async fn send(
        &mut self,
        method: &str,
        job: &str,
        body: &str,
    ) -> std::io::Result<Status> {
        let length = body.len();
        let request = format!(
            "{method} {PREFIX}{job} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        self.0.write_all(request.as_bytes()).await?;
        let mut response = Vec::new();
        loop {
            if self.0.read_buf(&mut response).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            if let Some(status) = whole_response(&response) {
                return Ok(status);
            }
        }
    }
}

/// Returns the status of a response, once it has arrived as a whole.
fn whole_response(response: &[u8]) -> Option<Status> {
    let text = std::str::from_utf8(response).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))?;
    if body.len() < length.parse().ok()? {
        return None;
    }
    head.split(' ').nth(1)?.parse().ok()
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Publishes a configuration with a queue and the largest body that it allows.
fn publish(store: &StandinStore, body_bytes: usize) {
    let config = serde_json::json!({
        "version": 1,
        "routes": [{"name": "queue", "host": HOST, "pathPrefix": PREFIX, "service": "s"}],
        "limits": {"maxBodyBytes": body_bytes},
    });
    let record = frame(&keyed_record("config", config.to_string().as_bytes()));
    let appended = store.with_log(|log| log.append("keyed.op", 0, record, None, None));
    assert!(appended.is_ok());
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
