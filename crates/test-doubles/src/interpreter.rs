//! Test double of the interpreter. The interpreter executes runs on simulated cores, which all runs share
//! evenly. The body of a run sets its core time by `work=MICROSECONDS`. The word `calls` in the body makes
//! the run wait for a downstream call after half of its work.

mod link;
mod machine;

pub use machine::RunCounts;

use async_executor::LocalExecutor;
use async_io::Async;
use machine::Machine;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

/// Starts an interpreter on the loopback interface. The interpreter serves one link at a time, on a thread
/// that runs until the process ends. Returns the address of the interpreter and the counts of its runs. Fails
/// if no socket can be bound.
pub fn start(cores: f64) -> std::io::Result<(SocketAddr, Arc<RunCounts>)> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    let counts = Arc::new(RunCounts::default());
    let machine_counts = counts.clone();
    std::thread::spawn(move || {
        let executor = LocalExecutor::new();
        let mut machine = Machine::new(cores, machine_counts);
        async_io::block_on(executor.run(async {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = link::serve(&mut machine, stream).await;
            }
        }));
    });
    Ok((address, counts))
}
