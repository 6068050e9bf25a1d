//! A soak test: processes of the program under load, signals and faults, with all times and choices drawn
//! from a seed. The protocol permits killing a server at the stop time after its drain notice, and not
//! earlier. Clients send calls until about that time, and the harness then kills each server that still
//! runs. The report of [`run`] lists the violated invariants.

mod checks;
mod idle_connections;
mod plan;
mod play;

pub use checks::{Totals, Violation};
pub use plan::Plan;
pub use play::{SoakReport, run};
