//! The downstream services that this server calls when there are several: the service of each call in flight,
//! and the health of each service. The router chooses a service for each call; the outlier detector holds
//! this server's evidence of failures and the reports of the other servers.

use meadowstream_routing::{CallPreference, Choice, HealthView, Router, Settings, SettingsError};
use meadowstream_shared_state::clock::Time;
use meadowstream_shared_state::outlier_detection::{OutlierDetector, ServiceHealth};
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Number of health checks of an ejected service within the expiry time of a report. The weight of evidence
/// halves in each expiry time. This number of checks keeps the weight above the minimum that the outlier
/// detector needs to judge a service.
const PROBES_PER_EXPIRY: u64 = 8;

/// A call in flight.
struct InFlight {
    choice: Choice,
    /// Start time of the call, in nanoseconds of the monotonic clock.
    started: u64,
}

/// The downstream services and the calls in flight to them.
pub struct Tier {
    addresses: Vec<SocketAddr>,
    router: Router,
    /// Calls in flight, by call number.
    in_flight: HashMap<u64, InFlight>,
    /// Indexes of the services that were ejected at the last update.
    pub ejected: Vec<usize>,
}

/// Evidence about a service's health, taken from how a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEvidence {
    /// The call succeeded.
    Succeeded,
    /// The call failed.
    Failed,
    /// The call was abandoned before it ended.
    Abandoned,
}

/// Status of one service, for the log.
#[derive(Serialize)]
struct ServiceStatus<'a> {
    service: &'a str,
    own: ServiceHealth,
    accusers: usize,
    outstanding: u64,
}

/// Status of the tier as JSON, for the log; empty strings without a tier.
#[derive(Default)]
pub struct TierStatus {
    /// Numbers of calls, of health checks, and of calls for which no service was available.
    pub routed: String,
    /// The status of each service.
    pub services: String,
}

impl Tier {
    /// Creates a tier with services at these addresses. Health reports expire after `expiry` nanoseconds.
    pub fn new(addresses: Vec<SocketAddr>, expiry: u64, seed: u64) -> Result<Tier, SettingsError> {
        let probe_interval = (expiry / PROBES_PER_EXPIRY).max(1);
        let settings = Settings { services: addresses.len(), probe_interval, slow_start: expiry };
        let router = Router::new(settings, seed)?;
        Ok(Tier { router, addresses, in_flight: HashMap::new(), ejected: Vec::new() })
    }

    /// Passes the health of the services to the router. Returns true if the set of ejected services has
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

    /// Returns whether a service is available for a call.
    pub fn can_route(&self, now: u64, preference: CallPreference) -> bool {
        self.router.can_route(now, preference)
    }

    /// Chooses a service for a call, and returns its index and address. If no service is available, the call
    /// is routed to the first one.
    pub fn start_call(&mut self, now: u64, number: u64, preference: CallPreference) -> (usize, SocketAddr) {
        let first = Choice { service: 0, is_probe: false };
        let choice = self.router.choose(now, preference).unwrap_or(first);
        let service = choice.service;
        self.in_flight.insert(number, InFlight { choice, started: now });
        (service, self.addresses[service])
    }

    /// Ends a call, and records its evidence for or against the health of its service.
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

    /// Returns the status of the tier, for the log.
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
