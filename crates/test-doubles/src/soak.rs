//! Soak test that runs processes of the program under load, signals and faults. All times and choices are
//! drawn from a seed. The stop time of a server is a fixed time after its drain notice. The protocol permits
//! killing the server at its stop time, but not earlier. Clients send calls until about the stop time, and
//! the harness then kills each server that still runs. The report of [`run`] lists the violated invariants.

mod checks;
mod idle_connections;
mod plan;
mod play;
mod schedule;
mod setup;

pub use checks::{Totals, Violation};
pub use plan::Plan;
pub use play::{SoakReport, run, run_with_faults};
