//! Runs one case of the review: `review-2 CASE DIRECTORY`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod address {
    //! A worker goes down and up once. Later it crashes, another worker comes at its address, and the owner is
    //! killed. A task that lasts and ran on the worker is not started again in time, though the address
    //! refuses calls that are meant for it.

    use std::path::Path;
    use std::sync::Arc;

    use crate::base::{Bounds, Deployment, Record, sleep_ms, worker_spec};
    use crate::{Verdict, has_trouble};

    const ID: &str = "00000000000000a4";
    const TASKS: usize = 10;
    const LAST: usize = 9;
    /// How long the owner is down.
    const DOWN_MS: u64 = 1_500;
    /// A machine is in touch `contactMs` after the end of a disruption. The rule then asks for 4 s and 3 s that
    /// are calm.
    const ALLOWED_MS: u64 = 3_000 + 4_000 + 3_000;

    pub fn run(dir: &Path) -> std::io::Result<(Verdict, Arc<Record>)> {
        let bounds = Bounds {
            link_mbps: 1_000.0,
            max_hold_ms: 10_000,
            beat_ms: 1_500,
        };
        let specs = (0..TASKS)
            .map(|i| worker_spec(i, "general", 16_000, &bounds))
            .collect();
        let mut deployment = Deployment::start(3, specs, &bounds, 3, dir)?;
        let record = Arc::clone(&deployment.record);
        sleep_ms(3_000);
        // `FLAP=0` leaves only the first crash out.
        let flaps = has_trouble() && std::env::var("FLAP").map_or(true, |value| value != "0");
        if flaps {
            deployment.workers[LAST].crash();
            sleep_ms(700);
            let spec = worker_spec(LAST, "general", 16_000, &bounds);
            deployment.workers[LAST].begin(spec)?;
        }
        sleep_ms(3_000);
        let body = format!(
            "{{\"specification\":\"-\",\"steps\":[{{\"count\":{TASKS},\"cpu\":2000,\"memMb\":1024,\
         \"estimatedDurationMs\":4000,\"antiAffinity\":1,\"longRunning\":true}}]}}"
        );
        if !deployment.submit(ID, &body) {
            return Ok((
                Verdict::NotRun("the submission was not accepted".into()),
                record,
            ));
        }
        let missing = |d: &Deployment| {
            let tasks = (0..TASKS).map(|index| format!("{ID}.0.0.{index}"));
            tasks.filter(|task| d.worker_of(task).is_none()).count()
        };
        if !deployment.wait(10_000, |d| missing(d) == 0) {
            return Ok((Verdict::NotRun("not all tasks were started".into()), record));
        }
        sleep_ms(2_000);
        let Some(owner) = deployment.owner() else {
            return Ok((
                Verdict::NotRun("no process owns the workers".into()),
                record,
            ));
        };
        if has_trouble() {
            deployment.workers[LAST].crash();
            sleep_ms(100);
            record.add(format!("{} is killed", deployment.nodes[owner].name));
            deployment.nodes[owner].kill();
            sleep_ms(400);
            let mut spec = worker_spec(LAST, "general", 16_000, &bounds);
            spec.id = "w10".into();
            deployment.workers[LAST].begin(spec)?;
            sleep_ms(DOWN_MS - 400);
            deployment.nodes[owner].run()?;
            record.add(format!("{} is started again", deployment.nodes[owner].name));
        }
        let calm_from = record.now();
        let in_time = deployment.wait(ALLOWED_MS, |d| missing(d) == 0);
        let at_limit = missing(&deployment);
        if !in_time {
            deployment.wait(20_000, |d| missing(d) == 0);
        }
        let took = record.now() - calm_from;
        deployment.request((owner + 1) % 3, "DELETE", ID, "");
        let text = format!(
            "{at_limit} tasks that last did not run {ALLOWED_MS} ms after the last disruption; all ran \
         after {took} ms"
        );
        record.add(text.clone());
        let verdict = match at_limit {
            0 => Verdict::Held(text),
            _ => Verdict::Broken(text),
        };
        Ok((verdict, record))
    }
}
#[allow(dead_code)]
mod base {
    //! Stand-ins of the users' platform on loopback: the store, workers, clients and the processes under
    //! test. Written from the users' pages, with the standard library only.

    use std::collections::{BTreeMap, HashMap};
    use std::fmt::Write as _;
    use std::io::{BufRead, BufReader, Read, Write};
    use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
    use std::path::{Path, PathBuf};
    use std::process::{Child, Command, Stdio};
    use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
    use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
    use std::thread;
    use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

    pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
        mutex.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn sleep_ms(ms: u64) {
        thread::sleep(Duration::from_millis(ms));
    }

    pub fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }

    // ---------------------------------------------------------------- JSON

    #[derive(Debug, Clone, PartialEq)]
    pub enum Json {
        Null,
        Bool(bool),
        Number(f64),
        Text(String),
        List(Vec<Json>),
        Object(Vec<(String, Json)>),
    }

    impl Json {
        pub fn parse(text: &str) -> Option<Json> {
            let bytes = text.as_bytes();
            let mut at = 0;
            let value = parse_value(bytes, &mut at)?;
            skip_space(bytes, &mut at);
            (at == bytes.len()).then_some(value)
        }

        pub fn get(&self, key: &str) -> Option<&Json> {
            match self {
                Json::Object(rows) => rows.iter().find(|(name, _)| name == key).map(|(_, v)| v),
                _ => None,
            }
        }

        pub fn text(&self, key: &str) -> String {
            match self.get(key) {
                Some(Json::Text(text)) => text.clone(),
                _ => String::new(),
            }
        }

        pub fn number(&self, key: &str) -> Option<u64> {
            match self.get(key) {
                Some(Json::Number(number)) => Some(*number as u64),
                _ => None,
            }
        }
    }

    fn skip_space(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        skip_space(bytes, at);
        match bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut rows = Vec::new();
                loop {
                    skip_space(bytes, at);
                    match bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Object(rows));
                        }
                        b',' => *at += 1,
                        _ => {
                            let key = parse_text(bytes, at)?;
                            skip_space(bytes, at);
                            if bytes.get(*at)? != &b':' {
                                return None;
                            }
                            *at += 1;
                            rows.push((key, parse_value(bytes, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut rows = Vec::new();
                loop {
                    skip_space(bytes, at);
                    match bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(rows));
                        }
                        b',' => *at += 1,
                        _ => rows.push(parse_value(bytes, at)?),
                    }
                }
            }
            b'"' => parse_text(bytes, at).map(Json::Text),
            b't' => word(bytes, at, "true", Json::Bool(true)),
            b'f' => word(bytes, at, "false", Json::Bool(false)),
            b'n' => word(bytes, at, "null", Json::Null),
            _ => {
                let start = *at;
                while bytes
                    .get(*at)
                    .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
                {
                    *at += 1;
                }
                let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(bytes: &[u8], at: &mut usize, text: &str, value: Json) -> Option<Json> {
        let end = *at + text.len();
        (bytes.get(*at..end)? == text.as_bytes()).then(|| {
            *at = end;
            value
        })
    }

    fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
        if bytes.get(*at)? != &b'"' {
            return None;
        }
        *at += 1;
        let mut text = Vec::new();
        loop {
            match bytes.get(*at)? {
                b'"' => {
                    *at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    *at += 1;
                    match bytes.get(*at)? {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let code = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let mut buffer = [0; 4];
                            let letter = char::from_u32(code).unwrap_or('?');
                            text.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                            *at += 4;
                        }
                        other => text.push(*other),
                    }
                    *at += 1;
                }
                other => {
                    text.push(*other);
                    *at += 1;
                }
            }
        }
    }

    pub fn base64(bytes: &[u8]) -> String {
        const DIGITS: &[u8; 64] =
            b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        let mut text = String::new();
        for chunk in bytes.chunks(3) {
            let b = [
                chunk[0],
                *chunk.get(1).unwrap_or(&0),
                *chunk.get(2).unwrap_or(&0),
            ];
            let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
            for i in 0..4 {
                if i <= chunk.len() {
                    text.push(DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char);
                } else {
                    text.push('=');
                }
            }
        }
        text
    }

    // ---------------------------------------------------------------- record of the case

    /// What was sent, answered and run, with the time since the start of the case in milliseconds.
    pub struct Record {
        start: Instant,
        lines: Mutex<Vec<(u64, String)>>,
    }

    impl Record {
        pub fn new() -> Arc<Self> {
            Arc::new(Record {
                start: Instant::now(),
                lines: Mutex::default(),
            })
        }

        pub fn now(&self) -> u64 {
            self.start.elapsed().as_millis() as u64
        }

        pub fn add(&self, text: impl Into<String>) {
            lock(&self.lines).push((self.now(), text.into()));
        }

        pub fn write(&self, path: &Path) -> std::io::Result<()> {
            let mut text = String::new();
            for (at, line) in lock(&self.lines).iter() {
                let _ = writeln!(text, "{:8.3} {line}", *at as f64 / 1000.0);
            }
            std::fs::write(path, text)
        }
    }

    // ---------------------------------------------------------------- HTTP

    #[derive(Debug, Default)]
    pub struct Request {
        pub method: String,
        pub path: String,
        pub query: HashMap<String, String>,
        pub headers: HashMap<String, String>,
        pub body: Vec<u8>,
    }

    pub type Response = Option<(u16, Vec<u8>)>;

    fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut words = line.split_whitespace();
        let mut request = Request {
            method: words.next()?.to_owned(),
            ..Request::default()
        };
        let target = words.next()?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        request.path = path.to_owned();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            request.query.insert(name.to_owned(), unescape(value));
        }
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                request.headers.insert(name, value.trim().to_owned());
            }
        }
        let length = request.headers.get("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        request.body = vec![0; length];
        reader.read_exact(&mut request.body).ok()?;
        Some(request)
    }

    fn unescape(text: &str) -> String {
        let bytes = text.as_bytes();
        let mut plain = Vec::new();
        let mut at = 0;
        while at < bytes.len() {
            let code = text.get(at + 1..at + 3);
            match (bytes[at], code.and_then(|c| u8::from_str_radix(c, 16).ok())) {
                (b'%', Some(byte)) => {
                    plain.push(byte);
                    at += 3;
                }
                (byte, _) => {
                    plain.push(byte);
                    at += 1;
                }
            }
        }
        String::from_utf8_lossy(&plain).into_owned()
    }

    /// A server whose process can end: its connections are closed and its port refuses others.
    pub struct Server {
        pub address: SocketAddr,
        stopped: Arc<AtomicBool>,
        streams: Arc<Mutex<Vec<TcpStream>>>,
    }

    impl Server {
        pub fn start<F>(address: &str, handle: F) -> std::io::Result<Server>
        where
            F: Fn(Request) -> Response + Send + Sync + 'static,
        {
            let mut tries = 0;
            let listener = loop {
                match TcpListener::bind(address) {
                    Ok(listener) => break listener,
                    Err(error) if tries > 100 => return Err(error),
                    Err(_) => tries += 1,
                }
                sleep_ms(20);
            };
            listener.set_nonblocking(true)?;
            let server = Server {
                address: listener.local_addr()?,
                stopped: Arc::default(),
                streams: Arc::default(),
            };
            let (stopped, streams) = (Arc::clone(&server.stopped), Arc::clone(&server.streams));
            let handle = Arc::new(handle);
            thread::spawn(move || {
                while !stopped.load(Ordering::SeqCst) {
                    let Ok((stream, _)) = listener.accept() else {
                        sleep_ms(1);
                        continue;
                    };
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(clone) = stream.try_clone() {
                        let mut streams = lock(&streams);
                        if stopped.load(Ordering::SeqCst) {
                            let _ = stream.shutdown(Shutdown::Both);
                            return;
                        }
                        streams.push(clone);
                    }
                    let (handle, stopped) = (Arc::clone(&handle), Arc::clone(&stopped));
                    thread::spawn(move || {
                        let _ = connection(stream, &*handle, &stopped);
                    });
                }
            });
            Ok(server)
        }

        pub fn close_connections(&self) {
            for stream in lock(&self.streams).drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }

        pub fn stop(&self) {
            self.stopped.store(true, Ordering::SeqCst);
            self.close_connections();
        }
    }

    fn connection<F>(stream: TcpStream, handle: &F, stopped: &AtomicBool) -> std::io::Result<()>
    where
        F: Fn(Request) -> Response,
    {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let response = handle(request);
            let Some((status, body)) = response.filter(|_| !stopped.load(Ordering::SeqCst)) else {
                break;
            };
            let head = format!(
                "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&body);
            writer.write_all(&bytes)?;
        }
        let _ = writer.shutdown(Shutdown::Both);
        Ok(())
    }

    /// Sends one request on a channel of its own; `None` without a complete response.
    pub fn call(
        address: SocketAddr,
        method: &str,
        path: &str,
        host: &str,
        body: &str,
        wait_ms: u64,
    ) -> Option<(u16, String)> {
        let wait = Duration::from_millis(wait_ms);
        let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
        stream.set_read_timeout(Some(wait)).ok()?;
        let _ = stream.set_nodelay(true);
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Deadline-Remaining-Ms: {wait_ms}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        let mut length = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(text) = line.strip_prefix("content-length:") {
                length = text.trim().parse().ok()?;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }

    // ---------------------------------------------------------------- the platform's store

    #[derive(Default)]
    struct Producer {
        epoch: u64,
        last: Option<u64>,
        answers: Vec<(u64, u64, u64)>,
    }

    #[derive(Default)]
    struct Partition {
        records: Vec<Vec<u8>>,
        newest: BTreeMap<String, (Vec<u8>, u64)>,
        producers: HashMap<String, Producer>,
    }

    /// How the store treats calls.
    #[derive(Debug, Clone, Copy, PartialEq)]
    pub enum StoreMode {
        Up,
        /// 503: nothing was done.
        Busy,
        /// No answer.
        Silent,
        /// Each answer takes so many milliseconds.
        Slow(u64),
        /// Appends are done and not answered; reads are answered.
        Lost,
        /// Appends are done so many milliseconds later, without an answer; reads are answered.
        Late(u64),
    }

    #[derive(Default)]
    struct StoreState {
        partitions: HashMap<(String, u64), Partition>,
    }

    /// Decides how a call of a process (its number) on a topic is treated; true for appends.
    type Gate = Box<dyn Fn(usize, &str, bool) -> StoreMode + Send + Sync>;

    pub struct Store {
        state: Mutex<StoreState>,
        changed: Condvar,
        gate: Mutex<Gate>,
        pub record: Arc<Record>,
        /// Process that made the last append under an epoch.
        pub last_fenced: AtomicU64,
        pub fenced_appends: AtomicU64,
    }

    impl Store {
        pub fn new(record: &Arc<Record>) -> Arc<Self> {
            Arc::new(Store {
                state: Mutex::default(),
                changed: Condvar::new(),
                gate: Mutex::new(Box::new(|_, _, _| StoreMode::Up)),
                record: Arc::clone(record),
                last_fenced: AtomicU64::new(u64::MAX),
                fenced_appends: AtomicU64::new(0),
            })
        }

        pub fn set_gate(
            &self,
            gate: impl Fn(usize, &str, bool) -> StoreMode + Send + Sync + 'static,
        ) {
            *lock(&self.gate) = Box::new(gate);
            self.changed.notify_all();
        }

        pub fn mode(&self, process: usize, topic: &str, is_append: bool) -> StoreMode {
            lock(&self.gate)(process, topic, is_append)
        }

        /// Serves the store to one process.
        pub fn serve(self: &Arc<Self>, process: usize) -> std::io::Result<Server> {
            let store = Arc::clone(self);
            Server::start("127.0.0.1:0", move |request| {
                store.handle(process, &request)
            })
        }

        /// Writes a record of the operator or of a worker.
        pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
            let mut record = vec![key.len() as u8];
            record.extend_from_slice(key.as_bytes());
            record.extend_from_slice(value);
            let mut state = lock(&self.state);
            let partition = state.partitions.entry((topic.to_owned(), 0)).or_default();
            partition.add(topic, record);
            self.changed.notify_all();
        }

        fn handle(&self, process: usize, request: &Request) -> Response {
            let topic = request.query.get("topic").cloned().unwrap_or_default();
            let part = number(request, "part");
            let is_append = request.path == "/v1/log-append";
            match self.mode(process, &topic, is_append) {
                StoreMode::Up => {}
                StoreMode::Busy => return Some((503, Vec::new())),
                StoreMode::Silent => {
                    while self.mode(process, &topic, is_append) == StoreMode::Silent {
                        sleep_ms(20);
                    }
                    return None;
                }
                StoreMode::Slow(ms) => sleep_ms(ms),
                StoreMode::Lost if is_append => {
                    self.append(process, topic, part, request);
                    return None;
                }
                StoreMode::Late(ms) if is_append => {
                    sleep_ms(ms);
                    self.append(process, topic, part, request);
                    return None;
                }
                StoreMode::Lost | StoreMode::Late(_) => {}
            }
            match request.path.as_str() {
                "/v1/log-append" => self.append(process, topic, part, request),
                "/v1/log-read" => self.read(process, &topic, part, request),
                "/v1/log-newest" => self.newest(&topic, part, request),
                _ => Some((404, Vec::new())),
            }
        }

        fn append(&self, process: usize, topic: String, part: u64, request: &Request) -> Response {
            let mut records = Vec::new();
            let mut rest = &request.body[..];
            while rest.len() >= 4 {
                let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                if rest.len() < 4 + length {
                    return Some((400, Vec::new()));
                }
                records.push(rest[4..4 + length].to_vec());
                rest = &rest[4 + length..];
            }
            let mut state = lock(&self.state);
            let partition = state.partitions.entry((topic.clone(), part)).or_default();
            let end = partition.records.len() as u64;
            let fence = request.query.get("producer").cloned();
            let (epoch, sequence) = (number(request, "epoch"), number(request, "sequence"));
            if let Some(name) = &fence {
                let producer = partition.producers.entry(name.clone()).or_default();
                if epoch < producer.epoch {
                    return answer(409, "{\"reason\":\"fenced\"}".into());
                }
                if epoch > producer.epoch {
                    *producer = Producer {
                        epoch,
                        ..Producer::default()
                    };
                } else {
                    if let Some((_, from, to)) = producer.answers.iter().find(|a| a.0 == sequence) {
                        return answer(200, format!("{{\"offset\":{from},\"end\":{to}}}"));
                    }
                    if producer.last.is_some_and(|last| last + 1 != sequence) {
                        let expected = producer.last.unwrap_or(0) + 1;
                        let text = format!("{{\"reason\":\"seq\",\"sequence\":{expected}}}");
                        return answer(409, text);
                    }
                }
            }
            let at = request
                .query
                .get("at")
                .and_then(|at| at.parse::<u64>().ok());
            if at.is_some_and(|at| at != end) {
                return answer(412, format!("{{\"end\":{end}}}"));
            }
            let has_records = !records.is_empty();
            for record in records {
                partition.add(&topic, record);
            }
            let to = partition.records.len() as u64;
            if let Some(name) = fence {
                let producer = partition.producers.entry(name).or_default();
                producer.last = Some(sequence);
                producer.answers.push((sequence, end, to));
                let excess = producer.answers.len().saturating_sub(5);
                producer.answers.drain(..excess);
                self.last_fenced.store(process as u64, Ordering::SeqCst);
                if has_records {
                    self.fenced_appends.fetch_add(1, Ordering::SeqCst);
                }
            }
            self.changed.notify_all();
            drop(state);
            answer(200, format!("{{\"offset\":{end},\"end\":{to}}}"))
        }

        fn read(&self, process: usize, topic: &str, part: u64, request: &Request) -> Response {
            let from = number(request, "from") as usize;
            let until = Instant::now() + Duration::from_millis(number(request, "waitMs"));
            let limit = match number(request, "maxKilobytes") {
                0 => 1024,
                kilobytes => kilobytes as usize,
            } * 1024;
            loop {
                let state = lock(&self.state);
                let partition = state.partitions.get(&(topic.to_owned(), part));
                let records = partition.map_or(&[][..], |p| &p.records[..]);
                let now = Instant::now();
                if records.len() > from || now >= until {
                    let mut bytes = Vec::new();
                    bytes.extend_from_slice(&(records.len() as u64).to_be_bytes());
                    bytes.extend_from_slice(&0_u64.to_be_bytes());
                    for record in records.iter().skip(from) {
                        if bytes.len() > 16 && bytes.len() + record.len() > limit {
                            break;
                        }
                        bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                        bytes.extend_from_slice(record);
                    }
                    drop(state);
                    // A store that has become unavailable meanwhile answers nothing.
                    return match self.mode(process, topic, false) {
                        StoreMode::Up
                        | StoreMode::Slow(_)
                        | StoreMode::Lost
                        | StoreMode::Late(_) => Some((200, bytes)),
                        StoreMode::Busy => Some((503, Vec::new())),
                        StoreMode::Silent => None,
                    };
                }
                drop(self.changed.wait_timeout(state, until - now));
            }
        }

        fn newest(&self, topic: &str, part: u64, request: &Request) -> Response {
            let after = request.query.get("after");
            let state = lock(&self.state);
            let Some(partition) = state.partitions.get(&(topic.to_owned(), part)) else {
                return answer(200, "{\"items\":[],\"more\":false,\"end\":0}".into());
            };
            let mut items = Vec::new();
            let (mut bytes, mut more) = (0, false);
            for (key, (value, offset)) in &partition.newest {
                if after.is_some_and(|after| key <= after) {
                    continue;
                }
                if items.len() == 500 || bytes > 1_000_000 {
                    more = true;
                    break;
                }
                bytes += value.len();
                let value = base64(value);
                items.push(format!(
                    "{{\"key\":{key:?},\"value\":\"{value}\",\"offset\":{offset}}}"
                ));
            }
            let (items, end) = (items.join(","), partition.records.len());
            answer(
                200,
                format!("{{\"items\":[{items}],\"more\":{more},\"end\":{end}}}"),
            )
        }
    }

    impl Partition {
        fn add(&mut self, topic: &str, record: Vec<u8>) {
            if topic.starts_with("keyed.") && !record.is_empty() {
                let length = usize::from(record[0]);
                let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                let value = record[1 + length..].to_vec();
                if value.is_empty() {
                    self.newest.remove(&key);
                } else {
                    self.newest.insert(key, (value, self.records.len() as u64));
                }
            }
            self.records.push(record);
        }
    }

    fn number(request: &Request, name: &str) -> u64 {
        let text = request.query.get(name);
        text.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn answer(status: u16, body: String) -> Response {
        Some((status, body.into_bytes()))
    }

    // ---------------------------------------------------------------- workers

    /// An event at a worker.
    #[derive(Debug, Clone, PartialEq)]
    pub struct Event {
        pub at: u64,
        pub worker: String,
        /// Start of the worker's process.
        pub born: u64,
        pub kind: Kind,
        pub task: String,
        pub run: u64,
    }

    #[derive(Debug, Clone, PartialEq)]
    pub enum Kind {
        Started,
        Ended(&'static str),
        Acked(&'static str),
        /// The lease of all that runs has ended.
        Lapsed,
        Crashed,
        Up,
    }

    pub type Events = Arc<Mutex<Vec<Event>>>;

    struct Run {
        task: String,
        run: u64,
        /// Milliseconds of work; `None` for tasks that last.
        work_ms: Option<u64>,
        since: u64,
        checkpoint: String,
        /// Whether it serves users, with a tail of 10 ms.
        serves: bool,
    }

    #[derive(Default)]
    struct Engine {
        token: u64,
        lease_until: u64,
        runs: Vec<Run>,
        /// Whether something may run, so that the end of the lease ends it.
        has_lease: bool,
        ended: Vec<(u64, String, u64, &'static str)>,
        ends: u64,
        last_ended: HashMap<String, u64>,
    }

    #[derive(Clone)]
    pub struct WorkerSpec {
        pub id: String,
        pub service: String,
        pub cpu: u64,
        pub mem_mb: u64,
        pub labels: Vec<String>,
        pub max_hold_ms: u64,
        pub beat_ms: u64,
    }

    struct Life {
        spec: WorkerSpec,
        born: u64,
        start: Instant,
        engine: Mutex<Engine>,
        stopped: AtomicBool,
        draining: AtomicBool,
        trouble: Mutex<Trouble>,
        events: Events,
        record: Arc<Record>,
    }

    /// How a worker treats calls.
    #[derive(Debug, Clone, Copy, PartialEq)]
    pub enum Trouble {
        None,
        /// Partitioned: nothing arrives, and nothing is answered.
        Cut,
        /// It carries calls out and does not answer.
        AnswersLost,
        /// It carries orders out so many milliseconds later, without an answer.
        Late(u64),
    }

    /// A worker: its address, and its current life if it is up.
    pub struct Worker {
        pub address: SocketAddr,
        life: Option<(Arc<Life>, Server)>,
        store: Arc<Store>,
        events: Events,
        record: Arc<Record>,
        listed_until: Arc<Mutex<HashMap<String, Instant>>>,
    }

    impl Life {
        fn clock(&self) -> u64 {
            self.start.elapsed().as_millis() as u64
        }

        fn note(&self, kind: Kind, task: &str, run: u64) {
            let event = Event {
                at: self.record.now(),
                worker: self.spec.id.clone(),
                born: self.born,
                kind,
                task: task.to_owned(),
                run,
            };
            let Event { worker, kind, .. } = &event;
            self.record
                .add(format!("worker {worker}: {kind:?} {task} run {run}"));
            lock(&self.events).push(event);
        }

        fn tick(&self, engine: &mut Engine) {
            let now = self.clock();
            let is_lapsed = now >= engine.lease_until;
            let mut left = Vec::new();
            for run in std::mem::take(&mut engine.runs) {
                let is_done = run.work_ms.is_some_and(|work| now >= run.since + work);
                let how = match (is_done, is_lapsed) {
                    (true, _) => "done",
                    (false, true) => "lapsed",
                    (false, false) => {
                        left.push(run);
                        continue;
                    }
                };
                self.end(engine, &run, how);
            }
            engine.runs = left;
            if is_lapsed && std::mem::take(&mut engine.has_lease) {
                self.note(Kind::Lapsed, "", 0);
            }
        }

        fn end(&self, engine: &mut Engine, run: &Run, how: &'static str) {
            engine.ends += 1;
            let row = (engine.ends, run.task.clone(), run.run, how);
            engine.ended.push(row);
            let last = engine.last_ended.entry(run.task.clone()).or_default();
            *last = (*last).max(run.run);
            self.note(Kind::Ended(how), &run.task, run.run);
        }

        fn refuse(&self, reason: &str) -> Response {
            answer(
                409,
                format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", self.clock()),
            )
        }

        fn handle(&self, request: &Request) -> Response {
            let expected = request.headers.get("x-expected-instance");
            if expected.is_some_and(|id| *id != self.spec.id) {
                return Some((421, Vec::new()));
            }
            let trouble = *lock(&self.trouble);
            match trouble {
                Trouble::None | Trouble::AnswersLost => {}
                Trouble::Cut => {
                    while *lock(&self.trouble) == Trouble::Cut {
                        sleep_ms(20);
                    }
                    return None;
                }
                Trouble::Late(ms) if request.path != "/v1/hold" => sleep_ms(ms),
                Trouble::Late(_) => {}
            }
            let response = self.carry_out(request);
            match trouble {
                Trouble::AnswersLost => None,
                Trouble::Late(_) if request.path != "/v1/hold" => None,
                _ => response,
            }
        }

        fn carry_out(&self, request: &Request) -> Response {
            let body = Json::parse(&String::from_utf8_lossy(&request.body))?;
            let token = body.number("fencingToken").unwrap_or(0);
            let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
            match request.path.as_str() {
                "/v1/run-start" => self.start(&body, token, task, run),
                "/v1/run-stop" => {
                    let mut engine = lock(&self.engine);
                    self.tick(&mut engine);
                    if token < engine.token {
                        return self.refuse("fence");
                    }
                    engine.token = token;
                    let last = engine.last_ended.entry(task.clone()).or_default();
                    *last = (*last).max(run);
                    let runs = std::mem::take(&mut engine.runs);
                    let is_it = |known: &Run| known.task == task && known.run == run;
                    let (stopped, left): (Vec<_>, Vec<_>) = runs.into_iter().partition(is_it);
                    engine.runs = left;
                    for run in stopped {
                        self.end(&mut engine, &run, "stopped");
                    }
                    answer(200, format!("{{\"clockMs\":{}}}", self.clock()))
                }
                "/v1/hold" => self.hold(&body, token),
                "/v1/pace" => answer(200, format!("{{\"clockMs\":{}}}", self.clock())),
                _ => Some((404, Vec::new())),
            }
        }

        fn start(&self, body: &Json, token: u64, task: String, run: u64) -> Response {
            let until = body.number("untilMs").unwrap_or(0);
            let mut engine = lock(&self.engine);
            self.tick(&mut engine);
            if token < engine.token {
                return self.refuse("fence");
            }
            engine.token = token;
            let now = self.clock();
            if until <= now {
                return self.refuse("late");
            }
            engine.lease_until = engine
                .lease_until
                .max(until.min(now + self.spec.max_hold_ms));
            engine.has_lease = true;
            if engine
                .runs
                .iter()
                .any(|known| known.task == task && known.run == run)
            {
                return answer(200, format!("{{\"clockMs\":{now}}}"));
            }
            if engine
                .last_ended
                .get(&task)
                .is_some_and(|last| run <= *last)
            {
                return self.refuse("old");
            }
            if self.stopped.load(Ordering::SeqCst) {
                return None;
            }
            // The specification gives the work of each step in milliseconds, `-` for tasks that last and
            // `-s` for those that serve.
            let specification = body.text("specification");
            let step: usize = task
                .split('.')
                .nth(2)
                .and_then(|s| s.parse().ok())
                .unwrap_or(0);
            let work = specification.split(',').nth(step).unwrap_or("1000").trim();
            engine.runs.push(Run {
                task: task.clone(),
                run,
                work_ms: work.parse().ok(),
                since: now,
                checkpoint: body.text("checkpoint"),
                serves: work.ends_with('s'),
            });
            self.note(Kind::Started, &task, run);
            answer(200, format!("{{\"clockMs\":{now}}}"))
        }

        fn hold(&self, body: &Json, token: u64) -> Response {
            let wait = body.number("waitMs").unwrap_or(0).min(2_000);
            let until = Instant::now() + Duration::from_millis(wait);
            let acked = body.number("ackedThrough").unwrap_or(0);
            let mut is_first = true;
            loop {
                if self.stopped.load(Ordering::SeqCst) {
                    return None;
                }
                let mut engine = lock(&self.engine);
                self.tick(&mut engine);
                if token < engine.token {
                    return self.refuse("fence");
                }
                engine.token = token;
                if std::mem::take(&mut is_first) {
                    if let Some(until) = body.number("untilMs") {
                        let until = until.min(self.clock() + self.spec.max_hold_ms);
                        engine.lease_until = engine.lease_until.max(until);
                        engine.has_lease = engine.lease_until > self.clock();
                    }
                    let ended = std::mem::take(&mut engine.ended);
                    for row in ended {
                        if row.0 <= acked {
                            self.note(Kind::Acked(row.3), &row.1, row.2);
                        } else {
                            engine.ended.push(row);
                        }
                    }
                }
                if !engine.ended.is_empty() || Instant::now() >= until {
                    let now = self.clock();
                    let running: Vec<String> = engine
                        .runs
                        .iter()
                        .map(|run| {
                            let passed = now.saturating_sub(run.since);
                            let percent = match run.work_ms {
                                Some(work) => (passed * 100 / work.max(1)).min(99),
                                None => (passed / 2).min(100),
                            };
                            format!(
                                "[{:?},{},{:?},{percent},{}]",
                                run.task,
                                run.run,
                                run.checkpoint,
                                if run.serves { 10 } else { 500 }
                            )
                        })
                        .collect();
                    let ended = engine.ended.iter().take(500);
                    let ended: Vec<String> = ended
                        .map(|(n, task, run, how)| format!("[{n},{task:?},{run},\"{how}\",\"\"]"))
                        .collect();
                    return answer(
                        200,
                        format!(
                            "{{\"clockMs\":{now},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
                            self.born,
                            running.join(","),
                            ended.join(",")
                        ),
                    );
                }
                drop(engine);
                sleep_ms(5);
            }
        }

        fn entry(&self, address: SocketAddr, sequence: u64) -> String {
            let WorkerSpec {
                service,
                cpu,
                mem_mb,
                labels,
                ..
            } = &self.spec;
            let state = if self.draining.load(Ordering::SeqCst) {
                "draining"
            } else {
                "ready"
            };
            format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
             \"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\"coldRemainingMs\":0,\
             \"sequence\":{sequence},\"born\":{},\"capacity\":{{\"cpu\":{cpu},\"memMb\":{mem_mb},\
             \"gpu\":0}},\"labels\":{labels:?}}}",
                self.born
            )
        }
    }

    impl Worker {
        pub fn start(
            spec: WorkerSpec,
            store: &Arc<Store>,
            events: &Events,
            record: &Arc<Record>,
        ) -> std::io::Result<Worker> {
            let address = free_address()?;
            let mut worker = Worker {
                address,
                life: None,
                store: Arc::clone(store),
                events: Arc::clone(events),
                record: Arc::clone(record),
                listed_until: Arc::default(),
            };
            worker.begin(spec)?;
            Ok(worker)
        }

        /// Starts a life of the worker under the id of `spec`. It registers at once and then about every
        /// `beat_ms`; its entry goes after three such intervals of silence.
        pub fn begin(&mut self, spec: WorkerSpec) -> std::io::Result<()> {
            let life = Arc::new(Life {
                born: unix_ms(),
                start: Instant::now(),
                engine: Mutex::default(),
                stopped: AtomicBool::new(false),
                draining: AtomicBool::new(false),
                trouble: Mutex::new(Trouble::None),
                events: Arc::clone(&self.events),
                record: Arc::clone(&self.record),
                spec,
            });
            let handler = Arc::clone(&life);
            let server = Server::start(&self.address.to_string(), move |request| {
                handler.handle(&request)
            })?;
            life.note(Kind::Up, &life.spec.labels.join("/"), 0);
            let (beating, store, address) =
                (Arc::clone(&life), Arc::clone(&self.store), self.address);
            let listed = Arc::clone(&self.listed_until);
            thread::spawn(move || {
                let beat = Duration::from_millis(beating.spec.beat_ms);
                let mut sequence = 0;
                let mut next = Instant::now();
                while !beating.stopped.load(Ordering::SeqCst) {
                    let mode = store.mode(usize::MAX, "keyed.servers", true);
                    if Instant::now() >= next && mode == StoreMode::Up {
                        sequence += 1;
                        let entry = beating.entry(address, sequence);
                        lock(&listed).insert(beating.spec.id.clone(), Instant::now() + beat * 3);
                        store.put("keyed.servers", &beating.spec.id, entry.as_bytes());
                        next = Instant::now() + beat;
                    }
                    let mut engine = lock(&beating.engine);
                    beating.tick(&mut engine);
                    drop(engine);
                    sleep_ms(10);
                }
                // The platform removes the entry of a silent worker.
                let id = beating.spec.id.clone();
                loop {
                    sleep_ms(50);
                    let mut listed = lock(&listed);
                    match listed.get(&id) {
                        Some(until) if *until > Instant::now() => {}
                        Some(_) => {
                            listed.remove(&id);
                            store.put("keyed.servers", &id, b"");
                            return;
                        }
                        None => return,
                    }
                }
            });
            self.life = Some((life, server));
            Ok(())
        }

        pub fn spec(&self) -> Option<WorkerSpec> {
            self.life.as_ref().map(|(life, _)| life.spec.clone())
        }

        pub fn is_up(&self) -> bool {
            self.life.is_some()
        }

        /// Returns the tasks that run.
        pub fn running(&self) -> Vec<String> {
            let Some((life, _)) = &self.life else {
                return Vec::new();
            };
            let mut engine = lock(&life.engine);
            life.tick(&mut engine);
            engine.runs.iter().map(|run| run.task.clone()).collect()
        }

        pub fn set_trouble(&self, trouble: Trouble) {
            if let Some((life, _)) = &self.life {
                *lock(&life.trouble) = trouble;
            }
        }

        pub fn close_channels(&self) {
            if let Some((_, server)) = &self.life {
                server.close_connections();
            }
        }

        pub fn drain(&self) {
            if let Some((life, _)) = &self.life {
                life.draining.store(true, Ordering::SeqCst);
            }
        }

        /// Crashes the worker: everything that runs there ends, and its port refuses channels.
        pub fn crash(&mut self) {
            if let Some((life, server)) = self.life.take() {
                let mut engine = lock(&life.engine);
                life.tick(&mut engine);
                life.stopped.store(true, Ordering::SeqCst);
                server.stop();
                for run in std::mem::take(&mut engine.runs) {
                    life.note(Kind::Ended("crashed"), &run.task, run.run);
                }
                life.note(Kind::Crashed, "", 0);
            }
        }
    }

    // ---------------------------------------------------------------- the processes under test

    pub struct Node {
        pub name: String,
        pub front: SocketAddr,
        settings: PathBuf,
        log: PathBuf,
        program: PathBuf,
        child: Option<Child>,
    }

    /// Settings of a small deployment.
    #[derive(Clone)]
    pub struct Bounds {
        pub link_mbps: f64,
        pub max_hold_ms: u64,
        pub beat_ms: u64,
    }

    /// Ids of the processes that were started and not waited for.
    static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

    /// Ends all processes and the case, which could not run, if it takes too long.
    pub fn end_after(ms: u64) {
        thread::spawn(move || {
            sleep_ms(ms);
            for id in lock(&CHILDREN).iter() {
                let mut command = Command::new("sh");
                let _ = command.arg("-c").arg(format!("kill -KILL {id}")).status();
            }
            println!("the case could not run: it took too long");
            std::process::exit(2);
        });
    }

    static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

    /// Returns the first of three adjacent free ports below the range of outgoing channels.
    pub fn free_ports() -> std::io::Result<u16> {
        let start = u64::from(std::process::id() % 97) * 180;
        for _ in 0..5_000 {
            let offset = NEXT_PORT.fetch_add(3, Ordering::SeqCst);
            let port = 12_000 + ((start + offset) % 18_000) as u16;
            if (port..port + 3).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok()) {
                return Ok(port);
            }
        }
        Err(std::io::Error::other("no free ports"))
    }

    pub fn free_address() -> std::io::Result<SocketAddr> {
        Ok(SocketAddr::from(([127, 0, 0, 1], free_ports()?)))
    }

    impl Node {
        pub fn start(
            name: &str,
            zone: &str,
            store: SocketAddr,
            bounds: &Bounds,
            adviser: Option<SocketAddr>,
            dir: &Path,
        ) -> std::io::Result<Node> {
            let (front, ready, internal) = (free_address()?, free_address()?, free_ports()?);
            let advice = adviser
                .map(|a| format!("advice = \"{a}\"\n"))
                .unwrap_or_default();
            let Bounds {
                link_mbps,
                max_hold_ms,
                beat_ms,
            } = bounds;
            let text = format!(
                "node = \"{name}\"\nrole = \"instance\"\nmachineClass = \"front\"\nserves = [\"front\"]\n\
             ip = \"127.0.0.1\"\nzone = \"{zone}\"\nregion = \"region\"\n\
             internalPorts = [{internal}, {}]\nseeds = []\nfirstStart = true\n\
             discovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeatMs = {beat_ms}\n\
             orders = \"push\"\n{advice}\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nfileDescriptors = 4100\n\
             linkMbps = {link_mbps}\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
             [bounds]\ncontactMs = 3000\nackTimeoutMs = 4000\ndrainMs = 2000\ngraceS = 6\n\
             configApplyMs = 2000\nouterBoundMs = 5000\nrecoveryS = 12\n\
             maxHoldMs = {max_hold_ms}\nstopMs = 900\ngangTimeoutMs = 3000\ncancel_ms = 3000\n\
             visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\nwritesPerS = 800\n\
             readsPerS = 2000\nparts = 8\nappendMs = 4.0\nrecordBytes = 262144\n\
             requestBytes = 2097152\nkeep_s = 300\npartitionMb = 200\nminTtlMs = 1000\n",
                internal + 2
            );
            let settings = dir.join(format!("{name}.toml"));
            std::fs::write(&settings, text)?;
            let mut node = Node {
                name: name.to_owned(),
                front,
                settings,
                log: dir.join(format!("{name}.log")),
                program: std::env::current_dir()?.join("target/release/kingcupwinchd"),
                child: None,
            };
            node.run()?;
            Ok(node)
        }

        /// Starts the process, with the command of the deploy file.
        pub fn run(&mut self) -> std::io::Result<()> {
            let log = std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(&self.log)?;
            let child = Command::new(&self.program)
                .arg("node")
                .env("KINGCUPWINCH_CONFIG", &self.settings)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            lock(&CHILDREN).push(child.id());
            self.child = Some(child);
            Ok(())
        }

        pub fn kill(&mut self) {
            if let Some(mut child) = self.child.take() {
                let _ = child.kill();
                let _ = child.wait();
                lock(&CHILDREN).retain(|id| *id != child.id());
            }
        }

        /// Sends a signal by name, such as `STOP`.
        pub fn signal(&self, name: &str) {
            if let Some(child) = &self.child {
                let mut command = Command::new("sh");
                let text = format!("kill -{name} {}", child.id());
                let _ = command.arg("-c").arg(text).status();
            }
        }

        /// Returns whether the process has ended by itself.
        pub fn has_ended(&mut self) -> bool {
            let child = self.child.as_mut();
            child.is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
        }
    }

    impl Drop for Node {
        fn drop(&mut self) {
            self.kill();
        }
    }

    // ---------------------------------------------------------------- a small deployment

    pub const HOST: &str = "jobs.example";
    pub const PREFIX: &str = "/queue/";

    pub struct Deployment {
        pub record: Arc<Record>,
        pub events: Events,
        pub store: Arc<Store>,
        pub nodes: Vec<Node>,
        pub workers: Vec<Worker>,
        pub dir: PathBuf,
        _servers: Vec<Server>,
    }

    /// A configuration with one queue.
    pub fn configuration(version: u64, max_attempts: u64) -> String {
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"queue\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"{PREFIX}\",\"service\":\"workers\",\"priority\":0,\
         \"maxAttempts\":{max_attempts},\"stretch\":2.0,\"targetLatencyMs\":1000}}],\
         \"services\":[{{\"name\":\"workers\",\"admissionCheck\":false}}],\
         \"limits\":{{\"maxBodyBytes\":262144}}}}"
        )
    }

    pub fn worker_spec(index: usize, kind: &str, cpu: u64, bounds: &Bounds) -> WorkerSpec {
        WorkerSpec {
            id: format!("w{index}"),
            service: "workers".into(),
            cpu,
            mem_mb: 64_000,
            labels: vec![kind.into(), format!("rack-{}", index / 4)],
            max_hold_ms: bounds.max_hold_ms,
            beat_ms: bounds.beat_ms,
        }
    }

    impl Deployment {
        /// Starts the store, these workers and three processes, and waits until they serve.
        pub fn start(
            nodes: usize,
            specs: Vec<WorkerSpec>,
            bounds: &Bounds,
            max_attempts: u64,
            dir: &Path,
        ) -> std::io::Result<Deployment> {
            let record = Record::new();
            let events = Events::default();
            let store = Store::new(&record);
            store.put(
                "keyed.op",
                "config",
                configuration(1, max_attempts).as_bytes(),
            );
            let mut deployment = Deployment {
                workers: Vec::new(),
                nodes: Vec::new(),
                _servers: Vec::new(),
                dir: dir.to_owned(),
                record,
                events,
                store,
            };
            for spec in specs {
                let (store, events) = (&deployment.store, &deployment.events);
                let worker = Worker::start(spec, store, events, &deployment.record)?;
                deployment.workers.push(worker);
            }
            for index in 0..nodes {
                let server = deployment.store.serve(index)?;
                let (name, zone) = (format!("front-{index}"), format!("zone-{index}"));
                let node = Node::start(&name, &zone, server.address, bounds, None, dir)?;
                deployment.nodes.push(node);
                deployment._servers.push(server);
            }
            Ok(deployment)
        }

        pub fn owner(&self) -> Option<usize> {
            let owner = self.store.last_fenced.load(Ordering::SeqCst);
            usize::try_from(owner)
                .ok()
                .filter(|owner| *owner < self.nodes.len())
        }

        pub fn request(
            &self,
            node: usize,
            method: &str,
            rest: &str,
            body: &str,
        ) -> Option<(u16, String)> {
            let path = format!("{PREFIX}{rest}");
            let result = call(self.nodes[node].front, method, &path, HOST, body, 3_000);
            let shown = match &result {
                Some((status, text)) => format!("{status} {text}"),
                None => "no answer".to_owned(),
            };
            let body: String = body.chars().take(300).collect();
            let name = &self.nodes[node].name;
            self.record.add(format!(
                "client to {name}: {method} {path} {body} -> {shown}"
            ));
            result
        }

        /// Hands a submission in, as a client does: again, at other nodes, until it is accepted.
        pub fn submit(&self, id: &str, body: &str) -> bool {
            for attempt in 0..20 {
                let node = attempt % self.nodes.len();
                if let Some((status, _)) = self.request(node, "POST", id, body) {
                    if (200..300).contains(&status) {
                        return true;
                    }
                }
                sleep_ms(500);
            }
            false
        }

        /// Returns the state of a submission as any node shows it.
        pub fn state(&self, id: &str) -> Option<String> {
            for node in 0..self.nodes.len() {
                match self.request(node, "GET", id, "") {
                    Some((200, text)) => return Some(Json::parse(&text)?.text("state")),
                    Some((410, _)) => return Some("gone".into()),
                    _ => {}
                }
            }
            None
        }

        /// Waits until a condition holds.
        pub fn wait(&self, ms: u64, mut is_true: impl FnMut(&Self) -> bool) -> bool {
            let until = Instant::now() + Duration::from_millis(ms);
            while Instant::now() < until {
                if is_true(self) {
                    return true;
                }
                sleep_ms(5);
            }
            false
        }

        /// Returns the index of the worker on which a task runs.
        pub fn worker_of(&self, task: &str) -> Option<usize> {
            self.workers
                .iter()
                .position(|w| w.running().iter().any(|t| t == task))
        }

        pub fn events(&self) -> Vec<Event> {
            lock(&self.events).clone()
        }
    }
}
mod give_up {
    //! One worker goes down and up by turns. A submission whose task lasts, and that only this worker may
    //! run, is shown as failed, though no run of it has ended `failed`.

    use std::path::Path;
    use std::sync::Arc;

    use crate::base::{Bounds, Deployment, Kind, Record, sleep_ms, worker_spec};
    use crate::{Verdict, has_trouble};

    /// The submission that needs the label, with one task that lasts, and one that does not need it.
    const ID: &str = "00000000000000a1";
    const OTHER: &str = "00000000000000b1";
    /// When the worker goes down, from the first start of the task on, and for how long: three times in
    /// 6.5 s.
    const DOWN_AT_MS: [u64; 3] = [800, 3_000, 5_200];
    const DOWN_MS: u64 = 700;

    pub fn run(dir: &Path) -> std::io::Result<(Verdict, Arc<Record>)> {
        let bounds = Bounds {
            link_mbps: 1_000.0,
            max_hold_ms: 6_000,
            beat_ms: 1_500,
        };
        let mut specs: Vec<_> = (0..9)
            .map(|i| worker_spec(i, "general", 16_000, &bounds))
            .collect();
        specs.push(worker_spec(9, "large", 16_000, &bounds));
        let mut deployment = Deployment::start(3, specs, &bounds, 3, dir)?;
        let record = Arc::clone(&deployment.record);
        sleep_ms(4_000);
        let body = "{\"specification\":\"-\",\"steps\":[{\"count\":1,\"cpu\":4000,\"memMb\":1024,\
                \"estimatedDurationMs\":4000,\"longRunning\":true,\"requirements\":\"large\"}]}";
        if !deployment.submit(ID, body) {
            return Ok((
                Verdict::NotRun("the submission was not accepted".into()),
                record,
            ));
        }
        let others = "{\"specification\":\"4000\",\"steps\":[{\"count\":9,\"cpu\":4000,\"memMb\":1024,\
                  \"estimatedDurationMs\":4000,\"requirements\":\"general\"}]}";
        deployment.submit(OTHER, others);
        let task = format!("{ID}.0.0.0");
        if !deployment.wait(10_000, |d| d.worker_of(&task) == Some(9)) {
            return Ok((Verdict::NotRun("the task was not started".into()), record));
        }
        if has_trouble() {
            let start = record.now();
            let spec = worker_spec(9, "large", 16_000, &bounds);
            for at in DOWN_AT_MS {
                sleep_ms((start + at).saturating_sub(record.now()));
                deployment.workers[9].crash();
                sleep_ms(DOWN_MS);
                deployment.workers[9].begin(spec.clone())?;
            }
        }
        // Long enough for the task to run again and for its end to be shown.
        let mut state = String::new();
        for _ in 0..20 {
            sleep_ms(1_000);
            state = deployment.state(ID).unwrap_or_default();
            if state == "failed" {
                break;
            }
        }
        let runs = deployment.worker_of(&task).is_some();
        let other = deployment.state(OTHER).unwrap_or_default();
        let events = deployment.events();
        let of_task = || events.iter().filter(|event| event.task == task);
        let starts = of_task()
            .filter(|event| event.kind == Kind::Started)
            .count();
        let failed = of_task()
            .filter(|event| event.kind == Kind::Ended("failed"))
            .count();
        let text = format!(
            "the submission is shown as `{state}` after {starts} starts, of which {failed} ended \
         `failed`; its task {} at the end; the other submission is shown as `{other}`",
            if runs { "runs" } else { "does not run" }
        );
        record.add(text.clone());
        let verdict = match &*state {
            "failed" if failed == 0 => Verdict::Broken(text),
            "running" if runs => Verdict::Held(text),
            _ => Verdict::NotRun(text),
        };
        Ok((verdict, record))
    }
}
mod may_miss {
    //! A submission with tasks that serve comes while tasks that fill run on all workers. The system stops all
    //! tasks that fill at once, though one of them at a time may be unavailable.

    use std::path::Path;
    use std::sync::Arc;

    use crate::base::{Bounds, Deployment, Kind, Record, sleep_ms, worker_spec};
    use crate::{Verdict, has_trouble};

    const FILLS: &str = "00000000000000a5";
    const SERVES: &str = "00000000000000b5";
    const TASKS: usize = 4;

    pub fn run(dir: &Path) -> std::io::Result<(Verdict, Arc<Record>)> {
        let bounds = Bounds {
            link_mbps: 1_000.0,
            max_hold_ms: 10_000,
            beat_ms: 1_500,
        };
        let specs = (0..TASKS)
            .map(|i| worker_spec(i, "general", 16_000, &bounds))
            .collect();
        let deployment = Deployment::start(3, specs, &bounds, 3, dir)?;
        let record = Arc::clone(&deployment.record);
        sleep_ms(4_000);
        let step =
            "\"memMb\":1024,\"estimatedDurationMs\":4000,\"antiAffinity\":1,\"longRunning\":true";
        let body = format!(
            "{{\"specification\":\"-\",\"steps\":[{{\"count\":{TASKS},\"cpu\":2000,\"fills\":true,\
         \"mayMiss\":1,{step}}}]}}"
        );
        if !deployment.submit(FILLS, &body) {
            return Ok((
                Verdict::NotRun("the submission was not accepted".into()),
                record,
            ));
        }
        let running = |d: &Deployment, id: &str| {
            let tasks = (0..TASKS).map(|index| format!("{id}.0.0.{index}"));
            tasks.filter(|task| d.worker_of(task).is_some()).count()
        };
        if !deployment.wait(10_000, |d| running(d, FILLS) == TASKS) {
            return Ok((Verdict::NotRun("not all tasks were started".into()), record));
        }
        sleep_ms(3_000);
        if has_trouble() {
            let body = format!(
                "{{\"specification\":\"-s\",\"steps\":[{{\"count\":{TASKS},\"cpu\":4000,\"targetMs\":100,\
             {step}}}]}}"
            );
            if !deployment.submit(SERVES, &body) {
                return Ok((
                    Verdict::NotRun("the second submission was not accepted".into()),
                    record,
                ));
            }
        }
        // The fewest tasks of the step that ran, as the workers saw it.
        sleep_ms(8_000);
        let mut at_work = 0;
        let mut fewest = TASKS;
        let mut stops = 0;
        for event in deployment
            .events()
            .iter()
            .filter(|event| event.task.starts_with(FILLS))
        {
            match event.kind {
                Kind::Started => at_work += 1,
                Kind::Ended(how) => {
                    at_work -= 1;
                    stops += usize::from(how == "stopped");
                    fewest = fewest.min(at_work);
                }
                _ => {}
            }
        }
        let text = format!(
            "{stops} tasks that fill were stopped; at the least, {fewest} of {TASKS} ran, and `mayMiss` is 1"
        );
        record.add(text.clone());
        deployment.request(0, "DELETE", FILLS, "");
        deployment.request(0, "DELETE", SERVES, "");
        let verdict = if stops > 1 && fewest < TASKS - 1 {
            Verdict::Broken(text)
        } else {
            Verdict::Held(text)
        };
        Ok((verdict, record))
    }
}
mod other_kind {
    //! A part of the store is down, and a worker starts again as another kind meanwhile. It is told to
    //! start a task whose required label it does not have.

    use std::path::Path;
    use std::sync::Arc;

    use crate::base::{Bounds, Deployment, Event, Kind, Record, StoreMode, sleep_ms, worker_spec};
    use crate::{Verdict, has_trouble};

    const ID: &str = "00000000000000a2";

    pub fn run(dir: &Path) -> std::io::Result<(Verdict, Arc<Record>)> {
        let bounds = Bounds {
            link_mbps: 1_000.0,
            max_hold_ms: 6_000,
            beat_ms: 1_500,
        };
        let mut specs: Vec<_> = (0..9)
            .map(|i| worker_spec(i, "general", 16_000, &bounds))
            .collect();
        specs.push(worker_spec(9, "large", 16_000, &bounds));
        let mut deployment = Deployment::start(3, specs, &bounds, 3, dir)?;
        let record = Arc::clone(&deployment.record);
        sleep_ms(4_000);
        let step = |after: &str| {
            format!(
                "{{\"count\":1,\"cpu\":4000,\"memMb\":1024,\"estimatedDurationMs\":2000,\
             \"requirements\":\"large\"{after}}}"
            )
        };
        let body = format!(
            "{{\"specification\":\"2000,2000\",\"steps\":[{},{}]}}",
            step(""),
            step(",\"after\":[0]")
        );
        if !deployment.submit(ID, &body) {
            return Ok((
                Verdict::NotRun("the submission was not accepted".into()),
                record,
            ));
        }
        let (first, second) = (format!("{ID}.0.0.0"), format!("{ID}.0.1.0"));
        if !deployment.wait(10_000, |d| d.worker_of(&first) == Some(9)) {
            return Ok((Verdict::NotRun("the task was not started".into()), record));
        }
        sleep_ms(1_500);
        if has_trouble() {
            // The partition of the topic `keyed.jobs` answers 503 for 4.2 s; the rest of the store serves.
            record.add("store: the partition of keyed.jobs is down");
            deployment.store.set_gate(|_, topic, _| match topic {
                "keyed.jobs" => StoreMode::Busy,
                _ => StoreMode::Up,
            });
            // The first task ends half a second later.
            sleep_ms(1_200);
            deployment.workers[9].crash();
            sleep_ms(700);
            let spec = worker_spec(9, "general", 16_000, &bounds);
            deployment.workers[9].begin(spec)?;
            sleep_ms(2_300);
            deployment.store.set_gate(|_, _, _| StoreMode::Up);
            record.add("store: the partition of keyed.jobs is up");
            sleep_ms(5_000);
            // The machine of the required kind is back.
            deployment.workers[8].crash();
            sleep_ms(500);
            let spec = worker_spec(8, "large", 16_000, &bounds);
            deployment.workers[8].begin(spec)?;
        }
        deployment.wait(15_000, |d| {
            sleep_ms(500);
            d.state(ID).as_deref() == Some("completed")
        });
        let events = deployment.events();
        let labels_of = |start: &Event| {
            let is_it = |e: &&Event| e.worker == start.worker && e.born == start.born;
            let up = events.iter().filter(is_it).find(|e| e.kind == Kind::Up);
            up.map_or(String::new(), |event| event.task.clone())
        };
        let starts = events
            .iter()
            .filter(|e| e.kind == Kind::Started && e.task == second);
        let wrong: Vec<String> = starts
            .filter(|e| !labels_of(e).contains("large"))
            .map(|e| {
                format!(
                    "{} run {} on {} ({})",
                    e.task,
                    e.run,
                    e.worker,
                    labels_of(e)
                )
            })
            .collect();
        let text = if wrong.is_empty() {
            "every start was on a worker with the required label".to_owned()
        } else {
            format!(
                "started without the required label `large`: {}",
                wrong.join("; ")
            )
        };
        record.add(text.clone());
        if !wrong.is_empty() {
            return Ok((Verdict::Broken(text), record));
        }
        let is_done = events
            .iter()
            .any(|e| e.kind == Kind::Ended("done") && e.task == second);
        let verdict = if is_done {
            Verdict::Held(text)
        } else {
            Verdict::NotRun("the second task was not done".into())
        };
        Ok((verdict, record))
    }
}
mod owner_and_worker {
    //! A worker is lost for good, and the owner is killed and started again shortly after. A task that lasts
    //! and ran on that worker is not started again in time, though other workers have room.

    use std::path::Path;
    use std::sync::Arc;

    use crate::base::{Bounds, Deployment, Kind, Record, sleep_ms, worker_spec};
    use crate::{Verdict, has_trouble};

    const ID: &str = "00000000000000a3";
    const TASKS: usize = 10;
    /// How long the owner is down.
    const DOWN_MS: u64 = 1_500;
    /// A machine is in touch `contactMs` after the end of a disruption. The rule then asks for 4 s and 3 s that
    /// are calm.
    const ALLOWED_MS: u64 = 3_000 + 4_000 + 3_000;

    pub fn run(dir: &Path) -> std::io::Result<(Verdict, Arc<Record>)> {
        let bounds = Bounds {
            link_mbps: 1_000.0,
            max_hold_ms: 10_000,
            beat_ms: 1_500,
        };
        let specs = (0..10)
            .map(|i| worker_spec(i, "general", 16_000, &bounds))
            .collect();
        let mut deployment = Deployment::start(3, specs, &bounds, 3, dir)?;
        let record = Arc::clone(&deployment.record);
        sleep_ms(4_000);
        let body = format!(
            "{{\"specification\":\"-\",\"steps\":[{{\"count\":{TASKS},\"cpu\":2000,\"memMb\":1024,\
         \"estimatedDurationMs\":4000,\"antiAffinity\":2,\"longRunning\":true}}]}}"
        );
        if !deployment.submit(ID, &body) {
            return Ok((
                Verdict::NotRun("the submission was not accepted".into()),
                record,
            ));
        }
        let missing = |d: &Deployment| {
            let tasks = (0..TASKS).map(|index| format!("{ID}.0.0.{index}"));
            tasks.filter(|task| d.worker_of(task).is_none()).count()
        };
        if !deployment.wait(10_000, |d| missing(d) == 0) {
            return Ok((Verdict::NotRun("not all tasks were started".into()), record));
        }
        sleep_ms(3_000);
        let Some(owner) = deployment.owner() else {
            return Ok((
                Verdict::NotRun("no process owns the workers".into()),
                record,
            ));
        };
        if has_trouble() {
            let lost = deployment.worker_of(&format!("{ID}.0.0.0")).unwrap_or(0);
            deployment.workers[lost].crash();
            sleep_ms(200);
            record.add(format!("{} is killed", deployment.nodes[owner].name));
            deployment.nodes[owner].kill();
            sleep_ms(DOWN_MS);
            deployment.nodes[owner].run()?;
            record.add(format!("{} is started again", deployment.nodes[owner].name));
        }
        let calm_from = record.now();
        let in_time = deployment.wait(ALLOWED_MS, |d| missing(d) == 0);
        let at_limit = missing(&deployment);
        let all_run = in_time || deployment.wait(20_000, |d| missing(d) == 0);
        let took = record.now() - calm_from;
        let crashes = deployment.events();
        let lost = crashes
            .iter()
            .filter(|e| e.kind == Kind::Ended("crashed"))
            .count();
        deployment.request((owner + 1) % 3, "DELETE", ID, "");
        let text = format!(
            "{lost} tasks that last lost their worker; {at_limit} did not run {ALLOWED_MS} ms after the \
         last disruption; all ran after {took} ms"
        );
        record.add(text.clone());
        let verdict = match (at_limit, all_run) {
            (0, _) => Verdict::Held(text),
            (_, true) => Verdict::Broken(text),
            (_, false) => Verdict::Broken(format!("{text}, and some not at all")),
        };
        Ok((verdict, record))
    }
}

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case has shown.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// Returns whether the disruption is to be caused.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, dir) = (args.next().unwrap_or_default(), args.next());
    let Some(dir) = dir.map(PathBuf::from) else {
        eprintln!("review-2 CASE DIRECTORY");
        return ExitCode::from(2);
    };
    base::end_after(115_000);
    let temporary = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("{error}");
        return ExitCode::from(2);
    }
    let verdict = run(&case, &dir, &temporary);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("logs: {}", temporary.display());
    }
    match verdict {
        Ok(Verdict::Held(text)) => {
            println!("the rule held: {text}");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(text)) => {
            println!("the rule was broken: {text}");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun(text)) => {
            println!("the case could not run: {text}");
            ExitCode::from(2)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, dir: &Path, temporary: &Path) -> std::io::Result<Verdict> {
    let (verdict, record) = match case {
        "address" => address::run(temporary)?,
        "give-up" => give_up::run(temporary)?,
        "owner-and-worker" => owner_and_worker::run(temporary)?,
        "may-miss" => may_miss::run(temporary)?,
        "other-kind" => other_kind::run(temporary)?,
        _ => return Ok(Verdict::NotRun(format!("no case {case}"))),
    };
    record.write(&dir.join("record.txt"))?;
    Ok(verdict)
}
