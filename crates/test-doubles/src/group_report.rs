//! Measurements of a rehearsal for each group of tenants, and their output as a table.

use hdrhistogram::Histogram;
use std::fmt::Write;

/// Counts of the invocations of one tenant.
#[derive(Clone, Copy, Debug, Default)]
pub struct TenantCounts {
    /// Number of invocations that the tenant sent. An invocation and its retries count once.
    pub sent: u64,
    /// Number of the tenant's invocations that succeeded within the latency objective.
    pub in_time: u64,
}

/// Counts of the invocations that one group of tenants sent, by result.
#[derive(Debug)]
pub struct GroupReport {
    /// Name of the group.
    pub name: String,
    /// Number of tenants in the group.
    pub tenants: usize,
    /// Number of invocations that the group sent. An invocation and its retries count once.
    pub sent: u64,
    /// Number of invocations that succeeded within the latency objective. The latency starts with the first
    /// attempt.
    pub in_time: u64,
    /// Number of invocations that succeeded, but took longer than the latency objective.
    pub late: u64,
    /// Number of invocations whose last attempt was rejected.
    pub throttled: u64,
    /// Number of invocations that failed.
    pub errored: u64,
    /// Number of invocations without a reply. Either no connection had capacity, or the connection broke.
    pub unsent: u64,
    /// Number of retries that followed the server's advice and got a reply. Such a retry carries the ticket
    /// from the rejection and is sent after the advised time.
    pub advised_retries: u64,
    /// Number of the `advised_retries` that the server admitted.
    pub advised_retries_admitted: u64,
    /// Counts of the invocations of each tenant. The index in the list is the index of the tenant in the
    /// group.
    pub by_tenant: Vec<TenantCounts>,
    /// Latency of successful invocations in microseconds. The latency starts with the first attempt.
    pub latency_us: Histogram<u64>,
}

impl GroupReport {
    /// Creates an empty report for a group of `tenants` tenants.
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

    /// Returns the share of the group's invocations that succeeded within the latency objective.
    pub fn in_time_ratio(&self) -> f64 {
        self.in_time as f64 / self.sent.max(1) as f64
    }

    /// Calculates, for each tenant of the group, the share of invocations that succeeded within the latency
    /// objective. Returns the lowest of these shares. Tenants that have sent no invocations are left out.
    pub fn lowest_in_time_ratio(&self) -> f64 {
        let senders = self.by_tenant.iter().filter(|tenant| tenant.sent > 0);
        senders.map(|tenant| tenant.in_time as f64 / tenant.sent as f64).fold(1.0, f64::min)
    }

    /// Returns the share of the advised retries that the server admitted; 1 if there were no advised retries.
    pub fn advised_retries_admitted_ratio(&self) -> f64 {
        match self.advised_retries {
            0 => 1.0,
            retries => self.advised_retries_admitted as f64 / retries as f64,
        }
    }
}

/// Formats the reports as a table with one line for each group.
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
