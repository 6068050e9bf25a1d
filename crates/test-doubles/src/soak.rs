//! A soak: processes of the program under load and signals, every moment and choice drawn from a seed.
//! Clients go on until the kill, which comes at the earliest moment that the protocol allows: the time to
//! stop after the notice to leave. [`run`] returns the rules that were broken.

mod checks;
mod idle_connections;
mod plan;
mod play;

pub use checks::{Totals, Violation};
pub use plan::Plan;
pub use play::{SoakReport, run};
