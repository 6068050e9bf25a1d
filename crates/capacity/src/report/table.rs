//! Formats a [`Report`] as text.

use super::Report;
use crate::added_latency::AddedLatency;
use crate::day::Day;
use crate::fit::Curve;
use crate::incidents::Incident;

/// Width of the table's first column in characters. The column contains the names of the measurements.
const NAME_WIDTH: usize = 60;

impl Report {
    /// Formats the report as text: a table of the curves, then one paragraph for each other group of results.
    pub fn table(&self) -> String {
        let mut lines = vec![format!(
            "{:<NAME_WIDTH$} {:>14} {:>22} {:>13} {:>13} {:>11}",
            "what", "unit", "slope +- error", "predicted", "measured", "bound"
        )];
        lines.extend(self.curves.iter().map(curve_row));
        lines.push(String::new());
        lines.extend(self.added_latencies.iter().map(added_latency_line));
        lines.push(String::new());
        lines.push(self.process_fleet_line());
        lines.push(String::new());
        lines.extend(self.incidents.iter().map(incident_line));
        lines.push(String::new());
        lines.extend(day_lines(&self.day));
        lines.push(String::new());
        match self.exceeded_bounds.is_empty() {
            true => lines.push("every bound holds".to_string()),
            false => lines.extend(self.exceeded_bounds.iter().map(|bound| format!("BOUND PASSED  {bound}"))),
        }
        lines.join("\n")
    }

    fn process_fleet_line(&self) -> String {
        let (real, model) = (&self.process_fleet, &self.process_fleet_model);
        format!(
            "{} processes: {:.2} MB resident (alone {:.2}; the model's part {:.2}), {:.3}% of a core \
             (alone {:.3}; the model's part {:.3}), \
             {:.0} bytes a second (model {:.0})",
            real.processes,
            real.resident_bytes / 1e6,
            real.resident_bytes_alone / 1e6,
            self.process_fleet_model_memory_bytes / 1e6,
            real.processor_percent,
            real.processor_percent_alone,
            model.processor(),
            real.bytes_per_second,
            model.bytes()
        )
    }
}

fn curve_row(curve: &Curve) -> String {
    let slope =
        curve.line.map_or("-".to_string(), |line| format!("{:.4} +- {:.4}", line.slope, line.slope_error));
    let bound = curve.bound.map_or("-".to_string(), |bound| format!("{bound:.1}"));
    let size = curve.points.last().map_or(0.0, |point| point.size);
    let name = format!("{} ({size:.0} {}s)", curve.name, curve.per);
    format!(
        "{name:<NAME_WIDTH$} {:>14} {slope:>22} {:>13.3} {:>13.3} {bound:>11}",
        curve.unit, curve.predicted, curve.measured
    )
}

fn added_latency_line(added: &AddedLatency) -> String {
    let AddedLatency { load, sent, succeeded, p50_us, p99_us, max_us, timer_p99_us, .. } = added;
    let (resident_mb, processor) = (added.resident_bytes as f64 / 1e6, added.processor_percent);
    let pause = added.pause_us.map_or("-".to_string(), |pause| format!("{pause} us"));
    format!(
        "{} tenants, {} routes, {} a second: {succeeded} of {sent} succeeded, added p50 {p50_us} us, \
         p99 {p99_us} us, most {max_us} us (timers of the load late by {timer_p99_us} us, p99); \
         {resident_mb:.1} MB, {processor:.1}% of a core; \
         {} changes, longest pause {pause}",
        load.tenants, load.routes, load.rate, load.changes
    )
}

fn day_lines(day: &Day) -> Vec<String> {
    let scale = &day.scale;
    let mut lines = vec![
        format!(
            "{} servers, a day of {} s: {} changes ({} found no publisher), {} restarts and failures; \
             a region apart \
             for {} s, a zone {} s, all control machines {} s",
            scale.servers,
            scale.day_seconds,
            day.changes,
            day.not_published,
            day.restarts,
            scale.region_cut_seconds,
            scale.zone_cut_seconds,
            scale.control_down_seconds
        ),
        format!(
            "in force on a server after p50 {:.2} s, p99 {:.2} s, worst {:.2} s; everywhere \
             after p50 {:.2} s, p99 {:.2} s",
            day.p50_seconds,
            day.p99_seconds,
            day.max_seconds,
            day.everywhere_p50_seconds,
            day.everywhere_p99_seconds
        ),
        format!(
            "{} returns had the newest after {:.2} s at the worst, with an empty disk {:.2} s; {:.0} bytes \
             a second a \
             server, {:.0} the publisher, {:.4}% of a core",
            day.returns,
            day.catch_up_max_seconds,
            day.empty_disk_catch_up_max_seconds,
            day.bytes_per_second,
            day.leader_bytes_per_second,
            day.processor_percent
        ),
    ];
    lines.extend(day.slowest.iter().take(3).map(|change| format!("  slowest: {change}")));
    lines
}

fn incident_line(incident: &Incident) -> String {
    let span = |span: Option<f64>| span.map_or("none in time".to_string(), |span| format!("{span:.2} s"));
    let mut line = format!(
        "{} servers, {}: one view of the rest {}, of all after the return {}; {} restarts, \
         burst {:.0} bytes a second (membership {:.0}, shared state {:.0}, replication {:.0}), \
         of one server {:.0} at the most over 10 s",
        incident.servers,
        incident.description,
        span(incident.convergence_after_loss),
        span(incident.convergence_after_return),
        incident.restarts,
        incident.burst.bytes(),
        incident.burst.membership_bytes,
        incident.burst.shared_state_bytes,
        incident.burst.replication_bytes,
        incident.burst_max
    );
    if let Some(joined) = incident.joined_meanwhile {
        line.push_str(&format!("; {joined} of those restarted had found the fleet meanwhile"));
    }
    if let Some(leases) = incident.leases_in_cut {
        line.push_str(&format!("; {leases} servers cut off held a lease at the end"));
    }
    line
}
