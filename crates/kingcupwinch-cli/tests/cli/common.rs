//! Runs whole commands against fakes and records them as a session.

use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use kingcupwinch_cli::{Console, Exit, run};
use kingcupwinch_wire::api::{
    LogStatus, QueueStatus, ShardStatus, Status, WorkerState, WorkerStatus,
};
use tempfile::TempDir;
use tokio::net::TcpListener;

/// Returns the path of an example folder.
pub(crate) fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    path.join(name).display().to_string()
}

/// Copies an example folder that a test modifies.
pub(crate) fn copy_example(name: &str) -> TempDir {
    let dir = TempDir::new().expect("a temporary folder is created");
    for entry in fs::read_dir(example(name)).expect("the example folder is readable") {
        let path = entry.expect("the entry is readable").path();
        let target = dir
            .path()
            .join(path.file_name().expect("the entry has a name"));
        fs::copy(&path, target).expect("the file is copied");
    }
    dir
}

/// Exit and output of a command.
pub(crate) struct CommandOutput {
    pub(crate) exit: Exit,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs a command line whose arguments are separated by spaces.
pub(crate) async fn run_command(line: &str) -> CommandOutput {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = {
        let mut console = Console::new(&mut out, &mut err);
        run(line.split_whitespace().map(str::to_owned), &mut console).await
    };
    CommandOutput {
        exit,
        out: String::from_utf8(out).expect("the output is UTF-8"),
        err: String::from_utf8(err).expect("the error output is UTF-8"),
    }
}

/// Commands and their output, with placeholders for texts that differ between runs.
#[derive(Default)]
pub(crate) struct Session {
    text: String,
    names: Vec<(String, String)>,
}

impl Session {
    pub(crate) fn new() -> Self {
        Session::default()
    }

    /// Replaces a text that differs between runs, such as an address, by a placeholder.
    pub(crate) fn name(mut self, text: impl ToString, name: &str) -> Self {
        self.names.push((text.to_string(), name.to_owned()));
        self
    }

    /// Runs a command and records it.
    pub(crate) async fn run(&mut self, line: &str) -> Exit {
        let ran = run_command(&format!("kingcupwinch {line}")).await;
        let _ = write!(self.text, "$ kingcupwinch {line}\n{}", ran.out);
        for line in ran.err.lines() {
            let _ = writeln!(self.text, "! {line}");
        }
        let _ = writeln!(self.text, "exit {}\n", ran.exit.code());
        ran.exit
    }

    /// Returns the text of the session.
    pub(crate) fn text(&self) -> String {
        let mut text = self.text.clone();
        for (found, name) in &self.names {
            text = text.replace(found, name);
        }
        text
    }
}

/// Compares a session with its snapshot, masking record ids and times.
macro_rules! assert_session {
    ($name:literal, $session:expr) => {
        insta::with_settings!({filters => vec![
            (r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}", "<record>"),
            (r"[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z", "<time>"),
        ]}, {
            insta::assert_snapshot!($name, $session.text());
        });
    };
}

pub(crate) use assert_session;

/// State of a fake instance.
#[derive(Default)]
struct FakeState {
    version: u64,
    metrics: String,
    posts: Vec<String>,
}

/// A fake of the operators' port of an instance.
pub(crate) struct FakeInstance {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<FakeState>>,
}

impl FakeInstance {
    /// Starts a fake instance that has `version` in force.
    pub(crate) async fn start(name: &'static str, version: u64) -> Self {
        let state = Arc::new(Mutex::new(FakeState {
            version,
            ..FakeState::default()
        }));
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        tokio::spawn(serve(listener, name, Arc::clone(&state)));
        FakeInstance { address, state }
    }

    pub(crate) fn set_version(&self, version: u64) {
        self.state.lock().expect("the lock is not poisoned").version = version;
    }

    pub(crate) fn set_metrics(&self, metrics: &str) {
        self.state.lock().expect("the lock is not poisoned").metrics = metrics.to_owned();
    }

    /// Returns the paths of the POST requests.
    pub(crate) fn posts(&self) -> Vec<String> {
        self.state
            .lock()
            .expect("the lock is not poisoned")
            .posts
            .clone()
    }
}

async fn serve(listener: TcpListener, name: &'static str, state: Arc<Mutex<FakeState>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        let service = service_fn(move |request: Request<Incoming>| {
            let response = respond(
                name,
                &request,
                &mut state.lock().expect("the lock is not poisoned"),
            );
            async move { Ok::<_, hyper::Error>(response) }
        });
        let connection = hyper::server::conn::http1::Builder::new();
        tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
    }
}

fn respond(
    name: &str,
    request: &Request<Incoming>,
    state: &mut FakeState,
) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    let body = match path {
        "/v1/status" => serde_json::to_string(&status(name, state.version)).ok(),
        "/metrics" => Some(state.metrics.clone()),
        "/v1/drain" | "/v1/workers/harju-a-w01/drain" => {
            state.posts.push(path.to_owned());
            Some(String::new())
        }
        _ => None,
    };
    let status = if body.is_some() {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    };
    let mut response = Response::new(Full::from(body.unwrap_or_default()));
    *response.status_mut() = status;
    response
}

fn status(name: &str, version: u64) -> Status {
    let shard = |shard: u16| ShardStatus {
        shard,
        term: 3,
        owner: Some(Arc::from(name)),
        dispatching: shard == 0,
    };
    let worker = |name: &str, state, busy| WorkerStatus {
        name: Arc::from(name),
        rack: Arc::from("harju-a-r1"),
        shard: 0,
        state,
        slots: 8,
        busy,
    };
    Status {
        instance: Arc::from(name),
        incarnation: Arc::from("7"),
        domain: Arc::from("harju-a"),
        phase: Arc::from("serving"),
        version,
        log: LogStatus {
            next: 40,
            tail: 42,
            fresh: true,
        },
        members: Vec::new(),
        shards: vec![shard(0), shard(1)],
        workers: vec![
            worker("harju-a-w01", WorkerState::Live, 5),
            worker("harju-a-w02", WorkerState::Quarantined, 0),
        ],
        queues: vec![QueueStatus {
            class: Arc::from("availability-check"),
            waiting: 3,
            running: 5,
        }],
    }
}

/// Returns a path as text.
pub(crate) fn text(path: impl Into<PathBuf>) -> String {
    path.into().display().to_string()
}
