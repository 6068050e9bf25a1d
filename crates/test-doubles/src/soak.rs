//! A soak: processes of the program under load and signals, every moment and choice drawn from a seed. Clients
//! go on until the kill, which comes at the earliest moment that the protocol allows: the time to stop after
//! the notice to leave. What is checked holds whatever the machine's load; [`play`] returns what was broken.

mod checks;
mod crowd;
mod plan;
mod play;

pub use checks::{Breach, Totals};
pub use plan::Plan;
pub use play::{Outcome, play};
