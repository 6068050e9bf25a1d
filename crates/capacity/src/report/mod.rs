//! Runs all measurements of `meadowstream fleet capacity` and reports them as a table and as JSON.

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

/// Minimum of [`Options::servers`]. The smallest modelled fleet has one sixteenth of this number of servers,
/// which must be enough for all control machines.
pub const SERVERS_MIN: usize = 80;
/// Maximum of [`Options::servers`].
pub const SERVERS_MAX: usize = 2_000;
/// Number of named tenants in the measurements of added latency and reload time. With this number of tenants,
/// added latency and reload time must be within their bounds.
const TENANTS: usize = 64_000;
/// Number of operations (routes) in the measurements of added latency and reload time. With this number of
/// operations, added latency and reload time must be within their bounds.
const ROUTES: usize = 6_200;
/// Invocations per second that one server receives in each of the two measured loads. The whole fleet
/// receives 190,000 invocations per second. Each server receives the lower rate if all 690 servers run, and
/// the higher rate if one of three regions is down.
const RATES: [f64; 2] = [275.0, 413.0];
/// Maximum time to wait until the counters converge, in simulated seconds. The convergence time grows with
/// the square of the fleet size.
const COUNTERS_LIMIT_SECONDS: u64 = 900;
/// Divisor of the fleet size for simulations that use a smaller fleet. A quick run uses the smaller fleet for
/// all incidents and the day. A full run uses the smaller fleet only for the hour-long isolation of a region.
const SMALL_FLEET_DIVISOR: usize = 4;
/// Maximum time for which a region is cut off in a simulation of the full fleet size, in seconds.
const REGION_CUT_SECONDS_MAX: u64 = 300;

/// Options of a run: fleet size, random seed and whether the run is quick.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of servers in the largest modelled fleet.
    pub servers: usize,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Whether the run uses shorter time spans and smaller fleets.
    pub quick: bool,
}

impl Options {
    fn scale(&self) -> Scale {
        let scale = if self.quick { Scale::quick } else { Scale::full };
        scale(self.servers, self.seed)
    }
}

/// Results of all measurements.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Number of servers in the largest modelled fleet.
    pub servers: usize,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Whether the run used shorter time spans and smaller fleets.
    pub quick: bool,
    /// Measured curves. Each curve is a function of the fleet size, the number of tenants or the number of
    /// connections.
    pub curves: Vec<Curve>,
    /// Measurements of the simulated failures of parts of the fleet.
    pub incidents: Vec<Incident>,
    /// Measurements of the simulated day of configuration changes and failures.
    pub day: Day,
    /// Latency that one process adds to invocations. There is one entry for each load.
    #[serde(rename = "added")]
    pub added_latencies: Vec<AddedLatency>,
    /// Resource use of each process in a fleet of real processes.
    #[serde(rename = "dozens")]
    pub process_fleet: ProcessFleet,
    /// CPU use and network traffic of one server in a modelled idle fleet. The modelled fleet is as large as
    /// the process fleet.
    #[serde(rename = "dozens_model")]
    pub process_fleet_model: PerServer,
    /// Heap bytes per server in the modelled idle fleet. [`Report::process_fleet_model`] describes the same
    /// fleet.
    #[serde(rename = "dozens_model_memory")]
    pub process_fleet_model_memory_bytes: f64,
    /// Descriptions of the bounds that measurements exceed. The list is empty if all bounds are met.
    #[serde(rename = "passed")]
    pub exceeded_bounds: Vec<String>,
}

/// Runs all measurements and calls `progress` with one line of text after each step.
///
/// # Errors
/// Returns an error if the model's settings are invalid or a process cannot be started or measured.
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

/// Measures the CPU use, network traffic and memory per server in a fleet without failures, at each fleet
/// size of `scale`.
fn resting_curves(scale: &Scale, progress: &dyn Fn(&str)) -> Result<Vec<Curve>, ModelError> {
    let mut measured = Vec::new();
    for size in scale.sizes() {
        measured.push(at_rest::measure(size, scale)?);
        progress(&format!("{size} servers at rest"));
    }
    Ok(at_rest::curves(&measured))
}

/// Measures the convergence time of the replicated counters at each fleet size. A quick run skips the largest
/// size.
fn counters_curve(scale: &Scale, quick: bool, progress: &dyn Fn(&str)) -> Result<Curve, ModelError> {
    let mut points = Vec::new();
    let mut sizes = scale.sizes();
    if quick {
        sizes.pop();
    }
    for size in sizes {
        let seconds = at_rest::counter_convergence_seconds(size, scale, COUNTERS_LIMIT_SECONDS)?;
        points.push(Point { size: size as f64, value: seconds.unwrap_or(f64::INFINITY) });
        progress(&format!("counts of {size} servers settled"));
    }
    Ok(Curve::new("until all totals are exact", "s", "server", points, None))
}

/// Measures the latency that one process adds to invocations, under three loads. The base load has one tenant
/// and two operations. The other loads have [`TENANTS`] tenants and [`ROUTES`] operations, one load for each
/// rate in [`RATES`].
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

/// Function that simulates one kind of incident at a given scale.
type PlayIncident = fn(&Scale) -> Result<Incident, ModelError>;

/// Returns the incidents to simulate, each with the scale of its simulation.
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

/// Simulates the incidents and the day in parallel. Each simulation has its own thread.
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
            running.into_iter().map(|thread| thread.join().unwrap_or_else(|panic| resume_unwind(panic)));
        let incidents = incidents.collect::<Result<Vec<Incident>, ModelError>>()?;
        Ok((incidents, day.join().unwrap_or_else(|panic| resume_unwind(panic))))
    })
}
