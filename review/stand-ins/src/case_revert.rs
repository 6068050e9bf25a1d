//! The leader of the control machines is killed between storing an operator's change on the others and answering.
//! The operator's command is to say what became of the change, and the change is to be made once.

use crate::datagrams::Datagrams;
use crate::processes::{root, run_command, server, stand_in, Process};
use crate::site::{catalog, free_tcp, Test};
use crate::Finding;
use std::net::UdpSocket;
use std::os::unix::fs::PermissionsExt;
use std::process::Command;
use std::time::{Duration, Instant};

const CONTROLS: usize = 3;
const SERVERS: usize = 2;
/// Index of the operator's command among the members.
const OPERATOR: usize = CONTROLS + SERVERS;
/// One-way delay between regions, as the page on capacity has it.
const BETWEEN_REGIONS: Duration = Duration::from_millis(40);
const KEY: &str = "tenants/tenant/arms-park";

fn free_udp() -> String {
    UdpSocket::bind("127.0.0.1:0").expect("a free port").local_addr().expect("its address").to_string()
}

fn configuration(name: &str, listen: &str, interpreter: &str, catalog: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","vm":"{interpreter}","directory":"{catalog}",
"seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"grades":[{{"name":"fetch","effect":"repeatable","target":2000000,"give-up":5000000,"worth":1}}],
"peers-total":2,"family-info":{{"below":"off","callers":2,"cores":2,"memory-kb":22548,"run-factor":16,
"entry-kb":7,"preemption":"discard","say":"weight","idle":15000000,
"own-stats":["cpu_busy","runnable","mem_used","sockets"]}},
"contract":{{"drain-grace":2500000,"grace-to-answer":60000,"fall-multiple":8,"cold-from":0.23,
"cold":17000000}}}}}}"#
    )
}

/// Returns the options file of the member with this index.
fn options(index: usize, name: &str, bind: &str, relay: &Datagrams) -> String {
    let seeds: String =
        (0..CONTROLS).map(|seed| format!("<seed address=\"{}\"/>", relay.endpoints[seed])).collect();
    let replicas: String = (0..CONTROLS).map(|number| format!("<replica name=\"c{number}\"/>")).collect();
    let region = index % CONTROLS;
    let named = if name.is_empty() { String::new() } else { format!("name=\"{name}\"") };
    format!(
        "<meadowstream xmlns=\"urn:meadowstream:options:1\">\
<membership bind=\"{bind}\" advertise=\"{}\" {named} fleet=\"review\" key-file=\"key\">{seeds}</membership>\
<tenants by=\"field\" field=\"venue\"><ceilings accounts=\"2048\"/></tenants>\
<replication region=\"r{region}\" zone=\"z{region}\" file=\"{name}.state\">{replicas}</replication>\
</meadowstream>",
        relay.endpoints[index]
    )
}

/// Returns the command of the program with these words, as the deploy file names the program.
fn meadowstream(words: &str) -> Command {
    let run = run_command();
    let program = run.trim_start_matches("exec ").split(' ').next().unwrap_or("").to_string();
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("exec {program} {words}")).current_dir(root());
    command
}

struct Published {
    code: i32,
    text: String,
}

/// Runs `publish` with these words to its end. Calls `meanwhile` until then.
fn publish(test: &Test, name: &str, words: &str, mut meanwhile: impl FnMut()) -> Result<Published, String> {
    let log = test.log(name);
    test.record.write(&format!("meadowstream publish {words}"));
    let options = test.folder.join("publish.xml");
    let command = meadowstream(&format!("publish {words} --options {}", options.display()));
    let mut process = Process::start(command, &log).map_err(|error| error.to_string())?;
    let end = Instant::now() + Duration::from_secs(60);
    let code = loop {
        if let Some(code) = process.ended() {
            break code;
        }
        if Instant::now() >= end {
            return Err("publish did not end".into());
        }
        meanwhile();
        std::thread::sleep(Duration::from_millis(1));
    };
    let text = std::fs::read_to_string(&log).unwrap_or_default();
    let shown: Vec<&str> = text.lines().filter(|line| !line.contains("INFO")).collect();
    let text = shown.join(" | ");
    test.record.say(&format!("exit code {code}: {text}"));
    Ok(Published { code, text })
}

fn number_after(text: &str, words: &str) -> Option<u64> {
    let digits: String = text.split(words).nth(1)?.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

pub fn play(test: &Test) -> Result<Finding, String> {
    let started = |error: std::io::Error| format!("cannot start: {error}");
    let bound: Vec<String> = (0..=OPERATOR).map(|_| free_udp()).collect();
    let regions: Vec<usize> = (0..=OPERATOR).map(|index| index % CONTROLS).collect();
    let relay = Datagrams::start(&bound, &regions, BETWEEN_REGIONS).map_err(started)?;
    let key = test.write("key", "the key of the review's fleet, 32 bytes or more");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).map_err(started)?;
    test.write("publish.xml", &options(OPERATOR, "", &bound[OPERATOR], &relay));
    for (number, weight) in [(1, 5), (2, 7)] {
        let set = format!("<set key=\"{KEY}\" value=\"{weight}\"/>");
        test.write(&format!("change{number}.xml"), &format!("<change xmlns=\"urn:meadowstream:options:1\">{set}</change>"));
    }

    let mut controls = Vec::new();
    for index in 0..CONTROLS {
        let name = format!("c{index}");
        let file = test.write(&format!("{name}.xml"), &options(index, &name, &bound[index], &relay));
        let command = meadowstream(&format!("control --options {}", file.display()));
        controls.push(Some(Process::start(command, &test.log(&name)).map_err(started)?));
    }
    let (_catalog, catalog) = catalog();
    let mut others = Vec::new();
    for index in CONTROLS..OPERATOR {
        let name = format!("s{index}");
        let (listen, interpreter) = (free_tcp(), free_tcp());
        let effects = test.folder.join(format!("{name}.effects")).to_string_lossy().into_owned();
        let log = test.log(&format!("{name}-interpreter"));
        others.push(Process::start(stand_in(&["interpreter", &interpreter, &effects, "2"]), &log).map_err(started)?);
        let config = test.write(&format!("{name}.json"), &configuration(&name, &listen, &interpreter, &catalog));
        let file = test.write(&format!("{name}.xml"), &options(index, &name, &bound[index], &relay));
        let words = format!("--options {}", file.display());
        others.push(Process::start(server(&config, &name, &listen, &words), &test.log(&name)).map_err(started)?);
    }
    let change = |number: u64| format!("{} --wait 30", test.folder.join(format!("change{number}.xml")).display());

    // Two changes of one key. The second is to be taken back.
    let first = publish(test, "publish-1", &change(1), || {})?;
    let second = publish(test, "publish-2", &change(2), || {})?;
    let number = number_after(&second.text, "committed as revision ");
    let (0, 0, Some(number)) = (first.code, second.code, number) else {
        return Err("the fleet does not publish".into());
    };
    let leads = |index: usize| {
        let log = std::fs::read_to_string(test.log(&format!("c{index}"))).unwrap_or_default();
        log.lines().rev().find(|line| line.contains("publishes=")).is_some_and(|line| line.contains("publishes=true"))
    };
    let leader = (0..CONTROLS).find(|index| leads(*index)).ok_or("no control machine leads")?;

    // The revert names no key, so datagrams with the key are the leader's: its entry for the others.
    relay.watch(KEY);
    let mut killed = None;
    let reverted = publish(test, "publish-revert", &format!("revert {number} --wait 50"), || {
        if !test.trouble || killed.is_some() {
            return;
        }
        let seen = relay.seen();
        let stored = |to: usize| seen.iter().find(|passed| passed.from == leader && passed.to == to);
        let followers = (0..CONTROLS).filter(|index| *index != leader);
        let times: Option<Vec<Instant>> = followers.map(|index| stored(index).map(|passed| passed.at)).collect();
        // The others have the entry. Their answers are on the way, which takes 40 ms.
        let Some(last) = times.and_then(|times| times.into_iter().max()) else { return };
        if last.elapsed() >= Duration::from_millis(20) {
            if let Some(mut process) = controls[leader].take() {
                process.kill();
            }
            killed = Some(Instant::now());
            test.record.write(&format!("c{leader}, the leader, killed (SIGKILL)"));
        }
    })?;
    if test.trouble && killed.is_none() {
        return Err("the leader was not killed in time".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    let status = publish(test, "publish-status", "status --wait 30", || {})?;
    // Once the revert is made, the same command is refused and names the first revision after `number` that has
    // changed the key. It changes nothing.
    let again = publish(test, "publish-again", &format!("revert {number} --wait 30"), || {})?;
    let first_change = number_after(&again.text, "was changed again by ");
    for index in 0..CONTROLS {
        test.record.copy(&format!("c{index}"), &test.log(&format!("c{index}")), |line| line.contains("publishes="));
    }
    for index in CONTROLS..OPERATOR {
        test.record.copy(&format!("s{index}"), &test.log(&format!("s{index}")), |line| line.contains("in_force="));
    }
    drop(others);

    let by = number_after(&reverted.text, "was changed again by ");
    let newest = number_after(&status.text, "revision ").unwrap_or(0);
    if let Some(by) = by {
        let why = format!(
            "the revert of {number} was refused as changed again by {by}; nobody else has published, {by} is the \
             revert itself, and all members go by revision {newest}"
        );
        return Ok(Finding::Broken(why));
    }
    let committed = number_after(&reverted.text, "committed as revision ");
    if let (0, Some(committed), Some(first)) = (reverted.code, committed, first_change) {
        if first != committed {
            let why = format!(
                "the revert of {number} is answered as revision {committed}, but {first} has changed the key before; \
                 nobody else has published, so the revert was made twice"
            );
            return Ok(Finding::Broken(why));
        }
        return Ok(Finding::Held(format!("the revert is committed as revision {committed}, the newest is {newest}")));
    }
    Ok(Finding::CouldNotRun(format!("the revert ended otherwise: {}", reverted.text)))
}

