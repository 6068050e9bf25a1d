//! Executes a rehearsal, from the start of the program to its exit.

use super::arrivals::send_arrivals;
use super::load::{Load, Tenant};
use super::plan::RehearsalPlan;
use super::server_process::{ServerProcess, TestDoubleAddresses, WAIT_MAX};
use crate::balancers::Balancer;
use crate::downstream_service::{self, DownstreamService};
use crate::group_report::GroupReport;
use crate::interpreter::{self, RunCounts};
use crate::registry;
use anyhow::{Context, Result, ensure};
use async_executor::LocalExecutor;
use async_io::Timer;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

/// Call time of the downstream service if [`RehearsalPlan::dependency`] is `None`. In this case, the service
/// is started, but no invocation calls it.
const DEFAULT_CALL_TIME: Duration = Duration::from_millis(5);
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);
const POLL_PERIOD: Duration = Duration::from_millis(10);
/// Time to wait after the log line with the program's counters. The program may log more lines in this time.
const COUNTERS_WAIT: Duration = Duration::from_millis(100);

/// Measurements of a rehearsal.
pub struct RehearsalReport {
    /// Reports of the groups of tenants. The reports cover only the overload phase.
    pub groups: Vec<GroupReport>,
    /// Final counters of the program, by the name of the counter.
    pub counters: HashMap<String, u64>,
    /// Lines of the program's log that contain the text " share", such as the lines about the shares of
    /// tenants.
    pub tenant_lines: Vec<String>,
    /// Peak resident memory of the program up to the end of the load, in KiB.
    pub peak_kib: u64,
    /// Exit code of the program; `None` if the program was ended by a signal.
    pub exit: Option<i32>,
    /// Counts of the runs on the interpreter test double.
    pub runs: Arc<RunCounts>,
    /// Number of downstream calls that began in the overload phase.
    pub calls: u64,
    /// Mean number of downstream calls in flight during the overload phase.
    pub mean_in_flight: f64,
    /// Number of replies for which no caller was waiting.
    pub unexpected_replies: u64,
    /// Number of calls whose connection broke.
    pub broken_calls: u64,
}

/// Runs a rehearsal of the program. Calls `progress` with a line of text every second. Fails if the program
/// does not start or exit in time, or if an expected log line is missing.
pub fn run(program: &Path, plan: RehearsalPlan, mut progress: impl FnMut(&str)) -> Result<RehearsalReport> {
    let (interpreter, runs) = interpreter::start(plan.cores)?;
    let dependency = plan.dependency.as_ref();
    let call_time = dependency.map_or(DEFAULT_CALL_TIME, |dependency| dependency.baseline_call_time);
    let (downstream_service, service) = downstream_service::start(call_time)?;
    let (registry, load_reports) = registry::start()?;
    let doubles = TestDoubleAddresses { interpreter, downstream_service, registry };
    let mut server = ServerProcess::start(program, &plan, &doubles)?;
    let listen = listen_address(&mut server)?;
    server.wait_for_line("linked to the interpreter")?;
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let load = Rc::new(Load::new(plan, executor));
    let groups = load.plan.groups.iter();
    let balancers: Vec<Rc<Balancer>> =
        groups.map(|group| Balancer::new(listen, group.connections, executor)).collect();
    let calls = async_io::block_on(executor.run(run_load(&load, &balancers, &service, &mut progress)));
    server.signal("USR1")?;
    server.wait_for_line("counters:")?;
    std::thread::sleep(COUNTERS_WAIT);
    let peak_kib = server.peak_kib();
    ensure!(load_reports.load(Relaxed) > 0, "the registry received no load report");
    let exit = stop(&mut server, executor)?;
    let counters = final_counters(&server.wait_for_line("ended; counters:")?);
    let log = server.read_remaining_log();
    Ok(RehearsalReport {
        counters,
        tenant_lines: log.iter().filter(|line| line.contains(" share")).cloned().collect(),
        peak_kib,
        exit,
        runs,
        calls: calls.count,
        mean_in_flight: calls.mean_in_flight,
        unexpected_replies: balancers.iter().map(|balancer| balancer.unexpected_replies.get()).sum(),
        broken_calls: balancers.iter().map(|balancer| balancer.broken_calls.get()).sum(),
        groups: load.reports.take(),
    })
}

/// Waits until the program logs its listen address, and returns the address.
fn listen_address(server: &mut ServerProcess) -> Result<SocketAddr> {
    let line = server.wait_for_line(" listen=")?;
    let address = line.split(" listen=").nth(1).context("no listen address in the log")?.trim();
    address.parse().with_context(|| format!("{address:?} is not a socket address"))
}

/// Measurements of the downstream calls in the overload phase.
struct OverloadCalls {
    count: u64,
    mean_in_flight: f64,
}

/// Starts all tenants and runs the baseline and overload phases. Then waits for outstanding replies, for at
/// most four times the latency objective. Does not wait if the plan stops the program early.
async fn run_load(
    load: &Rc<Load>,
    balancers: &[Rc<Balancer>],
    service: &DownstreamService,
    progress: &mut impl FnMut(&str),
) -> OverloadCalls {
    for (group, balancer) in balancers.iter().enumerate() {
        for index in 0..load.plan.groups[group].tenants {
            let tenant = Tenant { group, index };
            load.executor.spawn(send_arrivals(load.clone(), balancer.clone(), tenant)).detach();
        }
    }
    let mut calls_before: Option<(u64, u64)> = None;
    while Instant::now() < load.end {
        if calls_before.is_none() && Instant::now() >= load.overload_start {
            if let Some(dependency) = &load.plan.dependency {
                service.call_time_us.store(dependency.overload_call_time.as_micros() as u64, Relaxed);
            }
            calls_before = Some((service.calls.load(Relaxed), service.total_call_time_us.load(Relaxed)));
        }
        Timer::after(PROGRESS_PERIOD.min(load.end - Instant::now())).await;
        progress(&progress_line(load));
    }
    let (count_before, time_before_us) = calls_before.unwrap_or_default();
    let overload_us = load.overload_start.elapsed().as_micros() as f64;
    let call_time_us = service.total_call_time_us.load(Relaxed) - time_before_us;
    let calls = OverloadCalls {
        count: service.calls.load(Relaxed) - count_before,
        mean_in_flight: call_time_us as f64 / overload_us,
    };
    let last_replies = Instant::now() + 4 * load.plan.objective;
    while load.in_flight.get() > 0 && !load.plan.stops_early && Instant::now() < last_replies {
        Timer::after(POLL_PERIOD).await;
    }
    calls
}

fn progress_line(load: &Load) -> String {
    let phase = if Instant::now() < load.overload_start { "baseline" } else { "overload" };
    let reports = load.reports.borrow();
    let groups: Vec<String> = reports
        .iter()
        .map(|report| format!("{} {} of {}", report.name, report.in_time, report.sent))
        .collect();
    format!("{:>4.0} s, {phase}: {}", load.began.elapsed().as_secs_f64(), groups.join(", "))
}

/// Stops the program with SIGTERM and returns its exit code. The executor runs until the program exits.
/// Otherwise, the balancers would not close the connections that the program drains.
fn stop(server: &mut ServerProcess, executor: &LocalExecutor<'static>) -> Result<Option<i32>> {
    server.signal("TERM")?;
    let deadline = Instant::now() + WAIT_MAX;
    async_io::block_on(executor.run(async {
        loop {
            if let Some(status) = server.try_wait()? {
                return Ok(status.code());
            }
            ensure!(Instant::now() < deadline, "the program did not exit within {WAIT_MAX:?}");
            Timer::after(POLL_PERIOD).await;
        }
    }))
}

/// Parses the counters in the last log line of the program. The line has the form `... counters: name=count
/// name=count`.
fn final_counters(line: &str) -> HashMap<String, u64> {
    let words = line.split("counters:").nth(1).unwrap_or("").split_whitespace();
    let counter = |word: &str| {
        let (name, count) = word.split_once('=')?;
        Some((name.to_string(), count.parse().ok()?))
    };
    words.filter_map(counter).collect()
}
