//! Rehearsal with many tenants. The rehearsal starts the program with the test doubles, sends the load of
//! each group of tenants, and stops the program. The load has a baseline phase and then an overload phase.
//! The plan sets the duration of each phase.

mod arrivals;
mod invocation;
mod load;
mod plan;
mod play;
mod server_process;

pub use plan::{RehearsalPlan, SharedDependency, TenantGroup, overload_plan, slow_dependency_plan};
pub use play::{RehearsalReport, run};
