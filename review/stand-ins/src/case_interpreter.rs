//! The interpreter alone is killed and started again within a second of its start, while a booking runs.
//! A booking must never run twice.

use crate::client::Connection;
use crate::processes::{server, stand_in, Process};
use crate::site::{catalog, free_tcp, wait_for, Test};
use crate::Finding;
use std::collections::BTreeMap;
use std::time::Duration;

/// Work of a booking, in milliseconds, as the site has it (220 to 380 ms).
const WORK_MS: u64 = 350;
/// Time from the beginning of the booking to the kill of the interpreter.
const KILLED_AFTER: Duration = Duration::from_millis(250);
const BOOKING: &str = "book-pickup";

fn configuration(listen: &str, interpreter: &str, catalog: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","vm":"{interpreter}","directory":"{catalog}",
"seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"grades":[
{{"name":"quote-eta","effect":"repeatable","target":1800000,"give-up":4500000,"worth":1}},
{{"name":"replan-route","effect":"repeatable","target":1800000,"give-up":4500000,"worth":1}},
{{"name":"{BOOKING}","effect":"once","target":1800000,"give-up":4500000,"worth":10}}],
"peers-total":2,"clients":{{"marks-retry":true}},"limits":{{"retry-after":true,"max-retry-after":1000000}},
"family-info":{{"below":"off","callers":2,"cores":2,"memory-kb":13440,"run-factor":16,"entry-kb":7,
"preemption":"discard","say":"weight","idle":30000000,"passes-deadline":true,"list-follows":true,
"own-stats":["cpu_busy","runnable","mem_used","sockets"]}},
"contract":{{"drain-grace":2500000,"grace-to-answer":80000,"fall-multiple":6,"fall":1500000,
"cold-from":0.21,"cold":16000000}}}}}}"#
    )
}

pub fn play(test: &Test) -> Result<Finding, String> {
    let (listen, interpreter) = (free_tcp(), free_tcp());
    let (_catalog, catalog) = catalog();
    let config = test.write("config.json", &configuration(&listen, &interpreter, &catalog));
    let effects = test.folder.join("effects.txt");
    let effects_text = effects.to_string_lossy().into_owned();
    let start_interpreter =
        || Process::start(stand_in(&["interpreter", &interpreter, &effects_text, "2"]), &test.log("interpreter"));
    let started = |error: std::io::Error| format!("cannot start a process: {error}");

    let mut first_server = Process::start(server(&config, "n1", &listen, ""), &test.log("server")).map_err(started)?;
    let is_up = wait_for(Duration::from_secs(20), || Connection::open(&listen, &test.record).is_ok());
    if !is_up || first_server.ended().is_some() {
        return Err("the server did not start".into());
    }
    let linked = |count: usize| {
        let log = std::fs::read_to_string(test.log("server")).unwrap_or_default();
        log.matches("linked to the interpreter").count() >= count
    };
    test.record.write("interpreter starts");
    let mut running = start_interpreter().map_err(started)?;
    if !wait_for(Duration::from_secs(10), || linked(1)) {
        return Err("the server did not link to the interpreter".into());
    }
    let mut connection = Connection::open(&listen, &test.record).map_err(started)?;
    if connection.health(Duration::from_secs(2)).as_deref() != Some("fit") {
        return Err("the server is not fit".into());
    }
    let references: Vec<String> = (1..=2).map(|number| format!("b00c00000000000{number}")).collect();
    let body = format!("work={WORK_MS} booking");
    let tags: Vec<u64> =
        references.iter().map(|reference| connection.call(BOOKING, reference, ",allow=4500", &body)).collect();
    let begun = || std::fs::read_to_string(&effects).unwrap_or_default().matches(" begun ").count();
    if !wait_for(Duration::from_secs(2), || begun() >= 1) {
        return Err("no booking began".into());
    }
    if test.trouble {
        std::thread::sleep(KILLED_AFTER);
        running.kill();
        test.record.write("interpreter killed (SIGKILL)");
        // Whatever supervises the interpreter starts it again.
        std::thread::sleep(Duration::from_millis(50));
        running = start_interpreter().map_err(started)?;
        test.record.write("interpreter starts again");
    }
    let all_answered = || tags.iter().all(|tag| !connection.answers(*tag).is_empty());
    wait_for(Duration::from_secs(6), all_answered);
    std::thread::sleep(Duration::from_millis(1000));
    drop(running);
    test.record.copy("run", &effects, |_| true);
    test.record.copy("server log", &test.log("server"), |line| line.contains("interpreter"));

    let effects = std::fs::read_to_string(&effects).unwrap_or_default();
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for line in effects.lines().filter(|line| line.contains(" begun ")) {
        *runs.entry(line.split(' ').nth(2).unwrap_or("")).or_default() += 1;
    }
    let twice: Vec<String> =
        runs.iter().filter(|(_, count)| **count > 1).map(|(task, count)| format!("{task} {count} times")).collect();
    if twice.is_empty() {
        return Ok(Finding::Held(format!("{} bookings ran, none of them twice", runs.len())));
    }
    Ok(Finding::Broken(format!("{BOOKING} ran more than once: {}", twice.join(", "))))
}
