//! `meadowstream`: the command line, its help pages and exit codes.
//!
//! Exit codes: 0 done, 1 failed, 2 wrong usage. This program alone links the test doubles and the capacity
//! measurements beside the server.
#![deny(missing_docs, clippy::too_many_lines)]

mod arguments;
mod commands;
mod help;
mod log;

use std::process::ExitCode;

const WRONG_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut words = pico_args::Arguments::from_env();
    let wants_help = words.contains(["-h", "--help"]);
    let name = words.subcommand().ok().flatten();
    let page = help::page(name.as_deref());
    if wants_help || name.as_deref() == Some("help") {
        print!("{page}");
        return ExitCode::SUCCESS;
    }
    let command = match arguments::parse(name.as_deref(), words) {
        Ok(Some(command)) => command,
        Ok(None) => {
            eprint!("{page}");
            return ExitCode::from(WRONG_USAGE);
        }
        Err(error) => {
            eprint!("meadowstream: {error:#}\n\n{page}");
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
