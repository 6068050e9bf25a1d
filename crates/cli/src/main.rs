//! `meadowstream`: a server that takes calls in on real sockets and lets the module decide what becomes
//! of them. See `docs/server.md`.

mod capacity;
mod log;

use anyhow::{Context, Result, ensure};
use meadowstream_server::fleet::{control_machine as control, coordinator as coordinate, publish};
use meadowstream_server::lifecycle::configuration::{Configuration, Layers};
use meadowstream_server::lifecycle::start;
use meadowstream_test_doubles::{night, table::table};
use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tracing_subscriber::EnvFilter;

const HELP: &str = "\
meadowstream: a server with overload control inside

  meadowstream serve [--config FILE]   serve until SIGTERM or SIGINT
  meadowstream check FILE              say whether a configuration can be served
  meadowstream rehearse                play a busy night of many tenants on loopback
  meadowstream fleet rehearse          play crashes, stalls and a partition between servers on loopback
  meadowstream fleet capacity          measure what a fleet of hundreds of servers costs each of them
  meadowstream rollout PLAN            bring a change of settings to the fleet in stages
  meadowstream control                 keep the fleet's configuration with other control machines
  meadowstream publish CHANGE          bring a change of configuration to all servers within seconds
  meadowstream version                 say which version this is

meadowstream COMMAND --help says more. Exit codes: 0 done, 1 failed, 2 wrong usage.
";
const SERVE: &str = "\
meadowstream serve [--config FILE] [--options FILE] [--log json]

Serves until SIGTERM or SIGINT, then answers all that has come and ends. FILE is what $ROUTER_CONFIG
names where it is not given. The log goes to standard error; RUST_LOG=debug says more, and SIGUSR1 adds
the counters to it, SIGHUP reads the files again. --options names a file of this project's own settings
(deploy/meadowstream.xsd); without it tenants are not told apart, and the fleet's view is off.
--log json writes the log as JSON lines, one object a line.
";
const CHECK: &str = "\
meadowstream check FILE [--options FILE]

Reads a configuration as serve would and says what it would do, or names the part that cannot be served.
";
const REHEARSE: &str = "\
meadowstream rehearse [--tenants N] [--seconds N] [--log]

Starts this program with stand-ins for all it speaks to, on loopback, and plays a busy night: N small tenants
(200) and one that floods, for N seconds (20), a third of them calm. Ends with a table of each group's share,
latency and advice kept. --log shows what the program says of shares. Nothing else is needed.
";
const FLEET: &str = "\
meadowstream fleet rehearse [--servers N]

Starts N processes of this program (5; 4 to 64) on loopback, each behind a fault relay, with the fleet's
view on, and plays a join, a crash (SIGKILL), a stall (SIGSTOP, then SIGCONT), a partition into halves and
its heal. Ends with a table of when each server's own log showed each change, and when the views agreed.

meadowstream fleet capacity [--servers N] [--quick] [--seed N] [--json FILE]

Plays a scale model of N servers (690; 80 to 2000) in simulated time at five sizes, with failures, and
measures real processes beside it: added time with 64,000 tenants, memory of connections, some dozens of
processes. --quick ends within two minutes, the whole takes about a quarter of an hour. Prints a table of
costs with their slopes (docs/CAPACITY.md); --json writes it to a file, too. Exit codes: 0 every bound holds,
1 one was passed, 2 wrong usage.
";
const ROLLOUT: &str = "\
meadowstream rollout PLAN --options FILE [--state FILE] [--wait SECONDS]
meadowstream rollout status PLAN [--state FILE]
meadowstream rollout abort PLAN [--state FILE]

Brings a change of settings to the servers in stages, compares those changed with the others, and rolls back
by itself where they do worse (docs/rollout.md). PLAN is an XML file (deploy/meadowstream.xsd); the options
name the fleet to join. Its state is kept beside the plan, or where --state says: one that was killed goes on
from there when it is started again. It waits 120 seconds for the lease that one plan at a time holds.
Exit codes: 0 all stages went through, 1 it was stopped or rolled back, or could not be done, 2 wrong usage.
";
const CONTROL: &str = "\
meadowstream control --options FILE [--log json]

Keeps the log of the fleet's configuration with the other <replica>s of the options, and publishes while it
holds the lease (docs/replication.md). Serves nothing; runs until SIGTERM or SIGINT.
";
const PUBLISH: &str = "\
meadowstream publish CHANGE --options FILE [--wait SECONDS]
meadowstream publish revert NUMBER --options FILE [--wait SECONDS]
meadowstream publish status --options FILE [--wait SECONDS]

Hands a change (XML, deploy/meadowstream.xsd) to the publisher and waits until all servers go by it, or takes
the change of a revision back, or says who goes by the newest. The options name the fleet to join; at most 10
seconds are waited where --wait says nothing. Exit codes: 0 all go by it, 1 refused or not all do in time,
2 wrong usage.
";
const VERSION: &str = "\
meadowstream version

Prints the version.
";

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let help = arguments.contains(["-h", "--help"]);
    let command = arguments.subcommand().ok().flatten();
    let page = match command.as_deref() {
        Some("serve") => SERVE,
        Some("check") => CHECK,
        Some("rehearse") => REHEARSE,
        Some("fleet") => FLEET,
        Some("rollout") => ROLLOUT,
        Some("control") => CONTROL,
        Some("publish") => PUBLISH,
        Some("version") => VERSION,
        _ => HELP,
    };
    if help || command.as_deref() == Some("help") {
        print!("{page}");
        return ExitCode::SUCCESS;
    }
    match obey(command.as_deref(), arguments) {
        Ok(Some(act)) => act().map_or_else(
            |error| {
                eprintln!("meadowstream: {error:#}");
                ExitCode::FAILURE
            },
            |()| ExitCode::SUCCESS,
        ),
        Ok(None) => {
            eprint!("{page}");
            ExitCode::from(2)
        }
        Err(error) => {
            eprint!("meadowstream: {error:#}\n\n{page}");
            ExitCode::from(2)
        }
    }
}

type Act = Box<dyn FnOnce() -> Result<()>>;

/// What the words ask for; an error where they ask for nothing there is.
fn obey(command: Option<&str>, mut arguments: pico_args::Arguments) -> Result<Option<Act>> {
    let path = |text: &OsStr| Ok::<_, std::convert::Infallible>(PathBuf::from(text));
    let options: Option<PathBuf> = match command {
        Some("serve" | "check") => arguments.opt_value_from_os_str("--options", path)?,
        _ => None,
    };
    let act: Act = match command {
        Some("serve") => {
            let given: Option<PathBuf> = arguments.opt_value_from_os_str("--config", path)?;
            let file = given.or_else(|| std::env::var_os("ROUTER_CONFIG").map(PathBuf::from));
            let file = file.context("neither --config nor $ROUTER_CONFIG names a configuration")?;
            let json = wants_json(&mut arguments)?;
            Box::new(move || serve(&file, options.as_deref(), json))
        }
        Some("check") => {
            let file: PathBuf = arguments.free_from_os_str(path)?;
            Box::new(move || check(&file, options.as_deref()))
        }
        Some("rehearse") => {
            let tenants: usize = arguments.opt_value_from_str("--tenants")?.unwrap_or(200);
            let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(20);
            ensure!((1..=2000).contains(&tenants), "--tenants: {tenants} is not within 1 and 2000");
            ensure!((6..=50).contains(&seconds), "--seconds: {seconds} is not within 6 and 50");
            let log = arguments.contains("--log");
            Box::new(move || rehearse(tenants, seconds, log))
        }
        Some("fleet") => {
            let what = arguments.subcommand()?.context("fleet: say rehearse or capacity")?;
            match what.as_str() {
                "capacity" => {
                    let given = capacity::read(&mut arguments)?;
                    Box::new(move || capacity::run(&given))
                }
                "rehearse" => {
                    let servers: usize = arguments.opt_value_from_str("--servers")?.unwrap_or(5);
                    ensure!((4..=64).contains(&servers), "--servers: {servers} is not within 4 and 64");
                    Box::new(move || fleet_rehearse(servers))
                }
                other => anyhow::bail!("fleet: {other:?} is neither rehearse nor capacity"),
            }
        }
        Some("rollout") => rollout(&mut arguments)?,
        Some("control") => {
            let options: Option<PathBuf> = arguments.opt_value_from_os_str("--options", path)?;
            let options = options.context("control: --options is to name the fleet's settings")?;
            let json = wants_json(&mut arguments)?;
            Box::new(move || {
                start_log(json);
                control::run(&options)
            })
        }
        Some("publish") => publish_command(&mut arguments)?,
        Some("version") => Box::new(|| {
            println!("meadowstream {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }),
        _ => return Ok(None),
    };
    let rest = arguments.finish();
    ensure!(rest.is_empty(), "not understood: {rest:?}");
    Ok(Some(act))
}

fn wants_json(arguments: &mut pico_args::Arguments) -> Result<bool> {
    let log: Option<String> = arguments.opt_value_from_str("--log")?;
    match log.as_deref() {
        None | Some("text") => Ok(false),
        Some("json") => Ok(true),
        Some(other) => anyhow::bail!("--log: {other:?} is neither text nor json"),
    }
}

/// The three forms of `publish`.
fn publish_command(arguments: &mut pico_args::Arguments) -> Result<Act> {
    let path = |text: &OsStr| Ok::<_, std::convert::Infallible>(PathBuf::from(text));
    let options: Option<PathBuf> = arguments.opt_value_from_os_str("--options", path)?;
    let options = options.context("publish: --options is to name the fleet's settings")?;
    let wait: Option<u64> = arguments.opt_value_from_str("--wait")?;
    let wait = wait.map_or(publish::WAIT_USUAL, Duration::from_secs);
    let mut words: Vec<String> = Vec::new();
    while let Some(word) = arguments.opt_free_from_str()? {
        words.push(word);
    }
    let given = publish::Given { ask: publish::ask_of(&words)?, options, wait };
    Ok(Box::new(move || publish::run(&given)))
}

/// The three forms of `rollout`.
fn rollout(arguments: &mut pico_args::Arguments) -> Result<Act> {
    let path = |text: &OsStr| Ok::<_, std::convert::Infallible>(PathBuf::from(text));
    let state: Option<PathBuf> = arguments.opt_value_from_os_str("--state", path)?;
    let options: Option<PathBuf> = arguments.opt_value_from_os_str("--options", path)?;
    let wait: u64 = arguments.opt_value_from_str("--wait")?.unwrap_or(120);
    let first: PathBuf = arguments.free_from_os_str(path).context("rollout: name a plan")?;
    let does = first.to_str().filter(|word| ["status", "abort"].contains(word)).map(str::to_string);
    let plan = match does {
        Some(_) => arguments.free_from_os_str(path).context("rollout: name a plan")?,
        None => first,
    };
    let state = state.unwrap_or_else(|| coordinate::state_of(&plan));
    Ok(match does.as_deref() {
        Some("status") => Box::new(move || coordinate::status(&state)),
        Some(_) => Box::new(move || coordinate::abort(&state)),
        None => {
            let options = options.context("rollout: --options is to name the fleet's settings")?;
            let given = coordinate::Given { plan, options, state, wait: Duration::from_secs(wait) };
            Box::new(move || coordinate::run(&given))
        }
    })
}

fn serve(file: &Path, options: Option<&Path>, json: bool) -> Result<()> {
    start_log(json);
    start::serve(Configuration::load_standing(file, options)?)
}

fn start_log(json: bool) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(|| log::Log);
    if json {
        log.json().init();
    } else {
        log.init();
    }
}

fn check(file: &Path, options: Option<&Path>) -> Result<()> {
    let read = Configuration::load(file, options, Layers::default())?;
    let operations = read.settings.operation_names.join(", ");
    println!("{} would listen on {} for {operations}", read.name, read.listen);
    read.notes.iter().for_each(|note| println!("{note}"));
    if let Some(fair) = &read.settings.deployment.fair_queueing {
        let (named, most) = (fair.named.len(), fair.ceiling().div_ceil(1 << 20));
        println!("tenants are told apart, {named} of them by name, in {most} MiB at most");
    }
    Ok(())
}

fn fleet_rehearse(servers: usize) -> Result<()> {
    let program = std::env::current_exe().context("cannot find this program")?;
    let table = meadowstream_test_doubles::fleet::rehearse(&program, servers, |line| println!("{line}"))?;
    println!("\n{table}");
    Ok(())
}

fn rehearse(tenants: usize, seconds: u64, log: bool) -> Result<()> {
    let program = std::env::current_exe().context("cannot find this program")?;
    let calm = Duration::from_secs(seconds / 3);
    let plan = night::busy_night(calm, Duration::from_secs(seconds) - calm, tenants);
    let (cores, all) = (plan.cores, tenants + 1);
    println!(
        "{all} tenants at {cores} cores, asking for three times of what they can do, nine tenths by one\n"
    );
    let outcome = night::play(&program, plan, |line| println!("{line}"))?;
    println!("\n{}", table(&outcome.tallies));
    println!("Of the night alone; \"in time\" is within the objective from the first try, \"kept\" the part");
    println!(
        "of returns as advised that were let in. The program held {} MiB at most.",
        outcome.peak_kib >> 10
    );
    if log {
        println!("\n{}", outcome.shares.join("\n"));
    }
    Ok(())
}
