//! A soak test: processes of the program under load, signals and faults, with all times and choices drawn
//! from a seed. A server that has not exited by itself is killed at the earliest time that the protocol
//! allows: the stop time after its drain notice. The report of [`run`] lists the violated invariants.

mod checks;
mod idle_connections;
mod plan;
mod play;

pub use checks::{Totals, Violation};
pub use plan::Plan;
pub use play::{SoakReport, run};
