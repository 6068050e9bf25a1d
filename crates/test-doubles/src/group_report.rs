//! What a rehearsal measured for each group of tenants, and its table.

use hdrhistogram::Histogram;
use std::fmt::Write;

/// Invocations of one tenant.
#[derive(Clone, Copy, Debug, Default)]
pub struct TenantCounts {
    /// Invocations sent.
    pub sent: u64,
    /// Invocations that succeeded within the latency objective.
    pub in_time: u64,
}

/// Invocations of one group of tenants, by how they ended.
#[derive(Debug)]
pub struct GroupReport {
    /// The group's name.
    pub name: String,
    /// Number of tenants in the group.
    pub tenants: usize,
    /// Invocations sent, each counted once with its retries.
    pub sent: u64,
    /// Succeeded within the latency objective, counted from the first attempt.
    pub in_time: u64,
    /// Succeeded later than that.
    pub late: u64,
    /// Rejected at the last attempt.
    pub throttled: u64,
    /// Failed.
    pub errored: u64,
    /// Never answered: no connection had capacity, or its connection broke.
    pub unsent: u64,
    /// Retries made with the ticket and at the time that the server advised.
    pub advised_retries: u64,
    /// Those of them that were admitted.
    pub advised_retries_admitted: u64,
    /// Counts by tenant.
    pub by_tenant: Vec<TenantCounts>,
    /// Microseconds from the first attempt of invocations that succeeded.
    pub latency_us: Histogram<u64>,
}

impl GroupReport {
    /// A report of `tenants` tenants without any invocation.
    pub fn new(name: &str, tenants: usize) -> Self {
        Self {
            name: name.to_string(),
            tenants,
            sent: 0,
            in_time: 0,
            late: 0,
            throttled: 0,
            errored: 0,
            unsent: 0,
            advised_retries: 0,
            advised_retries_admitted: 0,
            by_tenant: vec![TenantCounts::default(); tenants],
            latency_us: Histogram::new(3).expect("a histogram takes up to five significant digits"),
        }
    }

    /// Part of the invocations sent that succeeded in time.
    pub fn in_time_ratio(&self) -> f64 {
        self.in_time as f64 / self.sent.max(1) as f64
    }

    /// The same of the tenant with the lowest ratio.
    pub fn lowest_in_time_ratio(&self) -> f64 {
        let senders = self.by_tenant.iter().filter(|tenant| tenant.sent > 0);
        senders.map(|tenant| tenant.in_time as f64 / tenant.sent as f64).fold(1.0, f64::min)
    }

    /// Part of the retries as advised that were admitted; 1 when there were none.
    pub fn advised_retries_admitted_ratio(&self) -> f64 {
        match self.advised_retries {
            0 => 1.0,
            retries => self.advised_retries_admitted as f64 / retries as f64,
        }
    }
}

/// The reports as a table, a line for each group.
pub fn table(reports: &[GroupReport]) -> String {
    let mut out = format!("{:<10}", "group");
    let columns = [
        "tenants",
        "sent",
        "in time",
        "share",
        "worst",
        "throttled",
        "errored",
        "p50 ms",
        "p99 ms",
        "returns",
    ];
    for column in columns {
        let _ = write!(out, " {column:>9}");
    }
    let _ = writeln!(out, " {:>9}", "kept");
    for report in reports {
        let latency_ms = |quantile: f64| report.latency_us.value_at_quantile(quantile) as f64 / 1000.0;
        let _ = write!(out, "{:<10} {:>9}", report.name, report.tenants);
        let _ = write!(out, " {:>9} {:>9}", report.sent, report.in_time);
        let _ = write!(out, " {:>9.3} {:>9.3}", report.in_time_ratio(), report.lowest_in_time_ratio());
        let _ = write!(out, " {:>9} {:>9}", report.throttled, report.errored);
        let _ = write!(out, " {:>9.1} {:>9.1}", latency_ms(0.5), latency_ms(0.99));
        let _ =
            writeln!(out, " {:>9} {:>9.3}", report.advised_retries, report.advised_retries_admitted_ratio());
    }
    out
}
