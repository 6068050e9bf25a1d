//! Turns the words of the command line into a [`Command`].

use anyhow::{Context, Result, bail, ensure};
use meadowstream_capacity::report::{Options as CapacityOptions, SERVERS_LEAST, SERVERS_MOST};
use meadowstream_server::fleet::{coordinator, publish};
use pico_args::Arguments;
use std::convert::Infallible;
use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Names the platform's file where `--config` does not.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// Servers of the scale model where the command line names none.
const CAPACITY_SERVERS: usize = 690;
/// How long a rollout waits for its lease where the command line does not say.
const ROLLOUT_WAIT_S: u64 = 120;

/// What the command line asks for.
pub enum Command {
    /// Serve until a signal to stop.
    Serve {
        /// The platform's file.
        config: PathBuf,
        /// This project's own settings.
        options: Option<PathBuf>,
        /// The form of log lines.
        log: LogFormat,
    },
    /// Say whether a configuration can be served.
    Check {
        /// The platform's file.
        config: PathBuf,
        /// This project's own settings.
        options: Option<PathBuf>,
    },
    /// Play many tenants against this program on loopback.
    Rehearse {
        /// Light tenants beside the one that floods.
        tenants: usize,
        /// Length of the play.
        seconds: u64,
        /// Whether the program's log of quotas is shown.
        shows_log: bool,
    },
    /// Play faults between processes of this program.
    FleetRehearse {
        /// Processes to start.
        servers: usize,
    },
    /// Measure what a large fleet costs each server.
    FleetCapacity {
        /// Size, seed and length of the measurement.
        options: CapacityOptions,
        /// Where the report is written, too.
        json: Option<PathBuf>,
    },
    /// Bring a change to the fleet in stages.
    Rollout(coordinator::RolloutArguments),
    /// Say how far a rollout is.
    RolloutStatus {
        /// The coordinator's state file.
        state: PathBuf,
    },
    /// Ask the coordinator of a rollout to roll back.
    RolloutAbort {
        /// The coordinator's state file.
        state: PathBuf,
    },
    /// Keep the fleet's configuration with other control machines.
    Control {
        /// This project's own settings.
        options: PathBuf,
        /// The form of log lines.
        log: LogFormat,
    },
    /// Publish a change, revert one, or say who has the newest.
    Publish(publish::PublishArguments),
    /// Print the version.
    Version,
}

/// The form of log lines.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text.
    Text,
    /// One JSON object a line.
    Json,
}

fn path(text: &OsStr) -> std::result::Result<PathBuf, Infallible> {
    Ok(PathBuf::from(text))
}

/// The command, or `None` where the words name none. An error says what is wrong with its arguments.
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
    let rest = arguments.finish();
    ensure!(rest.is_empty(), "not understood: {rest:?}");
    Ok(Some(parsed))
}

fn parse_serve(arguments: &mut Arguments) -> Result<Command> {
    let options = arguments.opt_value_from_os_str("--options", path)?;
    let given = arguments.opt_value_from_os_str("--config", path)?;
    let config = given.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
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
        arguments.opt_value_from_str("--seed").context("--seed: a whole number from 0 up")?;
    let allowed = format!("--servers: a whole number within {SERVERS_LEAST} and {SERVERS_MOST}");
    let servers: Option<usize> = arguments.opt_value_from_str("--servers").context(allowed.clone())?;
    let servers = servers.unwrap_or(CAPACITY_SERVERS);
    ensure!((SERVERS_LEAST..=SERVERS_MOST).contains(&servers), "{allowed}, not {servers}");
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

/// `CHANGE`, `revert NUMBER` or `status`.
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
