//! All measurements of one run of `meadowstream fleet capacity`, as a table and as JSON.

use crate::day::{self, Day};
use crate::fit::Curve;
use crate::model::{self, Incident, PerServer, Scale};
use crate::real::{self, Added, Dozens, Load};
use crate::tenants;
use anyhow::{Result, anyhow};
use serde::Serialize;
use std::path::Path;
use std::time::Instant;

/// The stated size: bounds on an invocation's added time, in microseconds, and on the pause at a change.
pub const ADDED_BOUND: u64 = 5_100;
pub const PAUSE_BOUND: u64 = 1_000;
/// Largest fleet of a model, and smallest: five sizes down to a sixteenth have to hold the control machines.
pub const SERVERS_LEAST: usize = 80;
pub const SERVERS_MOST: usize = 2_000;
const TENANTS: usize = 64_000;
const ROUTES: usize = 6_200;
/// Of one server: 190,000 over 690, and the same with a region of three gone.
const RATES: [f64; 2] = [275.0, 413.0];
/// Sizes at which the time that counts take to settle is measured at the most; it grows with the square.
const COUNTS_LIMIT_SECONDS: u64 = 900;

/// How much of it all is played.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub servers: usize,
    pub seed: u64,
    pub quick: bool,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub servers: usize,
    pub seed: u64,
    pub quick: bool,
    pub curves: Vec<Curve>,
    pub incidents: Vec<Incident>,
    pub day: Day,
    pub added: Vec<Added>,
    pub dozens: Dozens,
    /// The model of as many servers as there were processes, with nothing to count.
    pub dozens_model: PerServer,
    pub dozens_model_memory: f64,
    /// Bounds that were passed.
    pub passed: Vec<String>,
}

fn refused(fault: String) -> anyhow::Error {
    anyhow!("the model refuses its settings: {fault}")
}

/// Plays all of it; `progress` hears a line at each step.
pub fn run(program: &Path, options: Options, progress: impl Fn(&str) + Sync) -> Result<Report> {
    let began = Instant::now();
    let say = |what: &str| progress(&format!("{:7.1} s  {what}", began.elapsed().as_secs_f64()));
    let scale = match options.quick {
        true => Scale::quick(options.servers, options.seed),
        false => Scale::full(options.servers, options.seed),
    };
    let mut curves = at_rest(&scale, &say)?;
    curves.push(counts(&scale, options.quick, &say)?);
    let sizes: Vec<_> = tenants::SIZES.iter().map(|size| tenants::measure(*size)).collect();
    curves.extend(tenants::curves(&sizes));
    say("tenants measured");
    let added = added(program, options.quick, &say)?;
    let counts: &[usize] = if options.quick { &[500, 1000, 2000] } else { &[2000, 4000, 8200] };
    curves.push(real::connections(program, counts)?);
    say("connections measured");
    let (processes, seconds) = if options.quick { (12, 11) } else { (30, 41) };
    let dozens = real::dozens(program, processes, seconds)?;
    let alone = model::idle(processes, &scale).map_err(refused)?;
    say(&format!("{processes} processes measured"));
    let (incidents, day) = incidents(&scale, options.quick, &say)?;
    let passed = passed(&curves, &added, &incidents, &day);
    Ok(Report {
        servers: options.servers,
        seed: options.seed,
        quick: options.quick,
        curves,
        incidents,
        day,
        added,
        dozens,
        dozens_model: alone.costs,
        dozens_model_memory: alone.memory,
        passed,
    })
}

fn at_rest(scale: &Scale, say: &dyn Fn(&str)) -> Result<Vec<Curve>> {
    let mut rests = Vec::new();
    for size in scale.sizes() {
        rests.push(model::at_rest(size, scale).map_err(refused)?);
        say(&format!("{size} servers at rest"));
    }
    Ok(model::rest_curves(&rests))
}

/// A quick run leaves the largest size out.
fn counts(scale: &Scale, quick: bool, say: &dyn Fn(&str)) -> Result<Curve> {
    let mut points = Vec::new();
    let mut sizes = scale.sizes();
    if quick {
        sizes.pop();
    }
    for size in sizes {
        let took = model::counts_settle(size, scale, COUNTS_LIMIT_SECONDS).map_err(refused)?;
        points.push((size as f64, took.unwrap_or(f64::INFINITY)));
        say(&format!("counts of {size} servers settled"));
    }
    Ok(Curve::new("until all totals are exact", "s", "server", points, None))
}

fn added(program: &Path, quick: bool, say: &dyn Fn(&str)) -> Result<Vec<Added>> {
    let (seconds, changes) = if quick { (8, 2) } else { (30, 5) };
    let mut all = Vec::new();
    let base = Load { tenants: 1, routes: 2, rate: RATES[0], seconds, changes: 0 };
    let loaded = RATES.map(|rate| Load { tenants: TENANTS, routes: ROUTES, rate, seconds, changes });
    for load in [base].into_iter().chain(loaded) {
        all.push(real::added(program, load)?);
        say(&format!("{} tenants and {} routes at {} a second", load.tenants, load.routes, load.rate));
    }
    Ok(all)
}

type PlayIncident = fn(&Scale) -> Result<Incident, String>;

/// Incidents and the day side by side, each on a thread of its own. A quick run plays them at a quarter of
/// the size; the whole plays a region's hour at a quarter of it, and 300 s at all of it.
fn incidents(scale: &Scale, quick: bool, say: &(dyn Fn(&str) + Sync)) -> Result<(Vec<Incident>, Day)> {
    let small = |parts: usize| Scale { servers: scale.servers / parts, ..*scale };
    let scale = if quick { small(4) } else { *scale };
    let hour = if quick { scale } else { small(4) };
    let minutes = Scale { region_apart: scale.region_apart.min(300), ..scale };
    let mut plays: Vec<(PlayIncident, Scale)> = vec![
        (model::rack_lost, scale),
        (model::zone_away, scale),
        (model::control_away, scale),
        (model::region_apart, hour),
    ];
    if !quick {
        plays.push((model::region_apart, minutes));
    }
    let of_day = match quick {
        true => day::Scale::quick(scale.servers, scale.seed),
        false => day::Scale::full(scale.servers, scale.seed),
    };
    std::thread::scope(|scope| {
        let day = scope.spawn(move || day::play(&of_day, &|what| say(what)));
        let play = |(play, scale): (PlayIncident, Scale)| {
            scope.spawn(move || {
                let incident = play(&scale);
                incident.iter().for_each(|incident| say(&incident.what));
                incident
            })
        };
        let running: Vec<_> = plays.into_iter().map(play).collect();
        let incidents = running.into_iter().map(|one| one.join().expect("a model panicked").map_err(refused));
        let incidents = incidents.collect::<Result<_>>()?;
        Ok((incidents, day.join().expect("a model panicked")))
    })
}

fn passed(curves: &[Curve], added: &[Added], incidents: &[Incident], day: &Day) -> Vec<String> {
    let mut passed: Vec<String> = Vec::new();
    for curve in curves.iter().filter(|curve| !curve.is_within_bound()) {
        passed.push(format!("{}: {:.1} {}", curve.name, curve.measured, curve.unit));
    }
    for one in added {
        if one.p99 > ADDED_BOUND {
            passed.push(format!("added to 99 in 100 at {} a second: {} us", one.load.rate, one.p99));
        }
        if one.pause.is_some_and(|pause| pause > PAUSE_BOUND) {
            passed.push(format!("pause at a change: {} us", one.pause.unwrap_or(0)));
        }
    }
    if day.p99 > day::IN_FORCE_BOUND {
        passed.push(format!("99 in 100 of changes in force on a server within {:.2} s", day.p99));
    }
    for one in incidents.iter().filter(|one| one.burst_most > model::BYTES_BOUND) {
        passed.push(format!(
            "bytes a second of one server over 10 s after {}: {:.0}",
            one.what, one.burst_most
        ));
    }
    passed
}

impl Report {
    /// The table, as text.
    pub fn table(&self) -> String {
        let mut lines = vec![format!(
            "{:<38} {:>14} {:>22} {:>13} {:>13} {:>11}",
            "what", "unit", "slope +- error", "predicted", "measured", "bound"
        )];
        lines.extend(self.curves.iter().map(row));
        lines.push(String::new());
        lines.extend(self.added.iter().map(added_line));
        lines.push(String::new());
        lines.push(self.dozens_line());
        lines.push(String::new());
        lines.extend(self.incidents.iter().map(incident_line));
        lines.push(String::new());
        lines.extend(day_lines(&self.day));
        lines.push(String::new());
        match self.passed.is_empty() {
            true => lines.push("every bound holds".to_string()),
            false => lines.extend(self.passed.iter().map(|what| format!("BOUND PASSED  {what}"))),
        }
        lines.join("\n")
    }

    fn dozens_line(&self) -> String {
        let (real, model) = (&self.dozens, &self.dozens_model);
        format!(
            "{} processes: {:.2} MB resident (alone {:.2}; the model's part {:.2}), {:.3}% of a core \
             (alone {:.3}; the model's part {:.3}), \
             {:.0} bytes a second (model {:.0})",
            real.processes,
            real.resident / 1e6,
            real.resident_alone / 1e6,
            self.dozens_model_memory / 1e6,
            real.processor,
            real.processor_alone,
            model.processor(),
            real.bytes,
            model.bytes()
        )
    }
}

fn row(curve: &Curve) -> String {
    let slope =
        curve.line.map_or("-".to_string(), |line| format!("{:.4} +- {:.4}", line.slope, line.slope_error));
    let bound = curve.bound.map_or("-".to_string(), |bound| format!("{bound:.1}"));
    let at = curve.points.last().map_or(0.0, |(size, _)| *size);
    let what = format!("{} ({at:.0} {}s)", curve.name, curve.per);
    format!(
        "{what:<60} {:>14} {slope:>22} {:>13.3} {:>13.3} {bound:>11}",
        curve.unit, curve.predicted, curve.measured
    )
}

fn added_line(one: &Added) -> String {
    let Added { load, sent, succeeded, p50, p99, most, timer_p99, resident, processor, pause } = one;
    let pause = pause.map_or("-".to_string(), |pause| format!("{pause} us"));
    format!(
        "{} tenants, {} routes, {} a second: {succeeded} of {sent} succeeded, added p50 {p50} us, \
         p99 {p99} us, most \
         {most} us (timers of the load late by {timer_p99} us, p99); {:.1} MB, {processor:.1}% of a core; \
         {} changes, longest pause {pause}",
        load.tenants,
        load.routes,
        load.rate,
        *resident as f64 / 1e6,
        load.changes
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
            scale.day,
            day.changes,
            day.not_published,
            day.restarts,
            scale.region_apart,
            scale.zone_away,
            scale.control_away
        ),
        format!(
            "in force on a server after p50 {:.2} s, p99 {:.2} s, worst {:.2} s; everywhere \
             after p50 {:.2} s, p99 {:.2} s",
            day.p50, day.p99, day.worst, day.everywhere_p50, day.everywhere_p99
        ),
        format!(
            "{} returns had the newest after {:.2} s at the worst, with an empty disk {:.2} s; {:.0} bytes \
             a second a \
             server, {:.0} the publisher, {:.4}% of a core",
            day.caught_up,
            day.caught_up_worst,
            day.empty_caught_up_worst,
            day.bytes,
            day.control_bytes,
            day.processor
        ),
    ];
    lines.extend(day.slowest.iter().take(3).map(|what| format!("  slowest: {what}")));
    lines
}

fn incident_line(one: &Incident) -> String {
    let span = |span: Option<f64>| span.map_or("none in time".to_string(), |span| format!("{span:.2} s"));
    let mut line = format!(
        "{} servers, {}: one view of the rest {}, of all after the return {}; {} restarts, \
         burst {:.0} bytes a second (membership {:.0}, shared state {:.0}, replication {:.0}), \
         of one server {:.0} at the most over 10 s",
        one.servers,
        one.what,
        span(one.seen),
        span(one.returned),
        one.restarts,
        one.burst.bytes(),
        one.burst.membership_bytes,
        one.burst.shared_bytes,
        one.burst.replication_bytes,
        one.burst_most
    );
    if let Some(joined) = one.joined_meanwhile {
        line.push_str(&format!("; {joined} of those restarted had found the fleet meanwhile"));
    }
    if let Some(leases) = one.leases_in_cut {
        line.push_str(&format!("; {leases} servers cut off held a lease at the end"));
    }
    line
}
