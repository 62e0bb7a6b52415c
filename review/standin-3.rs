//! Stand-ins of the platform for the scripts of the third review, with the scenarios that they play.
//!
//! One process holds the store, the workers and the clients, each on a loopback port of its own, and starts
//! the instances as separate processes. It needs nothing but the standard library.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[path = "scenarios-3.rs"]
mod scenarios;

// ---------------------------------------------------------------------------------------------------
// JSON

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        Some(value)
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn num(&self) -> Option<u64> {
        match self {
            Json::Num(value) => Some(*value as u64),
            _ => None,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }
    fn eat(&mut self, byte: u8) -> Option<()> {
        self.skip();
        if self.text.get(self.at) == Some(&byte) {
            self.at += 1;
            return Some(());
        }
        None
    }
    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            out.extend(code.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                if self.eat(b'}').is_some() {
                    return Some(Json::Map(map));
                }
                loop {
                    self.skip();
                    let key = self.string()?;
                    self.eat(b':')?;
                    map.insert(key, self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b'}')?;
                        return Some(Json::Map(map));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.eat(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }
    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.text.get(self.at..end)? == word.as_bytes()).then_some(())?;
        self.at = end;
        Some(value)
    }
}

// ---------------------------------------------------------------------------------------------------
// HTTP

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    fn param(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }
}

/// A status and a body; `None` closes the connection without a response.
pub type Response = Option<(u16, Vec<u8>)>;

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (headers, body) = read_rest(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), unescape(value))).collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<(HashMap<String, String>, Vec<u8>)> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, body))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
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

/// A server whose connections can be closed at once, as when its process ends.
pub struct Server {
    is_closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    address: SocketAddr,
}

impl Server {
    pub fn start(
        listener: TcpListener,
        handle: impl Fn(Request) -> Response + Send + Sync + 'static,
    ) -> Server {
        let address = listener.local_addr().expect("a bound listener");
        let is_closed = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handle = Arc::new(handle);
        let (closed, opened) = (Arc::clone(&is_closed), Arc::clone(&connections));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    opened.lock().unwrap().push(copy);
                }
                let (handle, closed) = (Arc::clone(&handle), Arc::clone(&closed));
                thread::spawn(move || {
                    let Ok(mut writer) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = read_request(&mut reader) {
                        let response = handle(request);
                        let Some((status, body)) = response.filter(|_| !closed.load(Ordering::SeqCst))
                        else {
                            break;
                        };
                        let head = format!(
                            "HTTP/1.1 {status} S\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                            body.len()
                        );
                        let mut bytes = head.into_bytes();
                        bytes.extend(body);
                        if writer.write_all(&bytes).is_err() {
                            break;
                        }
                    }
                    let _ = writer.shutdown(Shutdown::Both);
                });
            }
        });
        Server { is_closed, connections, address }
    }

    /// Closes the port and all connections.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts connections, which then drops the listener.
        let _ = TcpStream::connect(self.address);
    }
}

/// Sends a request of a client. `Err` means that there was no response.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> Result<(u16, Vec<u8>), String> {
    let stream = TcpStream::connect_timeout(&address, patience).map_err(|error| error.to_string())?;
    stream.set_read_timeout(Some(patience)).map_err(|error| error.to_string())?;
    let mut writer = stream.try_clone().map_err(|error| error.to_string())?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\ncontent-type: application/json\r\n\
         x-deadline-remaining-ms: {}\r\ncontent-length: {}\r\n\r\n{body}",
        patience.as_millis(),
        body.len()
    );
    writer.write_all(request.as_bytes()).map_err(|error| error.to_string())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).map_err(|error| error.to_string())?;
    let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| "no response".to_owned())?;
    let (_, body) = read_rest(&mut reader).ok_or_else(|| "no body".to_owned())?;
    Ok((status, body))
}

// ---------------------------------------------------------------------------------------------------
// The record

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------------------------------------------
// The store

#[derive(Default)]
struct Part {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    responses: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Parts {
    parts: HashMap<(String, u64), Part>,
}

pub struct Store {
    state: Mutex<Parts>,
    changed: Condvar,
}

const APPEND_TIME: Duration = Duration::from_millis(4);

impl Store {
    fn new() -> Arc<Store> {
        Arc::new(Store { state: Mutex::default(), changed: Condvar::new() })
    }

    /// Writes the newest record of a key; an empty value drops it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.bytes());
        record.extend(value.bytes());
        let mut state = self.state.lock().unwrap();
        let part = state.parts.entry((topic.to_owned(), 0)).or_default();
        part.add(record, true);
        self.changed.notify_all();
    }

    /// Returns the newest value of a key, as text.
    pub fn newest(&self, topic: &str, number: u64, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let part = state.parts.get(&(topic.to_owned(), number))?;
        let (value, _) = part.newest.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    fn serve(self: &Arc<Store>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::clone(self);
        Server::start(listener, move |request| store.handle(&request));
        Ok(address)
    }

    fn handle(&self, request: &Request) -> Response {
        let topic = request.query.get("topic")?.clone();
        let number = request.param("part").unwrap_or(0);
        match request.path.as_str() {
            "/v1/log-append" => self.append(request, topic, number),
            "/v1/log-read" => self.read(request, topic, number),
            "/v1/log-newest" => self.list(request, topic, number),
            _ => Some((404, Vec::new())),
        }
    }

    fn append(&self, request: &Request, topic: String, number: u64) -> Response {
        thread::sleep(APPEND_TIME);
        let is_keyed = topic.starts_with("keyed.");
        let mut state = self.state.lock().unwrap();
        let part = state.parts.entry((topic, number)).or_default();
        let end = part.records.len() as u64;
        let mut fence = None;
        if let Some(name) = request.query.get("producer") {
            let epoch = request.param("epoch").unwrap_or(0);
            let sequence = request.param("sequence").unwrap_or(0);
            let producer = part.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return answer(409, "{\"reason\":\"fenced\"}");
            }
            if epoch > producer.epoch {
                *producer = Producer { epoch, ..Producer::default() };
            }
            if let Some((_, offset, end)) = producer.responses.iter().find(|row| row.0 == sequence) {
                return answer(200, &format!("{{\"offset\":{offset},\"end\":{end}}}"));
            }
            if let Some(last) = producer.last
                && last + 1 != sequence
            {
                return answer(409, &format!("{{\"reason\":\"seq\",\"sequence\":{}}}", last + 1));
            }
            fence = Some((name.clone(), sequence));
        }
        if request.param("at").is_some_and(|at| at != end) {
            return answer(412, &format!("{{\"end\":{end}}}"));
        }
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = rest.get(4..4 + length)?.to_vec();
            rest = &rest[4 + length..];
            part.add(record, is_keyed);
        }
        let after = part.records.len() as u64;
        if let Some((name, sequence)) = fence {
            let producer = part.producers.entry(name).or_default();
            producer.last = Some(sequence);
            producer.responses.push_back((sequence, end, after));
            if producer.responses.len() > 5 {
                producer.responses.pop_front();
            }
        }
        self.changed.notify_all();
        answer(200, &format!("{{\"offset\":{end},\"end\":{after}}}"))
    }

    fn read(&self, request: &Request, topic: String, number: u64) -> Response {
        let from = request.param("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(request.param("waitMs").unwrap_or(0));
        let most = request.param("maxKilobytes").unwrap_or(1_024) as usize * 1_024;
        let mut state = self.state.lock().unwrap();
        loop {
            let part = state.parts.entry((topic.clone(), number)).or_default();
            let end = part.records.len();
            let now = Instant::now();
            if from < end || now >= until {
                let mut bytes = Vec::new();
                bytes.extend((end as u64).to_be_bytes());
                bytes.extend(0_u64.to_be_bytes());
                for record in part.records.iter().skip(from) {
                    if bytes.len() > 16 && bytes.len() + record.len() > most {
                        break;
                    }
                    bytes.extend((record.len() as u32).to_be_bytes());
                    bytes.extend(record);
                }
                return Some((200, bytes));
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn list(&self, request: &Request, topic: String, number: u64) -> Response {
        let after = request.query.get("after").cloned();
        let state = self.state.lock().unwrap();
        let Some(part) = state.parts.get(&(topic, number)) else {
            return answer(200, "{\"items\":[],\"more\":false,\"end\":0}");
        };
        let is_later = |key: &&String| after.as_ref().is_none_or(|after| *key > after);
        let keys: Vec<&String> = part.newest.keys().filter(is_later).collect();
        let mut items = String::new();
        for key in keys.iter().take(500) {
            let (value, offset) = &part.newest[*key];
            let comma = if items.is_empty() { "" } else { "," };
            let _ = write!(
                items,
                "{comma}{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            );
        }
        let (more, end) = (keys.len() > 500, part.records.len());
        answer(200, &format!("{{\"items\":[{items}],\"more\":{more},\"end\":{end}}}"))
    }
}

impl Part {
    fn add(&mut self, record: Vec<u8>, is_keyed: bool) {
        let offset = self.records.len() as u64;
        if is_keyed && !record.is_empty() {
            let split = (1 + usize::from(record[0])).min(record.len());
            let key = String::from_utf8_lossy(&record[1..split]).into_owned();
            if record.len() == split {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (record[split..].to_vec(), offset));
            }
        }
        self.records.push(record);
    }
}

fn answer(status: u16, text: &str) -> Response {
    Some((status, text.as_bytes().to_vec()))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let value = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place > chunk.len() {
                out.push('=');
            } else {
                out.push(char::from(DIGITS[(value >> (18 - 6 * place)) as usize & 63]));
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------------
// Workers

pub const CPU: u64 = 16_000;
pub const MAX_HOLD_MS: u64 = 6_000;
const BEAT: Duration = Duration::from_millis(1_500);

/// The work of a task that lasts, which is at work after a short startup.
const LASTS: u64 = u64::MAX;
const STARTUP_MS: u64 = 1_200;

struct Running {
    task: String,
    run: u64,
    work_ms: u64,
    done_ms: u64,
    /// The number of tasks of a gang, which work only together.
    gang: Option<u64>,
    stop_at: Option<Instant>,
}

impl Running {
    fn step(&self) -> &str {
        self.task.rsplit_once('.').map_or("", |(step, _)| step)
    }
}

/// A process of a worker.
struct Process {
    born_ms: u64,
    since: Instant,
    token: u64,
    lease_until: u64,
    running: Vec<Running>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    last_ended: HashMap<String, u64>,
    server: Option<Server>,
}

pub struct Worker {
    pub id: String,
    address: SocketAddr,
    kind: &'static str,
    state: &'static str,
    process: Option<Process>,
    last_tick: Instant,
    beat_at: Instant,
}

/// What the workers saw.
#[derive(Debug, Clone)]
pub struct Seen {
    pub at: f64,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// `start`, or how the run ended.
    pub what: &'static str,
}

pub struct World {
    workers: Mutex<Vec<Worker>>,
    changed: Condvar,
    pub seen: Mutex<Vec<Seen>>,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl World {
    fn lock(&self) -> MutexGuard<'_, Vec<Worker>> {
        self.workers.lock().unwrap()
    }

    fn see(&self, worker: &str, task: &str, run: u64, what: &'static str) {
        self.record.note(&format!("{worker} {task} run {run}: {what}"));
        let (at, worker, task) = (self.record.now(), worker.to_owned(), task.to_owned());
        self.seen.lock().unwrap().push(Seen { at, worker, task, run, what });
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Adds a worker and starts it.
    pub fn add(self: &Arc<World>, id: &str, kind: &'static str) -> std::io::Result<usize> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let index = {
            let mut workers = self.lock();
            workers.push(Worker {
                id: id.to_owned(),
                address,
                kind,
                state: "ready",
                process: None,
                last_tick: Instant::now(),
                beat_at: Instant::now(),
            });
            workers.len() - 1
        };
        self.boot(index, listener);
        Ok(index)
    }

    fn boot(self: &Arc<World>, index: usize, listener: TcpListener) {
        let world = Arc::clone(self);
        let server = Server::start(listener, move |request| world.handle(index, &request));
        let mut workers = self.lock();
        let worker = &mut workers[index];
        worker.process = Some(Process {
            born_ms: unix_ms(),
            since: Instant::now(),
            token: 0,
            lease_until: 0,
            running: Vec::new(),
            ended: Vec::new(),
            ends: 0,
            last_ended: HashMap::new(),
            server: Some(server),
        });
        worker.last_tick = Instant::now();
        self.beat(worker);
    }

    fn beat(&self, worker: &mut Worker) {
        let Some(process) = &worker.process else { return };
        worker.beat_at = Instant::now() + BEAT;
        let entry = format!(
            "{{\"service\":\"service\",\"address\":\"{}\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{}\",\"coldRemainingMs\":0,\"sequence\":{},\"born\":{},\
             \"capacity\":{{\"cpu\":{CPU},\"memMb\":64000}},\"labels\":[\"{}\",\"r1\"]}}",
            worker.address,
            worker.state,
            process.since.elapsed().as_millis(),
            process.born_ms,
            worker.kind
        );
        self.store.put("keyed.servers", &worker.id, &entry);
    }

    /// Crashes a worker: its process ends, and all that ran there with it. Its entry stays for now.
    pub fn crash(&self, index: usize) {
        let mut workers = self.lock();
        let id = workers[index].id.clone();
        let Some(process) = workers[index].process.take() else { return };
        self.record.note(&format!("{id} ends"));
        if let Some(server) = &process.server {
            server.close();
        }
        for run in &process.running {
            self.see(&id, &run.task, run.run, "lost");
        }
        // The other members of a gang end with it.
        for run in process.running.iter().filter(|run| run.gang.is_some()) {
            let (step, number) = (run.step().to_owned(), run.run);
            self.break_gang(&mut workers, &step, number);
        }
        self.changed.notify_all();
    }

    /// Announces that a worker will leave.
    pub fn drain(&self, index: usize) {
        let mut workers = self.lock();
        workers[index].state = "draining";
        self.record.note(&format!("{} is draining", workers[index].id));
        self.beat(&mut workers[index]);
    }

    /// Ends the process of a worker that has drained, which takes its entry away.
    pub fn leave(&self, index: usize) {
        self.crash(index);
        let id = self.lock()[index].id.clone();
        self.record.note(&format!("{id} has left"));
        self.store.put("keyed.servers", &id, "");
    }

    fn break_gang(&self, workers: &mut [Worker], step: &str, number: u64) {
        for worker in workers {
            let is_member = |run: &Running| run.gang.is_some() && run.run == number && run.step() == step;
            self.end(worker, is_member, "broken");
        }
    }

    /// Starts a crashed worker again under its id and at its address.
    pub fn restart(self: &Arc<World>, index: usize) {
        let address = {
            let workers = self.lock();
            if workers[index].process.is_some() {
                return;
            }
            workers[index].address
        };
        for _ in 0..200 {
            if let Ok(listener) = TcpListener::bind(address) {
                self.record.note(&format!("worker {index} starts again"));
                self.boot(index, listener);
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.note(&format!("worker {index} could not bind its port"));
    }

    fn end(&self, worker: &mut Worker, is_match: impl Fn(&Running) -> bool, how: &'static str) {
        let id = worker.id.clone();
        let Some(process) = &mut worker.process else { return };
        let (ended, rest) = std::mem::take(&mut process.running).into_iter().partition(is_match);
        process.running = rest;
        let ended: Vec<Running> = ended;
        for run in ended {
            self.see(&id, &run.task, run.run, how);
            process.ends += 1;
            let last = process.last_ended.entry(run.task.clone()).or_default();
            *last = (*last).max(run.run);
            process.ended.push((process.ends, run.task, run.run, how));
            self.changed.notify_all();
        }
    }

    /// Advances all workers to the present.
    pub fn tick(&self) {
        let mut workers = self.lock();
        let mut present: HashMap<(String, u64), u64> = HashMap::new();
        for process in workers.iter().filter_map(|worker| worker.process.as_ref()) {
            for run in process.running.iter().filter(|run| run.gang.is_some()) {
                *present.entry((run.step().to_owned(), run.run)).or_default() += 1;
            }
        }
        let now = Instant::now();
        for worker in workers.iter_mut() {
            let passed = now.duration_since(worker.last_tick).as_millis() as u64;
            if passed == 0 {
                continue;
            }
            worker.last_tick += Duration::from_millis(passed);
            let mut has_lapsed = false;
            if let Some(process) = &mut worker.process {
                for run in &mut process.running {
                    let count = present.get(&(run.step().to_owned(), run.run)).copied().unwrap_or(0);
                    let works = run.gang.is_none_or(|size| count >= size) && run.stop_at.is_none();
                    run.done_ms += if works { passed } else { 0 };
                }
                has_lapsed = process.since.elapsed().as_millis() as u64 >= process.lease_until;
            }
            if has_lapsed {
                self.end(worker, |_| true, "lapsed");
            }
            self.end(worker, |run| run.stop_at.is_some_and(|at| at <= now), "stopped");
            self.end(worker, |run| run.done_ms >= run.work_ms, "done");
            if worker.beat_at <= now {
                self.beat(worker);
            }
        }
    }

    fn handle(&self, index: usize, request: &Request) -> Response {
        let body = Json::parse(&request.body)?;
        if request.path == "/v1/hold" {
            return self.hold(index, request, &body);
        }
        let mut workers = self.lock();
        let worker = &mut workers[index];
        let id = worker.id.clone();
        if request.headers.get("x-expected-instance").is_some_and(|expected| *expected != id) {
            return answer(421, "{}");
        }
        let process = worker.process.as_mut()?;
        let clock = process.since.elapsed().as_millis() as u64;
        let refuse = |reason: &str| answer(409, &format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"));
        let token = body.get("fencingToken").num().unwrap_or(0);
        if token < process.token {
            return refuse("fence");
        }
        process.token = token;
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").num().unwrap_or(0));
        match request.path.as_str() {
            "/v1/run-start" => {
                let until = body.get("untilMs").num().unwrap_or(0);
                process.lease_until = process.lease_until.max(until.min(clock + MAX_HOLD_MS));
                if process.running.iter().any(|known| known.task == task && known.run == run) {
                    return answer(200, &format!("{{\"clockMs\":{clock}}}"));
                }
                if process.last_ended.get(&task).is_some_and(|last| run <= *last) {
                    return refuse("old");
                }
                if until <= clock {
                    return refuse("late");
                }
                // The specification holds the work in milliseconds, and the size of a gang.
                let mut words = body.get("specification").text().split(' ');
                // `lasts` stands for a task that runs until it is stopped.
                let work_ms = words.next().and_then(|word| word.parse().ok()).unwrap_or(LASTS);
                let gang = words.next().and_then(|word| word.parse().ok());
                let note = format!("by token {token}, checkpoint {:?}", body.get("checkpoint").text());
                self.record.note(&format!("{id} is told to start {task} run {run} {note}"));
                process.running.push(Running { task: task.clone(), run, work_ms, done_ms: 0, gang, stop_at: None });
                self.see(&id, &task, run, "start");
                answer(200, &format!("{{\"clockMs\":{clock}}}"))
            }
            "/v1/run-stop" => {
                let last = process.last_ended.entry(task.clone()).or_default();
                *last = (*last).max(run);
                let known = process.running.iter_mut().find(|known| known.task == task && known.run == run);
                if let Some(known) = known {
                    known.stop_at.get_or_insert(Instant::now() + Duration::from_millis(50));
                }
                answer(200, &format!("{{\"clockMs\":{clock}}}"))
            }
            "/v1/pace" => answer(200, &format!("{{\"clockMs\":{clock}}}")),
            _ => Some((404, Vec::new())),
        }
    }

    fn hold(&self, index: usize, request: &Request, body: &Json) -> Response {
        let wait = Duration::from_millis(body.get("waitMs").num().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let mut workers = self.lock();
        let born = workers[index].process.as_ref()?.born_ms;
        let mut is_first = true;
        loop {
            let worker = &mut workers[index];
            if request.headers.get("x-expected-instance").is_some_and(|id| *id != worker.id) {
                return answer(421, "{}");
            }
            let process = worker.process.as_mut().filter(|process| process.born_ms == born)?;
            let clock = process.since.elapsed().as_millis() as u64;
            let token = body.get("fencingToken").num().unwrap_or(0);
            if token < process.token {
                return answer(409, &format!("{{\"clockMs\":{clock},\"reason\":\"fence\"}}"));
            }
            process.token = token;
            if std::mem::take(&mut is_first) {
                let acked = body.get("ackedThrough").num().unwrap_or(0);
                for (_, task, run, how) in process.ended.iter().filter(|row| row.0 <= acked) {
                    self.record.note(&format!("{} {task} run {run}: end {how} is taken note of", worker.id));
                }
                process.ended.retain(|row| row.0 > acked);
                if let Some(lease) = body.get("untilMs").num() {
                    process.lease_until = process.lease_until.max(lease.min(clock + MAX_HOLD_MS));
                }
            }
            let now = Instant::now();
            if !process.ended.is_empty() || now >= until {
                let row = |run: &Running| {
                    let whole = if run.work_ms == LASTS { STARTUP_MS } else { run.work_ms.max(1) };
                    let percent = run.done_ms.min(whole) * 100 / whole;
                    format!("[\"{}\",{},\"\",{percent}]", run.task, run.run)
                };
                let running: Vec<String> = process.running.iter().map(row).collect();
                let row = |(number, task, run, how): &(u64, String, u64, &str)| {
                    format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
                };
                let ended: Vec<String> = process.ended.iter().take(500).map(row).collect();
                return answer(
                    200,
                    &format!(
                        "{{\"clockMs\":{clock},\"born\":{born},\"running\":[{}],\"ended\":[{}]}}",
                        running.join(","),
                        ended.join(",")
                    ),
                );
            }
            workers = self.changed.wait_timeout(workers, until - now).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------------------------------------------
// Instances

pub const HOST: &str = "host.example";

pub struct Instance {
    child: Option<Child>,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    pub front: SocketAddr,
    pub name: String,
}

impl Instance {
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("node")
            .env_clear()
            .env("KINGCUPWINCH_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut pids = File::options().create(true).append(true).open(self.log.with_file_name("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Returns whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(|child| matches!(child.try_wait(), Ok(Some(_))));
        ended.unwrap_or(true)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Deployment {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub instances: Vec<Instance>,
    pub record: Arc<Record>,
    pub has_trouble: bool,
}

fn free_port() -> std::io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

fn free_pair() -> std::io::Result<u16> {
    loop {
        let first = free_port()?;
        if first < 65_000 && TcpListener::bind(("127.0.0.1", first + 1)).is_ok() {
            return Ok(first);
        }
    }
}

impl Deployment {
    fn start(folder: &Path, temporary: &Path, program: &Path, count: usize) -> std::io::Result<Deployment> {
        let record = Arc::new(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(folder.join("record.txt"))?),
        });
        let store = Store::new();
        let world = Arc::new(World {
            workers: Mutex::default(),
            changed: Condvar::new(),
            seen: Mutex::default(),
            store: Arc::clone(&store),
            record: Arc::clone(&record),
        });
        let ticking = Arc::clone(&world);
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(Duration::from_millis(3));
            }
        });
        let mut instances = Vec::new();
        for index in 0..count {
            let name = format!("front-{index}");
            let address = store.serve()?;
            let (front, ready, pair) = (free_port()?, free_port()?, free_pair()?);
            let settings = temporary.join(format!("{name}.toml"));
            let text = format!(
                "node = \"{name}\"\nrole = \"instance\"\nmachineClass = \"front\"\nserves = [\"front\"]\n\
                 ip = \"127.0.0.1\"\nzone = \"z\"\nregion = \"r\"\ninternalPorts = [{pair}, {}]\n\
                 heartbeatMs = 1500\norders = \"push\"\n\
                 [listen]\nfront = \"127.0.0.1:{front}\"\nready = \"127.0.0.1:{ready}\"\n\
                 [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nfileDescriptors = 4100\nlinkMbps = 1000.0\n\
                 [bounds]\nmaxHoldMs = {MAX_HOLD_MS}\ngraceS = 6\nstatus_s = 120\nconfigApplyMs = 2000\nfarFactor = 2\n\
                 [platform]\naddress = \"{address}\"\nform = \"log\"\nrecordBytes = 262144\nrequestBytes = 2097152\n",
                pair + 1
            );
            std::fs::write(&settings, text)?;
            instances.push(Instance {
                child: None,
                program: program.to_owned(),
                settings,
                log: temporary.join(format!("{name}.log")),
                front: SocketAddr::from(([127, 0, 0, 1], front)),
                name,
            });
        }
        let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        Ok(Deployment { world, store, instances, record, has_trouble })
    }

    /// Publishes a configuration with one queue.
    pub fn publish(&self, version: u64, attempts: u64) {
        let config = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"queue\",\"host\":\"{HOST}\",\"pathPrefix\":\"/q/\",\
             \"service\":\"service\",\"priority\":1,\"maxAttempts\":{attempts},\"stretch\":2.2,\"targetLatencyMs\":1000}}],\
             \"services\":[{{\"name\":\"service\",\"admissionCheck\":false}}],\"limits\":{{\"maxBodyBytes\":262144}}}}"
        );
        self.store.put("keyed.op", "config", &config);
    }

    pub fn start_instances(&mut self) -> std::io::Result<()> {
        self.instances.iter_mut().try_for_each(Instance::start)
    }

    /// Submits a job until it is accepted; returns whether it was.
    pub fn submit(&self, id: &str, body: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        let mut nth = 0;
        while Instant::now() < until {
            let instance = &self.instances[nth % self.instances.len()];
            nth += 1;
            let response = send(instance.front, "POST", &format!("/q/{id}"), body, Duration::from_secs(3));
            self.record.note(&format!("POST {id} at {}: {}", instance.name, describe(&response)));
            if matches!(response, Ok((200..=299, _))) {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Returns the instance that has claimed the cell last, as the store shows it.
    pub fn owner(&self) -> Option<usize> {
        let claim = self.store.newest("keyed.group", 0, "claim")?;
        let name = Json::parse(claim.as_bytes())?.get("instance").text().to_owned();
        self.instances.iter().position(|instance| instance.name == name)
    }

    /// Asks for the state of a job, at each instance in turn, until one answers.
    pub fn state(&self, id: &str) -> Option<String> {
        for instance in &self.instances {
            let response = send(instance.front, "GET", &format!("/q/{id}"), "", Duration::from_secs(3));
            if let Ok((200, body)) = &response {
                return Some(Json::parse(body)?.get("state").text().to_owned());
            }
            self.record.note(&format!("GET {id} at {}: {}", instance.name, describe(&response)));
        }
        None
    }
}

pub fn describe(response: &Result<(u16, Vec<u8>), String>) -> String {
    match response {
        Ok((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
        Err(error) => format!("no response ({error})"),
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, folder, temporary, program] = &args[..] else {
        eprintln!("standin-3 SCENARIO FOLDER TEMPORARY PROGRAM");
        std::process::exit(2);
    };
    // The scenario ends in time whatever hangs.
    let code = {
        let paths = (Path::new(folder), Path::new(temporary), Path::new(program));
        match Deployment::start(paths.0, paths.1, paths.2, 3) {
            Ok(deployment) => scenarios::play(scenario, deployment),
            Err(error) => {
                eprintln!("{error}");
                2
            }
        }
    };
    std::process::exit(code);
}
