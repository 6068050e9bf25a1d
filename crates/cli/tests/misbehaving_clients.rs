//! Runs the program among clients that stall, flood or leave, beside an ordinary load. The ordinary load
//! must be answered in time, the memory of the process must stay within its limit, and nothing may run for
//! a client that is known to have left.

use meadowstream_test_doubles::fleet::{FleetHarness, HarnessOptions, wait_for};
use meadowstream_test_doubles::open_loop::{self, LoadSettings, ReplyCounts};
use meadowstream_test_doubles::unix_ms;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};
use test_case::test_case;

const CORES: f64 = 4.0;
/// Limit on the file descriptors of the process. Connections may take half of them.
const DESCRIPTORS: u64 = 1_024;
const STALLED_CLIENTS: usize = 400;
/// Memory limit of the process in the configuration of the harness.
const MEMORY_LIMIT_KB: u64 = 192 * 1024;
/// Time in which each call of the ordinary load must be answered.
const GIVE_UP: Duration = Duration::from_millis(1_000);
/// Tolerance for that time, as the protocol grants it at sockets.
const SLACK: Duration = Duration::from_millis(100);
const SPAN: Duration = Duration::from_secs(8);
const START_MAX: Duration = Duration::from_secs(20);
/// Ordinary calls per second; each uses 10 ms of core time.
const RATE: f64 = 40.0;

fn start(seed: u64, effect: &str) -> (FleetHarness, SocketAddr) {
    start_with(seed, effect, Vec::new())
}

/// As [`start`], with more settings.
fn start_with(
    seed: u64,
    effect: &str,
    more_settings: Vec<(&'static str, serde_json::Value)>,
) -> (FleetHarness, SocketAddr) {
    let operation = json!([{"name": "load", "effect": effect, "target": 800_000,
        "give-up": GIVE_UP.as_micros() as u64, "worth": 1.0, "window": 2_000_000}]);
    let key = if effect == "by_key" { r#"<tokens field="token"/>"# } else { "" };
    let options = HarnessOptions {
        cores: CORES,
        descriptors: DESCRIPTORS,
        options: key.to_string(),
        settings: [vec![("grades", operation)], more_settings].concat(),
        ..HarnessOptions::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    let fleet = FleetHarness::with_options(program, 1, 1, seed, options).unwrap();
    let to = wait_for(START_MAX, || fleet.listen_address(0)).expect("a started server");
    wait_for(START_MAX, || fleet.has_logged(0, "linked to the interpreter").then_some(())).expect("a link");
    (fleet, to)
}

fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

fn call(tag: u64, operation: &str, reference: u64, more_fields: &str, body: &[u8]) -> Vec<u8> {
    call_since(unix_ms(), tag, operation, reference, more_fields, body)
}

fn call_since(
    since: u128,
    tag: u64,
    operation: &str,
    reference: u64,
    more_fields: &str,
    body: &[u8],
) -> Vec<u8> {
    let fields = format!("ref={reference:016x},since={since},sender=2,room=4{more_fields}");
    array(&[b"RPC.CALL", tag.to_string().as_bytes(), operation.as_bytes(), fields.as_bytes(), body])
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("a connection");
    stream.set_nodelay(true).unwrap();
    stream
}

fn peak_memory_kb(fleet: &FleetHarness) -> u64 {
    let id = fleet.process_id(0).expect("a process");
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak");
    peak.trim().trim_end_matches(" kB").parse().unwrap()
}

fn ordinary_load(to: SocketAddr, seed: u64) -> std::thread::JoinHandle<ReplyCounts> {
    let work = Duration::from_millis(10);
    open_loop::start_with(
        to,
        LoadSettings {
            rate: RATE,
            work: work..=work,
            makes_calls: false,
            operations: vec!["load"],
            key_field: None,
            keeps_draining_connections: false,
            span: SPAN,
            seed,
        },
    )
}

fn assert_ordinary_load_is_served(fleet: &FleetHarness, replies: &ReplyCounts) {
    let memory_kb = peak_memory_kb(fleet);
    println!("{replies:?}; peak memory {memory_kb} KiB");
    assert!(memory_kb <= MEMORY_LIMIT_KB, "{memory_kb} KiB");
    assert_eq!((replies.unanswered, replies.unexpected), (0, 0), "{replies:?}");
    assert!(replies.slowest_ms <= (GIVE_UP + SLACK).as_millis() as u64, "{replies:?}");
}

/// What a stalled client has written when it stalls. It goes on at one byte in 20 ms.
enum Stalled {
    HalfARequest,
    ManyShortFields,
}

impl Stalled {
    fn bytes(&self, reference: u64) -> Vec<u8> {
        match self {
            Self::HalfARequest => call(1, "load", reference, "", &[b'x'; 2_048]),
            Self::ManyShortFields => call(1, "load", reference, &",a=".repeat(1_300), &[b'x'; 2_048]),
        }
    }
}

#[test_case(11, Stalled::HalfARequest; "half a request")]
#[test_case(12, Stalled::ManyShortFields; "many short fields")]
fn hundreds_of_stalled_clients_leave_memory_and_answers_to_others(seed: u64, stalled: Stalled) {
    let (fleet, to) = start(seed, "repeatable");
    let load = ordinary_load(to, seed);
    let began = Instant::now();
    let mut clients: Vec<(TcpStream, Vec<u8>)> = Vec::new();
    let mut reference = seed << 40;
    while began.elapsed() < SPAN {
        while clients.len() < STALLED_CLIENTS {
            reference += 1;
            let mut bytes = stalled.bytes(reference);
            let mut stream = connect(to);
            let rest = bytes.split_off(bytes.len() - 1_024);
            if stream.write_all(&bytes).is_ok() {
                clients.push((stream, rest));
            }
        }
        clients.retain_mut(|(stream, rest)| !rest.is_empty() && stream.write_all(&[rest.remove(0)]).is_ok());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_ordinary_load_is_served(&fleet, &load.join().unwrap());
}

/// Requests that a client sends at full speed.
#[derive(Clone, Copy)]
enum Flood {
    HealthChecks,
    UnknownOperations,
    Unsound,
    Valid,
}

impl Flood {
    fn bytes(self, tag: u64) -> Vec<u8> {
        match self {
            Self::HealthChecks => array(&[b"RPC.HEALTH", tag.to_string().as_bytes()]),
            Self::UnknownOperations => call(tag, &format!("name-{tag}"), tag, &format!(",n{tag}=1"), b""),
            Self::Unsound => array(&[format!("RPC.X{tag}").as_bytes(), tag.to_string().as_bytes()]),
            Self::Valid => call(tag, "load", tag, ",token=t", b"work=1000"),
        }
    }
}

/// Sends requests as fast as the server takes them, and reads all answers.
fn flood(to: SocketAddr, flood: Flood, client: u64, stop: &AtomicBool, sent: &AtomicU64) {
    let mut stream = connect(to);
    stream.set_nonblocking(true).unwrap();
    let (mut tag, mut unsent, mut chunk) = (client << 32, Vec::new(), vec![0; 64 * 1024]);
    while !stop.load(Relaxed) {
        while unsent.len() < 16 * 1024 {
            tag += 1;
            unsent.extend_from_slice(&flood.bytes(tag));
            sent.fetch_add(1, Relaxed);
        }
        match stream.write(&unsent) {
            Ok(count) => drop(unsent.drain(..count)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                std::thread::sleep(Duration::from_micros(200));
            }
            Err(_) => return,
        }
        while stream.read(&mut chunk).is_ok_and(|count| count > 0) {}
    }
}

#[test_case(21, Flood::HealthChecks, 1; "health checks")]
#[test_case(22, Flood::UnknownOperations, 1; "ever new operations")]
#[test_case(23, Flood::Unsound, 1; "unsound requests")]
#[test_case(24, Flood::Valid, 1; "valid requests")]
#[test_case(25, Flood::HealthChecks, 4; "health checks of four clients")]
#[test_case(26, Flood::UnknownOperations, 4; "ever new operations of four clients")]
#[test_case(27, Flood::Valid, 4; "valid requests of four clients")]
fn floods_leave_answers_to_others(seed: u64, requests: Flood, clients: u64) {
    let (fleet, to) = start(seed, "repeatable");
    let load = ordinary_load(to, seed);
    let (stop, sent) = (AtomicBool::new(false), AtomicU64::new(0));
    let replies = std::thread::scope(|scope| {
        for client in 1..=clients {
            let (stop, sent) = (&stop, &sent);
            scope.spawn(move || flood(to, requests, client, stop, sent));
        }
        let replies = load.join().unwrap();
        stop.store(true, Relaxed);
        replies
    });
    println!("{} requests in the flood", sent.load(Relaxed));
    assert_ordinary_load_is_served(&fleet, &replies);
}

/// Clients that write thirty requests, stay for some time and close. Some of their ids come again, after
/// 0.3 s, from a client that stays.
fn play_leaving_clients(seed: u64, effect: &str, stay: Duration) -> (FleetHarness, u64) {
    let (fleet, to) = start(seed, effect);
    let (began, mut reference, mut again) = (Instant::now(), seed << 40, 0);
    let mut staying = connect(to);
    staying.set_nonblocking(true).unwrap();
    let mut chunk = vec![0; 64 * 1024];
    while began.elapsed() < SPAN {
        let first = reference + 1;
        let mut leaving = connect(to);
        let mut bytes = Vec::new();
        for tag in 1..=30 {
            reference += 1;
            bytes.extend_from_slice(&call(
                tag,
                "load",
                reference,
                &format!(",token=t{reference}"),
                b"work=50000",
            ));
        }
        leaving.write_all(&bytes).unwrap();
        std::thread::sleep(stay);
        drop(leaving);
        std::thread::sleep(Duration::from_millis(300));
        for id in first..first + 8 {
            again += 1;
            let request = call(again, "load", id, &format!(",token=t{id}"), b"work=50000");
            staying.write_all(&request).unwrap();
        }
        while staying.read(&mut chunk).is_ok_and(|count| count > 0) {}
    }
    (fleet, again)
}

/// An id whose client has left must not run a second time when it comes again.
#[test_case(31, "once")]
#[test_case(32, "by_key")]
fn ids_of_clients_that_left_do_not_run_twice(seed: u64, effect: &str) {
    let (fleet, again) = play_leaving_clients(seed, effect, Duration::from_millis(20));
    let runs = fleet.run_counts(0).unwrap();
    let (begun, begun_again) = (runs.begun.load(Relaxed), runs.begun_again.load(Relaxed));
    println!("{effect}: {begun} runs, {again} ids came again, {begun_again} of them ran twice");
    assert!(begun > 0 && again > 0);
    assert_eq!(begun_again, 0);
}

/// Once a client is known to have left, its requests that wait are not run.
#[test]
fn requests_of_clients_that_left_are_not_run() {
    let (fleet, _) = play_leaving_clients(33, "repeatable", Duration::ZERO);
    let runs = fleet.run_counts(0).unwrap();
    let bursts = SPAN.as_millis() as u64 / 300 + 1;
    let begun = runs.begun.load(Relaxed);
    println!("{begun} runs in {bursts} bursts");
    // Of each burst, at most the runs that start at once, before anything can show that the client has left,
    // and the eight that came again.
    let at_first = CORES as u64;
    assert!(begun <= bursts * (at_first + 8), "{begun} runs in {bursts} bursts");
}

/// Reads from the connection until nothing more comes, and returns the tags of the replies.
fn read_reply_tags(stream: &mut TcpStream) -> Vec<u64> {
    stream.set_read_timeout(Some(GIVE_UP)).unwrap();
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4_096]);
    while let Ok(count @ 1..) = stream.read(&mut chunk) {
        bytes.extend_from_slice(&chunk[..count]);
    }
    let text = String::from_utf8(bytes).unwrap();
    let lines: Vec<&str> = text.split("\r\n").collect();
    // A reply is an array; the line of its first word is the second after the array's own line.
    let begins = (0..lines.len()).filter(|line| lines[*line].starts_with('*'));
    begins.map(|line| lines[line + 2].parse().expect("a tag")).collect()
}

/// Guards against calls that are never answered: one read brings more calls than may be open at once, since
/// some are cancelled in between, and all of them are answered in the same moment.
#[test]
fn calls_that_come_with_cancelled_ones_in_one_read_are_all_answered() {
    const PAIRS: u64 = 24;
    let (_fleet, to) = start_with(41, "repeatable", vec![("family-info/tells-gone", json!(true))]);
    // Calls whose objective has passed are rejected at once; their callers wait for 0.1 s more.
    let since = unix_ms() - 900;
    let mut bytes = Vec::new();
    for pair in 0..PAIRS {
        let (cancelled, kept) = (2 * pair, 2 * pair + 1);
        bytes.extend_from_slice(&call_since(since, cancelled, "load", (41 << 40) + cancelled, "", b"x"));
        bytes.extend_from_slice(&array(&[b"RPC.CANCEL", cancelled.to_string().as_bytes()]));
        bytes.extend_from_slice(&call_since(since, kept, "load", (41 << 40) + kept, "", b"x"));
    }
    assert!(bytes.len() < 8 * 1024, "{} bytes come in one read", bytes.len());
    let mut stream = connect(to);
    stream.write_all(&bytes).unwrap();
    let mut answered = read_reply_tags(&mut stream);
    answered.retain(|tag| tag % 2 == 1);
    answered.sort_unstable();
    let kept: Vec<u64> = (0..PAIRS).map(|pair| 2 * pair + 1).collect();
    assert_eq!(answered, kept);
}
