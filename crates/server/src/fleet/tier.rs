//! The downstream services of this server, if there are several. Stores the service of each call in flight
//! and the health of each service.
//!
//! The router chooses a service for each call. The outlier detector stores the evidence of failures that this
//! server has seen, and the reports of other servers.

use meadowstream_routing::{CallPreference, Choice, HealthView, Router, Settings, SettingsError};
use meadowstream_shared_state::clock::Time;
use meadowstream_shared_state::outlier_detection::{OutlierDetector, ServiceHealth};
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Number of health checks that this server sends to an ejected service within the expiry time of a health
/// report.
///
/// The weight of evidence halves in each expiry time. This number of checks keeps the weight above the
/// minimum that the outlier detector needs to judge a service.
const PROBES_PER_EXPIRY: u64 = 8;

/// A call in flight.
struct InFlight {
    choice: Choice,
    /// Start time of the downstream call, in nanoseconds of the process's monotonic clock.
    started: u64,
}

/// The downstream services, and the calls in flight to these services.
pub struct Tier {
    addresses: Vec<SocketAddr>,
    router: Router,
    /// Downstream calls in flight. The key is the number of the call.
    in_flight: HashMap<u64, InFlight>,
    /// Indexes of the ejected downstream services, as determined by the last call of [`Tier::update_health`].
    pub ejected: Vec<usize>,
}

/// Evidence about the health of a downstream service: how a call to the service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEvidence {
    /// The call succeeded.
    Succeeded,
    /// The call failed.
    Failed,
    /// This server abandoned the call before the call ended.
    Abandoned,
}

/// Status of one downstream service, for the log.
#[derive(Serialize)]
struct ServiceStatus<'a> {
    service: &'a str,
    own: ServiceHealth,
    accusers: usize,
    outstanding: u64,
}

/// Status of the downstream services as two JSON texts, for the log. The texts are empty if the options do
/// not describe a tier of services.
#[derive(Default)]
pub struct TierStatus {
    /// JSON list of three counts: ordinary calls, calls that served as health checks, and calls for which no
    /// service was available.
    pub routed: String,
    /// The status of each service.
    pub services: String,
}

impl Tier {
    /// Creates a tier with one downstream service at each address. Health reports expire after `expiry`
    /// nanoseconds.
    pub fn new(addresses: Vec<SocketAddr>, expiry: u64, seed: u64) -> Result<Tier, SettingsError> {
        let probe_interval = (expiry / PROBES_PER_EXPIRY).max(1);
        let settings = Settings { services: addresses.len(), probe_interval, slow_start: expiry };
        let router = Router::new(settings, seed)?;
        Ok(Tier { router, addresses, in_flight: HashMap::new(), ejected: Vec::new() })
    }

    /// Updates the health of each service in the router. Returns true if the set of ejected services has
    /// changed.
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

    /// Returns whether a downstream service is available for a call.
    pub fn can_route(&self, now: u64, preference: CallPreference) -> bool {
        self.router.can_route(now, preference)
    }

    /// Chooses a downstream service for the call with this number, and returns the service's index and
    /// address. If no service is available, returns the first service.
    pub fn start_call(&mut self, now: u64, number: u64, preference: CallPreference) -> (usize, SocketAddr) {
        let first = Choice { service: 0, is_probe: false };
        let choice = self.router.choose(now, preference).unwrap_or(first);
        let service = choice.service;
        self.in_flight.insert(number, InFlight { choice, started: now });
        (service, self.addresses[service])
    }

    /// Ends a downstream call, and records whether the call is evidence for or against the health of its
    /// service.
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

    /// Returns the status of the downstream services, for the log.
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
