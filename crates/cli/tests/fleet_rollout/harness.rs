//! Starts the fleets, loads, plans and coordinators of the rollout tests, and reads what they log and print.

use meadowstream_test_doubles::downstream_service;
use meadowstream_test_doubles::fleet::{FleetHarness, HarnessOptions, SUSPICION_PERIODS, wait_for};
use meadowstream_test_doubles::open_loop::{self, ReplyCounts};
use std::io::{BufRead, BufReader};
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

pub const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
const VOTERS: &str = r#"<voter name="s0"/><voter name="s1"/><voter name="s2"/>"#;

/// Lock for one test at a time: the seven processes of another test would delay the 250 ms plan intervals.
static EXCLUSIVE: Mutex<()> = Mutex::new(());

pub fn lock_exclusive() -> MutexGuard<'static, ()> {
    EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn start_fleet(seed: u64) -> FleetHarness {
    start_servers(seed, ALL.len(), SUSPICION_PERIODS)
}

/// Starts `servers` servers, with two further endpoints of the relay for coordinators.
pub fn start_servers(seed: u64, servers: usize, suspicion_periods: u64) -> FleetHarness {
    let endpoints = servers + 2;
    let (downstream, _) = downstream_service::start(Duration::from_millis(5)).unwrap();
    let rollout = format!(
        r#"<rollout candidate="next.xml" program="next" servers="10" lease-ms="1500">{VOTERS}</rollout>"#
    );
    // The servers keep their ports over a restart, at an IP address that only this test uses. All listeners
    // stay open until a free port is known for each server; otherwise the system could return a port twice.
    let test_address = format!("127.0.{seed}.1:0");
    let listeners: Vec<TcpListener> =
        (0..endpoints).map(|_| TcpListener::bind(&test_address).unwrap()).collect();
    let listen_addresses = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
    drop(listeners);
    let options = HarnessOptions {
        cores: 2.0,
        downstream_services: vec![downstream; servers],
        suspicion_periods,
        options: rollout,
        listen_addresses,
        ..HarnessOptions::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    let fleet = FleetHarness::with_options(program, endpoints, servers, seed, options).unwrap();
    fleet.wait_for_agreement(&ALL[..servers], Instant::now(), Duration::from_secs(15)).unwrap();
    fleet
}

/// Starts a load on each server for the time `span`. Each load uses half of the cores of its server.
pub fn start_loads(fleet: &FleetHarness, span: Duration) -> Vec<JoinHandle<ReplyCounts>> {
    start_loads_on(fleet, &ALL, span)
}

/// Starts a load on each of the servers `servers`, as [`start_loads`] does.
pub fn start_loads_on(
    fleet: &FleetHarness,
    servers: &[usize],
    span: Duration,
) -> Vec<JoinHandle<ReplyCounts>> {
    let to = |i: usize| fleet.listen_address(i).expect("the server has logged its listen address");
    servers
        .iter()
        .map(|&i| open_loop::start(to(i), 100.0, Duration::from_millis(10), span, i as u64 + 1))
        .collect()
}

/// Writes the candidate file (the settings to roll out) with the options in `elements`.
pub fn write_candidate(fleet: &FleetHarness, elements: &str) {
    let text = format!("<meadowstream xmlns=\"urn:meadowstream:options:1\">\n{elements}\n</meadowstream>\n");
    std::fs::write(fleet.folder().join("next.xml"), text).unwrap();
}

/// Writes the program that a plan rolls out. It is the old one with bytes added at the end, which change only
/// its hash.
pub fn write_next_program(fleet: &FleetHarness) {
    let next = fleet.folder().join("next");
    let mut bytes = std::fs::read(env!("CARGO_BIN_EXE_meadowstream")).unwrap();
    bytes.extend(b"next");
    std::fs::write(&next, bytes).unwrap();
    std::fs::set_permissions(&next, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
}

/// Writes a rollout plan of three stages. Its thresholds are so high that delays by other work on the machine
/// stay below them. The bad changes in these tests exceed the thresholds by far.
pub fn write_plan(fleet: &FleetHarness, name: &str) -> PathBuf {
    let text = format!(
        r#"<plan xmlns="urn:meadowstream:options:1" name="{name}" candidate="next.xml" interval-ms="250"
        settled-ms="1000" patience-ms="4000" throttled="0.2" latency="2" errored="0.1">
        <stage servers="1" bake-ms="4000"/>
        <stage share="0.5" bake-ms="4000"/>
        <stage share="1" bake-ms="2000"/>
        </plan>"#
    );
    let path = fleet.folder().join(format!("{name}.plan.xml"));
    std::fs::write(&path, text).unwrap();
    path
}

/// A process that runs the command `rollout`. It is killed when this value is dropped.
pub struct Coordinator {
    pub child: Child,
    /// Lines that the process has written to standard output and standard error so far.
    pub lines: Arc<Mutex<Vec<String>>>,
}

impl Coordinator {
    /// Starts a coordinator at a new port, which other processes reach through the relay's `endpoint`.
    pub fn start(fleet: &FleetHarness, plan: &Path, endpoint: usize, wait_s: u64) -> Coordinator {
        Coordinator::start_with(fleet, plan, endpoint, wait_s, SUSPICION_PERIODS)
    }

    /// Starts a coordinator in a fleet in which a member stays suspect for `suspicion_periods` probe periods.
    pub fn start_with(
        fleet: &FleetHarness,
        plan: &Path,
        endpoint: usize,
        wait_s: u64,
        suspicion_periods: u64,
    ) -> Coordinator {
        let free = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        fleet.relay.register(endpoint, free);
        let options = fleet.folder().join(format!("coordinator-{endpoint}.xml"));
        let text = format!(
            r#"<meadowstream xmlns="urn:meadowstream:options:1">
            <membership bind="{free}" advertise="{}" fleet="rehearsal" key-file="key" probe-period-ms="200"
              probe-rtt-ms="80" suspicion-multiplier="{suspicion_periods}" gossip-period-ms="100"
              announce-period-ms="1000">
            <seed address="{}"/><seed address="{}"/></membership>
            <rollout candidate="next.xml" servers="10" lease-ms="1500">{VOTERS}</rollout></meadowstream>"#,
            fleet.relay.endpoint(endpoint),
            fleet.relay.endpoint(0),
            fleet.relay.endpoint(1),
        );
        std::fs::write(&options, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_meadowstream"));
        command.arg("rollout").arg(plan).arg("--options").arg(options).args(["--wait", &wait_s.to_string()]);
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let outputs: [Box<dyn std::io::Read + Send>; 2] =
            [Box::new(child.stdout.take().unwrap()), Box::new(child.stderr.take().unwrap())];
        for output in outputs {
            let lines = lines.clone();
            std::thread::spawn(move || {
                let read = BufReader::new(output).lines().map_while(Result::ok);
                read.for_each(|line| lines.lock().unwrap().push(line));
            });
        }
        Coordinator { child, lines }
    }

    /// Whether a line of the output contains `text`.
    pub fn has_printed(&self, text: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|line| line.contains(text))
    }

    /// Waits until the output contains `text`. Panics if this takes longer than `within`.
    pub fn wait_for_output(&self, text: &str, within: Duration) {
        let printed = wait_for(within, || self.has_printed(text).then_some(()));
        assert!(printed.is_some(), "no output {text:?}: {:#?}", self.lines.lock().unwrap());
    }

    /// Waits for the coordinator to exit. Returns its exit code, or -1 if a signal ended the process.
    pub fn wait_for_exit(&mut self, within: Duration) -> i32 {
        let status = wait_for(within, || self.child.try_wait().unwrap());
        std::thread::sleep(Duration::from_millis(50));
        let status = status.unwrap_or_else(|| panic!("still runs: {:#?}", self.lines.lock().unwrap()));
        status.code().unwrap_or(-1)
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether server `i` uses the settings of a rollout, according to its last log line about settings.
pub fn adopted(fleet: &FleetHarness, i: usize) -> bool {
    fleet.log_lines(i, "settings").last().is_some_and(|line| line["adopted"] == true)
}

/// Returns the servers that currently use the settings of a rollout.
pub fn changed_servers(fleet: &FleetHarness) -> Vec<usize> {
    ALL.into_iter().filter(|i| adopted(fleet, *i)).collect()
}

/// Returns the servers that have used the settings of a rollout at any time since their start.
pub fn ever_changed_servers(fleet: &FleetHarness) -> Vec<usize> {
    let ever = |i: &usize| fleet.log_lines(*i, "settings").iter().any(|line| line["adopted"] == true);
    ALL.into_iter().filter(ever).collect()
}

/// Path of the mark file that server `i` writes when it adopts the candidate settings.
pub fn adoption_mark(fleet: &FleetHarness, i: usize) -> PathBuf {
    fleet.folder().join(format!("s{i}.xml.adopted"))
}

/// Waits for the loads to end. Asserts that every call succeeded or was rejected: errors and missing replies
/// are not allowed, because the load is below the capacity of the servers.
pub fn expect_all_answered(loads: Vec<JoinHandle<ReplyCounts>>) -> Vec<ReplyCounts> {
    let replies: Vec<ReplyCounts> = loads.into_iter().map(|load| load.join().unwrap()).collect();
    for server in &replies {
        assert_eq!((server.errored, server.unanswered), (0, 0), "{replies:?}");
        assert_eq!(server.succeeded + server.throttled, server.sent, "{replies:?}");
    }
    replies
}

/// Returns the hash of the settings of member `name` in the last membership view logged by server `i`.
pub fn settings_hash(fleet: &FleetHarness, i: usize, name: &str) -> String {
    let runs = fleet.view_field(i, "runs").unwrap_or_default();
    runs[name][1].as_str().unwrap_or("").to_string()
}

/// Path of the file in which server `i` marks the program that its supervisor is to start.
pub fn program_mark(fleet: &FleetHarness, i: usize) -> PathBuf {
    fleet.folder().join(format!("s{i}.xml.program"))
}
