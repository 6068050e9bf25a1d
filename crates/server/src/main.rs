//! `meadowstream`: a server that takes calls in on real sockets and lets the module decide what becomes
//! of them. See `docs/server.md`.

mod lifecycle;
mod log;
mod memory;
mod wire;

use anyhow::{Context, Result, ensure};
use lifecycle::{configuration::Configuration, start};
use std::ffi::OsStr;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

const HELP: &str = "\
meadowstream: a server with overload control inside

  meadowstream serve [--config FILE]   serve until SIGTERM or SIGINT
  meadowstream check FILE              say whether a configuration can be served
  meadowstream version                 say which version this is

meadowstream COMMAND --help says more. Exit codes: 0 done, 1 failed, 2 wrong usage.
";
const SERVE: &str = "\
meadowstream serve [--config FILE]

Serves until SIGTERM or SIGINT, then answers all that has come and ends. FILE is what $ROUTER_CONFIG
names where it is not given. The log goes to standard error; RUST_LOG=debug says more, and SIGUSR1 adds
the counters to it.
";
const CHECK: &str = "\
meadowstream check FILE

Reads a configuration as serve would and says what it would do, or names the part that cannot be served.
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
    let act: Act = match command {
        Some("serve") => {
            let given: Option<PathBuf> = arguments.opt_value_from_os_str("--config", path)?;
            let file = given.or_else(|| std::env::var_os("ROUTER_CONFIG").map(PathBuf::from));
            let file = file.context("neither --config nor $ROUTER_CONFIG names a configuration")?;
            Box::new(move || serve(&file))
        }
        Some("check") => {
            let file: PathBuf = arguments.free_from_os_str(path)?;
            Box::new(move || check(&file))
        }
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

fn serve(file: &std::path::Path) -> Result<()> {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(|| log::Log).init();
    start::serve(Configuration::load(file)?)
}

fn check(file: &std::path::Path) -> Result<()> {
    let read = Configuration::load(file)?;
    let operations = read.settings.operation_names.join(", ");
    println!("{} would listen on {} for {operations}", read.name, read.listen);
    Ok(())
}
