//! The program `meadowstream`: command line, help texts and exit codes.
//!
//! Exit codes: 0 success, 1 failure, 2 wrong usage. This program contains the server, the test doubles and
//! the capacity measurements. No other program links the test doubles or the capacity measurements.
#![deny(missing_docs, clippy::too_many_lines)]

mod arguments;
mod commands;
mod help;
mod log;

use std::process::ExitCode;

const WRONG_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let wants_help = arguments.contains(["-h", "--help"]);
    let name = arguments.subcommand().ok().flatten();
    let help_text = help::help_text(name.as_deref());
    if wants_help || name.as_deref() == Some("help") {
        print!("{help_text}");
        return ExitCode::SUCCESS;
    }
    let command = match arguments::parse(name.as_deref(), arguments) {
        Ok(Some(command)) => command,
        Ok(None) => {
            eprint!("{help_text}");
            return ExitCode::from(WRONG_USAGE);
        }
        Err(error) => {
            eprint!("meadowstream: {error:#}\n\n{help_text}");
            return ExitCode::from(WRONG_USAGE);
        }
    };
    match commands::run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("meadowstream: {error:#}");
            ExitCode::FAILURE
        }
    }
}
