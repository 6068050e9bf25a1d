//! `meadowstream`: a server that takes calls in on real sockets and lets the module decide what becomes
//! of them. See `docs/server.md`.

mod lifecycle;
mod memory;
mod wire;

use anyhow::{Context, Result, bail};
use lifecycle::{configuration::Configuration, start};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

const HELP: &str = "\
meadowstream: a server with overload control inside

  meadowstream serve [--config FILE]   serve until SIGTERM or SIGINT; FILE is $ROUTER_CONFIG if not given
  meadowstream check FILE              say whether a configuration can be served
  meadowstream version                 say which version this is

SIGUSR1 prints the counters. RUST_LOG=debug says more. Exit codes: 0 done, 1 failed, 2 wrong usage.
";

fn main() -> ExitCode {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(std::io::stderr).init();
    let mut arguments = pico_args::Arguments::from_env();
    let help = arguments.contains(["-h", "--help"]);
    let command = match arguments.subcommand() {
        Ok(command) if help || command.as_deref() == Some("help") => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Ok(Some(command)) => command,
        _ => {
            eprint!("{HELP}");
            return ExitCode::from(2);
        }
    };
    match obey(&command, arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("meadowstream: {error:#}");
            ExitCode::from(if error.is::<pico_args::Error>() { 2 } else { 1 })
        }
    }
}

fn obey(command: &str, mut arguments: pico_args::Arguments) -> Result<()> {
    let path = |text: &std::ffi::OsStr| Ok::<_, std::convert::Infallible>(PathBuf::from(text));
    match command {
        "serve" => {
            let given: Option<PathBuf> = arguments.opt_value_from_os_str("--config", path)?;
            let file = given.or_else(|| std::env::var_os("ROUTER_CONFIG").map(PathBuf::from));
            let file = file.context("neither --config nor $ROUTER_CONFIG names a configuration")?;
            start::serve(Configuration::load(&file)?)
        }
        "check" => {
            let file: PathBuf = arguments.free_from_os_str(path)?;
            let read = Configuration::load(&file)?;
            println!("{}: {} would listen on {}", file.display(), read.name, read.listen);
            Ok(())
        }
        "version" => {
            println!("meadowstream {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        other => bail!("unknown command {other:?}; see meadowstream --help"),
    }
}
