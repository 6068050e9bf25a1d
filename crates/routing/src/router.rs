//! The router of one server, which chooses a downstream service for each call.

use crate::Nanos;
use crate::choice::{Load, less_loaded_of_two, random_below};
use crate::health::HealthView;
use crate::probing::ProbeSchedule;
use crate::settings::{Settings, SettingsError};
use crate::slow_start::SlowStart;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// The service that was chosen for a call. The caller passes this value to [`Router::release`] when the call
/// ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index of the chosen service.
    pub service: usize,
    /// Whether the call is a probe, which tests an unhealthy service for recovery.
    pub is_probe: bool,
}

/// Properties of a call that restrict the choice of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallPreference {
    /// Service of the call's previous attempt. A retry goes to another service if one is available.
    pub last_service: Option<usize>,
    /// Whether the call may be sent as a probe to an unhealthy service, which is likely to fail the call.
    /// Only the first attempt of an idempotent call may be a probe.
    pub may_probe: bool,
}

/// Numbers of calls since the router was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterCounters {
    /// Number of ordinary calls. Probes are not counted.
    pub calls: u64,
    /// Number of probes.
    pub probes: u64,
    /// Number of calls for which no service was available. This happens if all services are ejected and the
    /// call cannot be sent as a probe.
    pub unroutable: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Service {
    health: HealthView,
    outstanding: u64,
    probes: ProbeSchedule,
    slow_start: SlowStart,
}

impl Service {
    fn load(&self) -> Load {
        Load { locally_unhealthy: self.health.locally_unhealthy, outstanding: self.outstanding }
    }

    fn probe_is_due(&self, now: Nanos) -> bool {
        self.health.is_unhealthy() && self.health.is_prober && self.probes.is_due(now)
    }
}

/// A service that is not ejected and may receive an ordinary call.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    service: usize,
    /// Share of calls that the service receives now, divided by its full share. The ratio is below 1 during
    /// slow start; see [`SlowStart::ratio`].
    ratio: f64,
}

impl Candidate {
    fn is_warm(&self) -> bool {
        self.ratio >= 1.0
    }
}

/// Router of one server. For each call of the server it chooses one of the services of a tier.
#[derive(Clone, Debug)]
pub struct Router {
    settings: Settings,
    services: Vec<Service>,
    rng: ChaCha8Rng,
    /// Numbers of calls since the router was created.
    pub counters: RouterCounters,
}

impl Router {
    /// Creates a router. Its random choices are derived from `seed`.
    ///
    /// # Errors
    /// Returns an error if a setting is invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Router, SettingsError> {
        settings.check()?;
        Ok(Router {
            settings,
            services: vec![Service::default(); settings.services],
            rng: ChaCha8Rng::seed_from_u64(seed),
            counters: RouterCounters::default(),
        })
    }

    /// Updates the health of all services at the time `now`. `views` contains one item per service, in the
    /// order of the services.
    pub fn update_health(&mut self, now: Nanos, views: impl IntoIterator<Item = HealthView>) {
        for (service, view) in self.services.iter_mut().zip(views) {
            let probe_delay = random_below(&mut self.rng, self.settings.probe_interval) + 1;
            let first_credit = self.rng.next_u64() as f64 / u64::MAX as f64;
            if view.is_unhealthy() && !service.health.is_unhealthy() {
                service.probes.begin(now, probe_delay);
            }
            if !view.is_unhealthy() && service.health.is_unhealthy() {
                service.slow_start.begin(now, first_credit);
            }
            service.health = view;
        }
    }

    /// Whether [`Router::choose`] would return a service now.
    pub fn can_route(&self, now: Nanos, preference: CallPreference) -> bool {
        let any_open = self.services.iter().any(|service| !service.health.ejected);
        any_open || (preference.may_probe && self.due_probe(now).is_some())
    }

    /// Returns the time at which this server's next probe is due, if all services are ejected. Otherwise
    /// returns `None`.
    pub fn next_probe_at(&self) -> Option<Nanos> {
        if self.services.iter().any(|service| !service.health.ejected) {
            return None;
        }
        let probed = self.services.iter().filter(|service| service.health.is_prober);
        probed.filter_map(|service| service.probes.next_at()).min()
    }

    /// Chooses a service for a call. If a probe is due and the call may probe, the call becomes a probe.
    /// Returns `None` if all services are ejected and the call does not become a probe. The call counts as
    /// outstanding until [`Router::release`].
    pub fn choose(&mut self, now: Nanos, preference: CallPreference) -> Option<Choice> {
        if preference.may_probe
            && let Some(service) = self.due_probe(now)
        {
            return Some(self.start_probe(now, service));
        }
        let candidates = self.candidates(now, preference.last_service);
        let Some(service) = self.choose_candidate(&candidates) else {
            self.counters.unroutable += 1;
            return None;
        };
        self.services[service].outstanding += 1;
        self.counters.calls += 1;
        Some(Choice { service, is_probe: false })
    }

    /// Records that the call for which `choice` was made has ended or was abandoned.
    pub fn release(&mut self, choice: Choice) {
        let Some(service) = self.services.get_mut(choice.service) else { return };
        service.outstanding = service.outstanding.saturating_sub(1);
        if choice.is_probe {
            service.probes.end();
        }
    }

    /// Returns the number of this server's calls to a service that have not ended.
    pub fn outstanding(&self, service: usize) -> u64 {
        self.services.get(service).map_or(0, |service| service.outstanding)
    }

    /// Returns the service whose probe is due and has been due for the longest time. Returns `None` if no
    /// probe is due.
    fn due_probe(&self, now: Nanos) -> Option<usize> {
        let due = self.services.iter().enumerate().filter(|(_, service)| service.probe_is_due(now));
        due.min_by_key(|(_, service)| service.probes.next_at()).map(|(index, _)| index)
    }

    fn start_probe(&mut self, now: Nanos, index: usize) -> Choice {
        let service = &mut self.services[index];
        service.probes.start(now, self.settings.probe_interval);
        service.outstanding += 1;
        self.counters.probes += 1;
        Choice { service: index, is_probe: true }
    }

    /// Returns the services that may receive an ordinary call: all services that are not ejected.
    /// `last_service` is omitted if another service remains.
    fn candidates(&self, now: Nanos, last_service: Option<usize>) -> Vec<Candidate> {
        let mut candidates = Vec::with_capacity(self.services.len());
        for (index, service) in self.services.iter().enumerate() {
            if !service.health.ejected {
                let ratio = service.slow_start.ratio(now, self.settings.slow_start);
                candidates.push(Candidate { service: index, ratio });
            }
        }
        if candidates.len() > 1 {
            candidates.retain(|candidate| last_service != Some(candidate.service));
        }
        candidates
    }

    /// Chooses a service for an ordinary call. The usual choice is the less loaded of two randomly drawn
    /// services whose slow start is over. A service in slow start is chosen instead if its credit has reached
    /// a whole call and its load is not above that of the usual choice. If all candidates are in slow start,
    /// the less loaded of two randomly drawn candidates is chosen.
    fn choose_candidate(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let warm: Vec<usize> =
            candidates.iter().filter(|candidate| candidate.is_warm()).map(|warm| warm.service).collect();
        let all: Vec<usize> = candidates.iter().map(|candidate| candidate.service).collect();
        let drawn_from = if warm.is_empty() { &all } else { &warm };
        if drawn_from.is_empty() {
            return None;
        }
        let services = &self.services;
        let usual = less_loaded_of_two(&mut self.rng, drawn_from, |index| services[index].load());
        if warm.is_empty() {
            return Some(usual);
        }
        Some(self.owed_service(candidates, usual).unwrap_or(usual))
    }

    /// Returns the service in slow start that receives this call, or `None` if the call goes to the usual
    /// choice. The credit of each service in slow start first grows by the service's share of one call.
    ///
    /// A service in slow start qualifies if its credit has reached a whole call and its load is not above
    /// that of `usual`. `usual` is the service chosen among those whose slow start is over. Of several
    /// services that qualify, the least loaded receives the call.
    fn owed_service(&mut self, candidates: &[Candidate], usual: usize) -> Option<usize> {
        let usual_load = self.services[usual].load();
        let mut owed: Option<usize> = None;
        for candidate in candidates.iter().filter(|candidate| !candidate.is_warm()) {
            let service = &mut self.services[candidate.service];
            service.slow_start.accrue(candidate.ratio, candidates.len());
            let load = service.load();
            let is_owed = service.slow_start.is_owed_call() && load <= usual_load;
            if is_owed && owed.is_none_or(|other| load < self.services[other].load()) {
                owed = Some(candidate.service);
            }
        }
        if let Some(service) = owed {
            self.services[service].slow_start.spend();
        }
        owed
    }
}
