//! Defines upper bounds of measured values and checks whether a report exceeds these bounds.

use super::Report;
use crate::day::IN_FORCE_SECONDS_BOUND;
use crate::scale::BYTES_PER_SECOND_BOUND;

/// Upper bound in microseconds for the latency that a process adds to invocations. The bound applies to the
/// 99th percentile of the latency.
const ADDED_LATENCY_US_BOUND: u64 = 5_100;
/// Upper bound of the time for which an options reload blocks the serving thread, in microseconds.
const PAUSE_US_BOUND: u64 = 1_000;

/// Returns one description for each bound that the report exceeds. The description contains the measured
/// value.
pub(super) fn exceeded(report: &Report) -> Vec<String> {
    let mut exceeded = Vec::new();
    for curve in report.curves.iter().filter(|curve| !curve.is_within_bound()) {
        exceeded.push(format!("{}: {:.1} {}", curve.name, curve.measured, curve.unit));
    }
    for added in &report.added_latencies {
        if added.p99_us > ADDED_LATENCY_US_BOUND {
            exceeded.push(format!("added to 99 in 100 at {} a second: {} us", added.load.rate, added.p99_us));
        }
        if let Some(pause) = added.pause_us.filter(|pause| *pause > PAUSE_US_BOUND) {
            exceeded.push(format!("pause at a change: {pause} us"));
        }
    }
    let p99 = report.day.p99_seconds;
    if p99 > IN_FORCE_SECONDS_BOUND {
        exceeded.push(format!("99 in 100 of changes in force on a server within {p99:.2} s"));
    }
    for incident in report.incidents.iter().filter(|incident| incident.burst_max > BYTES_PER_SECOND_BOUND) {
        let (description, burst) = (&incident.description, incident.burst_max);
        exceeded.push(format!("bytes a second of one server over 10 s after {description}: {burst:.0}"));
    }
    exceeded
}
