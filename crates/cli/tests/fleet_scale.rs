//! Replicated configuration between processes of the program: three control machines and nine servers in
//! three zones, each behind the fault relay. What is asserted is what processes report. Loopback only,
//! bounded, every process ended by its id.

use meadowstream_test_doubles::fleet::{FleetHarness, HarnessOptions, wait_for};
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

const CONTROLS: usize = 3;
const PROCESSES: usize = 12;
const ZONES: usize = 3;
const PATIENCE: Duration = Duration::from_secs(20);

fn servers() -> Vec<usize> {
    (CONTROLS..PROCESSES).collect()
}

fn replication(i: usize) -> String {
    let replicas: String = (0..CONTROLS).map(|n| format!(r#"<replica name="s{n}"/>"#)).collect();
    let zone = i % ZONES;
    format!(
        r#"<tenants by="field" field="venue"><ceilings accounts="2048"/></tenants>
        <replication region="r{zone}" zone="z{zone}" file="s{i}.state" stale-ms="3000" lease-ms="1500">
        {replicas}</replication>"#
    )
}

fn start_fleet(seed: u64) -> FleetHarness {
    let server_options = (0..PROCESSES).map(replication).collect();
    let options =
        HarnessOptions { server_options, control_servers: CONTROLS, cores: 1.0, ..HarnessOptions::default() };
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    let fleet = FleetHarness::with_options(program, PROCESSES + 1, PROCESSES, seed, options).unwrap();
    wait_for(PATIENCE, || publisher(&fleet)).expect("a publisher");
    fleet
}

fn publisher(fleet: &FleetHarness) -> Option<usize> {
    let publishes = |i: &usize| {
        let last = fleet.log_lines(*i, "control").pop();
        last.is_some_and(|line| line["publishes"].as_bool() == Some(true))
    };
    (0..CONTROLS).find(publishes)
}

/// What a server last said that it goes by.
fn in_force(fleet: &FleetHarness, i: usize) -> Option<u64> {
    fleet.log_lines(i, "replication").pop()?["in_force"].as_u64()
}

fn all_go_by(fleet: &FleetHarness, who: &[usize], number: u64, within: Duration) -> Option<Duration> {
    let began = Instant::now();
    let all = || who.iter().all(|i| in_force(fleet, *i) >= Some(number)).then(|| began.elapsed());
    wait_for(within, all)
}

/// `meadowstream publish` with these words; whether it came through, and what it said.
fn publish(fleet: &FleetHarness, words: &[&str]) -> (bool, String) {
    // A command is a member of its own, at the last face of the relay.
    let free = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    fleet.relay.register(PROCESSES, free);
    let seeds: String = (0..6).map(|i| format!(r#"<seed address="{}"/>"#, fleet.relay.endpoint(i))).collect();
    let text = format!(
        r#"<meadowstream xmlns="urn:meadowstream:options:1">
        <membership bind="{free}" advertise="{}" fleet="rehearsal" key-file="key" probe-period-ms="200"
          probe-rtt-ms="80" suspicion-multiplier="5" gossip-period-ms="100" announce-period-ms="1000">{seeds}
        </membership>{}</meadowstream>"#,
        fleet.relay.endpoint(PROCESSES),
        replication(0),
    );
    let options = fleet.folder().join("publish.xml");
    std::fs::write(&options, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_meadowstream"))
        .arg("publish")
        .args(words)
        .arg("--options")
        .arg(options)
        .output()
        .unwrap();
    let said = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&said).into_owned())
}

fn change(fleet: &FleetHarness, name: &str, elements: &str) -> PathBuf {
    let file = fleet.folder().join(name);
    let text = format!("<change xmlns=\"urn:meadowstream:options:1\">{elements}</change>");
    std::fs::write(&file, text).unwrap();
    file
}

fn weight(fleet: &FleetHarness, weight: u32) -> PathBuf {
    change(fleet, "change.xml", &format!(r#"<set key="tenants/tenant/arms-park" value="{weight}"/>"#))
}

/// The revision that a command says was committed.
fn committed(said: &str) -> u64 {
    let number = said.split("committed as revision ").nth(1).and_then(|rest| rest.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or_else(|| panic!("{said}"))
}

#[test]
fn a_change_is_published_taken_back_and_refused() {
    let fleet = start_fleet(71);
    let file = weight(&fleet, 5);
    let (good, said) = publish(&fleet, &[file.to_str().unwrap()]);
    assert!(good, "{said}");
    let first = committed(&said);
    assert!(said.contains("11 of 11 members go by it"), "{said}");
    assert!(servers().iter().all(|i| in_force(&fleet, *i) >= Some(first)));
    // A key that nobody knows is refused before the fleet hears of it.
    let strange = change(&fleet, "strange.xml", "\n<set key=\"novel/thing\" value=\"1\"/>");
    let (good, said) = publish(&fleet, &[strange.to_str().unwrap()]);
    assert!(!good && said.contains("line 2, <set>: novel/thing: unknown element"), "{said}");
    // What the servers refuse is said with their reason: they have no budget.
    let budget = change(&fleet, "budget.xml", r#"<set key="shared-state/budget/total" value="9"/>"#);
    let (good, said) = publish(&fleet, &[budget.to_str().unwrap(), "--wait", "4"]);
    assert!(!good && said.contains("refused: "), "{said}");
    let second = committed(&said);
    assert!(servers().iter().all(|i| in_force(&fleet, *i) == Some(first)), "none goes by it");
    let (good, said) = publish(&fleet, &["revert", &second.to_string()]);
    assert!(good, "{said}");
    let (good, said) = publish(&fleet, &["revert", "999"]);
    assert!(!good && said.contains("no change that is still held ends at 999"), "{said}");
    let (good, said) = publish(&fleet, &["status"]);
    assert!(good && said.contains("11 of 11 members go by it"), "{said}");
}

#[test]
fn the_publisher_and_a_relay_are_killed_and_changes_go_on() {
    let mut fleet = start_fleet(72);
    let (good, said) = publish(&fleet, &[weight(&fleet, 2).to_str().unwrap()]);
    assert!(good, "{said}");
    let old = publisher(&fleet).unwrap();
    fleet.signal(old, "KILL").unwrap();
    fleet.signal(4, "KILL").unwrap();
    let new = wait_for(PATIENCE, || publisher(&fleet).filter(|new| *new != old));
    assert!(new.is_some(), "another control machine publishes");
    let (_, said) = publish(&fleet, &[weight(&fleet, 3).to_str().unwrap(), "--wait", "20"]);
    let number = committed(&said);
    let rest: Vec<usize> = servers().into_iter().filter(|i| *i != 4).collect();
    all_go_by(&fleet, &rest, number, PATIENCE).expect("in force on all that run");
    // The killed ones come back: the one to its log, the other by its disk and then by what it lacks.
    fleet.start(old).unwrap();
    fleet.start(4).unwrap();
    all_go_by(&fleet, &servers(), number, PATIENCE).expect("in force on the one that came back");
    let (good, said) = publish(&fleet, &[weight(&fleet, 4).to_str().unwrap(), "--wait", "20"]);
    assert!(good, "{said}");
}

#[test]
fn a_zone_cut_off_keeps_its_last_good_and_catches_up_on_the_heal() {
    let fleet = start_fleet(73);
    let (good, said) = publish(&fleet, &[weight(&fleet, 2).to_str().unwrap()]);
    assert!(good, "{said}");
    let before = committed(&said);
    let zone = publisher(&fleet).map(|publisher| (publisher + 1) % ZONES).unwrap();
    let away: Vec<usize> = servers().into_iter().filter(|i| i % ZONES == zone).collect();
    let rest: Vec<usize> = servers().into_iter().filter(|i| i % ZONES != zone).collect();
    fleet.relay.change_faults(|faults| {
        faults.groups.extend((0..PROCESSES).filter(|i| i % ZONES == zone).map(|i| (i, 1)));
        faults.partition(0, 1);
    });
    let (_, said) = publish(&fleet, &[weight(&fleet, 9).to_str().unwrap(), "--wait", "3"]);
    let number = committed(&said);
    all_go_by(&fleet, &rest, number, PATIENCE).expect("in force on the side with a majority");
    let stale =
        |i: &usize| fleet.log_lines(*i, "replication").pop().is_some_and(|line| line["stale"] == true);
    wait_for(PATIENCE, || away.iter().all(stale).then_some(()))
        .expect("those cut off say that they are stale");
    assert!(away.iter().all(|i| in_force(&fleet, *i) == Some(before)));
    fleet.relay.change_faults(|faults| faults.heal());
    all_go_by(&fleet, &away, number, PATIENCE).expect("in force after the heal");
    wait_for(PATIENCE, || servers().iter().all(|i| !stale(i)).then_some(())).expect("fresh again");
}

#[test]
fn a_server_starts_by_its_disk_with_all_control_machines_away() {
    let mut fleet = start_fleet(74);
    let (good, said) = publish(&fleet, &[weight(&fleet, 6).to_str().unwrap()]);
    assert!(good, "{said}");
    let number = committed(&said);
    (0..CONTROLS).for_each(|i| fleet.signal(i, "KILL").unwrap());
    for i in [3, 7] {
        fleet.signal(i, "KILL").unwrap();
        fleet.start(i).unwrap();
        let line =
            fleet.log_lines(i, "starts by the configuration on its disk").pop().expect("said at the start");
        assert_eq!(line["number"].as_u64(), Some(number));
        assert!(line["written_s"].as_u64().is_some());
    }
    all_go_by(&fleet, &[3, 7], number, PATIENCE).expect("in force from the start");
    // A file cut short is not gone by, and what it held comes from the neighbours.
    fleet.signal(5, "KILL").unwrap();
    let file = fleet.folder().join("s5.state");
    let bytes = std::fs::read(&file).unwrap();
    std::fs::write(&file, &bytes[..bytes.len() - 1]).unwrap();
    fleet.start(5).unwrap();
    let line =
        fleet.log_lines(5, "starts without the configuration on its disk").pop().expect("said at the start");
    assert!(line["why"].as_str().unwrap().contains("cut short"), "{line}");
    all_go_by(&fleet, &[5], number, PATIENCE).expect("from its neighbours");
}
