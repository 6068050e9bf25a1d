//! The services of the tier below, as this server calls them: which one each call in flight went to, and how
//! healthy each is. The router chooses; the evidence and the fleet's reports are in the outlier detector.

use meadowstream_routing::{CallPreference, Choice, HealthView, Router, Settings, SettingsError};
use meadowstream_shared_state::clock::Time;
use meadowstream_shared_state::outlier_detection::{OutlierDetector, ServiceHealth};
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Health checks of an ejected service within the time that a report counts. Evidence halves in that time, so
/// that this many keep it above the least that a service is judged by.
const PROBES_PER_EXPIRY: u64 = 8;

/// A call that has gone out.
struct InFlight {
    choice: Choice,
    /// When it went out, in nanoseconds of the monotonic clock.
    started: u64,
}

/// The services below.
pub struct Tier {
    addresses: Vec<SocketAddr>,
    router: Router,
    /// By the numbers of calls.
    in_flight: HashMap<u64, InFlight>,
    /// Services that were ejected at the last update.
    pub ejected: Vec<usize>,
}

/// What the end of a call shows of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEvidence {
    /// It succeeded.
    Succeeded,
    /// It failed.
    Failed,
    /// It was given up before its end.
    Abandoned,
}

/// A service as the log shows it.
#[derive(Serialize)]
struct ServiceStatus<'a> {
    service: &'a str,
    own: ServiceHealth,
    accusers: usize,
    outstanding: u64,
}

/// The tier as the log shows it, in JSON; empty without a tier.
#[derive(Default)]
pub struct TierStatus {
    /// Calls, health checks, and calls that could be routed nowhere.
    pub routed: String,
    /// The status of each service.
    pub services: String,
}

impl Tier {
    /// Reports on health expire after `expiry` nanoseconds.
    pub fn new(addresses: Vec<SocketAddr>, expiry: u64, seed: u64) -> Result<Tier, SettingsError> {
        let probe_interval = (expiry / PROBES_PER_EXPIRY).max(1);
        let settings = Settings { services: addresses.len(), probe_interval, slow_start: expiry };
        let router = Router::new(settings, seed)?;
        Ok(Tier { router, addresses, in_flight: HashMap::new(), ejected: Vec::new() })
    }

    /// Routes by the health of the services from now on. True where others are ejected than before.
    pub fn update_health(&mut self, now: u64, time: Time, detector: &OutlierDetector) -> bool {
        let ejected = detector.ejected(time);
        let view = |service| HealthView {
            ejected: ejected.contains(&service),
            locally_unhealthy: detector.local_health(time, service) != ServiceHealth::Healthy,
            is_prober: detector.is_prober(time, service),
        };
        let views: Vec<HealthView> = (0..self.addresses.len()).map(view).collect();
        self.router.update_health(now, views);
        let changed = ejected != self.ejected;
        self.ejected = ejected;
        changed
    }

    /// Whether a call could go to some service.
    pub fn can_route(&self, now: u64, preference: CallPreference) -> bool {
        self.router.can_route(now, preference)
    }

    /// The service that a call goes to, and its address. A call that is made although every service is
    /// ejected goes to the first.
    pub fn start_call(&mut self, now: u64, number: u64, preference: CallPreference) -> (usize, SocketAddr) {
        let first = Choice { service: 0, is_probe: false };
        let choice = self.router.choose(now, preference).unwrap_or(first);
        let service = choice.service;
        self.in_flight.insert(number, InFlight { choice, started: now });
        (service, self.addresses[service])
    }

    /// A call is over, with evidence for or against its service.
    pub fn end_call(
        &mut self,
        now: u64,
        time: Time,
        number: u64,
        evidence: CallEvidence,
        detector: &mut OutlierDetector,
    ) {
        let Some(InFlight { choice, started }) = self.in_flight.remove(&number) else { return };
        let service = choice.service;
        self.router.release(choice);
        let took = now.saturating_sub(started);
        match evidence {
            CallEvidence::Abandoned => detector.record_abandoned_call(time, service, took),
            CallEvidence::Succeeded => detector.record_call(time, service, true, took),
            CallEvidence::Failed => detector.record_call(time, service, false, took),
        }
    }

    /// The tier as the log shows it.
    pub fn status(&self, time: Time, detector: &OutlierDetector) -> TierStatus {
        let names = detector.settings().services.iter().map(String::as_str);
        let status = |(service, name)| ServiceStatus {
            service: name,
            own: detector.local_health(time, service),
            accusers: detector.accusers(time, service),
            outstanding: self.router.outstanding(service),
        };
        let services: Vec<ServiceStatus> = names.enumerate().map(status).collect();
        let counters = self.router.counters;
        let routed = [counters.calls, counters.probes, counters.unroutable];
        TierStatus {
            routed: serde_json::to_string(&routed).unwrap_or_default(),
            services: serde_json::to_string(&services).unwrap_or_default(),
        }
    }
}
