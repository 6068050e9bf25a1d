//! Parses the command line into a [`Command`].

use anyhow::{Context, Result, bail, ensure};
use meadowstream_capacity::report::{Options as CapacityOptions, SERVERS_MAX, SERVERS_MIN};
use meadowstream_server::fleet::{coordinator, publish};
use pico_args::Arguments;
use std::convert::Infallible;
use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Name of the environment variable that contains the path of the platform's configuration file. The option
/// `--config` overrides this variable.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// Default number of servers in the fleet that the command `fleet capacity` models.
const CAPACITY_SERVERS: usize = 690;
/// Default time for which a rollout waits to get the rollout lease, in seconds.
const ROLLOUT_WAIT_S: u64 = 120;

/// A parsed command line: the command to execute and its arguments.
pub enum Command {
    /// Run the server until the process receives a stop signal.
    Serve {
        /// Path of the platform's file.
        config: PathBuf,
        /// Path of the options file.
        options: Option<PathBuf>,
        /// Format of log lines.
        log: LogFormat,
    },
    /// Check whether a configuration is valid.
    Check {
        /// Path of the platform's file.
        config: PathBuf,
        /// Path of the options file.
        options: Option<PathBuf>,
    },
    /// Run an overload test with many tenants against a process of this program on the loopback interface.
    Rehearse {
        /// Number of tenants with a light load. One more tenant floods the server with invocations.
        tenants: usize,
        /// Duration of the overload test, in seconds.
        seconds: u64,
        /// Whether to print the server's log lines about tenants.
        shows_log: bool,
    },
    /// Run a fleet of processes of this program, and inject network and process faults.
    FleetRehearse {
        /// Number of processes to start.
        servers: usize,
    },
    /// Simulate a large fleet and measure its costs per server, such as processor time, memory and network
    /// traffic.
    FleetCapacity {
        /// Size of the simulated fleet, random seed and duration of the measurement.
        options: CapacityOptions,
        /// Path of a file to which the report is written as JSON.
        json: Option<PathBuf>,
    },
    /// Roll out changed settings or a new program to the fleet in stages.
    Rollout(coordinator::RolloutArguments),
    /// Print the progress of a rollout.
    RolloutStatus {
        /// Path of the coordinator's state file.
        state: PathBuf,
    },
    /// Request that the coordinator of a rollout rolls the change back.
    RolloutAbort {
        /// Path of the coordinator's state file.
        state: PathBuf,
    },
    /// Run a control machine. The control machines together store the fleet's replicated configuration.
    Control {
        /// Path of the options file.
        options: PathBuf,
        /// Format of log lines.
        log: LogFormat,
    },
    /// Publish or revert a configuration change, or print which members use the newest revision.
    Publish(publish::PublishArguments),
    /// Print the version.
    Version,
}

/// Format of log lines.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text.
    Text,
    /// One JSON object per line.
    Json,
}

fn path(text: &OsStr) -> std::result::Result<PathBuf, Infallible> {
    Ok(PathBuf::from(text))
}

/// Parses a command and its arguments. Returns `None` if the command is unknown, and an error if its
/// arguments are invalid.
pub fn parse(command: Option<&str>, mut arguments: Arguments) -> Result<Option<Command>> {
    let parsed = match command {
        Some("serve") => parse_serve(&mut arguments)?,
        Some("check") => parse_check(&mut arguments)?,
        Some("rehearse") => parse_rehearse(&mut arguments)?,
        Some("fleet") => parse_fleet(&mut arguments)?,
        Some("rollout") => parse_rollout(&mut arguments)?,
        Some("control") => parse_control(&mut arguments)?,
        Some("publish") => parse_publish(&mut arguments)?,
        Some("version") => Command::Version,
        _ => return Ok(None),
    };
    let unknown = arguments.finish();
    ensure!(unknown.is_empty(), "not understood: {unknown:?}");
    Ok(Some(parsed))
}

fn parse_serve(arguments: &mut Arguments) -> Result<Command> {
    let options = arguments.opt_value_from_os_str("--options", path)?;
    let config = arguments.opt_value_from_os_str("--config", path)?;
    let config = config.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
    let config = config.context("neither --config nor $ROUTER_CONFIG names a configuration")?;
    Ok(Command::Serve { config, options, log: parse_log_format(arguments)? })
}

fn parse_check(arguments: &mut Arguments) -> Result<Command> {
    let options = arguments.opt_value_from_os_str("--options", path)?;
    let config = arguments.free_from_os_str(path)?;
    Ok(Command::Check { config, options })
}

fn parse_log_format(arguments: &mut Arguments) -> Result<LogFormat> {
    let format: Option<String> = arguments.opt_value_from_str("--log")?;
    match format.as_deref() {
        None | Some("text") => Ok(LogFormat::Text),
        Some("json") => Ok(LogFormat::Json),
        Some(other) => bail!("--log: {other:?} is neither text nor json"),
    }
}

fn parse_rehearse(arguments: &mut Arguments) -> Result<Command> {
    let tenants: usize = arguments.opt_value_from_str("--tenants")?.unwrap_or(200);
    let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(20);
    ensure!((1..=2000).contains(&tenants), "--tenants: {tenants} is not within 1 and 2000");
    ensure!((6..=50).contains(&seconds), "--seconds: {seconds} is not within 6 and 50");
    let shows_log = arguments.contains("--log");
    Ok(Command::Rehearse { tenants, seconds, shows_log })
}

fn parse_fleet(arguments: &mut Arguments) -> Result<Command> {
    let subcommand = arguments.subcommand()?.context("fleet: say rehearse or capacity")?;
    match subcommand.as_str() {
        "capacity" => parse_capacity(arguments),
        "rehearse" => {
            let servers: usize = arguments.opt_value_from_str("--servers")?.unwrap_or(5);
            ensure!((4..=64).contains(&servers), "--servers: {servers} is not within 4 and 64");
            Ok(Command::FleetRehearse { servers })
        }
        other => bail!("fleet: {other:?} is neither rehearse nor capacity"),
    }
}

fn parse_capacity(arguments: &mut Arguments) -> Result<Command> {
    let json = arguments.opt_value_from_os_str("--json", path)?;
    let quick = arguments.contains("--quick");
    let seed: Option<u64> =
        arguments.opt_value_from_str("--seed").context("--seed: must be a whole number of at least 0")?;
    let requirement = format!("--servers: a whole number within {SERVERS_MIN} and {SERVERS_MAX}");
    let servers: Option<usize> = arguments.opt_value_from_str("--servers").context(requirement.clone())?;
    let servers = servers.unwrap_or(CAPACITY_SERVERS);
    ensure!((SERVERS_MIN..=SERVERS_MAX).contains(&servers), "{requirement}, not {servers}");
    let options = CapacityOptions { servers, seed: seed.unwrap_or(1), quick };
    Ok(Command::FleetCapacity { options, json })
}

fn parse_rollout(arguments: &mut Arguments) -> Result<Command> {
    let state = arguments.opt_value_from_os_str("--state", path)?;
    let options = arguments.opt_value_from_os_str("--options", path)?;
    let wait_s: Option<u64> = arguments.opt_value_from_str("--wait")?;
    let first = arguments.free_from_os_str(path).context("rollout: name a plan")?;
    let subcommand = first.to_str().filter(|word| ["status", "abort"].contains(word));
    let plan = match subcommand {
        Some(_) => arguments.free_from_os_str(path).context("rollout: name a plan")?,
        None => first.clone(),
    };
    let state = state.unwrap_or_else(|| coordinator::default_state_path(&plan));
    match subcommand {
        Some("status") => Ok(Command::RolloutStatus { state }),
        Some(_) => Ok(Command::RolloutAbort { state }),
        None => {
            let options = options.context("rollout: --options is to name the fleet's settings")?;
            let wait = Duration::from_secs(wait_s.unwrap_or(ROLLOUT_WAIT_S));
            Ok(Command::Rollout(coordinator::RolloutArguments { plan, options, state, wait }))
        }
    }
}

fn parse_control(arguments: &mut Arguments) -> Result<Command> {
    let options = arguments.opt_value_from_os_str("--options", path)?;
    let options = options.context("control: --options is to name the fleet's settings")?;
    Ok(Command::Control { options, log: parse_log_format(arguments)? })
}

fn parse_publish(arguments: &mut Arguments) -> Result<Command> {
    let options = arguments.opt_value_from_os_str("--options", path)?;
    let options = options.context("publish: --options is to name the fleet's settings")?;
    let wait_s: Option<u64> = arguments.opt_value_from_str("--wait")?;
    let wait = wait_s.map_or(publish::DEFAULT_WAIT, Duration::from_secs);
    let mut words: Vec<String> = Vec::new();
    while let Some(word) = arguments.opt_free_from_str()? {
        words.push(word);
    }
    Ok(Command::Publish(publish::PublishArguments { request: parse_publish_words(&words)?, options, wait }))
}

/// Parses the positional arguments of `publish`: `CHANGE`, `revert NUMBER` or `status`.
fn parse_publish_words(words: &[String]) -> Result<publish::PublishRequest> {
    match words {
        [word] if word == "status" => Ok(publish::PublishRequest::Status),
        [word, number] if word == "revert" => {
            let number = number.parse().with_context(|| format!("revert: {number:?} is no number"))?;
            Ok(publish::PublishRequest::Revert(number))
        }
        [file] => Ok(publish::PublishRequest::Publish(Path::new(file).to_path_buf())),
        _ => bail!("publish: name the file of a change, or status, or revert NUMBER"),
    }
}
