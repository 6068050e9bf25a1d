//! Runs scenario files: each line is a step that drives the server or a test double of one of its peers. The
//! peers are balancers, the interpreter (`vm`), the downstream service (`records`) and the service registry
//! (`catalog`). A step that expects an event waits for the event and fails after [`WAIT_MAX`].
//!
//! General steps:
//! - `waits MS` sleeps, where the scenario needs a span of time; `repeat N STEP` repeats a step, with `%`
//!   replaced by the number of the repetition.
//!
//! Configuration:
//! - `config PATH JSON` sets a value of the configuration, `options XML` the elements of the options file
//!   (`\n` for a new line); `descriptors N` limits the file descriptors of the next start.
//! - `many-tenants N WEIGHT` sets options with the tenants `t0`, `t1`, ... of this weight,
//!   `one-tenant NAME WEIGHT ACCOUNTS` options with a single tenant and a ceiling of accounts.
//! - `rewrite` writes the files and sends SIGHUP; `half-rewrite` and `half-rewrite-options` write only half
//!   of a file before the SIGHUP; `moves` gives the interpreter and the downstream service new addresses and
//!   rewrites.
//!
//! Server process:
//! - `start`; `kill`; `start again` after `kill` (at the same address); `fails TEXT` for a start that must
//!   fail with this log line; `signal TERM|INT|USR1`; `exits CODE`.
//! - `logs TEXT` waits for a log line; `forget log` discards the lines so far; `log held` and `log read`
//!   pause and resume the reader of the log.
//! - `adds up` checks that the final counters add up; `counts COUNTER LEAST` waits for a minimum of a
//!   counter; `counted COUNTER EXACTLY` checks its value; `holds-at-most N` checks the number of open
//!   descriptors.
//! - `until-weight NAME WEIGHT` requests the shares until the log shows the tenant with this weight;
//!   `pauses-at-most MS` checks the longest logged pause of any change of settings, `busy-at-most MS` the
//!   processor time of the longest part of a change.
//!
//! Balancer connections, here `A`:
//! - `open A`; `open A tiny` with a small receive buffer; `close A`; `half-close A`; `reset A`;
//!   `come until refused MS` opens connections until one is refused, each before the previous one closes.
//! - `call A TAG OPERATION BODY [FIELDS]` sends a call whose reference is derived from TAG; in FIELDS, NOW is
//!   the current time and LATE a time two seconds ago, as from a slow clock; `big A TAG OPERATION LENGTH`
//!   sends a body of that length; `bytewise A TAG OPERATION BODY` sends byte by byte.
//! - `health A TAG`; `send A BYTES` (with `\r`, `\n`); `rubbish A BYTES` sends that many invalid bytes
//!   without waiting; `flood A N` sends N health checks without reading, `drink A N` reads as many replies.
//! - `hears A TAG WORD [BODY]` expects a reply; `hears-fields A TAG WORD TEXT` expects a reply whose fields
//!   contain each word of TEXT; `hears A 0 enough` expects the drain notice; `unheard A TAG` checks that no
//!   reply has been read; `ends A` expects the end of the connection, `ends-cleanly A` one without a reset.
//!
//! Interpreter:
//! - `link INDEX` accepts a link of a server that has read notices up to INDEX; `unlink` closes the link;
//!   `vm full` and `vm takes` stop and resume accepting; `dials anew` expects a second unanswered connection
//!   attempt; `a dial given up` makes and drops a connection attempt, as if by the server.
//! - `banner warm|cold [AGE_MS]`; `half-a-banner`; `notice JSON`, where `#7` becomes the reference of tag 7
//!   and `=text=` becomes base64; `long notice`; `ok INDEX TAG BODY`, `ok-big INDEX TAG LENGTH` and
//!   `awaits INDEX TAG BODY` send the end of a run and the start of its downstream call.
//! - `told VERB TAG [BODY]` expects a command; `any-told VERB` expects one for any task.
//! - `gauges on|off` switches replies to gauge requests. Gauge requests after a banner are answered once the
//!   notices that directly follow it have been sent, because the interpreter replays these first.
//!
//! Downstream service and service registry:
//! - `called TAG BODY` expects a call; `reply STATUS BODY [HEADER]` answers it; `hang up` closes its
//!   connection; `given up` expects the server to close it; `closed unused` expects a connection that ends
//!   without a byte.
//! - `no records` refuses connections; `records full` and `records takes` stop and resume accepting.
//! - `reported WORDS` expects a load report; `no catalog` configures a registry address without a receiver.

mod balancer;
mod link;
mod options;
mod sockets;
mod steps;

use balancer::{Balancer, reference};
use base64::{Engine, engine::general_purpose::STANDARD};
use link::Link;
use serde_json::{Value, json};
use sockets::{accept, connecting_addresses, listener, with_timeout};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::{Duration, Instant};

/// Maximum time that a step waits for an event before the scenario fails.
const WAIT_MAX: Duration = Duration::from_secs(30);

/// The server and the test doubles of its peers.
pub struct ScenarioHarness {
    name: String,
    configuration: Value,
    server: Option<Child>,
    log: Receiver<String>,
    log_lines: Vec<String>,
    log_held: Arc<AtomicBool>,
    listen: String,
    balancers: HashMap<String, Balancer>,
    interpreter: TcpListener,
    /// Start time of the interpreter; a `banner` step without an age reports the time since this start.
    interpreter_started: Instant,
    /// Open connections that fill a listener's accept queue; further connection attempts get no answer.
    queue_fillers: Vec<TcpStream>,
    link: Option<Link>,
    gauges: Arc<AtomicBool>,
    downstream_service: Option<TcpListener>,
    downstream_call: Option<BufReader<TcpStream>>,
    registry: UdpSocket,
    descriptors: Option<String>,
    options: Option<String>,
}

impl ScenarioHarness {
    pub fn new(name: &str) -> Self {
        let (interpreter, downstream_service) = (listener(), listener());
        let registry = UdpSocket::bind("127.0.0.1:0").unwrap();
        registry.set_read_timeout(Some(WAIT_MAX)).unwrap();
        let address = |listener: &TcpListener| listener.local_addr().unwrap().to_string();
        let operation = |name: &str| {
            let (target, give_up) = (8_000_000, 9_000_000);
            json!({"name": name, "effect": "repeatable", "target": target, "give-up": give_up, "worth": 1.0})
        };
        let configuration = json!({
            "name": "n3", "listen": "127.0.0.1:0", "vm": address(&interpreter),
            "records": address(&downstream_service),
            "directory": registry.local_addr().unwrap().to_string(),
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
            log_lines: Vec::new(),
            log_held: Arc::default(),
            listen: String::new(),
            balancers: HashMap::new(),
            interpreter,
            interpreter_started: Instant::now(),
            queue_fillers: Vec::new(),
            link: None,
            gauges: Arc::new(AtomicBool::new(true)),
            downstream_service: Some(downstream_service),
            downstream_call: None,
            registry,
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

    fn configuration_path(&self) -> PathBuf {
        std::env::temp_dir().join(format!("{}-{}.json", self.name, std::process::id()))
    }

    /// Writes the configuration file and the options file of the server.
    fn write_files(&self) {
        std::fs::write(self.configuration_path(), self.configuration.to_string()).unwrap();
        if let Some(text) = &self.options {
            let root = "<meadowstream xmlns=\"urn:meadowstream:options:1\">";
            std::fs::write(
                self.configuration_path().with_extension("xml"),
                format!("{root}\n{text}\n</meadowstream>"),
            )
            .unwrap();
        }
    }

    fn start(&mut self) {
        let file = self.configuration_path();
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
        (self.server, self.log, self.log_lines) = (Some(server), log, Vec::new());
    }

    fn wait_for_log_line(&mut self, text: &str) -> String {
        loop {
            if let Some(line) = self.log_lines.iter().find(|line| line.contains(text)) {
                return line.clone();
            }
            let line = self
                .log
                .recv_timeout(WAIT_MAX)
                .unwrap_or_else(|_| panic!("no {text:?}: {:?}", self.log_lines));
            self.log_lines.push(line);
        }
    }

    fn wait_for_weight(&mut self, name: &str, weight: &str) {
        let shown = format!("tenant=\"{name}\" weight={weight}");
        let end = Instant::now() + WAIT_MAX;
        while !self.log_lines.iter().any(|line| line.contains(&shown)) {
            assert!(Instant::now() < end, "no {shown:?}: {:?}", self.log_lines);
            self.signal("USR1");
            std::thread::sleep(Duration::from_millis(100));
            self.log_lines.extend(self.log.try_iter());
        }
    }

    /// Checks that no logged change of settings paused the server for more than `ms` milliseconds. `field`
    /// selects elapsed time or processor time.
    fn expect_pauses_at_most(&mut self, field: &str, ms: u64) {
        self.log_lines.extend(self.log.try_iter());
        let prefix = format!("{field}=");
        let pause_us =
            |line: &String| line.split_whitespace().find_map(|word| word.strip_prefix(&prefix)?.parse().ok());
        let pauses: Vec<u64> = self.log_lines.iter().filter_map(pause_us).collect();
        println!("{field} {pauses:?}");
        assert!(!pauses.is_empty() && pauses.iter().all(|us| *us <= ms * 1000), "{field} {pauses:?}");
    }

    fn expect_exit(&mut self, code: Option<i32>) {
        // Reads the log until its end, which is reached when the process exits.
        while let Ok(line) = self.log.recv_timeout(WAIT_MAX) {
            self.log_lines.push(line);
        }
        let status = self.server.take().expect("started").wait().unwrap();
        assert_eq!(status.code(), code, "{:?}", self.log_lines);
    }

    fn signal(&self, name: &str) {
        let id = self.server.as_ref().expect("started").id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &id]).status().unwrap().success());
    }

    /// Requests the server's counters repeatedly until the counter `name` is at least `least`.
    fn wait_for_counter(&mut self, name: &str, least: u64) {
        let end = Instant::now() + WAIT_MAX;
        while Instant::now() < end {
            if self.counter(name) >= least {
                return;
            }
        }
        panic!("{name} stays below {least}: {:?}", self.log_lines);
    }

    pub fn counter(&mut self, name: &str) -> u64 {
        self.log_lines.clear();
        self.signal("USR1");
        let line = self.wait_for_log_line("counters:");
        let counter = line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
        counter.expect("a counter").parse().unwrap()
    }

    /// Waits until the server has made unanswered connection attempts to the interpreter from two ports.
    fn wait_for_second_connect(&self) {
        let (end, mut ports) = (Instant::now() + WAIT_MAX, std::collections::HashSet::new());
        while Instant::now() < end {
            ports.extend(connecting_addresses(&self.interpreter));
            if ports.len() > 1 {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("connection attempts only from {ports:?}");
    }

    fn balancer(&mut self, name: &str) -> &mut Balancer {
        self.balancers.get_mut(name).unwrap_or_else(|| panic!("no connection {name}"))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) {
        self.balancer(name).stream.get_mut().write_all(bytes).unwrap();
    }

    /// Accepts the next link and reads its first command. Skips links that end without a byte. Such links
    /// occur because the server abandons a connection attempt after one second, and a full accept queue
    /// delays the kernel's answer by one second.
    fn take_link(&mut self) -> Value {
        loop {
            let link = Link::new(accept(&self.interpreter), self.gauges.clone());
            let command = link.commands.recv_timeout(WAIT_MAX);
            self.link = Some(link);
            match command {
                Ok(command) => return command,
                Err(RecvTimeoutError::Disconnected) => println!("a link ended without a byte"),
                Err(RecvTimeoutError::Timeout) => panic!("no command on the link"),
            }
        }
    }

    fn command(&mut self) -> Value {
        let link = self.link.as_mut().expect("linked");
        link.commands.recv_timeout(WAIT_MAX).expect("a command in time")
    }

    fn expect_command(&mut self, verb: &str, tag: &str, body: Option<&str>) {
        let command = self.command();
        assert_eq!((&command["verb"], &command["task"]), (&json!(verb), &json!(reference(tag))), "{command}");
        if let Some(body) = body {
            assert_eq!(command["bytes"], json!(STANDARD.encode(body)), "{command}");
        }
    }

    fn send_notice(&mut self, text: &str) {
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

    fn expect_downstream_call(&mut self, tag: &str, body: &str) {
        if self.downstream_call.is_none() {
            self.downstream_call = Some(with_timeout(accept(
                self.downstream_service.as_ref().expect("the scenario has not closed the service"),
            )));
        }
        let call = self.downstream_call.as_mut().unwrap();
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

    fn send_downstream_reply(&mut self, status: &str, body: &str, header: &str) {
        let header = if header.is_empty() { String::new() } else { format!("{header}\r\n") };
        let reply = format!("HTTP/1.1 {status} X\r\n{header}Content-Length: {}\r\n\r\n{body}", body.len());
        self.downstream_call.as_mut().expect("a call").get_mut().write_all(reply.as_bytes()).unwrap();
    }

    fn expect_reply(&mut self, name: &str, tag: &str, word: &str, body: Option<&str>) {
        let words = self.balancer(name).wait_for_reply(tag);
        assert_eq!(words[1], word, "{words:?}");
        if let Some(body) = body {
            assert_eq!(words[3], body, "{words:?}");
        }
    }
}

impl Drop for ScenarioHarness {
    fn drop(&mut self) {
        if let Some(server) = &mut self.server {
            if std::thread::panicking() {
                println!("the server: {:?}", server.try_wait());
            }
            let _ = server.kill().and_then(|()| server.wait());
        }
        if std::thread::panicking() {
            self.log_lines.extend(self.log.try_iter());
            println!("the server's log: {:#?}", self.log_lines);
        }
        let _ = std::fs::remove_file(self.configuration_path());
        let _ = std::fs::remove_file(self.configuration_path().with_extension("xml"));
    }
}

/// Runs all steps of the scenario `text`; panics at the first step that fails.
pub fn run(name: &str, text: &str) {
    let mut harness = ScenarioHarness::new(name);
    for line in text.lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        // Test runners print this output only for a failed scenario. The last line is then the failed step.
        println!("{line}");
        harness.step(line);
    }
}
