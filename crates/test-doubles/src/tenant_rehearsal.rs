//! A rehearsal with many tenants: starts the program among test doubles, sends the load of each group of
//! tenants, first at the baseline rate and then in overload, and stops the program. The duration is bounded
//! by the plan.

mod arrivals;
mod invocation;
mod load;
mod plan;
mod play;
mod server_process;

pub use plan::{RehearsalPlan, SharedDependency, TenantGroup, overload_plan, slow_dependency_plan};
pub use play::{RehearsalReport, run};
