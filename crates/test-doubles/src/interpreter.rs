//! Test double of the interpreter. The interpreter executes runs on simulated cores, which all runs share
//! evenly. The body of a run sets its core time by `work=MICROSECONDS`. The word `calls` in the body makes
//! the run wait for a downstream call after half of its work.

mod core_load;
mod faults;
mod link;
mod machine;

pub use core_load::Survivable;
pub use faults::InterpreterFaults;
pub use machine::RunCounts;

use async_executor::LocalExecutor;
use async_io::Async;
use machine::Machine;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

/// Interpreter that was started by [`start`] or [`start_with`].
#[derive(Clone)]
pub struct Interpreter {
    /// Address at which the interpreter accepts the link of its server.
    pub address: SocketAddr,
    /// Counts of the runs.
    pub counts: Arc<RunCounts>,
    /// Faults that a test can switch on and off.
    pub faults: Arc<InterpreterFaults>,
}

/// Starts an interpreter on the loopback interface. The interpreter serves one link at a time, on a thread
/// that runs until the process ends. Returns the address of the interpreter and the counts of its runs. Fails
/// if no socket can be bound.
pub fn start(cores: f64) -> std::io::Result<(SocketAddr, Arc<RunCounts>)> {
    let Interpreter { address, counts, .. } = start_with(cores, Survivable::default())?;
    Ok((address, counts))
}

/// Starts an interpreter like [`start`]. `survivable` states how many runs on the cores the machine survives.
pub fn start_with(cores: f64, survivable: Survivable) -> std::io::Result<Interpreter> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    let interpreter = Interpreter { address, counts: Arc::default(), faults: Arc::default() };
    let Interpreter { counts, faults, .. } = interpreter.clone();
    std::thread::spawn(move || {
        let executor = LocalExecutor::new();
        let mut machine = Machine::new(cores, survivable, counts, faults);
        async_io::block_on(executor.run(async {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = link::serve(&mut machine, stream).await;
            }
        }));
    });
    Ok(interpreter)
}
