//! Simulates failures of parts of the fleet. Measures the time until the membership views of the servers
//! converge again, and the bytes sent in this time.

use crate::at_rest::run_with_work;
use crate::error::ModelError;
use crate::fleet::Fleet;
use crate::per_server::PerServer;
use crate::scale::{
    CONTROL_MACHINES, FAILURES_PER_DAY, RACK_DOWN_NS, RESTARTS_PER_DAY, SECOND_NS, STATED_SERVERS, Scale,
    seeds, settings,
};
use crate::topology::{CUT_REGION, CUT_ZONE, Place};
use meadowstream_membership::Nanos;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::Serialize;

const DAY_SECONDS: f64 = 86_400.0;
/// Maximum simulated time to wait until the membership views converge, in nanoseconds.
const CONVERGENCE_LIMIT_NS: Nanos = 300 * SECOND_NS;
/// Simulated time between two comparisons of the membership views, in nanoseconds.
const CONVERGENCE_CHECK_INTERVAL_NS: Nanos = SECOND_NS / 4;
/// Minimum simulated time for which sent bytes are measured after the end of a failure, in nanoseconds. The
/// send rate of a single server is averaged over a period of this length.
const BURST_NS: Nanos = 10 * SECOND_NS;
/// Number of servers that restart while the control machines are down. At the rates of the other incidents
/// ([`RESTARTS_PER_DAY`] and [`FAILURES_PER_DAY`]), only a few servers, or none, would restart in this short
/// time. The larger number ensures that some servers restart.
const RESTARTS_WITHOUT_CONTROL: usize = 12;

/// Measurements of one simulated incident.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Incident {
    /// Description of the failure.
    #[serde(rename = "what")]
    pub description: String,
    /// Number of servers in the fleet.
    pub servers: usize,
    /// Seconds from the failure until the membership views of the running servers agreed; `None` if the views
    /// did not agree in time. For a network partition, the value is 0 if the views on each side agreed when
    /// the partition ended, and `None` otherwise.
    #[serde(rename = "seen")]
    pub convergence_after_loss: Option<f64>,
    /// Seconds from the end of the failure until the membership views of all servers agreed; `None` if the
    /// views did not agree in time.
    #[serde(rename = "returned")]
    pub convergence_after_return: Option<f64>,
    /// Number of server restarts during the failure.
    pub restarts: usize,
    /// Number of restarted servers that joined the fleet while all seeds were down. `None` for failures in
    /// which the seeds keep running.
    pub joined_meanwhile: Option<usize>,
    /// Number of isolated servers that held a lease when the network partition ended. `None` for failures
    /// without a partition.
    pub leases_in_cut: Option<usize>,
    /// Average CPU use and network traffic per server in the peak second after the failure ended. In the peak
    /// second, the fleet sent more bytes than in any other second.
    pub burst: PerServer,
    /// Highest send rate of one server after the failure ended, in bytes per second, averaged over ten
    /// seconds. Control machines are not counted.
    #[serde(rename = "burst_most")]
    pub burst_max: f64,
}

/// Converts nanoseconds to seconds.
fn seconds(span: Nanos) -> f64 {
    span as f64 / SECOND_NS as f64
}

/// Creates a converged fleet and runs it for a short time, at most 10 simulated seconds. Returns the fleet
/// and the random number generator that draws the restarts.
fn converged_fleet(scale: &Scale) -> Result<(Fleet, ChaCha8Rng), ModelError> {
    let mut fleet = Fleet::converged(scale.servers, settings(scale.servers), scale.seed, &seeds())?;
    run_with_work(&mut fleet, scale.rest_seconds.min(10));
    Ok((fleet, ChaCha8Rng::seed_from_u64(scale.seed)))
}

/// Runs the simulation for `span_seconds` and restarts random servers. Control machines are not restarted.
/// The restart rate is the sum of [`RESTARTS_PER_DAY`] and [`FAILURES_PER_DAY`], scaled to the fleet size.
/// Returns the number of restarts.
fn run_with_restarts(
    fleet: &mut Fleet,
    rng: &mut ChaCha8Rng,
    span_seconds: u64,
) -> Result<usize, ModelError> {
    let stated_restarts = (RESTARTS_PER_DAY + FAILURES_PER_DAY) as f64;
    let restarts_per_day = stated_restarts * fleet.len() as f64 / STATED_SERVERS;
    let mean_gap_seconds = DAY_SECONDS / restarts_per_day;
    let end = fleet.now() + span_seconds * SECOND_NS;
    let mut restarts = 0;
    loop {
        // The times between restarts have an exponential distribution. `uniform` is a random number from 0 to
        // 1 with 53 random bits.
        let uniform = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        let gap = -(1.0 - uniform).ln() * mean_gap_seconds;
        let at = fleet.now() + (gap * SECOND_NS as f64) as Nanos;
        if at >= end {
            fleet.run_until(end);
            return Ok(restarts);
        }
        fleet.run_until(at);
        let server = (rng.next_u64() % fleet.len() as u64) as usize;
        if server >= CONTROL_MACHINES {
            fleet.start(server, &seeds())?;
            restarts += 1;
        }
    }
}

/// Runs the simulation until the membership views of all running servers agree. Returns the elapsed simulated
/// seconds, or `None` if the views do not agree within [`CONVERGENCE_LIMIT_NS`].
fn run_until_converged(fleet: &mut Fleet) -> Option<f64> {
    let running = fleet.running();
    fleet
        .run_until_done(CONVERGENCE_CHECK_INTERVAL_NS, CONVERGENCE_LIMIT_NS, |fleet| {
            fleet.views_agree(&running)
        })
        .map(seconds)
}

/// Measurements after the end of a failure. The measurement continues until the membership views have
/// converged, and for at least [`BURST_NS`].
struct Recovery {
    /// Seconds from the end of the failure until the membership views of all running servers agreed; `None`
    /// if the views did not agree in time.
    convergence_seconds: Option<f64>,
    /// Average CPU use and network traffic per server in the peak second. In the peak second, the fleet sent
    /// more bytes than in any other second after the failure.
    burst: PerServer,
    /// Highest send rate of one server, in bytes per second, averaged over [`BURST_NS`].
    burst_max: f64,
}

impl Recovery {
    /// Simulates and measures the recovery of the fleet after a failure.
    fn play(fleet: &mut Fleet) -> Recovery {
        let running = fleet.running();
        let started_at = fleet.now();
        let mut sent_by_second = vec![sent_bytes(fleet)];
        let mut recovery =
            Recovery { convergence_seconds: None, burst: PerServer::default(), burst_max: 0.0 };
        while fleet.now() - started_at < CONVERGENCE_LIMIT_NS {
            let costs_before = fleet.costs();
            recovery.play_second(fleet, &running, started_at);
            sent_by_second.push(sent_bytes(fleet));
            let sent = PerServer::average(&fleet.costs().since(&costs_before), running.len(), SECOND_NS);
            if sent.bytes() > recovery.burst.bytes() {
                recovery.burst = sent;
            }
            if recovery.convergence_seconds.is_some() && fleet.now() - started_at >= BURST_NS {
                break;
            }
        }
        recovery.burst_max = burst_of_one_server(&sent_by_second);
        recovery
    }

    /// Runs one second of the simulation. Records the time at which the membership views agree for the first
    /// time.
    fn play_second(&mut self, fleet: &mut Fleet, running: &[usize], started_at: Nanos) {
        let end = fleet.now() + SECOND_NS;
        while fleet.now() < end {
            if self.convergence_seconds.is_none() && fleet.views_agree(running) {
                self.convergence_seconds = Some(seconds(fleet.now() - started_at));
            }
            fleet.run_until((fleet.now() + CONVERGENCE_CHECK_INTERVAL_NS).min(end));
        }
    }

    /// Converts the measurements to an [`Incident`]. Fields that apply only to some kinds of incident get
    /// their default values.
    fn into_incident(self, scale: &Scale, description: String, after_loss: Option<f64>) -> Incident {
        Incident {
            description,
            servers: scale.servers,
            convergence_after_loss: after_loss,
            convergence_after_return: self.convergence_seconds,
            burst: self.burst,
            burst_max: self.burst_max,
            ..Incident::default()
        }
    }
}

/// Returns the number of bytes that each server has sent since its start, without the control machines. The
/// number is 0 for a server that is not running.
fn sent_bytes(fleet: &Fleet) -> Vec<u64> {
    let bytes_of = |server: usize| fleet.server(server).map_or(0, |server| server.costs.bytes());
    (CONTROL_MACHINES..fleet.len()).map(bytes_of).collect()
}

/// Returns the highest send rate of one server over a period of [`BURST_NS`], in bytes per second. The first
/// entry of `sent_by_second` holds the bytes that each server had sent before the first second. Each later
/// entry holds the bytes that each server had sent by the end of one more second.
fn burst_of_one_server(sent_by_second: &[Vec<u64>]) -> f64 {
    let span_seconds = (BURST_NS / SECOND_NS) as usize;
    let max_within = |span: &[Vec<u64>]| {
        let (first, last) = (&span[0], &span[span.len() - 1]);
        let sent = first.iter().zip(last).map(|(before, after)| after.saturating_sub(*before));
        sent.max().unwrap_or(0)
    };
    let max = sent_by_second.windows(span_seconds + 1).map(max_within).max().unwrap_or(0);
    max as f64 / span_seconds as f64
}

/// Simulates the failure of a rack: all its servers crash together. The servers start again [`RACK_DOWN_NS`]
/// after the membership views of the other servers agree, or after the wait for agreement times out.
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn rack_lost(scale: &Scale) -> Result<Incident, ModelError> {
    let (mut fleet, _) = converged_fleet(scale)?;
    let rack = Place::of(scale.servers - 1).rack;
    let lost: Vec<usize> = (0..scale.servers).filter(|server| Place::of(*server).rack == rack).collect();
    lost.iter().for_each(|server| fleet.crash(*server));
    let after_loss = run_until_converged(&mut fleet);
    let back_at = fleet.now() + RACK_DOWN_NS;
    fleet.run_until(back_at);
    for server in &lost {
        fleet.start(*server, &seeds())?;
    }
    let description =
        format!("a rack of {} lost at once, back after {} s", lost.len(), RACK_DOWN_NS / SECOND_NS);
    Ok(Recovery::play(&mut fleet).into_incident(scale, description, after_loss))
}

/// Simulates a network partition that isolates part of the fleet for `span_seconds`. During the partition,
/// [`run_with_restarts`] restarts random servers on both sides.
fn cut_off(
    scale: &Scale,
    description: String,
    span_seconds: u64,
    is_cut: impl Fn(Place) -> bool,
) -> Result<Incident, ModelError> {
    let (mut fleet, mut rng) = converged_fleet(scale)?;
    fleet.cut(&is_cut);
    let restarts = run_with_restarts(&mut fleet, &mut rng, span_seconds)?;
    let (cut, rest): (Vec<usize>, Vec<usize>) =
        (0..scale.servers).partition(|server| is_cut(Place::of(*server)));
    let holds_lease = |server: &&usize| fleet.server(**server).is_some_and(|server| server.leased() > 0);
    let leases_in_cut = Some(cut.iter().filter(holds_lease).count());
    let after_loss = (fleet.views_agree(&cut) && fleet.views_agree(&rest)).then_some(0.0);
    fleet.heal();
    let incident = Recovery::play(&mut fleet).into_incident(scale, description, after_loss);
    Ok(Incident { restarts, leases_in_cut, ..incident })
}

/// Simulates a network partition that isolates one region from the others.
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn region_cut(scale: &Scale) -> Result<Incident, ModelError> {
    let description = format!("a region cut from the two others for {} s", scale.region_cut_seconds);
    cut_off(scale, description, scale.region_cut_seconds, |place| place.region == CUT_REGION)
}

/// Simulates a network partition that isolates one zone from the others.
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn zone_cut(scale: &Scale) -> Result<Incident, ModelError> {
    let description = format!("a zone away for {} s", scale.zone_cut_seconds);
    cut_off(scale, description, scale.zone_cut_seconds, |place| place.zone == CUT_ZONE)
}

/// Simulates a failure of all control machines, which are also the seeds of the fleet. Some other servers
/// restart during the failure.
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn control_down(scale: &Scale) -> Result<Incident, ModelError> {
    let (mut fleet, mut rng) = converged_fleet(scale)?;
    seeds().into_iter().for_each(|server| fleet.crash(server));
    let after_loss = run_until_converged(&mut fleet);
    let mut restarted = Vec::new();
    for _ in 0..RESTARTS_WITHOUT_CONTROL {
        let others = (scale.servers - CONTROL_MACHINES) as u64;
        let server = CONTROL_MACHINES + (rng.next_u64() % others) as usize;
        fleet.start(server, &seeds())?;
        restarted.push(server);
    }
    let back_at = fleet.now() + scale.control_down_seconds * SECOND_NS;
    fleet.run_until(back_at);
    let has_joined =
        |server: &&usize| fleet.server(**server).is_some_and(|server| server.membership.active_members() > 0);
    let joined_meanwhile = Some(restarted.iter().filter(has_joined).count());
    for server in seeds() {
        fleet.start(server, &seeds())?;
    }
    let description =
        format!("all {CONTROL_MACHINES} control machines away for {} s", scale.control_down_seconds);
    let incident = Recovery::play(&mut fleet).into_incident(scale, description, after_loss);
    Ok(Incident { restarts: restarted.len(), joined_meanwhile, ..incident })
}
