//! Stand-ins for the review's scripts, with the standard library only: the platform's store, its
//! adviser, its workers, and clients. They keep to the users' pages, and each run of a case writes what
//! was sent, answered and run to a record.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The bounds of a small deployment, from the example of the settings on the users' pages.
const MAX_HOLD_MS: u64 = 6_000;
const GANG_TIMEOUT_MS: u64 = 3_000;
const HEARTBEAT_MS: u64 = 1_500;
const ENTRY_EXPIRY_MS: u64 = 4_500;
const FINISH_S: u64 = 14;
const APPEND_MS: u64 = 4;
const RECORD_BYTES: usize = 262_144;
const REQUEST_BYTES: usize = 2_097_152;
const VALIDITY_MS: u64 = 2_500;
const HOST: &str = "plans.example";
/// The script ends by then in any case.
const MAX_RUN_MS: u64 = 116_000;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run.
struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn write(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:9.3} s  {line}");
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone)]
enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Json {
    fn parse(bytes: &[u8]) -> Option<Json> {
        Parser { bytes, at: 0 }.value()
    }

    fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(rows) => rows
                .iter()
                .find(|(name, _)| name == key)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    fn text(&self, key: &str) -> &str {
        match self.get(key) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    fn number(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                let mut rows = Vec::new();
                self.at += 1;
                while self.peek()? != b'}' {
                    let key = self.string()?;
                    self.peek()?;
                    self.at += 1;
                    rows.push((key, self.value()?));
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Object(rows))
            }
            b'[' => {
                let mut items = Vec::new();
                self.at += 1;
                while self.peek()? != b']' {
                    items.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(items))
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word(4, Json::Bool),
            b'f' => self.word(5, Json::Bool),
            b'n' => self.word(4, Json::Null),
            _ => {
                let from = self.at;
                let is_digit = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                while self.bytes.get(self.at).is_some_and(is_digit) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(&mut self, length: usize, value: Json) -> Option<Json> {
        self.at += length;
        Some(value)
    }

    fn string(&mut self) -> Option<String> {
        self.peek()?;
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let symbol = char::from_u32(code.ok()?)?;
                            out.extend_from_slice(symbol.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = word >> (18 - 6 * digit) & 63;
                out.push(char::from(DIGITS[index as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

struct Request {
    path: String,
    query: HashMap<String, String>,
    expected: Option<String>,
    body: Vec<u8>,
}

struct Response {
    status: u16,
    body: Vec<u8>,
}

fn reply(status: u16, body: impl Into<Vec<u8>>) -> Option<Response> {
    Some(Response {
        status,
        body: body.into(),
    })
}

fn unescape(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one message: the first line, the headers in lower case, and the body.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<(String, HashMap<String, String>, Vec<u8>)>> {
    let mut chunk = [0; 65_536];
    let head = loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    };
    let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let body_from = head + 4;
    while buffer.len() < body_from + length {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
    let body = buffer[body_from..body_from + length].to_vec();
    buffer.drain(..body_from + length);
    Ok(Some((first, headers, body)))
}

/// A server process that can end: it closes its listener and its connections.
struct Server {
    stop: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    fn start(
        listener: TcpListener,
        handler: impl Fn(Request) -> Option<Response> + Send + Sync + 'static,
    ) -> io::Result<Server> {
        listener.set_nonblocking(true)?;
        let (stop, streams) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Vec::new())),
        );
        let (is_stopped, open, handler) =
            (Arc::clone(&stop), Arc::clone(&streams), Arc::new(handler));
        thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ms(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    lock(&open).push(clone);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || connection(stream, &*handler));
            }
        });
        Ok(Server { stop, streams })
    }

    fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
        for stream in lock(&self.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn connection(mut stream: TcpStream, handler: &dyn Fn(Request) -> Option<Response>) {
    let mut buffer = Vec::new();
    while let Ok(Some((first, headers, body))) = read_message(&mut stream, &mut buffer) {
        let mut words = first.split(' ');
        let _method = words.next();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            path: path.to_owned(),
            query: pairs
                .map(|(name, value)| (name.to_owned(), unescape(value)))
                .collect(),
            expected: headers.get("x-expected-instance").cloned(),
            body,
        };
        let Some(response) = handler(request) else {
            break;
        };
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(&response.body);
        if stream.write_all(&message).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Sends one request on a connection of its own; `None` without a whole response in time.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    patience: u64,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, ms(patience.min(1_000))).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(ms(patience))).ok()?;
    let message = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n\
         X-Deadline-Remaining-Ms: {patience}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(message.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut stream, &mut Vec::new()).ok()??;
    Some((first.split(' ').nth(1)?.parse().ok()?, body))
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    epoch: u64,
    sequence: u64,
    /// The last five appends of the epoch: sequence number and the first response.
    last: VecDeque<(u64, String)>,
}

/// The platform's store. It loses nothing, and processes the appends of a partition one at a time.
#[derive(Default)]
struct Store {
    parts: Mutex<HashMap<String, Partition>>,
    changed: Condvar,
    queues: Mutex<HashMap<String, Arc<Mutex<()>>>>,
}

fn keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    record
}

impl Partition {
    fn push(&mut self, is_keyed: bool, record: Vec<u8>) {
        let offset = self.records.len() as u64;
        if is_keyed && !record.is_empty() {
            let length = usize::from(record[0]);
            let (key, value) = record[1..].split_at(length.min(record.len() - 1));
            if value.is_empty() {
                self.newest.remove(key);
            } else {
                self.newest.insert(key.to_vec(), (offset, value.to_vec()));
            }
        }
        self.records.push(record);
    }
}

impl Store {
    /// Writes a record of the operator or of a worker.
    fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut parts = lock(&self.parts);
        parts
            .entry(format!("{topic}/0"))
            .or_default()
            .push(true, keyed(key, value));
        self.changed.notify_all();
    }

    fn append(&self, request: &Request) -> Option<Response> {
        let query = |name: &str| request.query.get(name);
        let number = |name: &str| query(name).and_then(|text| text.parse::<u64>().ok());
        let topic = query("topic")?.clone();
        let name = format!("{topic}/{}", query("part")?);
        let queue = Arc::clone(lock(&self.queues).entry(name.clone()).or_default());
        let _turn = lock(&queue);
        thread::sleep(ms(APPEND_MS));
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + length {
                return reply(400, "");
            }
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        if records.iter().any(|record| record.len() > RECORD_BYTES)
            || request.body.len() > REQUEST_BYTES
        {
            return reply(400, "");
        }
        let mut parts = lock(&self.parts);
        let part = parts.entry(name).or_default();
        if number("at").is_some_and(|at| at != part.records.len() as u64) {
            return reply(412, format!("{{\"end\":{}}}", part.records.len()));
        }
        if let (Some(epoch), Some(sequence)) = (number("epoch"), number("sequence")) {
            if epoch < part.epoch {
                return reply(
                    409,
                    format!("{{\"reason\":\"fenced\",\"epoch\":{}}}", part.epoch),
                );
            }
            if epoch > part.epoch {
                part.epoch = epoch;
                part.last.clear();
            } else if let Some((_, first)) = part.last.iter().find(|(known, _)| *known == sequence)
            {
                return reply(200, first.clone());
            } else if sequence != part.sequence + 1 {
                let expected = part.sequence + 1;
                return reply(
                    409,
                    format!("{{\"reason\":\"seq\",\"sequence\":{expected}}}"),
                );
            }
            part.sequence = sequence;
        }
        let offset = part.records.len();
        for record in records {
            part.push(topic.starts_with("keyed."), record);
        }
        let answer = format!("{{\"offset\":{offset},\"end\":{}}}", part.records.len());
        if let Some(sequence) = number("sequence") {
            part.last.push_back((sequence, answer.clone()));
            if part.last.len() > 5 {
                part.last.pop_front();
            }
        }
        self.changed.notify_all();
        reply(200, answer)
    }

    fn read(&self, request: &Request) -> Option<Response> {
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let name = format!(
            "{}/{}",
            request.query.get("topic")?,
            request.query.get("part")?
        );
        let from = number("from").unwrap_or(0) as usize;
        let limit = number("maxKilobytes").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + ms(number("waitMs").unwrap_or(0).min(30_000));
        let mut parts = lock(&self.parts);
        loop {
            let now = Instant::now();
            let part = parts.entry(name.clone()).or_default();
            if part.records.len() > from || now >= until {
                let mut body = (part.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in part.records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > limit {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return reply(200, body);
            }
            let waited = self.changed.wait_timeout(parts, until - now);
            parts = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }

    fn newest(&self, request: &Request) -> Option<Response> {
        let name = format!(
            "{}/{}",
            request.query.get("topic")?,
            request.query.get("part")?
        );
        let after = request
            .query
            .get("after")
            .map(|key| key.as_bytes().to_vec());
        let mut parts = lock(&self.parts);
        let part = parts.entry(name).or_default();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &part.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() == 500 || bytes > 1_000_000 {
                more = true;
                break;
            }
            bytes += value.len();
            let key = String::from_utf8_lossy(key);
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let end = part.records.len();
        reply(
            200,
            format!(
                "{{\"items\":[{}],\"more\":{more},\"end\":{end}}}",
                items.join(",")
            ),
        )
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        match request.path.as_str() {
            "/v1/log-append" => self.append(request),
            "/v1/log-read" => self.read(request),
            "/v1/log-newest" => self.newest(request),
            _ => reply(404, ""),
        }
    }
}

// ---------------------------------------------------------------- workers

/// The runs of gangs, which notice each other's starts and ends.
#[derive(Default)]
struct Gangs {
    /// Present members by step and run, and whether all were there at some time.
    present: HashMap<(String, u32), (HashSet<String>, bool)>,
    /// Gangs of which a member ended.
    broken: HashSet<(String, u32)>,
    /// Gangs that have done their work.
    done: HashSet<(String, u32)>,
}

/// The work of a task that lasts.
const LASTS: u64 = u64::MAX;
/// How long after its start a task that lasts is at work, and the tail of its response times.
const STARTUP_MS: u64 = 100;
const TAIL_MS: u64 = 10;

/// What a task does: a specification is `MEMBERS:MS`, with 0 members for a step that is no gang, and
/// `MEMBERS:-` for tasks that last.
fn parse_load(specification: &str) -> (usize, u64) {
    let (members, work) = specification.split_once(':').unwrap_or(("0", "1000"));
    let work = if work == "-" {
        LASTS
    } else {
        work.parse().unwrap_or(1_000)
    };
    (members.parse().unwrap_or(0), work)
}

fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or(String::new(), |(step, _)| step.to_owned())
}

struct Run {
    task: String,
    run: u32,
    members: usize,
    work_ms: u64,
    done_ms: u64,
    since: u64,
}

#[derive(Default)]
struct WorkerState {
    token: u64,
    lease_until: u64,
    at: u64,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u32, &'static str)>,
    ends: u64,
    last: HashMap<String, u32>,
    is_down: bool,
}

/// One life of a worker.
struct Worker {
    id: String,
    born: u64,
    start: Instant,
    shared: Arc<Platform>,
    state: Mutex<WorkerState>,
}

/// What all stand-ins share.
struct Platform {
    store: Store,
    record: Record,
    gangs: Mutex<Gangs>,
    /// Valid tickets: step, worker and end of validity.
    tickets: Mutex<HashMap<String, (String, String, Instant)>>,
    ticket_count: AtomicU64,
    needs_tickets: AtomicBool,
    /// What runs now: task and run, with the worker.
    running: Mutex<HashMap<(String, u32), String>>,
    /// When a task last began or ended, in milliseconds of the record.
    last_change: Mutex<HashMap<String, u64>>,
    ends: Mutex<HashMap<&'static str, u64>>,
    is_over: AtomicBool,
    /// The processes that were started and have not ended, by name.
    processes: Mutex<HashMap<String, Child>>,
    refused_appends: AtomicU64,
}

impl Platform {
    fn kill(&self, name: &str) {
        if let Some(mut child) = lock(&self.processes).remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn kill_all(&self) {
        let names: Vec<String> = lock(&self.processes).keys().cloned().collect();
        for name in names {
            self.kill(&name);
            self.record
                .write(&format!("INSTANCE {name} ended by the script"));
        }
    }
}

impl Worker {
    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Advances the state to the present and returns it.
    fn state(&self) -> MutexGuard<'_, WorkerState> {
        let mut state = lock(&self.state);
        let now = self.clock();
        let passed = now.saturating_sub(state.at);
        state.at = now;
        if now >= state.lease_until && !state.runs.is_empty() {
            self.end_runs(&mut state, |_| Some("lapsed"));
        }
        let gangs = lock(&self.shared.gangs);
        let mut ends: HashMap<(String, u32), &'static str> = HashMap::new();
        for run in &mut state.runs {
            let key = (step_of(&run.task), run.run);
            let name = (run.task.clone(), run.run);
            if run.members == 0 {
                run.done_ms += passed;
            } else if gangs.done.contains(&key) {
                ends.insert(name, "broken");
                continue;
            } else if gangs.broken.contains(&key) {
                ends.insert(name, "broken");
                continue;
            } else if gangs
                .present
                .get(&key)
                .is_some_and(|(present, _)| present.len() == run.members)
            {
                run.done_ms += passed;
            } else if now.saturating_sub(run.since) > GANG_TIMEOUT_MS {
                ends.insert(name, "alone");
                continue;
            }
            if run.done_ms >= run.work_ms {
                ends.insert(name, "done");
            }
        }
        drop(gangs);
        if !ends.is_empty() {
            self.end_runs(&mut state, |run| {
                ends.get(&(run.task.clone(), run.run)).copied()
            });
        }
        state
    }

    fn end_runs(&self, state: &mut WorkerState, how: impl Fn(&Run) -> Option<&'static str>) {
        let (mut kept, shared) = (Vec::new(), &self.shared);
        for run in std::mem::take(&mut state.runs) {
            let Some(mut how) = how(&run) else {
                kept.push(run);
                continue;
            };
            if run.members > 0 {
                let key = (step_of(&run.task), run.run);
                let mut gangs = lock(&shared.gangs);
                if how == "done" && !gangs.done.insert(key.clone()) {
                    // One end represents all.
                    how = "broken";
                } else if how != "done" && !gangs.done.contains(&key) {
                    gangs.broken.insert(key.clone());
                }
                if let Some((present, _)) = gangs.present.get_mut(&key) {
                    present.remove(&run.task);
                }
            }
            state.ends += 1;
            let last = state.last.entry(run.task.clone()).or_default();
            *last = (*last).max(run.run);
            self.note_end(&run, how);
            state.ended.push((state.ends, run.task, run.run, how));
        }
        state.runs = kept;
    }

    fn note_end(&self, run: &Run, how: &'static str) {
        let shared = &self.shared;
        *lock(&shared.ends).entry(how).or_default() += 1;
        lock(&shared.running).remove(&(run.task.clone(), run.run));
        lock(&shared.last_change).insert(run.task.clone(), shared.record.now_ms());
        shared.record.write(&format!(
            "END    {} run {} on {}: {how}",
            run.task, run.run, self.id
        ));
    }

    fn crash(&self) {
        let mut state = self.state();
        self.end_runs(&mut state, |_| Some("gone"));
        state.ended.clear();
        state.is_down = true;
    }

    fn extend(state: &mut WorkerState, until: Option<u64>) {
        if let Some(until) = until {
            state.lease_until = state.lease_until.max(until.min(state.at + MAX_HOLD_MS));
        }
    }

    fn start_run(&self, body: &Json) -> Option<Response> {
        let (task, run) = (body.text("task").to_owned(), body.number("run")? as u32);
        let token = body.number("fencingToken").unwrap_or(0);
        let mut state = self.state();
        let refuse = |reason: &str, clock: u64| {
            self.shared
                .record
                .write(&format!("REFUSE {task} run {run} on {}: {reason}", self.id));
            reply(
                409,
                format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"),
            )
        };
        if token < state.token {
            return refuse("fence", state.at);
        }
        state.token = token;
        let until = body.number("untilMs");
        Self::extend(&mut state, until);
        let ok = format!("{{\"clockMs\":{}}}", state.at);
        if state
            .runs
            .iter()
            .any(|known| known.task == task && known.run == run)
        {
            return reply(200, ok);
        }
        if state.last.get(&task).is_some_and(|last| run <= *last) {
            return refuse("old", state.at);
        }
        if until.is_none_or(|until| until <= state.at) {
            return refuse("late", state.at);
        }
        if self.shared.needs_tickets.load(Ordering::Relaxed) {
            let tickets = lock(&self.shared.tickets);
            let is_valid = tickets
                .get(body.text("ticket"))
                .is_some_and(|(step, worker, until)| {
                    *step == step_of(&task) && *worker == self.id && Instant::now() < *until
                });
            if !is_valid {
                return refuse("ticket", state.at);
            }
        }
        let (members, work_ms) = parse_load(body.text("specification"));
        if members > 0 {
            let mut gangs = lock(&self.shared.gangs);
            let gang = gangs.present.entry((step_of(&task), run)).or_default();
            gang.0.insert(task.clone());
            gang.1 |= gang.0.len() == members;
        }
        let shared = &self.shared;
        lock(&shared.running).insert((task.clone(), run), self.id.clone());
        lock(&shared.last_change).insert(task.clone(), shared.record.now_ms());
        shared.record.write(&format!(
            "START  {task} run {run} on {} token {token}",
            self.id
        ));
        let since = state.at;
        state.runs.push(Run {
            task,
            run,
            members,
            work_ms,
            done_ms: 0,
            since,
        });
        reply(200, ok)
    }

    fn stop_run(&self, body: &Json) -> Option<Response> {
        let (task, run) = (body.text("task").to_owned(), body.number("run")? as u32);
        let token = body.number("fencingToken").unwrap_or(0);
        let mut state = self.state();
        if token < state.token {
            return reply(
                409,
                format!("{{\"clockMs\":{},\"reason\":\"fence\"}}", state.at),
            );
        }
        state.token = token;
        let last = state.last.entry(task.clone()).or_default();
        *last = (*last).max(run);
        self.end_runs(&mut state, |known| {
            (known.task == task && known.run == run).then_some("stopped")
        });
        reply(200, format!("{{\"clockMs\":{}}}", state.at))
    }

    fn hold(&self, body: &Json) -> Option<Response> {
        let token = body.number("fencingToken").unwrap_or(0);
        let acked = body.number("ackedThrough").unwrap_or(0);
        let until = Instant::now() + ms(body.number("waitMs").unwrap_or(0).min(2_000));
        let mut is_first = true;
        loop {
            let mut state = self.state();
            if state.is_down {
                return None;
            }
            if token < state.token {
                return reply(
                    409,
                    format!("{{\"clockMs\":{},\"reason\":\"fence\"}}", state.at),
                );
            }
            state.token = token;
            if std::mem::take(&mut is_first) {
                Self::extend(&mut state, body.number("untilMs"));
                state.ended.retain(|(number, ..)| *number > acked);
            }
            if !state.ended.is_empty() || Instant::now() >= until {
                let mut running = String::new();
                for run in &state.runs {
                    let (all, load) = if run.work_ms == LASTS {
                        (STARTUP_MS, TAIL_MS)
                    } else {
                        (run.work_ms, 0)
                    };
                    let percent = run.done_ms.min(all) * 100 / all.max(1);
                    let comma = if running.is_empty() { "" } else { "," };
                    let _ = write!(
                        running,
                        "{comma}[\"{}\",{},\"\",{percent},{load}]",
                        run.task, run.run
                    );
                }
                let row = |(number, task, run, how): &(u64, String, u32, &str)| {
                    format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
                };
                let ended: Vec<String> = state.ended.iter().take(500).map(row).collect();
                return reply(
                    200,
                    format!(
                        "{{\"clockMs\":{},\"born\":{},\"running\":[{running}],\"ended\":[{}]}}",
                        state.at,
                        self.born,
                        ended.join(",")
                    ),
                );
            }
            drop(state);
            thread::sleep(ms(5));
        }
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        if request.expected.as_ref().is_some_and(|id| *id != self.id) {
            return reply(421, "");
        }
        let Some(body) = Json::parse(&request.body) else {
            return reply(400, "");
        };
        match request.path.as_str() {
            "/v1/run-start" => self.start_run(&body),
            "/v1/run-stop" => self.stop_run(&body),
            "/v1/hold" => self.hold(&body),
            _ => reply(404, ""),
        }
    }
}

/// A worker's machine: one life after the other at one address.
struct Machine {
    number: usize,
    cpu: u64,
    memory: u64,
    address: SocketAddr,
    lives: u32,
    life: Option<(Arc<Worker>, Server)>,
}

impl Machine {
    fn new(number: usize, cpu: u64, memory: u64) -> io::Result<Machine> {
        let address = free_address()?;
        Ok(Machine {
            number,
            cpu,
            memory,
            address,
            lives: 0,
            life: None,
        })
    }

    /// Starts a new life of the worker, under a new id.
    fn start(&mut self, shared: &Arc<Platform>) -> io::Result<()> {
        self.lives += 1;
        let mut attempts = 0;
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(error) if attempts > 100 => return Err(error),
                Err(_) => attempts += 1,
            }
            thread::sleep(ms(20));
        };
        let worker = Arc::new(Worker {
            id: format!("i-{:04x}{:06x}", self.number * 37 + 11, self.lives),
            born: unix_ms(),
            start: Instant::now(),
            shared: Arc::clone(shared),
            state: Mutex::default(),
        });
        let served = Arc::clone(&worker);
        let server = Server::start(listener, move |request| served.handle(&request))?;
        let (zone, rack) = (self.number % 3, self.number / 8);
        let (address, cpu, memory) = (self.address, self.cpu, self.memory);
        let life = Arc::clone(&worker);
        thread::spawn(move || {
            let mut sequence = 0;
            while !lock(&life.state).is_down && !life.shared.is_over.load(Ordering::Relaxed) {
                sequence += 1;
                let entry = format!(
                    "{{\"service\":\"booking\",\"address\":\"{address}\",\"zone\":\"zone-{zone}\",\
                     \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\
                     \"sequence\":{sequence},\"born\":{},\"machine\":\"m{address}\",\
                     \"capacity\":{{\"cpu\":{cpu},\"memMb\":{memory}}},\"labels\":[\"a\",\"r-{rack}\"]}}",
                    life.born
                );
                life.shared
                    .store
                    .put("keyed.servers", &life.id, entry.as_bytes());
                for _ in 0..HEARTBEAT_MS / 10 {
                    drop(life.state());
                    thread::sleep(ms(10));
                }
            }
            // The entry of a silent worker expires.
            thread::sleep(ms(ENTRY_EXPIRY_MS - HEARTBEAT_MS));
            life.shared.store.put("keyed.servers", &life.id, b"");
        });
        self.life = Some((worker, server));
        Ok(())
    }

    fn crash(&mut self) {
        if let Some((worker, server)) = self.life.take() {
            worker
                .shared
                .record
                .write(&format!("CRASH  worker {}", worker.id));
            worker.crash();
            server.end();
        }
    }

    fn used_cpu(&self, sizes: &HashMap<String, u64>) -> u64 {
        let Some((worker, _)) = &self.life else {
            return 0;
        };
        let state = worker.state();
        let size = |run: &Run| sizes.get(run.task.split('.').next().unwrap_or("")).copied();
        state.runs.iter().filter_map(size).sum()
    }
}

// ---------------------------------------------------------------- adviser

fn hash(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let value = text.bytes().fold(0xcbf2_9ce4_8422_2325, step);
    (value ^ value >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 16
}

/// Whether the policy allows a worker for a step: 35 workers in a hundred, as at the users' site.
fn is_allowed(step: &str, worker: &str) -> bool {
    hash(&format!("{step} {worker}")) % 100 < 35
}

/// Serves the adviser's interface to one machine: one call at a time.
fn start_adviser(shared: &Arc<Platform>, call_ms: f64, worker_ms: f64) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (shared, turn, waiting) = (Arc::clone(shared), Mutex::new(()), AtomicU64::new(0));
    let server = Server::start(listener, move |request| {
        let body = Json::parse(&request.body)?;
        let step = body.text("step").to_owned();
        let Some(Json::List(workers)) = body.get("workers") else {
            return reply(400, "");
        };
        if workers.len() > 100 {
            return reply(400, "");
        }
        if waiting.fetch_add(1, Ordering::Relaxed) >= 32 {
            waiting.fetch_sub(1, Ordering::Relaxed);
            return reply(429, "");
        }
        let _turn = lock(&turn);
        thread::sleep(Duration::from_secs_f64(
            (call_ms + worker_ms * workers.len() as f64) / 1e3,
        ));
        waiting.fetch_sub(1, Ordering::Relaxed);
        let mut rows = Vec::new();
        for worker in workers {
            let Json::Text(id) = worker else { continue };
            if is_allowed(&step, id) {
                let number = shared.ticket_count.fetch_add(1, Ordering::Relaxed);
                let ticket = format!("t{number:08x}");
                let row = (step.clone(), id.clone(), Instant::now() + ms(VALIDITY_MS));
                lock(&shared.tickets).insert(ticket.clone(), row);
                rows.push(format!("[\"{id}\",\"{ticket}\"]"));
            }
        }
        let (asked, allowed) = (workers.len(), rows.len());
        shared
            .record
            .write(&format!("ADVICE {step}: {allowed} of {asked} workers"));
        reply(
            200,
            format!(
                "{{\"healthy\":[{}],\"validityMs\":{VALIDITY_MS}}}",
                rows.join(",")
            ),
        )
    })?;
    std::mem::forget(server);
    Ok(address)
}

// ---------------------------------------------------------------- instances

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn free_pair() -> io::Result<u16> {
    loop {
        let first = free_address()?.port();
        let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if first < u16::MAX && is_free(first) && is_free(first + 1) {
            return Ok(first);
        }
    }
}

struct Instance {
    name: String,
    front: SocketAddr,
    ready: SocketAddr,
    first_port: u16,
}

impl Instance {
    /// Starts the program with the command of the deploy file.
    fn start(
        shared: &Arc<Platform>,
        dir: &Path,
        name: &str,
        zone: usize,
        cpu_share: f64,
        store: SocketAddr,
        advice: (f64, f64),
    ) -> io::Result<Instance> {
        let (front, ready, first_port) = (free_address()?, free_address()?, free_pair()?);
        let adviser = start_adviser(shared, advice.0, advice.1)?;
        let settings = format!(
            "node = \"{name}\"\nrole = \"instance\"\nmachineClass = \"front\"\nserves = [\"front\"]\n\
             ip = \"127.0.0.1\"\nzone = \"zone-{zone}\"\nregion = \"region\"\n\
             internalPorts = [{first_port}, {}]\nheartbeatMs = {HEARTBEAT_MS}\norders = \"push\"\n\
             firstStart = false\ndiscovery = \"platform\"\nadvice = \"{adviser}\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
             [limits]\ncpuShare = {cpu_share}\ncores = 1\nmemoryMb = 260\nfileDescriptors = 4100\n\
             linkMbps = 1000.0\ndiskMb = 0\n\
             [bounds]\nmaxHoldMs = {MAX_HOLD_MS}\ngraceS = 6\nstatus_s = 120\nconfigApplyMs = 2000\n\
             gangTimeoutMs = {GANG_TIMEOUT_MS}\nstopMs = 900\nfinish_s = {FINISH_S}\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\nkeep_s = 300\n",
            first_port + 1
        );
        let path = dir.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let log = File::create(dir.join(format!("{name}.log")))?;
        let child = Command::new("target/release/kingcupwinchd")
            .arg("node")
            .env_clear()
            .env("KINGCUPWINCH_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        shared
            .record
            .write(&format!("INSTANCE {name} starts, process {}", child.id()));
        lock(&shared.processes).insert(name.to_owned(), child);
        Ok(Instance {
            name: name.to_owned(),
            front,
            ready,
            first_port,
        })
    }

    fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/v1/ready", "", 500).is_some_and(|(status, _)| status == 200)
    }

    /// Kills the process. Nothing answers at the addresses of a machine that is gone.
    fn remove(&self, shared: &Arc<Platform>) {
        shared.kill(&self.name);
        shared
            .record
            .write(&format!("INSTANCE {} is gone for good", self.name));
        for address in [
            self.front,
            self.ready,
            SocketAddr::from(([127, 0, 0, 1], self.first_port)),
        ] {
            if let Ok(listener) = TcpListener::bind(address) {
                // Connections stay in the backlog and get no answer.
                std::mem::forget(listener);
            }
        }
    }
}

// ---------------------------------------------------------------- cases

struct Case {
    shared: Arc<Platform>,
    dir: PathBuf,
    store: SocketAddr,
    machines: Vec<Machine>,
    instances: Vec<Instance>,
    /// Accepted submissions in order, with the CPU of a task and their text.
    accepted: Vec<(String, u64, usize)>,
    refused: usize,
    next_id: u64,
    turn: usize,
    advice: (f64, f64),
}

impl Case {
    fn new(folder: &Path, advice: Option<(f64, f64)>) -> io::Result<Case> {
        let file = File::create(folder.join("record.txt"))?;
        let shared = Arc::new(Platform {
            store: Store::default(),
            record: Record {
                file: Mutex::new(file),
                start: Instant::now(),
            },
            gangs: Mutex::default(),
            tickets: Mutex::default(),
            ticket_count: AtomicU64::new(0),
            needs_tickets: AtomicBool::new(advice.is_some()),
            running: Mutex::default(),
            last_change: Mutex::default(),
            ends: Mutex::default(),
            is_over: AtomicBool::new(false),
            processes: Mutex::default(),
            refused_appends: AtomicU64::new(0),
        });
        let watched = Arc::clone(&shared);
        thread::spawn(move || {
            thread::sleep(ms(MAX_RUN_MS));
            watched.kill_all();
            println!("the case took too long");
            std::process::exit(2);
        });
        let text = advice.map_or(String::new(), |(call, worker)| {
            format!(
                ",\"advice\":{{\"decisionMs\":{call},\"periodMs\":{worker},\"validityMs\":{VALIDITY_MS}}}"
            )
        });
        let config = format!(
            "{{\"version\":3,\"routes\":[{{\"name\":\"plans\",\"host\":\"{HOST}\",\"pathPrefix\":\"/plans/\",\
             \"service\":\"booking\",\"priority\":1,\"maxAttempts\":2,\"stretch\":2.2,\
             \"targetLatencyMs\":1000{text}}}],\"services\":[{{\"name\":\"booking\",\
             \"admissionCheck\":false}}],\"limits\":{{\"maxBodyBytes\":262144}}}}"
        );
        shared.store.put("keyed.op", "config", config.as_bytes());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = listener.local_addr()?;
        let served = Arc::clone(&shared);
        let server = Server::start(listener, move |request| {
            let answer = served.store.handle(&request);
            let is_refused = answer.as_ref().is_some_and(|answer| answer.status == 400);
            // An append that is refused is often repeated, so only the first ones are recorded.
            if is_refused && served.refused_appends.fetch_add(1, Ordering::Relaxed) < 20 {
                let (topic, bytes) = (request.query.get("topic"), request.body.len());
                served.record.write(&format!(
                    "STORE  refuses an append of {bytes} bytes to {topic:?}"
                ));
            }
            answer
        })?;
        std::mem::forget(server);
        let dir = std::env::temp_dir().join(format!("kingcupwinch-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        Ok(Case {
            shared,
            dir,
            store,
            machines: Vec::new(),
            instances: Vec::new(),
            accepted: Vec::new(),
            refused: 0,
            next_id: 0x5c0e_7a21_d94b_0000,
            turn: 0,
            advice: advice.unwrap_or((10.0, 1.0)),
        })
    }

    fn add_workers(&mut self, count: usize, cpu: u64, memory: u64) -> io::Result<()> {
        for number in 0..count {
            let mut machine = Machine::new(number, cpu, memory)?;
            machine.start(&self.shared)?;
            self.machines.push(machine);
        }
        Ok(())
    }

    fn add_instance(&mut self, name: &str, zone: usize, cpu_share: f64) -> io::Result<()> {
        let (shared, dir) = (&self.shared, &self.dir);
        let instance =
            Instance::start(shared, dir, name, zone, cpu_share, self.store, self.advice)?;
        self.instances.push(instance);
        Ok(())
    }

    fn now_s(&self) -> f64 {
        self.shared.record.start.elapsed().as_secs_f64()
    }

    /// Waits until all instances are ready; fails if they never are.
    fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.instances.iter().all(Instance::is_ready) {
                thread::sleep(ms(2_500));
                return true;
            }
            thread::sleep(ms(100));
        }
        false
    }

    /// Calls an instance in rotation, another one for each attempt, as the platform's ingress does.
    fn call_any(&mut self, method: &str, path: &str, body: &str) -> Option<(u16, Vec<u8>)> {
        let mut last = None;
        for _ in 0..5 {
            self.turn += 1;
            let instance = &self.instances[self.turn % self.instances.len()];
            let answer = call(instance.front, method, path, body, 3_000);
            let status = answer.as_ref().map(|(status, _)| *status);
            let name = &instance.name;
            self.shared
                .record
                .write(&format!("{method} {path} to {name}: {status:?}"));
            match status {
                Some(200 | 404 | 410) => return answer,
                _ => last = answer.or(last),
            }
            thread::sleep(ms(200));
        }
        last
    }

    /// Submits a step of tasks.
    fn submit(&mut self, count: usize, cpu: u64, memory: u64, work_ms: u64, is_gang: bool) {
        let members = if is_gang { count } else { 0 };
        let specification = format!("{members}:{work_ms}");
        let gang = if is_gang { ",\"gang\":true" } else { "" };
        let step = format!("\"estimatedDurationMs\":{work_ms}{gang}");
        self.submit_step(count, cpu, memory, &specification, &step);
    }

    /// Submits a step with further fields; each attempt has the same id.
    fn submit_step(
        &mut self,
        count: usize,
        cpu: u64,
        memory: u64,
        specification: &str,
        step: &str,
    ) {
        self.next_id += 0x1_0001;
        let id = format!("{:016x}", self.next_id);
        let body = format!(
            "{{\"specification\":\"{specification}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\
             \"memMb\":{memory},{step}}}]}}"
        );
        match self.call_any("POST", &format!("/plans/{id}"), &body) {
            Some((200, _)) => self.accepted.push((id, cpu, count)),
            _ => self.refused += 1,
        }
    }

    /// Asks for the state of a submission.
    fn state(&mut self, id: &str) -> String {
        match self.call_any("GET", &format!("/plans/{id}"), "") {
            Some((200, body)) => match Json::parse(&body) {
                Some(body) => body.text("state").to_owned(),
                None => "unreadable".to_owned(),
            },
            Some((status, _)) => format!("status {status}"),
            None => "no answer".to_owned(),
        }
    }

    fn states(&mut self) -> Vec<(String, String)> {
        let ids: Vec<String> = self.accepted.iter().map(|(id, ..)| id.clone()).collect();
        ids.into_iter()
            .map(|id| (id.clone(), self.state(&id)))
            .collect()
    }

    fn runs_of(&self, id: &str) -> usize {
        let running = lock(&self.shared.running);
        running
            .keys()
            .filter(|(task, _)| task.starts_with(id))
            .count()
    }

    /// Returns the submissions that have nothing running for 3 s although their work is not done, and
    /// workers that may run it have room for all of it twice over, and under half of the service is in use.
    fn starved(&mut self) -> Vec<String> {
        let states = self.states();
        let mut open: Vec<String> = states
            .into_iter()
            .filter(|(_, state)| state == "queued" || state == "running")
            .map(|(id, _)| id)
            .collect();
        let until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < until {
            let accepted = self.accepted.clone();
            open.retain(|id| {
                let Some((_, cpu, count)) = accepted.iter().find(|(known, ..)| known == id) else {
                    return false;
                };
                self.runs_of(id) == 0 && self.has_room(id, *cpu, *count)
            });
            thread::sleep(ms(50));
        }
        open
    }

    fn has_room(&self, id: &str, cpu: u64, count: usize) -> bool {
        let sizes: HashMap<String, u64> = self
            .accepted
            .iter()
            .map(|(id, cpu, _)| (id.clone(), *cpu))
            .collect();
        let needs_ticket = self.shared.needs_tickets.load(Ordering::Relaxed);
        let (mut room, mut used, mut all) = (0, 0, 0);
        for machine in &self.machines {
            let Some((worker, _)) = &machine.life else {
                continue;
            };
            let busy = machine.used_cpu(&sizes);
            all += machine.cpu;
            used += busy;
            if !needs_ticket || is_allowed(&format!("{id}.0.0"), &worker.id) {
                room += machine.cpu.saturating_sub(busy) / cpu;
            }
        }
        room >= 2 * count as u64 && used * 2 < all
    }

    fn end(&mut self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        self.shared.kill_all();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("logs are kept in {}", self.dir.display());
        }
    }

    fn verdict(&self, broken: &[String]) -> i32 {
        let ends = lock(&self.shared.ends).clone();
        let mut ends: Vec<_> = ends.into_iter().collect();
        ends.sort_unstable();
        let (accepted, refused) = (self.accepted.len(), self.refused);
        let rejects = self.shared.refused_appends.load(Ordering::Relaxed);
        let mut lines = vec![format!(
            "{accepted} submissions accepted, {refused} not; ends of runs: {ends:?}; {rejects} appends refused by the store for their size"
        )];
        lines.extend(broken.iter().map(|line| format!("BROKEN {line}")));
        if broken.is_empty() {
            lines.push("the rule held".to_owned());
        }
        for line in lines {
            println!("{line}");
            self.shared.record.write(&line);
        }
        i32::from(!broken.is_empty())
    }
}

/// Two of 24 workers crash every 2 s and are back after 2 s, while gangs of harmless tasks are handed in,
/// or harmless tasks that last run.
fn crashes(
    case: &mut Case,
    is_disturbed: bool,
    is_lasting: bool,
) -> io::Result<Option<Vec<String>>> {
    case.add_workers(24, 16_000, 65_536)?;
    for (zone, name) in ["front-a-1", "front-b-1", "front-c-1"]
        .into_iter()
        .enumerate()
    {
        case.add_instance(name, zone, 0.25)?;
    }
    if !case.wait_ready() {
        return Ok(None);
    }
    let (start, mut crashed, mut submitted) = (case.now_s(), 0usize, 0usize);
    let mut down: VecDeque<(f64, usize)> = VecDeque::new();
    // A linear congruential generator picks the worker, whatever runs there.
    let mut seed = 20_261_205u64;
    loop {
        let at = case.now_s() - start;
        if at > 60.0 {
            break;
        }
        if is_lasting && submitted < 1 {
            submitted += 1;
            let step = "\"estimatedDurationMs\":1000,\"longRunning\":true,\"antiAffinity\":1";
            case.submit_step(20, 2_000, 4_000, "0:-", step);
        } else if !is_lasting && at >= submitted as f64 * 2.5 {
            submitted += 1;
            case.submit(12, 4_500, 17_000, 6_200, true);
        }
        if is_disturbed && at >= 4.0 + crashed as f64 * 2.0 {
            crashed += 1;
            for _ in 0..2 {
                seed = seed
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                let victim = (seed >> 33) as usize % case.machines.len();
                if case.machines[victim].life.is_some() {
                    case.machines[victim].crash();
                    down.push_back((at + 2.0, victim));
                }
            }
        }
        while down.front().is_some_and(|(back, _)| *back <= at) {
            let (_, victim) = down.pop_front().unwrap_or_default();
            case.machines[victim].start(&case.shared)?;
        }
        thread::sleep(ms(20));
    }
    for (_, victim) in down {
        case.machines[victim].start(&case.shared)?;
    }
    thread::sleep(Duration::from_secs(FINISH_S));
    let states = case.states();
    let failed = lock(&case.shared.ends).get("failed").copied().unwrap_or(0);
    let is_wrong = |(_, state): &&(String, String)| state == "failed" && failed == 0;
    let wrong = states.iter().filter(is_wrong);
    Ok(Some(
        wrong
            .map(|(id, _)| format!("LOST: {id} is shown as failed; no run has ended failed"))
            .collect(),
    ))
}

/// The largest machine of the system is removed for good and another one added, again and again.
fn replacements(case: &mut Case, is_disturbed: bool) -> io::Result<Option<Vec<String>>> {
    case.add_workers(24, 16_000, 65_536)?;
    for (zone, name) in ["front-a-1", "front-b-1", "front-c-1", "front-b-2"]
        .into_iter()
        .enumerate()
    {
        case.add_instance(name, zone % 3, 0.25)?;
    }
    case.add_instance("front-a-2", 0, 0.62)?;
    if !case.wait_ready() {
        return Ok(None);
    }
    let (start, mut replaced, mut submitted) = (case.now_s(), 0usize, 0usize);
    loop {
        let at = case.now_s() - start;
        if at > 62.0 {
            break;
        }
        if at >= submitted as f64 * 3.0 {
            submitted += 1;
            case.submit(2, 4_500, 17_000, 3_000, false);
        }
        if is_disturbed && replaced < 12 && at >= 2.0 + replaced as f64 * 4.0 {
            replaced += 1;
            if let Some(old) = case.instances.pop() {
                old.remove(&case.shared);
            }
            thread::sleep(ms(1_000));
            case.add_instance(&format!("front-a-{}", replaced + 2), 0, 0.62)?;
        }
        thread::sleep(ms(20));
    }
    thread::sleep(Duration::from_secs(FINISH_S));
    let starved = case.starved();
    let line = |id: String| {
        format!(
            "LOST: {id} has nothing running for 3 s, {FINISH_S} s after the end of the traffic, with room"
        )
    };
    Ok(Some(starved.into_iter().map(line).collect()))
}

/// One large submission is handed in beside small ones.
fn large(case: &mut Case, is_disturbed: bool) -> io::Result<Option<Vec<String>>> {
    case.add_workers(24, 64_000, 131_072)?;
    for (zone, name) in ["front-a-1", "front-b-1", "front-c-1"]
        .into_iter()
        .enumerate()
    {
        case.add_instance(name, zone, 0.62)?;
    }
    if !case.wait_ready() {
        return Ok(None);
    }
    let tasks = 6_000;
    let (start, mut submitted, mut is_large_sent) = (case.now_s(), 0usize, false);
    loop {
        let at = case.now_s() - start;
        if at > 40.0 {
            break;
        }
        if at >= submitted as f64 * 0.5 {
            submitted += 1;
            case.submit(2, 1_400, 500, 1_000, false);
        }
        if at >= 5.0 && !is_large_sent {
            is_large_sent = true;
            if is_disturbed {
                case.submit(tasks, 100, 50, 5_000, false);
            } else {
                for _ in 0..tasks / 100 {
                    case.submit(100, 100, 50, 5_000, false);
                }
            }
        }
        thread::sleep(ms(20));
    }
    thread::sleep(Duration::from_secs(FINISH_S));
    let starved = case.starved();
    let line = |id: String| {
        format!(
            "LOST: {id} has nothing running for 3 s, {FINISH_S} s after the end of the traffic, with room"
        )
    };
    Ok(Some(starved.into_iter().map(line).collect()))
}

/// Workers are lost for good while tasks that fill what others leave are handed in. The other workers
/// have one small task each that serves.
fn fills(case: &mut Case, is_disturbed: bool) -> io::Result<Option<Vec<String>>> {
    let (workers, serving) = (24, 21);
    case.add_workers(workers, 16_000, 65_536)?;
    for (zone, name) in ["front-a-1", "front-b-1", "front-c-1"]
        .into_iter()
        .enumerate()
    {
        case.add_instance(name, zone, 0.25)?;
    }
    if !case.wait_ready() {
        return Ok(None);
    }
    let step = "\"estimatedDurationMs\":1000,\"longRunning\":true,\"targetMs\":100,\"antiAffinity\":1,\"mayMiss\":2,\"image\":\"shop\"";
    case.submit_step(serving, 1_000, 2_000, "0:-", step);
    thread::sleep(ms(3_000));
    let (start, mut submitted, mut is_lost) = (case.now_s(), 0usize, false);
    loop {
        let at = case.now_s() - start;
        if at > 30.0 {
            break;
        }
        if at >= submitted as f64 * 3.0 {
            submitted += 1;
            let step = "\"estimatedDurationMs\":2000,\"fills\":true,\"image\":\"tidy\"";
            case.submit_step(2, 4_000, 2_000, "0:2000", step);
        }
        if is_disturbed && !is_lost && at >= 10.0 {
            is_lost = true;
            for machine in &mut case.machines {
                let life = machine.life.as_ref();
                if life.is_some_and(|(worker, _)| {
                    worker.state().runs.iter().all(|run| run.work_ms != LASTS)
                }) {
                    machine.crash();
                }
            }
        }
        thread::sleep(ms(20));
    }
    thread::sleep(Duration::from_secs(FINISH_S));
    let starved = case.starved();
    let line = |id: String| {
        format!(
            "LOST: {id} has nothing running for 3 s, {FINISH_S} s after the end of the traffic, with room"
        )
    };
    Ok(Some(starved.into_iter().map(line).collect()))
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let is_disturbed = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let advice = (name == "replacements").then_some((410.0, 5.8));
    let mut case = match Case::new(&folder, advice) {
        Ok(case) => case,
        Err(error) => {
            println!("the case can't run: {error}");
            std::process::exit(2);
        }
    };
    let result = match name.as_str() {
        "crashes" => crashes(&mut case, is_disturbed, false),
        "lasting" => crashes(&mut case, is_disturbed, true),
        "replacements" => replacements(&mut case, is_disturbed),
        "large" => large(&mut case, is_disturbed),
        "fills" => fills(&mut case, is_disturbed),
        _ => Ok(None),
    };
    let code = match &result {
        Ok(Some(broken)) => case.verdict(broken),
        Ok(None) => {
            println!("the instances did not become ready");
            2
        }
        Err(error) => {
            println!("the case can't run: {error}");
            2
        }
    };
    case.end();
    std::process::exit(code);
}
