//! The site of a balancer is cut off from the site of a server and comes back. Each request that the server
//! then reads in time is to be answered, unless the server was told that its caller has gone.

use crate::client::Connection;
use crate::processes::{server, stand_in, Process};
use crate::relay::Relay;
use crate::site::{catalog, free_tcp, wait_for, Test};
use crate::{records, unix_ms, Finding};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const OPERATION: &str = "licence-check";
/// Client timeout of the operation, in milliseconds.
const TIMEOUT_MS: u64 = 4800;
/// Slack of the rule: 100 ms of the site, and 50 ms on sockets.
const SLACK_MS: u64 = 150;
/// Time between two requests of the balancer: 5.9 a second, of the 8 a second that the server can do.
const PERIOD: Duration = Duration::from_millis(170);
/// The server hears that a caller has given up so long after it did.
const TOLD_LATE_MS: u64 = 250;
const OPEN_MAX: usize = 32;
const BEFORE: Duration = Duration::from_secs(8);
/// Length of the cut. The site names 7.2 to 19 s.
const CUT: Duration = Duration::from_millis(7600);
const AFTER: Duration = Duration::from_secs(6);

fn configuration(listen: &str, interpreter: &str, records: &str, catalog: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","vm":"{interpreter}","directory":"{catalog}","records":"{records}",
"seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"grades":[
{{"name":"{OPERATION}","effect":"repeatable","target":1900000,"give-up":4800000,"worth":1}},
{{"name":"lot-trace","effect":"repeatable","target":2400000,"give-up":6400000,"worth":2}},
{{"name":"export-quote","effect":"repeatable","target":2400000,"give-up":7900000,"worth":2}},
{{"name":"movement-file","effect":"by_key","window":14289000,"target":1900000,"give-up":4800000,"worth":5}}],
"peers-total":2,"clients":{{"marks-retry":false}},"limits":{{"retry-after":true,"max-retry-after":1000000}},
"family-info":{{"below":"one_for_all","callers":2,"cores":2,"memory-kb":15360,"run-factor":16,"entry-kb":7,
"class-calls":[true,true,true,true],"degraded-worth":[0,0,0,0],"dep-share":4.0,"calls-over":5000000,
"lingers":200000,"preemption":"discard","say":"weight","idle":30000000,"passes-deadline":false,
"tells-gone":true,"list-follows":false,"own-stats":["cpu_busy","runnable","mem_used","sockets"]}},
"contract":{{"drain-grace":2000000,"grace-to-answer":100000,"fall-multiple":5,"fall":2000000,
"cold-from":0.21,"cold":17000000}}}}}}"#
    )
}

/// Requests of one balancer: sends one each period for the time `span`, and cancels those whose callers have
/// given up. `open` holds the tags and times of the requests that are neither answered nor cancelled.
fn send(connection: &mut Connection, open: &mut VecDeque<(u64, u64)>, span: Duration, cancels: bool, count: &mut u64) {
    let end = Instant::now() + span;
    let mut next = Instant::now();
    while Instant::now() < end {
        open.retain(|(tag, _)| connection.answers(*tag).is_empty());
        while cancels && open.front().is_some_and(|(_, since)| unix_ms() >= since + TIMEOUT_MS + TOLD_LATE_MS) {
            let (tag, _) = open.pop_front().expect("there is a first one");
            connection.cancel(tag);
        }
        if Instant::now() >= next && open.len() < OPEN_MAX {
            next += PERIOD;
            *count += 1;
            let reference = format!("c07000000000{count:04x}");
            let tag = connection.call(OPERATION, &reference, "", "work=250 call");
            open.push_back((tag, unix_ms()));
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

pub fn play(test: &Test) -> Result<Finding, String> {
    let started = |error: std::io::Error| format!("cannot start: {error}");
    let (listen, interpreter) = (free_tcp(), free_tcp());
    let (_catalog, catalog) = catalog();
    let records = records::start(Duration::from_millis(20)).map_err(started)?;
    let config = test.write("config.json", &configuration(&listen, &interpreter, &records, &catalog));
    let effects = test.folder.join("effects.txt");
    let words = ["interpreter", &interpreter, &effects.to_string_lossy().into_owned(), "2"].map(str::to_string);
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let _interpreter = Process::start(stand_in(&words), &test.log("interpreter")).map_err(started)?;
    let mut server = Process::start(server(&config, "n1", &listen, ""), &test.log("server")).map_err(started)?;
    let log = test.log("server");
    let is_up = wait_for(Duration::from_secs(20), || {
        std::fs::read_to_string(&log).unwrap_or_default().contains("linked to the interpreter")
    });
    if !is_up || server.ended().is_some() {
        return Err("the server did not start".into());
    }
    let (relay, through) = Relay::start(&listen).map_err(started)?;
    let mut connection = Connection::open(&through, &test.record).map_err(started)?;
    if connection.health(Duration::from_secs(2)).as_deref() != Some("fit") {
        return Err("the server is not fit".into());
    }

    let (mut open, mut count) = (VecDeque::new(), 0);
    send(&mut connection, &mut open, BEFORE, true, &mut count);
    if test.trouble {
        relay.set_cut(true);
        test.record.write("the sites are cut apart");
    }
    send(&mut connection, &mut open, CUT, true, &mut count);
    relay.set_cut(false);
    let healed = unix_ms();
    test.record.write("the cut is over, or none was made");
    // From here on nobody tells the server that a caller has given up: the site says that it hears so late or
    // not at all. Whatever is sent now is the ordinary traffic.
    send(&mut connection, &mut open, AFTER, false, &mut count);
    std::thread::sleep(Duration::from_millis(TIMEOUT_MS + SLACK_MS + 500));
    test.record.copy("run", &effects, |_| true);
    test.record.copy("server log", &log, |line| !line.contains("call "));
    if let Some(code) = server.ended() {
        return Ok(Finding::Broken(format!("the server ended with {code}")));
    }

    let (mut lost, mut owed, mut late) = (Vec::new(), 0, 0);
    for (tag, sent) in connection.sent() {
        let due = sent.since_ms + TIMEOUT_MS + SLACK_MS;
        // What was cancelled is owed nothing, and neither is what was due before the server could read it: half a
        // second is left to it after the cut.
        if sent.cancelled_ms.is_some() || (test.trouble && due < healed + 500) {
            continue;
        }
        owed += 1;
        match connection.answers(tag).as_slice() {
            [] => lost.push(format!("tag {tag} ({} ms old when the cut ended)", healed.saturating_sub(sent.since_ms))),
            [answer] => late += usize::from(answer.at_ms > due),
            _ => return Ok(Finding::Broken(format!("tag {tag} was answered twice"))),
        }
    }
    let ended = connection.ended_ms().is_some();
    test.record.say(&format!("{owed} requests were owed an answer, {} got none, {late} late; connection ended: {ended}", lost.len()));
    if lost.is_empty() && late == 0 {
        return Ok(Finding::Held(format!("{owed} requests were answered in time")));
    }
    Ok(Finding::Broken(format!("never answered: {}", lost.join(", "))))
}
