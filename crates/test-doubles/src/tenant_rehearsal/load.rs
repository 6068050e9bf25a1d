//! State that is shared by all tenants of a rehearsal.

use super::plan::{RehearsalPlan, TenantGroup};
use crate::group_report::GroupReport;
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::time::Instant;

/// State of the load in a rehearsal. All tenants share this state.
pub struct Load {
    pub plan: RehearsalPlan,
    /// Reports of the groups of tenants, by group index. The reports cover only the overload phase.
    pub reports: RefCell<Vec<GroupReport>>,
    last_reference: Cell<u64>,
    /// Number of invocations in flight, over all tenants.
    pub in_flight: Cell<u64>,
    pub began: Instant,
    pub overload_start: Instant,
    pub end: Instant,
    pub executor: &'static LocalExecutor<'static>,
}

impl Load {
    /// Creates the state of a load whose baseline phase begins immediately.
    pub fn new(plan: RehearsalPlan, executor: &'static LocalExecutor<'static>) -> Self {
        let began = Instant::now();
        let overload_start = began + plan.baseline;
        let report = |group: &TenantGroup| GroupReport::new(group.name, group.tenants);
        Self {
            reports: RefCell::new(plan.groups.iter().map(report).collect()),
            last_reference: Cell::new(plan.seed << 32),
            in_flight: Cell::new(0),
            began,
            overload_start,
            end: overload_start + plan.overload,
            executor,
            plan,
        }
    }

    /// Returns a new reference, which identifies one call uniquely.
    pub fn next_reference(&self) -> u64 {
        self.last_reference.set(self.last_reference.get() + 1);
        self.last_reference.get()
    }
}

/// Tenant of a rehearsal, identified by the index of its group and its index in the group.
#[derive(Clone, Copy)]
pub struct Tenant {
    pub group: usize,
    pub index: usize,
}
