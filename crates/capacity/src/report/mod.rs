//! All measurements of one run of `meadowstream fleet capacity`, as a table and as JSON.

mod bounds;
mod table;

use crate::added_latency::{self, AddedLatency, Load};
use crate::day::{self, Day, DayScale};
use crate::error::{MeasureError, ModelError};
use crate::fit::{Curve, Point};
use crate::incidents::{self, Incident};
use crate::per_server::PerServer;
use crate::process_fleet::{self, ProcessFleet};
use crate::scale::Scale;
use crate::{at_rest, connections, tenants};
use serde::Serialize;
use std::panic::resume_unwind;
use std::path::Path;
use std::time::Instant;

/// Smallest largest fleet of a model: a sixteenth of it has to hold the control machines.
pub const SERVERS_MIN: usize = 80;
/// Largest fleet of a model.
pub const SERVERS_MAX: usize = 2_000;
/// The stated numbers of tenants and routes.
const TENANTS: usize = 64_000;
const ROUTES: usize = 6_200;
/// Invocations a second of one server: 190,000 over 690 servers, and with one region of three gone.
const RATES: [f64; 2] = [275.0, 413.0];
/// Counters are waited for at most so long; the time grows with the square of the size.
const COUNTERS_LIMIT_SECONDS: u64 = 900;
/// A quick run plays incidents on a fleet of this part of the size, a full one the region's hour.
const SMALL_FLEET_DIVISOR: usize = 4;
/// At the full size a region is cut off for at most so long.
const REGION_CUT_SECONDS_MAX: u64 = 300;

/// Size and length of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Servers of the largest fleet.
    pub servers: usize,
    /// Of all random numbers.
    pub seed: u64,
    /// Short spans and smaller fleets.
    pub quick: bool,
}

impl Options {
    fn scale(&self) -> Scale {
        let scale = if self.quick { Scale::quick } else { Scale::full };
        scale(self.servers, self.seed)
    }
}

/// All measurements.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Servers of the largest fleet.
    pub servers: usize,
    /// Of all random numbers.
    pub seed: u64,
    /// Short spans and smaller fleets.
    pub quick: bool,
    /// Figures over sizes.
    pub curves: Vec<Curve>,
    /// Failures of parts of the fleet.
    pub incidents: Vec<Incident>,
    /// A day of configuration.
    pub day: Day,
    /// What a process adds to invocations, by load.
    #[serde(rename = "added")]
    pub added_latencies: Vec<AddedLatency>,
    /// What each process of a fleet uses.
    #[serde(rename = "dozens")]
    pub process_fleet: ProcessFleet,
    /// The model of a fleet of the same size, idle.
    #[serde(rename = "dozens_model")]
    pub process_fleet_model: PerServer,
    /// Bytes of the allocator for each of its servers.
    #[serde(rename = "dozens_model_memory")]
    pub process_fleet_model_memory_bytes: f64,
    /// Bounds that do not hold.
    #[serde(rename = "passed")]
    pub exceeded_bounds: Vec<String>,
}

/// Takes all measurements. `progress` is called with a line at each step.
///
/// # Errors
/// Where the model's settings are not accepted, or a process cannot be started or measured.
pub fn run(program: &Path, options: Options, progress: impl Fn(&str) + Sync) -> Result<Report, MeasureError> {
    let started_at = Instant::now();
    let progress = |step: &str| progress(&format!("{:7.1} s  {step}", started_at.elapsed().as_secs_f64()));
    let scale = options.scale();
    let mut curves = resting_curves(&scale, &progress)?;
    curves.push(counters_curve(&scale, options.quick, &progress)?);
    let tenant_costs: Vec<_> = tenants::SIZES.iter().map(|size| tenants::measure(*size)).collect();
    curves.extend(tenants::curves(&tenant_costs));
    progress("tenants measured");
    let added_latencies = added_latencies(program, options.quick, &progress)?;
    let counts: &[usize] = if options.quick { &[500, 1000, 2000] } else { &[2000, 4000, 8200] };
    curves.push(connections::measure(program, counts)?);
    progress("connections measured");
    let (processes, seconds) = if options.quick { (12, 11) } else { (30, 41) };
    let process_fleet = process_fleet::measure(program, processes, seconds)?;
    let model = at_rest::measure_idle(processes, &scale)?;
    progress(&format!("{processes} processes measured"));
    let (incidents, day) = incidents_and_day(&scale, options.quick, &progress)?;
    let mut report = Report {
        servers: options.servers,
        seed: options.seed,
        quick: options.quick,
        curves,
        incidents,
        day,
        added_latencies,
        process_fleet,
        process_fleet_model: model.costs,
        process_fleet_model_memory_bytes: model.memory_bytes,
        exceeded_bounds: Vec::new(),
    };
    report.exceeded_bounds = bounds::exceeded(&report);
    Ok(report)
}

fn resting_curves(scale: &Scale, progress: &dyn Fn(&str)) -> Result<Vec<Curve>, ModelError> {
    let mut measured = Vec::new();
    for size in scale.sizes() {
        measured.push(at_rest::measure(size, scale)?);
        progress(&format!("{size} servers at rest"));
    }
    Ok(at_rest::curves(&measured))
}

/// A quick run leaves the largest size out.
fn counters_curve(scale: &Scale, quick: bool, progress: &dyn Fn(&str)) -> Result<Curve, ModelError> {
    let mut points = Vec::new();
    let mut sizes = scale.sizes();
    if quick {
        sizes.pop();
    }
    for size in sizes {
        let seconds = at_rest::counters_settle(size, scale, COUNTERS_LIMIT_SECONDS)?;
        points.push(Point { size: size as f64, value: seconds.unwrap_or(f64::INFINITY) });
        progress(&format!("counts of {size} servers settled"));
    }
    Ok(Curve::new("until all totals are exact", "s", "server", points, None))
}

fn added_latencies(
    program: &Path,
    quick: bool,
    progress: &dyn Fn(&str),
) -> Result<Vec<AddedLatency>, MeasureError> {
    let (seconds, changes) = if quick { (8, 2) } else { (30, 5) };
    let base = Load { tenants: 1, routes: 2, rate: RATES[0], seconds, changes: 0 };
    let stated = RATES.map(|rate| Load { tenants: TENANTS, routes: ROUTES, rate, seconds, changes });
    let mut measured = Vec::new();
    for load in [base].into_iter().chain(stated) {
        measured.push(added_latency::measure(program, load)?);
        let Load { tenants, routes, rate, .. } = load;
        progress(&format!("{tenants} tenants and {routes} routes at {rate} a second"));
    }
    Ok(measured)
}

/// Plays one incident at a scale.
type PlayIncident = fn(&Scale) -> Result<Incident, ModelError>;

/// The incidents of a run, each with its scale.
fn incident_plays(scale: &Scale, quick: bool) -> Vec<(PlayIncident, Scale)> {
    let small = Scale { servers: scale.servers / SMALL_FLEET_DIVISOR, ..*scale };
    let scale = if quick { small } else { *scale };
    let mut plays: Vec<(PlayIncident, Scale)> = vec![
        (incidents::rack_lost, scale),
        (incidents::zone_cut, scale),
        (incidents::control_down, scale),
        (incidents::region_cut, small),
    ];
    if !quick {
        let region_cut_seconds = scale.region_cut_seconds.min(REGION_CUT_SECONDS_MAX);
        plays.push((incidents::region_cut, Scale { region_cut_seconds, ..scale }));
    }
    plays
}

/// Plays the incidents and the day side by side, each on a thread of its own.
fn incidents_and_day(
    scale: &Scale,
    quick: bool,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<(Vec<Incident>, Day), ModelError> {
    let day_scale = match quick {
        true => DayScale::quick(scale.servers / SMALL_FLEET_DIVISOR, scale.seed),
        false => DayScale::full(scale.servers, scale.seed),
    };
    std::thread::scope(|scope| {
        let day = scope.spawn(move || day::play(&day_scale, &|step| progress(step)));
        let play = |(play, scale): (PlayIncident, Scale)| {
            scope.spawn(move || {
                let incident = play(&scale)?;
                progress(&incident.description);
                Ok(incident)
            })
        };
        let running: Vec<_> = incident_plays(scale, quick).into_iter().map(play).collect();
        let incidents =
            running.into_iter().map(|one| one.join().unwrap_or_else(|panic| resume_unwind(panic)));
        let incidents = incidents.collect::<Result<Vec<Incident>, ModelError>>()?;
        Ok((incidents, day.join().unwrap_or_else(|panic| resume_unwind(panic))))
    })
}
