//! What the tenants of a rehearsal share.

use super::plan::{RehearsalPlan, TenantGroup};
use crate::group_report::GroupReport;
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::time::Instant;

/// The tenants' load.
pub struct Load {
    pub plan: RehearsalPlan,
    /// A report for each group, of the overload phase alone.
    pub reports: RefCell<Vec<GroupReport>>,
    last_reference: Cell<u64>,
    /// Invocations in flight.
    pub in_flight: Cell<u64>,
    pub began: Instant,
    pub overload_start: Instant,
    pub end: Instant,
    pub executor: &'static LocalExecutor<'static>,
}

impl Load {
    /// A load that begins now.
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

    /// A reference that no call had before.
    pub fn next_reference(&self) -> u64 {
        self.last_reference.set(self.last_reference.get() + 1);
        self.last_reference.get()
    }
}

/// One tenant, by the places of its group and of itself in the group.
#[derive(Clone, Copy)]
pub struct Tenant {
    pub group: usize,
    pub index: usize,
}
