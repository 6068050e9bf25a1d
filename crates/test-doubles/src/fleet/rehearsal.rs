//! Rehearses changes of the membership view with real processes. The changes are a join, a crash (SIGKILL), a
//! stall (SIGSTOP, SIGCONT), a network partition and its end. A table shows when each server observed each
//! change, and when all views agreed.

use super::WAIT_MAX;
use super::files::{PROBE_PERIOD_MS, SUSPICION_PERIODS};
use super::harness::FleetHarness;
use super::view::AgreementTimes;
use anyhow::Result;
use std::path::Path;
use std::time::{Duration, Instant};

const SEED: u64 = 7;

/// Change to the fleet, and the time until each server observed the change.
struct Step {
    name: &'static str,
    times: AgreementTimes,
}

/// Runs the rehearsal with `servers` servers (at least 4). Returns the results as a table. Calls `progress`
/// with a line of text after each step. Fails if a process does not start, or if the views do not agree in
/// time.
pub fn rehearse(program: &Path, servers: usize, mut progress: impl FnMut(&str)) -> Result<String> {
    let mut fleet = FleetHarness::new(program, servers, SEED)?;
    let all: Vec<usize> = (0..servers).collect();
    progress(&format!(
        "{servers} servers started, probe period {PROBE_PERIOD_MS} ms, suspicion {SUSPICION_PERIODS} periods"
    ));
    let join = Step { name: "join", times: fleet.wait_for_agreement(&all, Instant::now(), WAIT_MAX)? };
    progress("all joined");

    let (killed, stalled) = (servers - 1, 1);
    fleet.signal(killed, "KILL")?;
    let alive = &all[..killed];
    let crash = Step { name: "crash", times: fleet.wait_for_agreement(alive, Instant::now(), WAIT_MAX)? };
    progress(&format!("s{killed} killed and seen down by all"));

    let [stall, resume] = stall_one(&mut fleet, alive, stalled)?;
    progress(&format!("s{stalled} stopped, seen down, continued and seen back"));

    let (left, right) = alive.split_at(alive.len() / 2);
    let [cut, heal] = partition(&fleet, alive, left, right)?;
    progress(&format!("cut into {left:?} and {right:?}, then healed"));
    Ok(table(servers, &[join, crash, stall, resume, cut, heal]))
}

/// Stops a server with SIGSTOP and waits until all other servers see it as down. Then continues the server
/// with SIGCONT and waits until all servers in `alive` see each other as alive.
fn stall_one(fleet: &mut FleetHarness, alive: &[usize], stalled: usize) -> Result<[Step; 2]> {
    fleet.signal(stalled, "STOP")?;
    let since = Instant::now();
    let others: Vec<usize> = alive.iter().copied().filter(|&index| index != stalled).collect();
    let stall = Step { name: "stall", times: fleet.wait_for_agreement(&others, since, WAIT_MAX)? };
    fleet.signal(stalled, "CONT")?;
    let resume = Step { name: "resume", times: fleet.wait_for_agreement(alive, Instant::now(), WAIT_MAX)? };
    Ok([stall, resume])
}

/// Starts a network partition between the servers in `left` and the servers in `right`. Waits until the
/// servers on each side see only their own side. Then ends the partition and waits until all servers in
/// `alive` see each other as alive.
fn partition(fleet: &FleetHarness, alive: &[usize], left: &[usize], right: &[usize]) -> Result<[Step; 2]> {
    fleet.relay.change_faults(|faults| {
        for &index in right {
            faults.groups.insert(index, 1);
        }
        faults.partition(0, 1);
    });
    let since = Instant::now();
    let mut times = fleet.wait_for_agreement(left, since, WAIT_MAX)?;
    let right_times = fleet.wait_for_agreement(right, since, WAIT_MAX)?;
    times.by_server.extend(right_times.by_server);
    times.all = times.all.max(right_times.all);
    fleet.relay.change_faults(|faults| faults.heal());
    let heal = Step { name: "heal", times: fleet.wait_for_agreement(alive, Instant::now(), WAIT_MAX)? };
    Ok([Step { name: "cut", times }, heal])
}

fn table(servers: usize, steps: &[Step]) -> String {
    let mut out = String::from("seconds after each step until the server's own view showed it\n\nserver");
    for step in steps {
        out.push_str(&format!(" {:>7}", step.name));
    }
    out.push('\n');
    let cell =
        |time: Option<&Duration>| time.map_or("-".to_string(), |time| format!("{:.2}", time.as_secs_f64()));
    for index in 0..servers {
        out.push_str(&format!("s{index:<5}"));
        for step in steps {
            out.push_str(&format!(" {:>7}", cell(step.times.by_server.get(&index))));
        }
        out.push('\n');
    }
    out.push_str("agreed");
    for step in steps {
        out.push_str(&format!(" {:>7}", cell(Some(&step.times.all))));
    }
    out.push('\n');
    out
}
