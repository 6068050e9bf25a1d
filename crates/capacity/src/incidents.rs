//! Failures of parts of the fleet: how long it takes to one view again, and what that sends.

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
/// One view is waited for at most so long.
const VIEW_LIMIT_NS: Nanos = 300 * SECOND_NS;
/// The views are compared this often.
const VIEW_STEP_NS: Nanos = SECOND_NS / 4;
/// After a return, what servers send is measured for so long at the least.
const BURST_NS: Nanos = 10 * SECOND_NS;
/// Servers restarted while the control machines are down: more than the rate says, so that some are.
const RESTARTS_WITHOUT_CONTROL: usize = 12;

/// What came of one incident.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Incident {
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
    /// Servers of the fleet.
    pub servers: usize,
    /// Seconds after the loss until all that ran had one view; `None` where the limit was passed.
    #[serde(rename = "seen")]
    pub convergence_after_loss: Option<f64>,
    /// Seconds after the return until all had one view; `None` where the limit was passed.
    #[serde(rename = "returned")]
    pub convergence_after_return: Option<f64>,
    /// Servers restarted or failed meanwhile.
    pub restarts: usize,
    /// Servers restarted while the seeds were down that had found the fleet before their return.
    pub joined_meanwhile: Option<usize>,
    /// Servers on the smaller side that held a lease at the end of the cut.
    pub leases_in_cut: Option<usize>,
    /// Mean of a server in the second after the return in which all together sent most.
    pub burst: PerServer,
    /// Most bytes a second that any one server, control machines aside, sent over ten seconds after the
    /// return.
    #[serde(rename = "burst_most")]
    pub burst_max: f64,
}

fn seconds(span: Nanos) -> f64 {
    span as f64 / SECOND_NS as f64
}

/// A fleet that has run for a while, with random numbers for what happens to it.
fn converged_fleet(scale: &Scale) -> Result<(Fleet, ChaCha8Rng), ModelError> {
    let mut fleet = Fleet::converged(scale.servers, settings(scale.servers), scale.seed, &seeds())?;
    run_with_work(&mut fleet, scale.rest_seconds.min(10));
    Ok((fleet, ChaCha8Rng::seed_from_u64(scale.seed)))
}

/// Plays for so many seconds with restarts at their stated rate, control machines left out. Returns how many
/// servers were restarted.
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
        // Exponential gaps, from a uniform number of 53 bits.
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

/// Seconds until all that run have one view.
fn run_until_converged(fleet: &mut Fleet) -> Option<f64> {
    let running = fleet.running();
    fleet.run_until_done(VIEW_STEP_NS, VIEW_LIMIT_NS, |fleet| fleet.views_agree(&running)).map(seconds)
}

/// What follows on a return, until one view and [`BURST_NS`] at the least.
struct Recovery {
    /// Seconds until one view.
    convergence_seconds: Option<f64>,
    burst: PerServer,
    burst_max: f64,
}

impl Recovery {
    /// Plays the recovery.
    fn play(fleet: &mut Fleet) -> Recovery {
        let running = fleet.running();
        let started_at = fleet.now();
        let mut sent_by_second = vec![sent_bytes(fleet)];
        let mut recovery =
            Recovery { convergence_seconds: None, burst: PerServer::default(), burst_max: 0.0 };
        while fleet.now() - started_at < VIEW_LIMIT_NS {
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

    fn play_second(&mut self, fleet: &mut Fleet, running: &[usize], started_at: Nanos) {
        let end = fleet.now() + SECOND_NS;
        while fleet.now() < end {
            if self.convergence_seconds.is_none() && fleet.views_agree(running) {
                self.convergence_seconds = Some(seconds(fleet.now() - started_at));
            }
            fleet.run_until((fleet.now() + VIEW_STEP_NS).min(end));
        }
    }

    /// The incident that this ends; figures of its own kind are added by the caller.
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

/// Bytes that each server has sent since its start, control machines left out; 0 where it does not run.
fn sent_bytes(fleet: &Fleet) -> Vec<u64> {
    let of = |server: usize| fleet.server(server).map_or(0, |server| server.costs.bytes());
    (CONTROL_MACHINES..fleet.len()).map(of).collect()
}

/// The most bytes a second that one server sent over any [`BURST_NS`], by what each had sent after each
/// second.
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

/// A rack is lost at once, and its servers are restarted after a minute.
///
/// # Errors
/// Where a core does not accept its settings.
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

/// A part of the fleet is cut off for so many seconds, with restarts at their rate on both sides.
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

/// A region is cut from the others.
///
/// # Errors
/// Where a core does not accept its settings.
pub fn region_cut(scale: &Scale) -> Result<Incident, ModelError> {
    let description = format!("a region cut from the two others for {} s", scale.region_cut_seconds);
    cut_off(scale, description, scale.region_cut_seconds, |place| place.region == CUT_REGION)
}

/// A zone is cut from the others.
///
/// # Errors
/// Where a core does not accept its settings.
pub fn zone_cut(scale: &Scale) -> Result<Incident, ModelError> {
    let description = format!("a zone away for {} s", scale.zone_cut_seconds);
    cut_off(scale, description, scale.zone_cut_seconds, |place| place.zone == CUT_ZONE)
}

/// All control machines, which are the seeds, are down for a while, and some other servers restart meanwhile.
///
/// # Errors
/// Where a core does not accept its settings.
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
        |server: &&usize| fleet.server(**server).is_some_and(|one| one.membership.active_members() > 0);
    let joined_meanwhile = Some(restarted.iter().filter(has_joined).count());
    for server in seeds() {
        fleet.start(server, &seeds())?;
    }
    let description =
        format!("all {CONTROL_MACHINES} control machines away for {} s", scale.control_down_seconds);
    let incident = Recovery::play(&mut fleet).into_incident(scale, description, after_loss);
    Ok(Incident { restarts: restarted.len(), joined_meanwhile, ..incident })
}
