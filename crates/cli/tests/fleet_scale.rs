//! Tests of replicated configuration between processes of the program: three control machines and nine
//! servers in three zones, all behind the fault relay. The assertions use the logs of the processes. The
//! tests use the loopback interface only. Every wait has a limit, and each process is killed by its id.

use meadowstream_test_doubles::fleet::{FleetHarness, HarnessOptions, wait_for};
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

const CONTROLS: usize = 3;
const PROCESSES: usize = 12;
const ZONES: usize = 3;
/// Maximum time that each check waits for the expected state of the fleet.
const WAIT_MAX: Duration = Duration::from_secs(20);

/// Returns the process indices of the servers. The indices of the control machines are lower.
fn servers() -> Vec<usize> {
    (CONTROLS..PROCESSES).collect()
}

/// Returns the options of process `i`, including the zone and the state file of the process.
fn options(i: usize) -> String {
    let replicas: String = (0..CONTROLS).map(|n| format!(r#"<replica name="s{n}"/>"#)).collect();
    let zone = i % ZONES;
    format!(
        r#"<tenants by="field" field="venue"><ceilings accounts="2048"/></tenants>
        <replication region="r{zone}" zone="z{zone}" file="s{i}.state" stale-ms="3000" lease-ms="1500">
        {replicas}</replication>"#
    )
}

fn start_fleet(seed: u64) -> FleetHarness {
    let server_options = (0..PROCESSES).map(options).collect();
    let options =
        HarnessOptions { server_options, control_servers: CONTROLS, cores: 1.0, ..HarnessOptions::default() };
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    let fleet = FleetHarness::with_options(program, PROCESSES + 1, PROCESSES, seed, options).unwrap();
    wait_for(WAIT_MAX, || publisher(&fleet)).expect("a control machine publishes");
    fleet
}

/// Returns the index of the control machine that publishes revisions, according to its last log line. Returns
/// `None` if no control machine publishes revisions.
fn publisher(fleet: &FleetHarness) -> Option<usize> {
    let publishes = |i: &usize| {
        let last = fleet.log_lines(*i, "control").pop();
        last.is_some_and(|line| line["publishes"].as_bool() == Some(true))
    };
    (0..CONTROLS).find(publishes)
}

/// Returns the number of the revision that server `i` uses, according to its last log line about replication.
fn in_force(fleet: &FleetHarness, i: usize) -> Option<u64> {
    fleet.log_lines(i, "replication").pop()?["in_force"].as_u64()
}

/// Waits until all `members` use revision `number` or a later revision. Returns the time that this took, or
/// `None` if this takes longer than `within`.
fn wait_until_in_force(
    fleet: &FleetHarness,
    members: &[usize],
    number: u64,
    within: Duration,
) -> Option<Duration> {
    let began = Instant::now();
    let all = || members.iter().all(|i| in_force(fleet, *i) >= Some(number)).then(|| began.elapsed());
    wait_for(within, all)
}

/// Runs `meadowstream publish` with `arguments`. Returns whether the command succeeded, and its output.
fn publish(fleet: &FleetHarness, arguments: &[&str]) -> (bool, String) {
    // The `publish` process is an additional member of the fleet. The other members reach it through the last
    // endpoint of the relay.
    let free = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    fleet.relay.register(PROCESSES, free);
    let seeds: String = (0..6).map(|i| format!(r#"<seed address="{}"/>"#, fleet.relay.endpoint(i))).collect();
    let text = format!(
        r#"<meadowstream xmlns="urn:meadowstream:options:1">
        <membership bind="{free}" advertise="{}" fleet="rehearsal" key-file="key" probe-period-ms="200"
          probe-rtt-ms="80" suspicion-multiplier="5" gossip-period-ms="100" announce-period-ms="1000">{seeds}
        </membership>{}</meadowstream>"#,
        fleet.relay.endpoint(PROCESSES),
        options(0),
    );
    let options_file = fleet.folder().join("publish.xml");
    std::fs::write(&options_file, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_meadowstream"))
        .arg("publish")
        .args(arguments)
        .arg("--options")
        .arg(options_file)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

/// Writes a change file with `elements` as its content, and returns the path of the file.
fn write_change(fleet: &FleetHarness, name: &str, elements: &str) -> PathBuf {
    let file = fleet.folder().join(name);
    let text = format!("<change xmlns=\"urn:meadowstream:options:1\">{elements}</change>");
    std::fs::write(&file, text).unwrap();
    file
}

/// Writes a change file that sets one tenant's weight, and returns the path of the file.
fn write_weight_change(fleet: &FleetHarness, weight: u32) -> PathBuf {
    write_change(fleet, "change.xml", &format!(r#"<set key="tenants/tenant/arms-park" value="{weight}"/>"#))
}

/// Parses the number of the committed revision from the output of `meadowstream publish`.
fn committed_revision(output: &str) -> u64 {
    let number =
        output.split("committed as revision ").nth(1).and_then(|rest| rest.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or_else(|| panic!("{output}"))
}

#[test]
fn changes_are_published_reverted_and_refused() {
    let fleet = start_fleet(71);
    let file = write_weight_change(&fleet, 5);
    let (succeeded, output) = publish(&fleet, &[file.to_str().unwrap()]);
    assert!(succeeded, "{output}");
    let first = committed_revision(&output);
    assert!(output.contains("11 of 11 members go by it"), "{output}");
    assert!(servers().iter().all(|i| in_force(&fleet, *i) >= Some(first)));
    // `meadowstream publish` rejects a change with an unknown key and does not publish the change.
    let unknown_key = write_change(&fleet, "strange.xml", "\n<set key=\"novel/thing\" value=\"1\"/>");
    let (succeeded, output) = publish(&fleet, &[unknown_key.to_str().unwrap()]);
    assert!(!succeeded && output.contains("line 2, <set>: novel/thing: unknown element"), "{output}");
    // The servers have no budget, so they reject a change of the budget. `meadowstream publish` prints this
    // reason.
    let budget = write_change(&fleet, "budget.xml", r#"<set key="shared-state/budget/total" value="9"/>"#);
    let (succeeded, output) = publish(&fleet, &[budget.to_str().unwrap(), "--wait", "4"]);
    assert!(!succeeded && output.contains("refused: "), "{output}");
    let second = committed_revision(&output);
    assert!(
        servers().iter().all(|i| in_force(&fleet, *i) == Some(first)),
        "the refused change is not in force"
    );
    let (succeeded, output) = publish(&fleet, &["revert", &second.to_string()]);
    assert!(succeeded, "{output}");
    let (succeeded, output) = publish(&fleet, &["revert", "999"]);
    assert!(!succeeded && output.contains("no change that is still held ends at 999"), "{output}");
    let (succeeded, output) = publish(&fleet, &["status"]);
    assert!(succeeded && output.contains("11 of 11 members go by it"), "{output}");
}

/// Guards against a `publish` that says that all members go by the change and does not name a server that is
/// away and does not have it.
#[test]
fn publish_names_a_server_that_is_away_and_lacks_the_change() {
    let mut fleet = start_fleet(77);
    let (succeeded, output) = publish(&fleet, &[write_weight_change(&fleet, 5).to_str().unwrap()]);
    assert!(succeeded, "{output}");
    let first = committed_revision(&output);
    let killed = *servers().last().unwrap();
    fleet.signal(killed, "KILL").unwrap();
    let is_out_of_view = || publish(&fleet, &["status"]).1.contains("10 of 10 members").then_some(());
    wait_for(WAIT_MAX, is_out_of_view).expect("the view holds the server to be down");
    let (succeeded, output) = publish(&fleet, &[write_weight_change(&fleet, 6).to_str().unwrap()]);
    let expected = format!("10 of 10 members go by it; not counted, since away: s{killed} goes by {first}");
    assert!(succeeded && output.contains(&expected), "{output}");
}

#[test]
fn changes_continue_after_the_publisher_and_a_relaying_server_are_killed() {
    let mut fleet = start_fleet(72);
    let (succeeded, output) = publish(&fleet, &[write_weight_change(&fleet, 2).to_str().unwrap()]);
    assert!(succeeded, "{output}");
    let old = publisher(&fleet).unwrap();
    fleet.signal(old, "KILL").unwrap();
    fleet.signal(4, "KILL").unwrap();
    let new = wait_for(WAIT_MAX, || publisher(&fleet).filter(|new| *new != old));
    assert!(new.is_some(), "another control machine publishes");
    let (_, output) = publish(&fleet, &[write_weight_change(&fleet, 3).to_str().unwrap(), "--wait", "20"]);
    let number = committed_revision(&output);
    let others: Vec<usize> = servers().into_iter().filter(|i| *i != 4).collect();
    wait_until_in_force(&fleet, &others, number, WAIT_MAX).expect("in force on all running servers");
    // The killed control machine restarts from its log. The killed server restarts from its state file and
    // fetches the revisions that were committed in the meantime.
    fleet.start(old).unwrap();
    fleet.start(4).unwrap();
    wait_until_in_force(&fleet, &servers(), number, WAIT_MAX).expect("in force on the restarted server");
    let (succeeded, output) =
        publish(&fleet, &[write_weight_change(&fleet, 4).to_str().unwrap(), "--wait", "20"]);
    assert!(succeeded, "{output}");
}

#[test]
fn a_partitioned_zone_keeps_its_last_revision_and_catches_up_afterwards() {
    let fleet = start_fleet(73);
    let (succeeded, output) = publish(&fleet, &[write_weight_change(&fleet, 2).to_str().unwrap()]);
    assert!(succeeded, "{output}");
    let before = committed_revision(&output);
    let zone = publisher(&fleet).map(|publisher| (publisher + 1) % ZONES).unwrap();
    let partitioned: Vec<usize> = servers().into_iter().filter(|i| i % ZONES == zone).collect();
    let others: Vec<usize> = servers().into_iter().filter(|i| i % ZONES != zone).collect();
    fleet.relay.change_faults(|faults| {
        faults.groups.extend((0..PROCESSES).filter(|i| i % ZONES == zone).map(|i| (i, 1)));
        faults.partition(0, 1);
    });
    let (_, output) = publish(&fleet, &[write_weight_change(&fleet, 9).to_str().unwrap(), "--wait", "3"]);
    let number = committed_revision(&output);
    wait_until_in_force(&fleet, &others, number, WAIT_MAX).expect("in force on the side with a majority");
    let stale =
        |i: &usize| fleet.log_lines(*i, "replication").pop().is_some_and(|line| line["stale"] == true);
    wait_for(WAIT_MAX, || partitioned.iter().all(stale).then_some(()))
        .expect("the partitioned servers report a stale configuration");
    assert!(partitioned.iter().all(|i| in_force(&fleet, *i) == Some(before)));
    fleet.relay.change_faults(|faults| faults.heal());
    wait_until_in_force(&fleet, &partitioned, number, WAIT_MAX).expect("in force after the partition");
    wait_for(WAIT_MAX, || servers().iter().all(|i| !stale(i)).then_some(())).expect("no server is stale");
}

#[test]
fn a_server_starts_from_its_state_file_without_control_machines() {
    let mut fleet = start_fleet(74);
    let (succeeded, output) = publish(&fleet, &[write_weight_change(&fleet, 6).to_str().unwrap()]);
    assert!(succeeded, "{output}");
    let number = committed_revision(&output);
    (0..CONTROLS).for_each(|i| fleet.signal(i, "KILL").unwrap());
    for i in [3, 7] {
        fleet.signal(i, "KILL").unwrap();
        fleet.start(i).unwrap();
        let line = fleet
            .log_lines(i, "starts by the configuration on its disk")
            .pop()
            .expect("a log line at the start");
        assert_eq!(line["number"].as_u64(), Some(number));
        assert!(line["written_s"].as_u64().is_some());
    }
    wait_until_in_force(&fleet, &[3, 7], number, WAIT_MAX).expect("in force from the start");
    // A server whose state file is truncated ignores the file and fetches its configuration from other
    // members.
    fleet.signal(5, "KILL").unwrap();
    let file = fleet.folder().join("s5.state");
    let bytes = std::fs::read(&file).unwrap();
    std::fs::write(&file, &bytes[..bytes.len() - 1]).unwrap();
    fleet.start(5).unwrap();
    let line = fleet
        .log_lines(5, "starts without the configuration on its disk")
        .pop()
        .expect("a log line at the start");
    assert!(line["why"].as_str().unwrap().contains("cut short"), "{line}");
    wait_until_in_force(&fleet, &[5], number, WAIT_MAX).expect("fetched from other members");
}
