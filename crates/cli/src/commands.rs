//! Runs the commands.

use crate::arguments::{Command, LogFormat};
use crate::log::NonBlockingStderr;
use anyhow::{Context, Result, ensure};
use meadowstream_capacity::report::{self, Options as CapacityOptions};
use meadowstream_server::configuration::{Configuration, Layers};
use meadowstream_server::fleet::{control_machine, coordinator, publish};
use meadowstream_server::lifecycle::start;
use meadowstream_test_doubles::group_report::table;
use meadowstream_test_doubles::{fleet, tenant_rehearsal};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tracing_subscriber::EnvFilter;

const BYTES_PER_MIB: usize = 1 << 20;

/// Runs a command. If this function returns an error, the program prints the error on one line and exits with
/// code 1.
pub fn run(command: Command) -> Result<()> {
    match command {
        Command::Serve { config, options, log } => {
            start_log(log);
            Ok(start::serve(Configuration::load_at_start(&config, options.as_deref())?)?)
        }
        Command::Check { config, options } => check(&config, options.as_deref()),
        Command::Rehearse { tenants, seconds, shows_log } => rehearse(tenants, seconds, shows_log),
        Command::FleetRehearse { servers } => rehearse_fleet(servers),
        Command::FleetCapacity { options, json } => measure_capacity(options, json),
        Command::Rollout(arguments) => coordinator::run(&arguments),
        Command::RolloutStatus { state } => coordinator::status(&state),
        Command::RolloutAbort { state } => coordinator::abort(&state),
        Command::Control { options, log } => {
            start_log(log);
            control_machine::run(&options)
        }
        Command::Publish(arguments) => publish::run(&arguments),
        Command::Version => {
            println!("meadowstream {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn start_log(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false);
    let log = log.with_writer(|| NonBlockingStderr);
    match format {
        LogFormat::Json => log.json().init(),
        LogFormat::Text => log.init(),
    }
}

fn check(config: &Path, options: Option<&Path>) -> Result<()> {
    let read = Configuration::load(config, options, Layers::default())?;
    let operations = read.settings.operation_names.join(", ");
    println!("{} would listen on {} for {operations}", read.name, read.listen);
    read.notes.iter().for_each(|note| println!("{note}"));
    if let Some(fair) = &read.settings.deployment.fair_queueing {
        let (named, most) = (fair.named.len(), fair.bytes_max().div_ceil(BYTES_PER_MIB));
        println!("tenants are told apart, {named} of them by name, in {most} MiB of memory at most");
    }
    Ok(())
}

fn this_program() -> Result<PathBuf> {
    std::env::current_exe().context("cannot find this program")
}

fn rehearse_fleet(servers: usize) -> Result<()> {
    let table = fleet::rehearse(&this_program()?, servers, |line| println!("{line}"))?;
    println!("\n{table}");
    Ok(())
}

/// Runs an overload test of `seconds` seconds. The first third of the time is a baseline phase, the rest is
/// an overload phase. Prints a table with the results of each group of tenants.
fn rehearse(tenants: usize, seconds: u64, shows_log: bool) -> Result<()> {
    let baseline = Duration::from_secs(seconds / 3);
    let plan = tenant_rehearsal::overload_plan(baseline, Duration::from_secs(seconds) - baseline, tenants);
    let (cores, all) = (plan.cores, tenants + 1);
    println!(
        "{all} tenants at {cores} cores, with three times the load that these can serve, nine tenths by one\n"
    );
    let report = tenant_rehearsal::run(&this_program()?, plan, |line| println!("{line}"))?;
    println!("\n{}", table(&report.groups));
    println!("For the overload phase only. \"in time\": within the objective from the first attempt;");
    println!("\"kept\": the part of the retries at the advised time that were admitted.");
    println!("The program used {} MiB of memory at most.", report.peak_kib >> 10);
    if shows_log {
        println!("\n{}", report.tenant_lines.join("\n"));
    }
    Ok(())
}

/// Measures the costs of a large fleet per server, such as processor time, memory and network traffic, and
/// prints them as a table. Returns an error if a cost exceeds its bound.
fn measure_capacity(options: CapacityOptions, json: Option<PathBuf>) -> Result<()> {
    let report = report::run(&this_program()?, options, |line| println!("{line}"))?;
    println!("\n{}", report.table());
    if let Some(path) = &json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))?;
    }
    let exceeded = report.exceeded_bounds.len();
    ensure!(exceeded == 0, "{exceeded} bounds were exceeded");
    Ok(())
}
