//! `meadowstream-simulator-adapter`: runs one isolated controller for each simulated server, on standard
//! input and output. It decides nothing.

#![deny(missing_docs, clippy::too_many_lines)]

mod codec;
mod instances;

use anyhow::{Context, Result};
use codec::{Batch, Reply};
use instances::Instances;
use std::io::{Read, Write};
use std::process::ExitCode;

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

fn main() -> ExitCode {
    match serve(&mut std::io::stdin().lock(), &mut std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("meadowstream-simulator-adapter: {error:#}");
            ExitCode::FAILURE
        }
    }
}
