//! Small stand-ins for balancers, the interpreter, the records service and the catalog, and the notation
//! in which scenarios move them. Every wait is for an event and fails after `PATIENCE`. A line a step:
//!
//! - `waits MS` where a span of time itself is what is played.
//! - first `config PATH JSON` to change the configuration; the server starts with `start`, again with
//!   `start again` (same address) after `kill`; `fails TEXT` is for one that must not start.
//! - `options XML` for the project's own settings (`<tenants ...>` and all in it, `\n` for a new line).
//! - `signal TERM|INT|USR1`, `exits CODE`, `adds up` (the counters at the end), `logs TEXT` (waits for a
//!   line of the log); `log held` and `log read`: nobody reads the log for a while.
//! - `open A`, `close A`, `half-close A`, `reset A`; `call A TAG OPERATION BODY [FIELDS]` (its reference is
//!   made of TAG), `health A TAG`, `send A BYTES` (`\r`, `\n`), `bytewise A TAG OPERATION BODY`,
//!   `hears A TAG WORD [BODY]`, `hears-fields A TAG WORD TEXT`, `hears A 0 enough`, `unheard A TAG`,
//!   `ends A`, `ends-cleanly A` (not by a reset); FIELDS may say NOW, or LATE for a clock two seconds behind;
//!   `open A tiny` with hardly any room for what it hears, `rubbish A BYTES` without waiting for a reader;
//!   `flood A N` sends N checks without reading, `drink A N` reads as many answers.
//! - `link INDEX` (takes a link that must have read that far), `banner warm|cold [AGE_MS]`, `told VERB TAG
//!   [BODY]`, `any-told VERB` whatever its task, `half-a-banner`, `vm full` and `vm takes` (nobody accepts
//!   there for a while), `dials anew`, `notice JSON` (TAG written `#7` becomes its reference, `=text=`
//!   base64), `gauges on|off`, `unlink`.
//! - `called TAG BODY`, `reply STATUS BODY [HEADER]`, `hang up` (on the call), `given up` (by the server),
//!   `no records` (connections there are refused), `records full` (nobody accepts them), `no catalog`.
//! - `many-tenants N WEIGHT` for options that name so many tenants `t0`, `t1`, ... of that weight;
//!   `one-tenant NAME WEIGHT ACCOUNTS` for one alone, `forget log` for lines so far,
//!   `until-weight NAME WEIGHT` asks for the shares until the log shows a tenant so; `pauses-at-most MS` for
//!   the longest pause that the log shows of any change of settings.
//! - `moves` (all but the balancers stand elsewhere now, and the server is told), `rewrite` (the file is as
//!   configured, and the server is told), `half-rewrite` (half of the file is there when it is told).
//! - `descriptors N` (before the start), `holds-at-most N`; `counts COUNTER LEAST`, `counted COUNTER
//!   EXACTLY`; `reported WORDS`; `repeat N STEP` with `%` for the number.

use base64::{Engine, engine::general_purpose::STANDARD};
use rustix::net::{self, AddressFamily, SocketType, sockopt};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PATIENCE: Duration = Duration::from_secs(30);

pub struct Stage {
    name: String,
    configuration: Value,
    server: Option<Child>,
    log: Receiver<String>,
    seen: Vec<String>,
    log_held: Arc<AtomicBool>,
    listen: String,
    balancers: HashMap<String, Balancer>,
    vm: TcpListener,
    /// When the interpreter started, where a banner does not say otherwise.
    began: Instant,
    /// Connections that fill queues.
    fillers: Vec<TcpStream>,
    link: Option<Link>,
    gauges: Arc<AtomicBool>,
    records: Option<TcpListener>,
    call: Option<BufReader<TcpStream>>,
    catalog: UdpSocket,
    descriptors: Option<String>,
    options: Option<String>,
}

/// A link to the interpreter. What comes on it is read at once, and questions for gauges are answered then.
struct Link {
    stream: TcpStream,
    commands: Receiver<Value>,
}

impl Link {
    fn new(stream: TcpStream, gauges: Arc<AtomicBool>) -> Self {
        stream.set_nodelay(true).unwrap();
        let (send, commands) = channel();
        let (lines, mut answers) = (BufReader::new(stream.try_clone().unwrap()), stream.try_clone().unwrap());
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let command: Value = serde_json::from_str(&line).expect("JSON");
                if command["verb"] != "TOP" {
                    let _ = send.send(command);
                } else if gauges.load(Relaxed) {
                    let answer = json!({"verb": "TOPS", "nonce": command["nonce"], "readings": [0.5, 1.0]});
                    let _ = answers.write_all(format!("{answer}\n").as_bytes());
                }
            }
        });
        Self { stream, commands }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

struct Balancer {
    stream: BufReader<TcpStream>,
    heard: Vec<Vec<String>>,
}

fn reference(tag: &str) -> String {
    format!("{:016x}", 0xabc0_0000_0000 + tag.parse::<u64>().expect("a tag"))
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// The next connection, which must come in time.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let end = Instant::now() + PATIENCE;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock && Instant::now() < end => {
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(error) => panic!("nobody connects: {error}"),
        }
    }
}

fn patient(stream: TcpStream) -> BufReader<TcpStream> {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_nodelay(true).unwrap();
    BufReader::new(stream)
}

/// Nobody accepts there any more, and the kernel answers no dial: its queue is full. Returns what fills it.
fn fill(listener: &TcpListener) -> TcpStream {
    net::listen(listener, 0).unwrap();
    TcpStream::connect(listener.local_addr().unwrap()).unwrap()
}

/// Ports from which somebody dials this address and has no answer yet.
fn dialling(to: &TcpListener) -> Vec<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let remote = format!("0100007F:{:04X}", to.local_addr().unwrap().port());
    let rows = table.lines().map(|row| row.split_whitespace().collect::<Vec<_>>());
    rows.filter(|row| row[2] == remote && row[3] == "02").map(|row| row[1].to_string()).collect()
}

/// A connection that takes in next to nothing before it is read.
fn tiny(to: &str) -> TcpStream {
    let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    sockopt::set_socket_recv_buffer_size(&socket, 2048).unwrap();
    net::connect(&socket, &to.parse::<std::net::SocketAddr>().unwrap()).unwrap();
    TcpStream::from(socket)
}

fn unescaped(text: &str) -> Vec<u8> {
    text.replace("\\r", "\r").replace("\\n", "\n").into_bytes()
}

fn array(words: &[&str]) -> Vec<u8> {
    let words: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*{}\r\n{words}", words.matches("\r\n$").count() + 1).into_bytes()
}

impl Balancer {
    /// The next array; `None` at the end of the connection.
    fn array(&mut self) -> Option<Vec<String>> {
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(0) => return None,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
            other => other.expect("an answer in time"),
        };
        let count: usize = line.trim().strip_prefix('*').expect("an array").parse().unwrap();
        let words = (0..count).map(|_| {
            let mut head = String::new();
            self.stream.read_line(&mut head).unwrap();
            let mut word =
                vec![0; head.trim().strip_prefix('$').expect("a word").parse::<usize>().unwrap() + 2];
            self.stream.read_exact(&mut word).unwrap();
            String::from_utf8(word).unwrap().trim_end_matches("\r\n").to_string()
        });
        Some(words.collect())
    }

    fn hear(&mut self, tag: &str) -> Vec<String> {
        loop {
            if let Some(i) = self.heard.iter().position(|words| words[0] == tag) {
                return self.heard.remove(i);
            }
            let words = self.array().unwrap_or_else(|| panic!("the connection ended before tag {tag}"));
            self.heard.push(words);
        }
    }
}

fn call(tag: &str, operation: &str, body: &str, fields: Option<&str>) -> Vec<u8> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let usual = format!("other=1,ref={},since={since},sender=4,room=2.5,class_rank=0.5", reference(tag));
    let fields = fields
        .map(|fields| fields.replace("NOW", &since.to_string()).replace("LATE", &(since - 2000).to_string()));
    array(&["RPC.CALL", tag, operation, fields.as_deref().unwrap_or(&usual), body])
}

impl Stage {
    pub fn new(name: &str) -> Self {
        let (vm, records) = (listener(), listener());
        let catalog = UdpSocket::bind("127.0.0.1:0").unwrap();
        catalog.set_read_timeout(Some(PATIENCE)).unwrap();
        let address = |listener: &TcpListener| listener.local_addr().unwrap().to_string();
        let operation = |name: &str| {
            let (target, give_up) = (8_000_000, 9_000_000);
            json!({"name": name, "effect": "repeatable", "target": target, "give-up": give_up, "worth": 1.0})
        };
        let configuration = json!({
            "name": "n3", "listen": "127.0.0.1:0", "vm": address(&vm), "records": address(&records),
            "directory": catalog.local_addr().unwrap().to_string(),
            "seed": "8c1f30d27a5be964", "stop_ms": 4000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {
                "grades": [operation("load"), operation("store")], "peers-total": 2, "orgs": [],
                "contract": {"drain-grace": 2_000_000, "grace-to-answer": 50_000, "fall-multiple": 8.0,
                    "cold-from": 0.2, "cold": 9_000_000},
                "limits": {"retry-after": true, "max-retry-after": 1_000_000},
                "family-info": {"below": "tier", "cores": 4, "memory-kb": 100_000, "run-factor": 4.0,
                    "entry-kb": 7, "preemption": "discard", "say": "weight", "idle": 15_000_000,
                    "own-stats": ["cpu_busy", "runnable"]},
            },
        });
        Self {
            name: name.to_string(),
            configuration,
            server: None,
            log: channel().1,
            seen: Vec::new(),
            log_held: Arc::default(),
            listen: String::new(),
            balancers: HashMap::new(),
            vm,
            began: Instant::now(),
            fillers: Vec::new(),
            link: None,
            gauges: Arc::new(AtomicBool::new(true)),
            records: Some(records),
            call: None,
            catalog,
            descriptors: None,
            options: None,
        }
    }

    fn configure(&mut self, path: &str, value: &str) {
        let place = path.split('/').fold(&mut self.configuration, |at, name| match name.parse::<usize>() {
            Ok(i) => &mut at[i],
            Err(_) => &mut at[name],
        });
        *place = serde_json::from_str(value).expect("JSON");
    }

    fn file(&self) -> PathBuf {
        std::env::temp_dir().join(format!("{}-{}.json", self.name, std::process::id()))
    }

    /// Writes what is configured.
    fn write_files(&self) {
        std::fs::write(self.file(), self.configuration.to_string()).unwrap();
        if let Some(text) = &self.options {
            let root = "<meadowstream xmlns=\"urn:meadowstream:options:1\">";
            std::fs::write(self.file().with_extension("xml"), format!("{root}\n{text}\n</meadowstream>"))
                .unwrap();
        }
    }

    fn start(&mut self) {
        let file = self.file();
        self.write_files();
        let options = self.options.as_ref().map(|_| file.with_extension("xml"));
        let most = self.descriptors.as_deref().unwrap_or("1024");
        let mut server = Command::new("sh")
            .args(["-c", "ulimit -n $0; exec \"$1\" serve --config \"$2\" ${3:+--options \"$3\"}", most])
            .arg(env!("CARGO_BIN_EXE_meadowstream"))
            .arg(&file)
            .args(options)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (lines, log) = channel();
        let stderr = BufReader::new(server.stderr.take().unwrap());
        let held = self.log_held.clone();
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| {
                while held.load(Relaxed) {
                    std::thread::sleep(Duration::from_millis(5));
                }
                lines.send(line)
            })
        });
        (self.server, self.log, self.seen) = (Some(server), log, Vec::new());
    }

    fn log_line(&mut self, text: &str) -> String {
        loop {
            if let Some(line) = self.seen.iter().find(|line| line.contains(text)) {
                return line.clone();
            }
            let line =
                self.log.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("no {text:?}: {:?}", self.seen));
            self.seen.push(line);
        }
    }

    fn until_weight(&mut self, name: &str, weight: &str) {
        let shown = format!("tenant=\"{name}\" weight={weight}");
        let end = Instant::now() + PATIENCE;
        while !self.seen.iter().any(|line| line.contains(&shown)) {
            assert!(Instant::now() < end, "no {shown:?}: {:?}", self.seen);
            self.signal("USR1");
            std::thread::sleep(Duration::from_millis(100));
            self.seen.extend(self.log.try_iter());
        }
    }

    fn pauses_at_most(&mut self, ms: u64) {
        self.seen.extend(self.log.try_iter());
        let pauses = self.seen.iter().filter_map(|line| line.split(" pause_us=").nth(1)?.trim().parse().ok());
        let pauses: Vec<u64> = pauses.collect();
        assert!(!pauses.is_empty() && pauses.iter().all(|us| *us <= ms * 1000), "{pauses:?}");
    }

    fn exits(&mut self, code: Option<i32>) {
        // The log ends with the process, or this fails.
        while let Ok(line) = self.log.recv_timeout(PATIENCE) {
            self.seen.push(line);
        }
        let status = self.server.take().expect("started").wait().unwrap();
        assert_eq!(status.code(), code, "{:?}", self.seen);
    }

    fn signal(&self, name: &str) {
        let id = self.server.as_ref().expect("started").id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &id]).status().unwrap().success());
    }

    /// Asks for the counters until one has come that far.
    fn counts(&mut self, name: &str, least: u64) {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if self.counter(name) >= least {
                return;
            }
        }
        panic!("{name} stays under {least}: {:?}", self.seen);
    }

    fn counter(&mut self, name: &str) -> u64 {
        self.seen.clear();
        self.signal("USR1");
        let line = self.log_line("counters:");
        let counter = line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
        counter.expect("a counter").parse().unwrap()
    }

    /// Somebody dials the interpreter, without an answer, from a second port after the first.
    fn dials_anew(&self) {
        let (end, mut ports) = (Instant::now() + PATIENCE, std::collections::HashSet::new());
        while Instant::now() < end {
            ports.extend(dialling(&self.vm));
            if ports.len() > 1 {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("dialled from {ports:?} only");
    }

    fn balancer(&mut self, name: &str) -> &mut Balancer {
        self.balancers.get_mut(name).unwrap_or_else(|| panic!("no connection {name}"))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) {
        self.balancer(name).stream.get_mut().write_all(bytes).unwrap();
    }

    fn command(&mut self) -> Value {
        let link = self.link.as_mut().expect("linked");
        link.commands.recv_timeout(PATIENCE).expect("a command in time")
    }

    fn told(&mut self, verb: &str, tag: &str, body: Option<&str>) {
        let command = self.command();
        assert_eq!((&command["verb"], &command["task"]), (&json!(verb), &json!(reference(tag))), "{command}");
        if let Some(body) = body {
            assert_eq!(command["bytes"], json!(STANDARD.encode(body)), "{command}");
        }
    }

    fn notice(&mut self, text: &str) {
        let mut text = text.to_string();
        while let Some((before, rest)) = text.split_once('#') {
            let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
            text = format!("{before}{}{}", reference(&rest[..end]), &rest[end..]);
        }
        while let Some((before, rest)) = text.split_once('=') {
            let (body, after) = rest.split_once('=').expect("two marks");
            text = format!("{before}{}{after}", STANDARD.encode(body).replace('=', "\u{1}"));
        }
        let line = format!("{}\n", text.replace('\u{1}', "="));
        self.link.as_mut().expect("linked").stream.write_all(line.as_bytes()).unwrap();
    }

    fn called(&mut self, tag: &str, body: &str) {
        if self.call.is_none() {
            self.call = Some(patient(accept(self.records.as_ref().expect("records"))));
        }
        let call = self.call.as_mut().unwrap();
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert!(call.read_line(&mut head).expect("a call in time") > 0, "the call's connection ended");
        }
        assert!(head.contains(&format!("Op-Of: {}\r\n", reference(tag))), "{head}");
        let len: usize =
            head.split("Content-Length: ").nth(1).unwrap().split('\r').next().unwrap().parse().unwrap();
        let mut got = vec![0; len];
        call.read_exact(&mut got).unwrap();
        assert_eq!(String::from_utf8(got).unwrap(), body);
    }

    fn reply(&mut self, status: &str, body: &str, header: &str) {
        let header = if header.is_empty() { String::new() } else { format!("{header}\r\n") };
        let reply = format!("HTTP/1.1 {status} X\r\n{header}Content-Length: {}\r\n\r\n{body}", body.len());
        self.call.as_mut().expect("a call").get_mut().write_all(reply.as_bytes()).unwrap();
    }

    fn hears(&mut self, name: &str, tag: &str, word: &str, body: Option<&str>) {
        let words = self.balancer(name).hear(tag);
        assert_eq!(words[1], word, "{words:?}");
        if let Some(body) = body {
            assert_eq!(words[3], body, "{words:?}");
        }
    }

    pub fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let rest = |n: usize| line.splitn(n + 1, ' ').nth(n).unwrap_or("");
        match words.as_slice() {
            ["config", path, ..] => self.configure(path, rest(2)),
            ["options", ..] => self.options = Some(rest(1).replace("\\n", "\n")),
            ["start"] => {
                self.start();
                let line = self.log_line(" listen=");
                self.listen = line.split(" listen=").nth(1).unwrap().trim().to_string();
            }
            ["start", "again"] => {
                self.configuration["listen"] = json!(self.listen);
                self.start();
                self.log_line(" listen=");
            }
            ["fails", ..] => {
                self.start();
                self.exits(Some(1));
                assert!(self.seen.len() == 1 && self.seen[0].contains(rest(1)), "{:?}", self.seen);
            }
            ["waits", ms] => std::thread::sleep(Duration::from_millis(ms.parse().unwrap())),
            ["kill"] => {
                self.signal("KILL");
                self.exits(None);
                (self.link, self.call) = (None, None);
            }
            ["signal", name] => self.signal(name),
            ["exits", code] => self.exits(Some(code.parse().unwrap())),
            // What was taken in is what was answered, or nobody waited for it any more.
            ["adds", "up"] => {
                let line = self.log_line("ended; counters:");
                let count = |name: &str| -> u64 {
                    let found =
                        line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
                    found.expect("a counter").parse().unwrap()
                };
                let ends = ["succeeded", "throttled", "errored", "unanswered"].map(count);
                assert_eq!(count("invocations"), ends.iter().sum::<u64>(), "{line}");
            }
            ["log", what] => self.log_held.store(*what == "held", Relaxed),
            ["logs", ..] => drop(self.log_line(rest(1))),
            ["open", name] => {
                let stream = patient(TcpStream::connect(&self.listen).unwrap());
                self.balancers.insert(name.to_string(), Balancer { stream, heard: Vec::new() });
            }
            ["open", name, "tiny"] => {
                let balancer = Balancer { stream: patient(tiny(&self.listen)), heard: Vec::new() };
                self.balancers.insert(name.to_string(), balancer);
            }
            ["rubbish", name, bytes] => {
                let rubbish = vec![b'#'; bytes.parse().unwrap()];
                let mut stream = self.balancer(name).stream.get_ref().try_clone().unwrap();
                std::thread::spawn(move || stream.write_all(&rubbish));
            }
            ["descriptors", most] => self.descriptors = Some(most.to_string()),
            ["holds-at-most", most] => {
                let id = self.server.as_ref().expect("started").id();
                let held = std::fs::read_dir(format!("/proc/{id}/fd")).unwrap().count();
                assert!(held <= most.parse().unwrap(), "{held} descriptors");
            }
            // Closed with something unread, a connection is reset.
            ["reset", name] => {
                let balancer = self.balancers.remove(*name).expect("open");
                assert_eq!(balancer.stream.get_ref().peek(&mut [0]).expect("in time"), 1);
            }
            // Made as it goes out: connections that only wait meanwhile would be asked to go.
            ["flood", name, count] => {
                let mut stream = self.balancer(name).stream.get_ref().try_clone().unwrap();
                let count: usize = count.parse().unwrap();
                std::thread::spawn(move || {
                    (1..=count).collect::<Vec<_>>().chunks(1000).try_for_each(|tags| {
                        let check = |tag: &usize| array(&["RPC.HEALTH", &tag.to_string(), ""]);
                        stream.write_all(&tags.iter().flat_map(check).collect::<Vec<u8>>())
                    })
                });
            }
            ["drink", name, count] => {
                for tag in 1..=count.parse::<usize>().unwrap() {
                    let mut words = self.balancer(name).array().expect("an answer");
                    // A connection that stands still for long is asked to go.
                    while words[1] == "enough" {
                        words = self.balancer(name).array().expect("an answer");
                    }
                    assert_eq!(words[0], tag.to_string());
                }
            }
            ["unheard", name, tag] => {
                assert!(self.balancer(name).heard.iter().all(|words| words[0] != *tag));
            }
            ["counted", name, count] => {
                assert_eq!(self.counter(name), count.parse::<u64>().unwrap(), "{name}");
            }
            ["counts", name, least] => self.counts(name, least.parse().unwrap()),
            ["close", name] => drop(self.balancers.remove(*name)),
            ["half-close", name] => self.balancer(name).stream.get_ref().shutdown(Shutdown::Write).unwrap(),
            ["call", name, tag, operation, body, ..] => {
                self.write(name, &call(tag, operation, body, words.get(5).copied()));
            }
            ["big", name, tag, operation, len] => {
                self.write(name, &call(tag, operation, &"x".repeat(len.parse().unwrap()), None));
            }
            ["bytewise", name, tag, operation, body] => {
                call(tag, operation, body, None).iter().for_each(|byte| self.write(name, &[*byte]));
            }
            ["health", name, tag] => self.write(name, &array(&["RPC.HEALTH", tag, ""])),
            ["send", name, ..] => self.write(name, &unescaped(rest(2))),
            ["hears", name, tag, word] => self.hears(name, tag, word, None),
            ["hears", name, tag, word, body] => self.hears(name, tag, word, Some(body)),
            ["hears-fields", name, tag, word, ..] => {
                let answer = self.balancer(name).hear(tag);
                assert!(answer[1] == *word && words[4..].iter().all(|f| answer[2].contains(f)), "{answer:?}");
            }
            ["ends-cleanly", name] => {
                let end = self.balancer(name).stream.read(&mut [0]);
                assert!(matches!(end, Ok(0)), "{end:?}");
            }
            ["ends", name] => assert_eq!(self.balancer(name).array(), None),
            ["link", index] => {
                self.link = Some(Link::new(accept(&self.vm), self.gauges.clone()));
                let command = self.command();
                assert_eq!(command, json!({"verb": "CONNECT", "index": index.parse::<u64>().unwrap()}));
            }
            ["unlink"] => self.link = None,
            ["banner", state, age @ ..] => {
                let age = age.first().map_or(self.began.elapsed().as_millis(), |age| age.parse().unwrap());
                self.notice(&format!(r#"{{"verb":"BANNER","outcome":"{state}","spent":{age}}}"#))
            }
            ["half-a-banner"] => {
                let link = &mut self.link.as_mut().expect("linked").stream;
                link.write_all(br#"{"verb":"BANNER","outcome":"#).unwrap();
            }
            ["vm", "full"] => self.fillers.push(fill(&self.vm)),
            ["vm", "takes"] => {
                drop(accept(&self.vm));
                net::listen(&self.vm, 128).unwrap();
            }
            ["dials", "anew"] => self.dials_anew(),
            ["records", "full"] => self.fillers.push(fill(self.records.as_ref().expect("records"))),
            ["no", "catalog"] => {
                let other = UdpSocket::bind("127.0.0.1:0").unwrap();
                self.configuration["directory"] = json!(other.local_addr().unwrap().to_string());
            }
            ["any-told", verb] => assert_eq!(self.command()["verb"], json!(verb)),
            ["told", verb, tag] => self.told(verb, tag, None),
            ["told", verb, tag, body] => self.told(verb, tag, Some(body)),
            ["notice", ..] => self.notice(rest(1)),
            ["long", "notice"] => self.notice(&"x".repeat(40_000)),
            ["gauges", state] => self.gauges.store(*state == "on", Relaxed),
            ["ok", index, tag, body] => {
                let run = format!(r##""index":{index},"task":"#{tag}","outcome":"ok","spent":1"##);
                self.notice(&format!(r#"{{"verb":"VALUE",{run},"bytes":"={body}="}}"#));
            }
            ["ok-big", index, tag, len] => {
                let body = "x".repeat(len.parse().unwrap());
                self.step(&format!("ok {index} {tag} {body}"));
            }
            ["awaits", index, tag, body] => {
                let run = format!(r##""index":{index},"task":"#{tag}""##);
                self.notice(&format!(r#"{{"verb":"AWAIT",{run},"bytes":"={body}="}}"#));
            }
            ["called", tag, body] => self.called(tag, body),
            ["reply", status, body, ..] => self.reply(status, body, rest(3)),
            ["hang", "up"] => self.call = None,
            ["given", "up"] => {
                let mut byte = [0];
                assert_eq!(self.call.take().expect("a call").read(&mut byte).expect("in time"), 0);
            }
            ["moves"] => {
                (self.vm, self.records) = (listener(), Some(listener()));
                self.configuration["vm"] = json!(self.vm.local_addr().unwrap());
                self.configuration["records"] = json!(self.records.as_ref().unwrap().local_addr().unwrap());
                self.step("rewrite");
            }
            ["rewrite"] => {
                self.write_files();
                self.signal("HUP");
            }
            ["half-rewrite"] => {
                let whole = self.configuration.to_string();
                std::fs::write(self.file(), &whole[..whole.len() / 2]).unwrap();
                self.signal("HUP");
            }
            ["half-rewrite-options"] => {
                self.write_files();
                let file = self.file().with_extension("xml");
                let whole = std::fs::read_to_string(&file).unwrap();
                std::fs::write(&file, &whole[..whole.len() / 2]).unwrap();
                self.signal("HUP");
            }
            ["many-tenants", count, weight] => self.options = Some(many_tenants(count, weight)),
            ["one-tenant", name, weight, accounts] => self.options = Some(one_tenant(name, weight, accounts)),
            ["forget", "log"] => {
                self.seen.extend(self.log.try_iter());
                self.seen.clear();
            }
            ["until-weight", name, weight] => self.until_weight(name, weight),
            ["pauses-at-most", ms] => self.pauses_at_most(ms.parse().unwrap()),
            ["no", "records"] => self.records = None,
            ["reported", ..] => {
                let mut datagram = [0; 100];
                let len = self.catalog.recv(&mut datagram).expect("a report in time");
                assert_eq!(std::str::from_utf8(&datagram[..len]).unwrap(), rest(1));
            }
            ["repeat", count, ..] => {
                for n in 1..=count.parse::<usize>().unwrap() {
                    self.step(&rest(2).replace('%', &n.to_string()));
                }
            }
            _ => panic!("unknown step {line:?}"),
        }
    }
}

/// Options with so many tenants, twice as many accounts and some for others.
fn many_tenants(count: &str, weight: &str) -> String {
    let count: usize = count.parse().unwrap();
    let tenants: Vec<String> =
        (0..count).map(|n| format!(r#"<tenant name="t{n}" weight="{weight}"/>"#)).collect();
    let accounts = 2 * count + 16;
    format!(
        "<tenants by=\"field\" field=\"venue\" origin=\"sender\">\n<ceilings accounts=\"{accounts}\"/>\n\
         {}\n</tenants>",
        tenants.join("\n")
    )
}

fn one_tenant(name: &str, weight: &str, accounts: &str) -> String {
    format!(
        "<tenants by=\"field\" field=\"venue\" origin=\"sender\"><ceilings accounts=\"{accounts}\"/>\
         <tenant name=\"{name}\" weight=\"{weight}\"/></tenants>"
    )
}

impl Drop for Stage {
    fn drop(&mut self) {
        if let Some(server) = &mut self.server {
            if std::thread::panicking() {
                println!("the server: {:?}", server.try_wait());
            }
            let _ = server.kill().and_then(|()| server.wait());
        }
        if std::thread::panicking() {
            self.seen.extend(self.log.try_iter());
            println!("the server's log: {:#?}", self.seen);
        }
        let _ = std::fs::remove_file(self.file());
        let _ = std::fs::remove_file(self.file().with_extension("xml"));
    }
}

pub fn play(name: &str, text: &str) {
    let mut stage = Stage::new(name);
    for line in text.lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        // Shown where the step fails.
        println!("{line}");
        stage.step(line);
    }
}
