//! Executes a soak run and checks its invariants.

use super::checks::{self, Totals, Violation};
use super::idle_connections;
use super::plan::Plan;
use super::schedule::{Action, ScheduledAction, schedule};
use super::setup::{BUDGET_TOTAL, load, options, settings, tenants};
use crate::downstream_service::{self, DownstreamService};
use crate::fleet::{FleetHarness, HarnessOptions, wait_for};
use crate::interpreter::InterpreterFaults;
use crate::open_loop::{self, ReplyCounts};
use anyhow::{Context, Result};
use serde_json::Value;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, UNIX_EPOCH};

const CORES: f64 = 4.0;
const CONNECT_MAX: Duration = Duration::from_millis(200);
/// Maximum time between two polls of the harness. A longer gap counts as a stall of the machine. Stalls do
/// not count against the time limits of the protocol.
const STALL: Duration = Duration::from_millis(200);
const POLL_PERIOD: Duration = Duration::from_millis(5);
const START_MAX: Duration = Duration::from_secs(30);
/// Maximum number of log lines that the report lists for a server that accepted connections when it was
/// killed.
const LOG_TAIL: usize = 12;
/// Maximum time to wait for a server's final counters in the log, after the server has exited.
const LAST_LINE_MAX: Duration = Duration::from_secs(3);

/// Result of a soak run.
#[derive(Debug)]
pub struct SoakReport {
    /// Plan of the run.
    pub plan: Plan,
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Actions that the harness took, in order. Each entry begins with the milliseconds since the start of
    /// the load.
    pub actions: Vec<String>,
    /// Totals of the run.
    pub totals: Totals,
}

/// Executes the soak run whose plan is drawn from `seed`. The servers are processes of `program`. Violated
/// invariants are listed in the report. An `Err` is an error of the harness itself.
pub fn run(program: &Path, seed: u64) -> Result<SoakReport> {
    run_plan(program, Plan::draw(seed))
}

/// Executes the soak run like [`run`], with faults at the interpreter and from clients.
pub fn run_with_faults(program: &Path, seed: u64) -> Result<SoakReport> {
    run_plan(program, Plan::draw_with_faults(seed))
}

fn run_plan(program: &Path, plan: Plan) -> Result<SoakReport> {
    let mut run = Run::start(program, &plan)?;
    run.execute_events(&plan)?;
    run.end(&plan)?;
    run.finish(plan)
}

/// Observations of one server.
#[derive(Default)]
struct Observed {
    stopped: Duration,
    stopped_at: Option<Instant>,
    descriptors: u64,
    memory_kb: u64,
    killed: bool,
    accepts_at_kill: bool,
}

struct Run {
    fleet: FleetHarness,
    service: Arc<DownstreamService>,
    loads: Vec<JoinHandle<ReplyCounts>>,
    idle: Vec<TcpStream>,
    observed: Vec<Observed>,
    began: Instant,
    polled_at: Instant,
    /// Total time for which the machine stalled so far.
    stalled: Duration,
    actions: Vec<String>,
    reloads: u64,
}

impl Run {
    fn start(program: &Path, plan: &Plan) -> Result<Run> {
        let (address, service) = downstream_service::start(plan.call_time)?;
        let options = HarnessOptions {
            cores: CORES,
            downstream_services: vec![address; plan.servers],
            options: options(plan, 0),
            settings: settings(plan),
            stop_ms: plan.stop_after().as_millis() as u64,
            ..HarnessOptions::default()
        };
        let fleet = FleetHarness::with_options(program, plan.servers, plan.servers, plan.seed, options)?;
        let all_servers: Vec<usize> = (0..plan.servers).collect();
        fleet.wait_for_agreement(&all_servers, Instant::now(), START_MAX)?;
        let span = Plan::span() + plan.stop_after() + checks::SLACK;
        let mut loads = Vec::new();
        for &server in &all_servers {
            let to = fleet.listen_address(server).context("the server has not logged its listen address")?;
            let seed = plan.seed.wrapping_mul(16) + server as u64 + 1;
            loads.push(open_loop::start_with(to, load(plan, span, seed & 0xffff_ffff)));
        }
        let observed = all_servers.iter().map(|_| Observed::default()).collect();
        let (idle, actions, began) = (Vec::new(), Vec::new(), Instant::now());
        let (polled_at, stalled) = (began, Duration::ZERO);
        Ok(Run { fleet, service, loads, idle, observed, began, polled_at, stalled, actions, reloads: 0 })
    }

    fn execute_events(&mut self, plan: &Plan) -> Result<()> {
        let mut scheduled = schedule(plan);
        scheduled.sort_by_key(|scheduled| scheduled.at);
        for ScheduledAction { at, server, action } in scheduled {
            self.wait_until(at.min(Plan::span()));
            self.act(server, &action)?;
        }
        self.wait_until(Plan::span());
        for server in 0..plan.servers {
            self.act(server, &Action::Signal("CONT"))?;
        }
        for server in 0..plan.servers {
            self.act(server, &Action::CoreSpeed(1.0))?;
        }
        self.act(0, &Action::CallTime(plan.call_time))
    }

    fn act(&mut self, server: usize, action: &Action) -> Result<()> {
        let at = self.began.elapsed().as_millis();
        match action {
            Action::Signal(name) => {
                self.record_stop(server, name);
                self.actions.push(format!("{at} s{server} {name}"));
                self.fleet.signal_and_keep(server, name)?;
            }
            Action::Reload => {
                self.actions.push(format!("{at} s{server} HUP"));
                self.rewrite_options(server)?;
                self.fleet.signal_and_keep(server, "HUP")?;
            }
            Action::CallTime(time) => {
                self.actions.push(format!("{at} service takes {time:?}"));
                self.service.call_time_us.store(time.as_micros() as u64, Relaxed);
            }
            Action::CoreSpeed(speed) => {
                if *speed < 1.0 {
                    self.actions.push(format!("{at} s{server} cores at {speed}"));
                }
                self.faults(server)?.set_speed(*speed);
            }
            Action::LoseCommands => self.faults(server)?.ignore_commands(),
            Action::ResetLink => {
                self.actions.push(format!("{at} s{server} link reset"));
                self.faults(server)?.reset_link();
            }
            Action::IdleConnections(connections) => {
                let to = self
                    .fleet
                    .listen_address(server)
                    .context("the server has not logged its listen address")?;
                self.idle.extend(idle_connections::open(to, *connections));
                self.polled_at = Instant::now();
                self.actions.push(format!("{at} s{server} idle connections {}", self.idle.len()));
            }
        }
        Ok(())
    }

    fn faults(&self, server: usize) -> Result<Arc<InterpreterFaults>> {
        self.fleet.interpreter_faults(server).context("the server has no interpreter")
    }

    /// Adds up the time for which a server is stopped, from its signals STOP and CONT. A second STOP before
    /// CONT has no effect.
    fn record_stop(&mut self, server: usize, signal: &str) {
        let observed = &mut self.observed[server];
        match signal {
            "STOP" => drop(observed.stopped_at.get_or_insert_with(Instant::now)),
            "CONT" => {
                observed.stopped += observed.stopped_at.take().map_or(Duration::ZERO, |at| at.elapsed());
            }
            _ => {}
        }
    }

    /// Writes new weights of the tenants to the options file of a server.
    fn rewrite_options(&mut self, server: usize) -> Result<()> {
        let file = self.fleet.folder().join(format!("s{server}.xml"));
        let text = std::fs::read_to_string(&file)?;
        self.reloads += 1;
        let (old, new) = (tenants(self.reloads - 1), tenants(self.reloads));
        // The number of reloads counts the changes of all servers, but each server has its own file. The last
        // change may have been in the file of another server, so this file may contain the weights of any
        // earlier change.
        let earlier = (0..self.reloads).map(tenants).find(|tenants| text.contains(tenants));
        std::fs::write(file, text.replace(&earlier.unwrap_or(old), &new))?;
        Ok(())
    }

    /// Sends the final signals to each server and waits until all servers have exited. If a server still runs
    /// when [`checks::STOP_AFTER`] has passed since its drain notice, the server is killed.
    fn end(&mut self, plan: &Plan) -> Result<()> {
        let mut drain_notices = Vec::new();
        for server in 0..plan.servers {
            let mut notified_at = None;
            for signal in &plan.ending {
                std::thread::sleep(signal.after);
                self.act(server, &Action::Signal(signal.name))?;
                if matches!(signal.name, "TERM" | "INT") {
                    notified_at.get_or_insert_with(|| (Instant::now(), self.stalled));
                }
            }
            drain_notices.push(notified_at.context("the series has no drain notice")?);
        }
        let mut running: Vec<usize> = (0..plan.servers).collect();
        while !running.is_empty() {
            std::thread::sleep(POLL_PERIOD);
            self.sample();
            let fleet = &mut self.fleet;
            running.retain(|server| fleet.exit_status(*server).is_none());
            for server in running.clone() {
                let (notified_at, stalled_before) = drain_notices[server];
                let draining_for = notified_at.elapsed().saturating_sub(self.stalled - stalled_before);
                if draining_for >= plan.stop_after() && !self.observed[server].killed {
                    self.kill(server)?;
                }
            }
        }
        Ok(())
    }

    /// Kills a server. Immediately before the kill, stores whether the server still accepts connections.
    fn kill(&mut self, server: usize) -> Result<()> {
        let to = self.fleet.listen_address(server).context("the server has not logged its listen address")?;
        self.observed[server].accepts_at_kill = TcpStream::connect_timeout(&to, CONNECT_MAX).is_ok();
        self.observed[server].killed = true;
        self.act(server, &Action::Signal("KILL"))
    }

    fn finish(mut self, plan: Plan) -> Result<SoakReport> {
        let (mut violations, mut totals) = (Vec::new(), Totals::default());
        for (server, load) in std::mem::take(&mut self.loads).into_iter().enumerate() {
            let replies = load.join().ok().context("the thread of a load panicked")?;
            totals.sent += replies.sent;
            totals.succeeded += replies.succeeded;
            totals.crossed += replies.crossed;
            totals.unsent += replies.unsent;
            violations.extend(self.check_clients(&plan, server, &replies));
            violations.extend(self.check_server(&plan, server, &replies));
        }
        let most = self.service.most_in_flight.load(Relaxed);
        if plan.servers > 1 && most > BUDGET_TOTAL {
            violations.push(Violation::OverBudget { most, total: BUDGET_TOTAL });
        }
        totals.stalled_ms = self.stalled.as_millis() as u64;
        totals.descriptors = self.observed.iter().map(|observed| observed.descriptors).max().unwrap_or(0);
        Ok(SoakReport { plan, violations, actions: self.actions, totals })
    }

    fn check_clients(&self, plan: &Plan, server: usize, replies: &ReplyCounts) -> Vec<Violation> {
        let Observed { stopped, killed, .. } = self.observed[server];
        checks::client_violations(server, replies, plan.client_timeout(), stopped + self.stalled, killed)
    }

    fn check_server(&mut self, plan: &Plan, server: usize, replies: &ReplyCounts) -> Vec<Violation> {
        let mut violations = Vec::new();
        let Observed { descriptors, memory_kb, killed, .. } = self.observed[server];
        if descriptors > checks::DESCRIPTORS_MAX || memory_kb > checks::MEMORY_KB_MAX {
            violations.push(Violation::OverResourceLimit { server, descriptors, memory_kb });
        }
        violations.extend(self.check_runs(plan, server));
        if self.observed[server].accepts_at_kill {
            violations.push(self.accepts_at_kill(server));
        }
        if killed {
            // A server ends by itself, even if its clients go on calling.
            if plan.injected.is_some() {
                violations.push(Violation::ExitCode { server, status: "killed at the stop".to_string() });
            }
            return violations;
        }
        match self.fleet.exit_status(server) {
            Some(status) if status.success() => {}
            status => violations.push(Violation::ExitCode { server, status: format!("{status:?}") }),
        }
        if let Some(drain_notice_ms) = self.message_time_ms(server, "told to leave") {
            violations.extend(checks::grace_violation(server, replies, drain_notice_ms));
        }
        let line = wait_for(LAST_LINE_MAX, || self.message(server, "ended; counters:"));
        violations.extend(checks::counter_violation(server, &line.unwrap_or_default()));
        violations
    }

    /// Checks the runs on the interpreter of a server. A run of an operation that may run twice begins again
    /// if the command that started it may have been lost.
    fn check_runs(&self, plan: &Plan, server: usize) -> Vec<Violation> {
        let Some(counts) = self.fleet.run_counts(server) else { return Vec::new() };
        let mut violations = Vec::new();
        let may_run_twice = plan.injected.as_ref().is_some_and(|injected| injected.effect == "repeatable");
        let repeated = counts.repeated.load(Relaxed);
        if repeated > 0 && !may_run_twice {
            violations.push(Violation::RanTwice { server, runs: repeated });
        }
        let begun_again = counts.begun_again.load(Relaxed);
        if begun_again > 0 && plan.injected.is_some() && !may_run_twice {
            violations.push(Violation::BeganTwice { server, runs: begun_again });
        }
        let [mean, load] = [&counts.most_mean_thousandths, &counts.most_load_thousandths]
            .map(|thousandths| thousandths.load(Relaxed) as f64 / 1e3);
        if load > 1.0 {
            violations.push(Violation::OverloadedCores { server, mean, load });
        }
        violations
    }

    fn accepts_at_kill(&self, server: usize) -> Violation {
        let lines = self.fleet.timestamped_log_lines(server);
        let text = |(at, fields): &(String, Value)| format!("{at} {fields}");
        let of_fleet =
            |(_, fields): &&(String, Value)| fields["message"] == "view" || fields["message"] == "shared";
        let counters = |(_, fields): &(String, Value)| {
            fields["message"].as_str()?.strip_prefix("counters:").map(String::from)
        };
        let counters = lines.iter().rev().find_map(counters).unwrap_or_default();
        let newest = lines.iter().rev().filter(|line| !of_fleet(line)).take(LOG_TAIL).map(text);
        let mut log: Vec<String> = newest.collect();
        log.reverse();
        Violation::AcceptsAtKill { server, counters, log }
    }

    /// Returns the first message that begins with the text `start` in the log of a server.
    fn message(&self, server: usize, start: &str) -> Option<String> {
        let lines = self.fleet.timestamped_log_lines(server);
        let mut messages = lines.iter().filter_map(|(_, fields)| fields["message"].as_str());
        messages.find(|message| message.starts_with(start)).map(str::to_string)
    }

    /// Returns the Unix time in milliseconds at which a server first logged a message.
    fn message_time_ms(&self, server: usize, message: &str) -> Option<u64> {
        let lines = self.fleet.timestamped_log_lines(server);
        let (timestamp, _) = lines.iter().find(|(_, fields)| fields["message"] == message)?;
        let time = humantime::parse_rfc3339(timestamp).ok()?;
        time.duration_since(UNIX_EPOCH).ok().map(|since| since.as_millis() as u64)
    }

    fn wait_until(&mut self, at: Duration) {
        while self.began.elapsed() < at {
            self.sample();
            std::thread::sleep(POLL_PERIOD.min(at.saturating_sub(self.began.elapsed())));
        }
    }

    /// Reads the number of file descriptors and the memory of each server. If more than [`STALL`] has passed
    /// since the previous poll, records a stall of the machine.
    fn sample(&mut self) {
        let gap = self.polled_at.elapsed();
        self.polled_at = Instant::now();
        if gap > STALL {
            self.stalled += gap;
        }
        for (server, observed) in self.observed.iter_mut().enumerate() {
            let Some(id) = self.fleet.process_id(server) else { continue };
            let open =
                std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, |entries| entries.count() as u64);
            observed.descriptors = observed.descriptors.max(open);
            observed.memory_kb = observed.memory_kb.max(resident_kb(id));
        }
    }
}

/// Returns the resident memory of a process in KiB; 0 if the process has ended.
fn resident_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    resident.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}
