//! State that all tenants of a rehearsal share.

use super::plan::{RehearsalPlan, TenantGroup};
use crate::group_report::GroupReport;
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::time::Instant;

/// State of the load that all tenants of a rehearsal send together.
pub struct Load {
    pub plan: RehearsalPlan,
    /// Report of each group of tenants. It covers the overload phase only.
    pub reports: RefCell<Vec<GroupReport>>,
    last_reference: Cell<u64>,
    /// Number of invocations of all tenants that are in flight.
    pub in_flight: Cell<u64>,
    pub began: Instant,
    pub overload_start: Instant,
    pub end: Instant,
    pub executor: &'static LocalExecutor<'static>,
}

impl Load {
    /// Creates a load that begins immediately.
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

    /// Returns a new unique reference for a call.
    pub fn next_reference(&self) -> u64 {
        self.last_reference.set(self.last_reference.get() + 1);
        self.last_reference.get()
    }
}

/// A tenant, identified by the index of its group and its index in the group.
#[derive(Clone, Copy)]
pub struct Tenant {
    pub group: usize,
    pub index: usize,
}
