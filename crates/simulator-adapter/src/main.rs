//! `meadowstream-simulator-adapter`: connects the overload controllers of simulated servers to a simulator.
//! The program reads events from standard input, and writes the resulting actions to standard output. Each
//! simulated server has its own controller. The adapter itself makes no decisions.

#![deny(missing_docs, clippy::too_many_lines)]

mod codec;
mod instances;

use anyhow::{Context, Result};
use codec::{Batch, Reply};
use instances::Instances;
use std::io::{Read, Write};
use std::process::ExitCode;

/// Handles batches of events until the end of the input. Writes one reply for each batch.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<()> {
    let (mut instances, mut batch, mut reply) = (Instances::default(), Batch::default(), Reply::default());
    let mut frame = Vec::new();
    for number in 0u64.. {
        if !batch.read(input).with_context(|| format!("batch {number}"))? {
            break;
        }
        instances.handle_batch(&batch, &mut reply).with_context(|| format!("batch {number}"))?;
        reply.finish(&mut frame);
        output.write_all(&frame).and_then(|()| output.flush()).context("writing a reply")?;
    }
    Ok(())
}

/// Runs the adapter until the end of the input. After an error, prints a message to standard error and exits
/// with a failure code.
fn main() -> ExitCode {
    match serve(&mut std::io::stdin().lock(), &mut std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("meadowstream-simulator-adapter: {error:#}");
            ExitCode::FAILURE
        }
    }
}
