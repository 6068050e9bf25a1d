//! What a night has brought, by group, and as a table.

use hdrhistogram::Histogram;
use std::fmt::Write;

#[derive(Debug)]
pub struct Tally {
    pub name: String,
    pub tenants: usize,
    pub sent: u64,
    /// Succeeded within the latency objective, counted from the first try.
    pub in_time: u64,
    pub late: u64,
    pub throttled: u64,
    pub errored: u64,
    /// No connection had room, or the one it went out on broke: never answered.
    pub unsent: u64,
    /// Came back as advised with a promise, and those let in.
    pub returns: u64,
    pub kept: u64,
    /// Invocations sent and in time, by tenant.
    pub each: Vec<(u64, u64)>,
    /// Microseconds of those that succeeded.
    pub latency: Histogram<u64>,
}

impl Tally {
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
            returns: 0,
            kept: 0,
            each: vec![(0, 0); tenants],
            latency: Histogram::new(3).expect("three digits are allowed"),
        }
    }

    /// Part of what was sent that succeeded in time.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.sent.max(1) as f64
    }

    /// The same of the tenant that did worst.
    pub fn worst(&self) -> f64 {
        let shares = self.each.iter().filter(|(sent, _)| *sent > 0);
        shares.map(|(sent, good)| *good as f64 / *sent as f64).fold(1.0, f64::min)
    }

    /// Part of the returns as advised that were let in.
    pub fn advice_kept(&self) -> f64 {
        if self.returns > 0 { self.kept as f64 / self.returns as f64 } else { 1.0 }
    }
}

pub fn table(tallies: &[Tally]) -> String {
    let mut out = String::new();
    let head =
        ["group", "tenants", "sent", "in time", "share", "worst", "throttled", "errored", "p50 ms", "p99 ms"];
    let _ = write!(out, "{:<10}", head[0]);
    head[1..].iter().for_each(|word| {
        let _ = write!(out, " {word:>9}");
    });
    let _ = writeln!(out, " {:>9} {:>9}", "returns", "kept");
    for t in tallies {
        let ms = |q: f64| t.latency.value_at_quantile(q) as f64 / 1000.0;
        let _ = write!(out, "{:<10} {:>9} {:>9} {:>9}", t.name, t.tenants, t.sent, t.in_time);
        let _ = write!(out, " {:>9.3} {:>9.3} {:>9} {:>9}", t.share(), t.worst(), t.throttled, t.errored);
        let _ = write!(out, " {:>9.1} {:>9.1} {:>9}", ms(0.5), ms(0.99), t.returns);
        let _ = writeln!(out, " {:>9.3}", t.advice_kept());
    }
    out
}
