//! Simulates failures of parts of the fleet, and measures the time until the membership views converge again
//! and the bytes sent meanwhile.

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
/// Time limit for the membership views to converge, in simulated nanoseconds.
const CONVERGENCE_LIMIT_NS: Nanos = 300 * SECOND_NS;
/// Simulated time between two comparisons of the membership views, in nanoseconds.
const CONVERGENCE_CHECK_INTERVAL_NS: Nanos = SECOND_NS / 4;
/// Minimum time for which the sent bytes are measured after the failed servers return, in simulated
/// nanoseconds. The largest burst of one server is an average over this time.
const BURST_NS: Nanos = 10 * SECOND_NS;
/// Number of servers restarted while the control machines are down. At the restart rate of the other
/// incidents ([`RESTARTS_PER_DAY`] and [`FAILURES_PER_DAY`]), fewer servers would restart in this time; the
/// larger number makes sure that some do.
const RESTARTS_WITHOUT_CONTROL: usize = 12;

/// Measurements of one simulated incident.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Incident {
    /// Description of the failure.
    #[serde(rename = "what")]
    pub description: String,
    /// Number of servers in the fleet.
    pub servers: usize,
    /// Seconds from the failure until the views of the running servers agreed; `None` if they did not agree
    /// in time. For a network partition, 0 if the views on each side agreed when the partition ended, and
    /// `None` if they did not.
    #[serde(rename = "seen")]
    pub convergence_after_loss: Option<f64>,
    /// Seconds from the end of the failure until the views of all servers agreed; `None` if they did not
    /// agree in time.
    #[serde(rename = "returned")]
    pub convergence_after_return: Option<f64>,
    /// Number of server restarts during the failure.
    pub restarts: usize,
    /// Number of servers that restarted while all seeds were down and joined the fleet before the seeds
    /// returned. `None` for failures without a loss of the seeds.
    pub joined_meanwhile: Option<usize>,
    /// Number of servers on the smaller side of a network partition that held a lease when the partition
    /// ended. `None` for failures without a partition.
    pub leases_in_cut: Option<usize>,
    /// Average costs per server in the second with the most bytes sent by the fleet after the failure ended.
    pub burst: PerServer,
    /// Most bytes per second that one server sent after the failure ended, averaged over ten seconds. Control
    /// machines are excluded.
    #[serde(rename = "burst_most")]
    pub burst_max: f64,
}

/// Converts nanoseconds to seconds.
fn seconds(span: Nanos) -> f64 {
    span as f64 / SECOND_NS as f64
}

/// Returns a converged fleet that has run for at most 10 seconds, and the random number generator for
/// restarts.
fn converged_fleet(scale: &Scale) -> Result<(Fleet, ChaCha8Rng), ModelError> {
    let mut fleet = Fleet::converged(scale.servers, settings(scale.servers), scale.seed, &seeds())?;
    run_with_work(&mut fleet, scale.rest_seconds.min(10));
    Ok((fleet, ChaCha8Rng::seed_from_u64(scale.seed)))
}

/// Runs the simulation for `span_seconds` and restarts random servers, except control machines. The rate is
/// the sum of [`RESTARTS_PER_DAY`] and [`FAILURES_PER_DAY`], in proportion to the fleet size. Returns the
/// number of restarts.
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
        // Times between restarts are distributed exponentially; `uniform` has 53 random bits.
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

/// Runs the simulation until the views of all running servers agree. Returns the time taken in seconds, or
/// `None` if they do not agree in time.
fn run_until_converged(fleet: &mut Fleet) -> Option<f64> {
    let running = fleet.running();
    fleet
        .run_until_done(CONVERGENCE_CHECK_INTERVAL_NS, CONVERGENCE_LIMIT_NS, |fleet| {
            fleet.views_agree(&running)
        })
        .map(seconds)
}

/// Measurements after the end of a failure. They last until the views have converged, and at least for
/// [`BURST_NS`].
struct Recovery {
    /// Seconds until the views of all running servers agreed; `None` if they did not agree in time.
    convergence_seconds: Option<f64>,
    /// Average costs per server in the second with the most bytes sent.
    burst: PerServer,
    /// Most bytes per second that one server sent, averaged over [`BURST_NS`].
    burst_max: f64,
}

impl Recovery {
    /// Simulates the recovery of the fleet after a failure, and measures it.
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

    /// Runs one second of the simulation and records when the views agree.
    fn play_second(&mut self, fleet: &mut Fleet, running: &[usize], started_at: Nanos) {
        let end = fleet.now() + SECOND_NS;
        while fleet.now() < end {
            if self.convergence_seconds.is_none() && fleet.views_agree(running) {
                self.convergence_seconds = Some(seconds(fleet.now() - started_at));
            }
            fleet.run_until((fleet.now() + CONVERGENCE_CHECK_INTERVAL_NS).min(end));
        }
    }

    /// Returns the measurements of the incident, without the fields that only some kinds of incident set.
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

/// Returns the bytes that each server except the control machines has sent since it started; 0 for a server
/// that is not running.
fn sent_bytes(fleet: &Fleet) -> Vec<u64> {
    let bytes_of = |server: usize| fleet.server(server).map_or(0, |server| server.costs.bytes());
    (CONTROL_MACHINES..fleet.len()).map(bytes_of).collect()
}

/// Returns the most bytes per second that one server sent over any period of [`BURST_NS`]. `sent_by_second`
/// holds the total bytes sent by each server after each second.
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

/// Simulates the failure of all servers in a rack at once. The servers restart after one minute.
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

/// Simulates a network partition that isolates one part of the fleet for `span_seconds`. Meanwhile, servers
/// on both sides restart at the rate of [`run_with_restarts`].
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

/// Simulates a network partition between one region and the others.
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn region_cut(scale: &Scale) -> Result<Incident, ModelError> {
    let description = format!("a region cut from the two others for {} s", scale.region_cut_seconds);
    cut_off(scale, description, scale.region_cut_seconds, |place| place.region == CUT_REGION)
}

/// Simulates a network partition between one zone and the others.
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn zone_cut(scale: &Scale) -> Result<Incident, ModelError> {
    let description = format!("a zone away for {} s", scale.zone_cut_seconds);
    cut_off(scale, description, scale.zone_cut_seconds, |place| place.zone == CUT_ZONE)
}

/// Simulates a failure of all control machines, which are the seeds, while some other servers restart.
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
