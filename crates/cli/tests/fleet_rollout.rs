//! Changes by stages over six processes of the program, behind the fault relay and under load, with the
//! coordinator as a seventh: what each server goes by, answers and says is read from the servers themselves.

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

/// One test at a time: each has seven processes and steps of a quarter of a second.
static TURN: Mutex<()> = Mutex::new(());

fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_fleet(seed: u64) -> FleetHarness {
    let (records, _) = downstream_service::start(Duration::from_millis(5)).unwrap();
    let rollout = format!(
        r#"<rollout candidate="next.xml" program="next" servers="10" lease-ms="1500">{VOTERS}</rollout>"#
    );
    // The same ports after a restart, at an address of this test's own: free ones, held together until all
    // are known.
    let own = format!("127.0.{seed}.1:0");
    let held: Vec<TcpListener> = (0..8).map(|_| TcpListener::bind(&own).unwrap()).collect();
    let listen_addresses = held.iter().map(|listener| listener.local_addr().unwrap()).collect();
    drop(held);
    let options = HarnessOptions {
        cores: 2.0,
        downstream_services: vec![records; 6],
        options: rollout,
        listen_addresses,
        ..HarnessOptions::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    // Two faces beyond the servers, for coordinators.
    let fleet = FleetHarness::with_options(program, 8, 6, seed, options).unwrap();
    fleet.wait_for_agreement(&ALL, Instant::now(), Duration::from_secs(15)).unwrap();
    fleet
}

/// Half of what each server's cores can do.
fn floods(fleet: &FleetHarness, span: Duration) -> Vec<JoinHandle<ReplyCounts>> {
    let to = |i: usize| fleet.listen_address(i).expect("it said so");
    ALL.iter()
        .map(|&i| open_loop::start(to(i), 100.0, Duration::from_millis(10), span, i as u64 + 1))
        .collect()
}

fn candidate(fleet: &FleetHarness, inside: &str) {
    let text = format!("<meadowstream xmlns=\"urn:meadowstream:options:1\">\n{inside}\n</meadowstream>\n");
    std::fs::write(fleet.folder().join("next.xml"), text).unwrap();
}

/// Differences that a machine disturbed by other work does not bring about; what is bad here is far beyond.
fn plan(fleet: &FleetHarness, name: &str) -> PathBuf {
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

struct Coordinator {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Coordinator {
    /// At the relay's face `face`; the same one again takes another port.
    fn start(fleet: &FleetHarness, plan: &Path, face: usize, wait: u64) -> Coordinator {
        let free = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        fleet.relay.register(face, free);
        let options = fleet.folder().join(format!("coordinator-{face}.xml"));
        let text = format!(
            r#"<meadowstream xmlns="urn:meadowstream:options:1">
            <membership bind="{free}" advertise="{}" fleet="rehearsal" key-file="key" probe-period-ms="200"
              probe-rtt-ms="80" suspicion-multiplier="5" gossip-period-ms="100" announce-period-ms="1000">
            <seed address="{}"/><seed address="{}"/></membership>
            <rollout candidate="next.xml" servers="10" lease-ms="1500">{VOTERS}</rollout></meadowstream>"#,
            fleet.relay.endpoint(face),
            fleet.relay.endpoint(0),
            fleet.relay.endpoint(1),
        );
        std::fs::write(&options, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_meadowstream"));
        command.arg("rollout").arg(plan).arg("--options").arg(options).args(["--wait", &wait.to_string()]);
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let outputs: [Box<dyn std::io::Read + Send>; 2] =
            [Box::new(child.stdout.take().unwrap()), Box::new(child.stderr.take().unwrap())];
        for output in outputs {
            let into = lines.clone();
            std::thread::spawn(move || {
                let read = BufReader::new(output).lines().map_while(Result::ok);
                read.for_each(|line| into.lock().unwrap().push(line));
            });
        }
        Coordinator { child, lines }
    }

    fn said(&self, text: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|line| line.contains(text))
    }

    fn until_said(&self, text: &str, within: Duration) {
        let said = wait_for(within, || self.said(text).then_some(()));
        assert!(said.is_some(), "never said {text:?}: {:#?}", self.lines.lock().unwrap());
    }

    /// Its exit code.
    fn end(&mut self, within: Duration) -> i32 {
        let ended = wait_for(within, || self.child.try_wait().unwrap());
        std::thread::sleep(Duration::from_millis(50));
        let ended = ended.unwrap_or_else(|| panic!("still runs: {:#?}", self.lines.lock().unwrap()));
        ended.code().unwrap_or(-1)
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Whether server `i` says that it goes by a change.
fn adopted(fleet: &FleetHarness, i: usize) -> bool {
    fleet.log_lines(i, "settings").last().is_some_and(|line| line["adopted"] == true)
}

fn changed(fleet: &FleetHarness) -> Vec<usize> {
    ALL.into_iter().filter(|i| adopted(fleet, *i)).collect()
}

/// Servers that ever went by a change.
fn touched(fleet: &FleetHarness) -> Vec<usize> {
    let ever = |i: &usize| fleet.log_lines(*i, "settings").iter().any(|line| line["adopted"] == true);
    ALL.into_iter().filter(ever).collect()
}

fn mark(fleet: &FleetHarness, i: usize) -> PathBuf {
    fleet.folder().join(format!("s{i}.xml.adopted"))
}

/// Nothing lost and nothing answered with an error, on any server: what the rules ask of a calm load.
fn all_answered(floods: Vec<JoinHandle<ReplyCounts>>) -> Vec<ReplyCounts> {
    let answers: Vec<ReplyCounts> = floods.into_iter().map(|flood| flood.join().unwrap()).collect();
    for each in &answers {
        assert_eq!((each.errored, each.unanswered), (0, 0), "{answers:?}");
        assert_eq!(each.succeeded + each.throttled, each.sent, "{answers:?}");
    }
    answers
}

/// The settings that server `i` says another goes by, by its last view line.
fn runs(fleet: &FleetHarness, i: usize, name: &str) -> String {
    let runs = fleet.view_field(i, "runs").unwrap_or_default();
    runs[name][1].as_str().unwrap_or("").to_string()
}

/// A reference far under what the load needs throttles much of it: seen at the first stage, taken back on the
/// one server that had it, and the five others never went by it.
#[test]
fn a_bad_change_is_stopped_at_its_first_stage_and_rolled_back() {
    let _turn = turn();
    let fleet = start_fleet(41);
    candidate(&fleet, "<control reference=\"0.15\"/>");
    let plan = plan(&fleet, "too-low");
    let load = floods(&fleet, Duration::from_secs(22));
    std::thread::sleep(Duration::from_secs(2));
    let mut coordinator = Coordinator::start(&fleet, &plan, 6, 20);
    coordinator.until_said("stage 1: all go by it", Duration::from_secs(20));
    assert_eq!(changed(&fleet).len(), 1);
    let code = coordinator.end(Duration::from_secs(20));
    println!("{:#?}", coordinator.lines.lock().unwrap());
    assert_eq!(code, 1);
    assert!(coordinator.said("rolled back: load: ") && !coordinator.said("stage 2"));
    assert_eq!((touched(&fleet).len(), changed(&fleet).len()), (1, 0));
    assert!(ALL.iter().all(|i| !mark(&fleet, *i).exists()));
    let answers = all_answered(load);
    let throttled: Vec<u64> = answers.iter().map(|each| each.throttled).collect();
    assert!(ALL.iter().all(|i| fleet.repeated_runs(*i) == 0));
    println!("throttled by server: {throttled:?}, touched {:?}", touched(&fleet));
    // The same plan is not begun again by mistake.
    let again = Coordinator::start(&fleet, &plan, 6, 5).end(Duration::from_secs(10));
    assert_eq!(again, 1);
}

/// The coordinator is killed while a stage bakes, the servers go on as they are, a second plan is kept out,
/// and the first one started again goes through all stages. A server killed afterwards starts by the
/// change.
#[test]
fn a_good_change_goes_through_though_the_coordinator_is_killed_and_another_plan_comes() {
    let _turn = turn();
    let mut fleet = start_fleet(42);
    candidate(&fleet, "<control reference=\"0.88\"/>");
    let (good, other) = (plan(&fleet, "good"), plan(&fleet, "other"));
    let load = floods(&fleet, Duration::from_secs(45));
    std::thread::sleep(Duration::from_secs(2));
    let coordinator = Coordinator::start(&fleet, &good, 6, 20);
    coordinator.until_said("stage 1: all go by it", Duration::from_secs(20));
    let mut second = Coordinator::start(&fleet, &other, 7, 4);
    assert_eq!(second.end(Duration::from_secs(12)), 1);
    assert!(second.said("no lease on rollouts within 4s"), "{:?}", second.lines.lock().unwrap());
    coordinator.until_said("stage 2 of 3", Duration::from_secs(20));
    coordinator.until_said("stage 2: all go by it", Duration::from_secs(10));
    drop(coordinator);
    let before = changed(&fleet);
    assert_eq!(before.len(), 3);
    // The servers know of each other who goes by the change.
    let known = || {
        let same =
            |i: usize, j: usize| runs(&fleet, i, &format!("s{j}")) == runs(&fleet, j, &format!("s{j}"));
        let all = ALL.iter().all(|&i| ALL.iter().all(|&j| same(i, j)));
        let kinds: std::collections::BTreeSet<String> =
            ALL.iter().map(|j| runs(&fleet, 0, &format!("s{j}"))).collect();
        // Each one's own options differ, those of the change do not.
        (all && kinds.len() == 4 && !kinds.contains("")).then_some(())
    };
    assert!(wait_for(Duration::from_secs(8), known).is_some(), "{:?}", fleet.view_field(0, "runs"));
    std::thread::sleep(Duration::from_secs(1));
    let mut again = Coordinator::start(&fleet, &good, 6, 30);
    let code = again.end(Duration::from_secs(45));
    println!("{:#?}", again.lines.lock().unwrap());
    assert_eq!(code, 0);
    assert!(again.said("goes on from its state") && !again.said("stage 1"));
    assert_eq!(changed(&fleet), ALL);
    let answers = all_answered(load);
    println!("{answers:?}");
    // What it goes by is on disk: killed and started again, it answers the next coordinator's first order so.
    assert!(ALL.iter().all(|i| mark(&fleet, *i).exists()));
    fleet.signal(4, "KILL").unwrap();
    fleet.start(4).unwrap();
    std::fs::write(fleet.folder().join("next.xml"), "another").unwrap();
    fleet.signal(5, "KILL").unwrap();
    fleet.start(5).unwrap();
    let own = wait_for(Duration::from_secs(5), || {
        let warned = |i| fleet.has_logged(i, "starts by its own settings, not by those of the change");
        (warned(5) && !warned(4)).then_some(())
    });
    assert!(own.is_some(), "a candidate that is another is not used");
}

/// Part of the fleet is cut off while a stage bakes: no further server is changed until the view stands
/// again. Then an operator's abort rolls back.
#[test]
fn a_partition_makes_a_stage_wait_and_an_abort_rolls_back() {
    let _turn = turn();
    let fleet = start_fleet(43);
    candidate(&fleet, "<control reference=\"0.88\"/>");
    let plan = plan(&fleet, "cut");
    let load = floods(&fleet, Duration::from_secs(35));
    std::thread::sleep(Duration::from_secs(2));
    let mut coordinator = Coordinator::start(&fleet, &plan, 6, 20);
    coordinator.until_said("stage 1: all go by it", Duration::from_secs(20));
    let first = changed(&fleet);
    fleet.relay.change_faults(|f| {
        f.groups.extend([(4, 1), (5, 1)]);
        f.partition(0, 1);
    });
    coordinator.until_said("view moves, nothing counts", Duration::from_secs(10));
    std::thread::sleep(Duration::from_secs(8));
    assert_eq!(changed(&fleet), first, "{:?}", coordinator.lines.lock().unwrap());
    assert!(!coordinator.said("stage 2"));
    fleet.relay.change_faults(|faults| faults.heal());
    coordinator.until_said("stage 2 of 3", Duration::from_secs(20));
    let out = |word: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_meadowstream"));
        let out = command.args(["rollout", word]).arg(&plan).output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&out.stdout).to_string())
    };
    let (code, status) = out("status");
    assert_eq!(code, Some(0));
    assert!(status.contains("plan \"cut\"") && status.contains("stage 2") && status.contains("3 servers"));
    assert_eq!(out("abort").0, Some(0));
    assert_eq!(coordinator.end(Duration::from_secs(15)), 1);
    assert!(coordinator.said("rolled back: aborted by the operator"));
    assert!(changed(&fleet).is_empty());
    all_answered(load);
}

/// A change that the servers refuse, a plan with a fault, a candidate with one: each says where.
#[test]
fn what_cannot_be_done_is_refused_with_its_place() {
    let _turn = turn();
    let fleet = start_fleet(44);
    // Good for the coordinator, but another in a server's folder: they differ by the time it is told.
    candidate(&fleet, "<control reference=\"7\"/>");
    let run = |plan: &Path| {
        let mut coordinator = Coordinator::start(&fleet, plan, 6, 5);
        let code = coordinator.end(Duration::from_secs(40));
        (code, coordinator.lines.lock().unwrap().join("\n"))
    };
    let path = plan(&fleet, "bad");
    let (code, said) = run(&path);
    assert_eq!(code, 1);
    assert!(said.contains("line 2, <control>: reference: 7 is not within 0.05 and 1"), "{said}");
    candidate(&fleet, "<rollout candidate=\"x\" servers=\"3\"/><membership/>");
    assert!(run(&path).1.contains("line 2, <membership>: fleet is missing"));
    candidate(&fleet, "<control reference=\"0.88\"/>");
    let good = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, good.replacen("bake-ms=\"4000\"", "bake-ms=\"0\"", 1)).unwrap();
    let (code, said) = run(&path);
    assert_eq!(code, 1);
    assert!(said.contains("line 1, <plan>: stage 1: bake-ms: at least 6 intervals"), "{said}");
    // A change that takes a restart is refused by the server that is told of it, and nothing stays changed.
    std::fs::write(&path, good).unwrap();
    candidate(&fleet, "<tenants by=\"peer\"/>");
    let load = floods(&fleet, Duration::from_secs(20));
    let (code, said) = run(&path);
    println!("{said}");
    assert_eq!(code, 1);
    assert!(said.contains("refuses: tenants: telling them apart or not takes a restart"), "{said}");
    assert!(touched(&fleet).is_empty());
    all_answered(load);
}

/// Another program goes out: each server of a stage ends by itself once all it has is answered, and a test
/// double of the supervisor starts the program that its mark names. One that never comes up again rolls the
/// others back.
#[test]
fn a_program_goes_out_by_restarts_and_comes_back_where_one_fails() {
    let _turn = turn();
    for (broken, seed) in [(false, 45), (true, 46)] {
        let mut fleet = start_fleet(seed);
        let next = fleet.folder().join("next");
        let mut bytes = std::fs::read(env!("CARGO_BIN_EXE_meadowstream")).unwrap();
        // The same program with a tail that nothing reads, so that its hash is another.
        bytes.extend(b"next");
        std::fs::write(&next, bytes).unwrap();
        std::fs::set_permissions(&next, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
        let path = plan(&fleet, "program");
        let text = std::fs::read_to_string(&path)
            .unwrap()
            .replace("candidate=\"next.xml\"", "program=\"next\" warm-up-ms=\"4000\"");
        std::fs::write(&path, text).unwrap();
        let load = floods(&fleet, Duration::from_secs(if broken { 25 } else { 40 }));
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
                // The first to come back is stopped for good: it never reports.
                fleet.signal_and_keep(restarts[0], "STOP").unwrap();
                restarts.push(restarts[0]);
            }
            std::thread::sleep(Duration::from_millis(50));
        };
        std::thread::sleep(Duration::from_millis(100));
        println!("broken {broken}: {restarts:?} {:#?}", coordinator.lines.lock().unwrap());
        let answers: Vec<ReplyCounts> = load.into_iter().map(|flood| flood.join().unwrap()).collect();
        println!("{answers:?}");
        // What comes while nobody listens finds no connection, and what comes before the new life has its
        // link to the interpreter is answered with an error at once: a fiftieth of the load at most, over
        // all.
        for (i, each) in answers.iter().enumerate() {
            let stopped = broken && restarts.contains(&i);
            assert!(stopped || (each.errored + each.unanswered) * 50 <= each.sent, "s{i}: {answers:?}");
            assert_eq!(fleet.repeated_runs(i), 0);
        }
        if broken {
            assert_eq!(code, Some(1));
            assert!(!coordinator.said("stage 2"));
            assert!(coordinator.said("rolled back: s2 gone since the change; NOT CONFIRMED by s2"));
        } else {
            assert_eq!(code, Some(0));
            restarts.sort();
            assert_eq!(restarts, ALL);
        }
    }
}
