//! Tests of staged rollouts over six processes of the program and a coordinator, behind the fault relay and
//! under load. The servers' logs show the settings in force, the clients count the results of calls.

use meadowstream_test_doubles::downstream_service;
use meadowstream_test_doubles::fleet::{FleetHarness, HarnessOptions, wait_for};
use meadowstream_test_doubles::open_loop::{self, ReplyCounts};
use std::io::{BufRead, BufReader};
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
const VOTERS: &str = r#"<voter name="s0"/><voter name="s1"/><voter name="s2"/>"#;

/// Lock for one test at a time: the seven processes of another test would delay the 250 ms plan intervals.
static EXCLUSIVE: Mutex<()> = Mutex::new(());

fn lock_exclusive() -> MutexGuard<'static, ()> {
    EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_fleet(seed: u64) -> FleetHarness {
    let (downstream, _) = downstream_service::start(Duration::from_millis(5)).unwrap();
    let rollout = format!(
        r#"<rollout candidate="next.xml" program="next" servers="10" lease-ms="1500">{VOTERS}</rollout>"#
    );
    // The servers keep their ports over a restart, at an IP address that only this test uses. All listeners
    // stay open until a free port is known for each server; otherwise the system could return a port twice.
    let test_address = format!("127.0.{seed}.1:0");
    let listeners: Vec<TcpListener> = (0..8).map(|_| TcpListener::bind(&test_address).unwrap()).collect();
    let listen_addresses = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
    drop(listeners);
    let options = HarnessOptions {
        cores: 2.0,
        downstream_services: vec![downstream; 6],
        options: rollout,
        listen_addresses,
        ..HarnessOptions::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    // The relay has eight endpoints: six for the servers and two for coordinators.
    let fleet = FleetHarness::with_options(program, 8, 6, seed, options).unwrap();
    fleet.wait_for_agreement(&ALL, Instant::now(), Duration::from_secs(15)).unwrap();
    fleet
}

/// Starts a load on each server for the time `span`. Each load uses half of the cores of its server.
fn start_loads(fleet: &FleetHarness, span: Duration) -> Vec<JoinHandle<ReplyCounts>> {
    let to = |i: usize| fleet.listen_address(i).expect("the server has logged its listen address");
    ALL.iter()
        .map(|&i| open_loop::start(to(i), 100.0, Duration::from_millis(10), span, i as u64 + 1))
        .collect()
}

/// Writes the candidate file (the settings to roll out) with the options in `elements`.
fn write_candidate(fleet: &FleetHarness, elements: &str) {
    let text = format!("<meadowstream xmlns=\"urn:meadowstream:options:1\">\n{elements}\n</meadowstream>\n");
    std::fs::write(fleet.folder().join("next.xml"), text).unwrap();
}

/// Writes a rollout plan of three stages. Its thresholds are so high that delays by other work on the machine
/// stay below them. The bad changes in these tests exceed the thresholds by far.
fn write_plan(fleet: &FleetHarness, name: &str) -> PathBuf {
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
struct Coordinator {
    child: Child,
    /// Lines that the process has written to standard output and standard error so far.
    lines: Arc<Mutex<Vec<String>>>,
}

impl Coordinator {
    /// Starts a coordinator at a new port, which other processes reach through the relay's `endpoint`.
    fn start(fleet: &FleetHarness, plan: &Path, endpoint: usize, wait_s: u64) -> Coordinator {
        let free = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        fleet.relay.register(endpoint, free);
        let options = fleet.folder().join(format!("coordinator-{endpoint}.xml"));
        let text = format!(
            r#"<meadowstream xmlns="urn:meadowstream:options:1">
            <membership bind="{free}" advertise="{}" fleet="rehearsal" key-file="key" probe-period-ms="200"
              probe-rtt-ms="80" suspicion-multiplier="5" gossip-period-ms="100" announce-period-ms="1000">
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
    fn has_printed(&self, text: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|line| line.contains(text))
    }

    /// Waits until the output contains `text`. Panics if this takes longer than `within`.
    fn wait_for_output(&self, text: &str, within: Duration) {
        let printed = wait_for(within, || self.has_printed(text).then_some(()));
        assert!(printed.is_some(), "no output {text:?}: {:#?}", self.lines.lock().unwrap());
    }

    /// Waits for the coordinator to exit. Returns its exit code, or -1 if a signal ended the process.
    fn wait_for_exit(&mut self, within: Duration) -> i32 {
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
fn adopted(fleet: &FleetHarness, i: usize) -> bool {
    fleet.log_lines(i, "settings").last().is_some_and(|line| line["adopted"] == true)
}

/// Returns the servers that currently use the settings of a rollout.
fn changed_servers(fleet: &FleetHarness) -> Vec<usize> {
    ALL.into_iter().filter(|i| adopted(fleet, *i)).collect()
}

/// Returns the servers that have used the settings of a rollout at any time since their start.
fn ever_changed_servers(fleet: &FleetHarness) -> Vec<usize> {
    let ever = |i: &usize| fleet.log_lines(*i, "settings").iter().any(|line| line["adopted"] == true);
    ALL.into_iter().filter(ever).collect()
}

/// Path of the mark file that server `i` writes when it adopts the candidate settings.
fn adoption_mark(fleet: &FleetHarness, i: usize) -> PathBuf {
    fleet.folder().join(format!("s{i}.xml.adopted"))
}

/// Waits for the loads to end. Asserts that every call succeeded or was rejected: errors and missing replies
/// are not allowed, because the load is below the capacity of the servers.
fn expect_all_answered(loads: Vec<JoinHandle<ReplyCounts>>) -> Vec<ReplyCounts> {
    let replies: Vec<ReplyCounts> = loads.into_iter().map(|load| load.join().unwrap()).collect();
    for server in &replies {
        assert_eq!((server.errored, server.unanswered), (0, 0), "{replies:?}");
        assert_eq!(server.succeeded + server.throttled, server.sent, "{replies:?}");
    }
    replies
}

/// Returns the hash of the settings of member `name` in the last membership view logged by server `i`.
fn settings_hash(fleet: &FleetHarness, i: usize, name: &str) -> String {
    let runs = fleet.view_field(i, "runs").unwrap_or_default();
    runs[name][1].as_str().unwrap_or("").to_string()
}

/// Rollout of a target utilization (`<control reference>`) far below the load. One changed server rejects
/// calls. The first stage detects the rejections and reverts this server. The other five never change.
#[test]
fn a_bad_change_is_rolled_back_in_its_first_stage() {
    let _exclusive = lock_exclusive();
    let fleet = start_fleet(41);
    write_candidate(&fleet, "<control reference=\"0.15\"/>");
    let plan = write_plan(&fleet, "too-low");
    let load = start_loads(&fleet, Duration::from_secs(22));
    std::thread::sleep(Duration::from_secs(2));
    let mut coordinator = Coordinator::start(&fleet, &plan, 6, 20);
    coordinator.wait_for_output("stage 1: all go by it", Duration::from_secs(20));
    assert_eq!(changed_servers(&fleet).len(), 1);
    let code = coordinator.wait_for_exit(Duration::from_secs(20));
    println!("{:#?}", coordinator.lines.lock().unwrap());
    assert_eq!(code, 1);
    assert!(coordinator.has_printed("rolled back: load: ") && !coordinator.has_printed("stage 2"));
    assert_eq!((ever_changed_servers(&fleet).len(), changed_servers(&fleet).len()), (1, 0));
    assert!(ALL.iter().all(|i| !adoption_mark(&fleet, *i).exists()));
    let replies = expect_all_answered(load);
    let throttled: Vec<u64> = replies.iter().map(|each| each.throttled).collect();
    assert!(ALL.iter().all(|i| fleet.repeated_runs(*i) == 0));
    println!("throttled by server: {throttled:?}, ever changed {:?}", ever_changed_servers(&fleet));
    // This plan was rolled back, so a coordinator that is started with it again exits with an error.
    let again = Coordinator::start(&fleet, &plan, 6, 5).wait_for_exit(Duration::from_secs(10));
    assert_eq!(again, 1);
}

/// A killed coordinator can be restarted and completes its rollout. The coordinator is killed during the bake
/// time of a stage, and the servers keep their settings. While this rollout runs, a second plan gets no
/// lease. A server that is killed after the rollout restarts with the changed settings.
#[test]
fn a_good_change_completes_although_the_coordinator_is_killed_and_another_plan_starts() {
    let _exclusive = lock_exclusive();
    let mut fleet = start_fleet(42);
    write_candidate(&fleet, "<control reference=\"0.88\"/>");
    let (good, other) = (write_plan(&fleet, "good"), write_plan(&fleet, "other"));
    let load = start_loads(&fleet, Duration::from_secs(45));
    std::thread::sleep(Duration::from_secs(2));
    let coordinator = Coordinator::start(&fleet, &good, 6, 20);
    coordinator.wait_for_output("stage 1: all go by it", Duration::from_secs(20));
    let mut second = Coordinator::start(&fleet, &other, 7, 4);
    assert_eq!(second.wait_for_exit(Duration::from_secs(12)), 1);
    assert!(second.has_printed("no lease on rollouts within 4s"), "{:?}", second.lines.lock().unwrap());
    coordinator.wait_for_output("stage 2 of 3", Duration::from_secs(20));
    coordinator.wait_for_output("stage 2: all go by it", Duration::from_secs(10));
    drop(coordinator);
    let before = changed_servers(&fleet);
    assert_eq!(before.len(), 3);
    // Checks that all servers agree on the settings hash of each server j: the hash that j itself logs.
    let agreed = || {
        let hash = |i: usize, j: usize| settings_hash(&fleet, i, &format!("s{j}"));
        let all = ALL.iter().all(|&i| ALL.iter().all(|&j| hash(i, j) == hash(j, j)));
        let hashes: std::collections::BTreeSet<String> = ALL.iter().map(|&j| hash(0, j)).collect();
        // The three changed servers share one hash and each unchanged server has its own: four hashes.
        (all && hashes.len() == 4 && !hashes.contains("")).then_some(())
    };
    assert!(wait_for(Duration::from_secs(8), agreed).is_some(), "{:?}", fleet.view_field(0, "runs"));
    std::thread::sleep(Duration::from_secs(1));
    let mut again = Coordinator::start(&fleet, &good, 6, 30);
    let code = again.wait_for_exit(Duration::from_secs(45));
    println!("{:#?}", again.lines.lock().unwrap());
    assert_eq!(code, 0);
    assert!(again.has_printed("goes on from its state") && !again.has_printed("stage 1"));
    assert_eq!(changed_servers(&fleet), ALL);
    let replies = expect_all_answered(load);
    println!("{replies:?}");
    // An adoption is recorded on disk, so a killed server restarts with the adopted settings. If the
    // candidate file was changed after the adoption, the server restarts with its own settings.
    assert!(ALL.iter().all(|i| adoption_mark(&fleet, *i).exists()));
    fleet.signal(4, "KILL").unwrap();
    fleet.start(4).unwrap();
    std::fs::write(fleet.folder().join("next.xml"), "another").unwrap();
    fleet.signal(5, "KILL").unwrap();
    fleet.start(5).unwrap();
    let own = wait_for(Duration::from_secs(5), || {
        let warned = |i| fleet.has_logged(i, "starts by its own settings, not by those of the change");
        (warned(5) && !warned(4)).then_some(())
    });
    assert!(own.is_some(), "s5 must not use a different candidate, and s4 must use the adopted one");
}

/// A partition during the bake time of a stage pauses the rollout: no server changes until the membership
/// view is stable again. Afterwards an abort by the operator rolls the change back.
#[test]
fn a_partition_delays_a_stage_and_an_abort_rolls_back() {
    let _exclusive = lock_exclusive();
    let fleet = start_fleet(43);
    write_candidate(&fleet, "<control reference=\"0.88\"/>");
    let plan = write_plan(&fleet, "cut");
    let load = start_loads(&fleet, Duration::from_secs(35));
    std::thread::sleep(Duration::from_secs(2));
    let mut coordinator = Coordinator::start(&fleet, &plan, 6, 20);
    coordinator.wait_for_output("stage 1: all go by it", Duration::from_secs(20));
    let first = changed_servers(&fleet);
    fleet.relay.change_faults(|f| {
        f.groups.extend([(4, 1), (5, 1)]);
        f.partition(0, 1);
    });
    coordinator.wait_for_output("view moves, nothing counts", Duration::from_secs(10));
    std::thread::sleep(Duration::from_secs(8));
    assert_eq!(changed_servers(&fleet), first, "{:?}", coordinator.lines.lock().unwrap());
    assert!(!coordinator.has_printed("stage 2"));
    fleet.relay.change_faults(|faults| faults.heal());
    coordinator.wait_for_output("stage 2 of 3", Duration::from_secs(20));
    let out = |word: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_meadowstream"));
        let out = command.args(["rollout", word]).arg(&plan).output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&out.stdout).to_string())
    };
    let (code, status) = out("status");
    assert_eq!(code, Some(0));
    assert!(status.contains("plan \"cut\"") && status.contains("stage 2") && status.contains("3 servers"));
    assert_eq!(out("abort").0, Some(0));
    assert_eq!(coordinator.wait_for_exit(Duration::from_secs(15)), 1);
    assert!(coordinator.has_printed("rolled back: aborted by the operator"));
    assert!(changed_servers(&fleet).is_empty());
    expect_all_answered(load);
}

/// A rollout fails if the candidate or the plan is invalid, or if the servers reject the change. Each error
/// message names the position in the file or the reason.
#[test]
fn invalid_candidates_and_plans_are_rejected_with_their_place() {
    let _exclusive = lock_exclusive();
    let fleet = start_fleet(44);
    // This candidate is invalid: the target utilization 7 is above the maximum of 1.
    write_candidate(&fleet, "<control reference=\"7\"/>");
    let run = |plan: &Path| {
        let mut coordinator = Coordinator::start(&fleet, plan, 6, 5);
        let code = coordinator.wait_for_exit(Duration::from_secs(40));
        (code, coordinator.lines.lock().unwrap().join("\n"))
    };
    let path = write_plan(&fleet, "bad");
    let (code, output) = run(&path);
    assert_eq!(code, 1);
    assert!(output.contains("line 2, <control>: reference: 7 is not within 0.05 and 1"), "{output}");
    write_candidate(&fleet, "<rollout candidate=\"x\" servers=\"3\"/><membership/>");
    assert!(run(&path).1.contains("line 2, <membership>: fleet is missing"));
    write_candidate(&fleet, "<control reference=\"0.88\"/>");
    let good = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, good.replacen("bake-ms=\"4000\"", "bake-ms=\"0\"", 1)).unwrap();
    let (code, output) = run(&path);
    assert_eq!(code, 1);
    assert!(output.contains("line 1, <plan>: stage 1: bake-ms: at least 6 intervals"), "{output}");
    // Turning on `<tenants>` requires a restart: a server rejects the change, and no server applies it.
    std::fs::write(&path, good).unwrap();
    write_candidate(&fleet, "<tenants by=\"peer\"/>");
    let load = start_loads(&fleet, Duration::from_secs(20));
    let (code, output) = run(&path);
    println!("{output}");
    assert_eq!(code, 1);
    assert!(output.contains("refuses: tenants: telling them apart or not takes a restart"), "{output}");
    assert!(ever_changed_servers(&fleet).is_empty());
    expect_all_answered(load);
}

/// Rollout of a new program. Each server of a stage answers all calls and exits. A test double of the
/// supervisor then starts the program that the server's mark file names. If a server does not return, the
/// coordinator rolls the change back.
#[test]
fn a_program_is_rolled_out_by_restarts_and_rolled_back_if_a_server_fails() {
    let _exclusive = lock_exclusive();
    for (broken, seed) in [(false, 45), (true, 46)] {
        let mut fleet = start_fleet(seed);
        let next = fleet.folder().join("next");
        let mut bytes = std::fs::read(env!("CARGO_BIN_EXE_meadowstream")).unwrap();
        // The new program is the old one with bytes added at the end, which change only its hash.
        bytes.extend(b"next");
        std::fs::write(&next, bytes).unwrap();
        std::fs::set_permissions(&next, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
        let path = write_plan(&fleet, "program");
        let text = std::fs::read_to_string(&path)
            .unwrap()
            .replace("candidate=\"next.xml\"", "program=\"next\" warm-up-ms=\"4000\"");
        std::fs::write(&path, text).unwrap();
        let load = start_loads(&fleet, Duration::from_secs(if broken { 25 } else { 40 }));
        let mut coordinator = Coordinator::start(&fleet, &path, 6, 20);
        let (began, mut restarts) = (Instant::now(), Vec::new());
        let code = loop {
            let started =
                if broken && !restarts.is_empty() { Vec::new() } else { fleet.supervise().unwrap() };
            restarts.extend(started);
            if let Some(ended) = coordinator.child.try_wait().unwrap() {
                break ended.code();
            }
            assert!(began.elapsed() < Duration::from_secs(70), "{:#?}", coordinator.lines.lock().unwrap());
            if broken && restarts.len() == 1 {
                // Stops the first restarted server permanently (SIGSTOP), so that it reports nothing.
                fleet.signal_and_keep(restarts[0], "STOP").unwrap();
                restarts.push(restarts[0]);
            }
            std::thread::sleep(Duration::from_millis(50));
        };
        std::thread::sleep(Duration::from_millis(100));
        println!("broken {broken}: {restarts:?} {:#?}", coordinator.lines.lock().unwrap());
        let replies: Vec<ReplyCounts> = load.into_iter().map(|load| load.join().unwrap()).collect();
        println!("{replies:?}");
        // During a restart, calls fail until the new process listens and is connected to the interpreter. At
        // most one fiftieth of each server's calls may fail.
        for (i, load) in replies.iter().enumerate() {
            let stopped = broken && restarts.contains(&i);
            assert!(stopped || (load.errored + load.unanswered) * 50 <= load.sent, "s{i}: {replies:?}");
            assert_eq!(fleet.repeated_runs(i), 0);
        }
        if broken {
            assert_eq!(code, Some(1));
            assert!(!coordinator.has_printed("stage 2"));
            assert!(coordinator.has_printed("rolled back: s2 gone since the change; NOT CONFIRMED by s2"));
        } else {
            assert_eq!(code, Some(0));
            restarts.sort();
            assert_eq!(restarts, ALL);
        }
    }
}
