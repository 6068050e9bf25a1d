//! A rehearsal with many tenants: the program is started among test doubles, tenants send as their groups
//! state, first at the baseline and then in overload, and at last the program is stopped. It ends by itself
//! in the stated time.

mod arrivals;
mod invocation;
mod load;
mod plan;
mod play;
mod server_process;

pub use plan::{RehearsalPlan, SharedDependency, TenantGroup, overload_plan, slow_dependency_plan};
pub use play::{RehearsalReport, run};
