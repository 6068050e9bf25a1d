//! `meadowstream fleet capacity`: the scale model and the real processes beside it, from the command line.

use anyhow::{Context, Result, ensure};
use meadowstream_capacity::report::{self, Options, SERVERS_LEAST, SERVERS_MOST};
use std::ffi::OsStr;
use std::path::PathBuf;

/// Servers of the model where the command line names none.
const SERVERS: usize = 690;

/// What the command line asks for.
pub struct Given {
    options: Options,
    json: Option<PathBuf>,
}

/// Reads the arguments; an error says what is allowed.
pub fn read(arguments: &mut pico_args::Arguments) -> Result<Given> {
    let path = |text: &OsStr| Ok::<_, std::convert::Infallible>(PathBuf::from(text));
    let json = arguments.opt_value_from_os_str("--json", path)?;
    let quick = arguments.contains("--quick");
    let seed =
        arguments.opt_value_from_str("--seed").context("--seed: a whole number from 0 up")?.unwrap_or(1);
    let allowed = format!("--servers: a whole number within {SERVERS_LEAST} and {SERVERS_MOST}");
    let servers = arguments.opt_value_from_str("--servers").context(allowed.clone())?.unwrap_or(SERVERS);
    ensure!((SERVERS_LEAST..=SERVERS_MOST).contains(&servers), "{allowed}, not {servers}");
    Ok(Given { options: Options { servers, seed, quick }, json })
}

/// Prints the table; an error where a bound was passed.
pub fn run(given: &Given) -> Result<()> {
    let program = std::env::current_exe().context("cannot find this program")?;
    let report = report::run(&program, given.options, |line| println!("{line}"))?;
    println!("\n{}", report.table());
    if let Some(path) = &given.json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))?;
    }
    let passed = report.passed.len();
    ensure!(passed == 0, "{passed} bounds were passed");
    Ok(())
}
