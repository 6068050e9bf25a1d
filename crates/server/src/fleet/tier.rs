//! The services of the tier below, as this server calls them: which one each call under way went to, and what
//! is judged of each. The router decides; the evidence and the fleet's word are in the shared state's judge.

use meadowstream_routing::{CallPreference, Choice, HealthView, Router, Settings, SettingsError};
use meadowstream_shared_state::clock::Time;
use meadowstream_shared_state::outlier_detection::{OutlierDetector, ServiceHealth};
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A service that is out gets so many probes within the time that a report counts: evidence halves in that
/// time, so that this many keep it above the least that is judged by.
const PROBES: u64 = 8;

pub struct Tier {
    addresses: Vec<SocketAddr>,
    router: Router,
    /// Calls under way, by their number: where each went and when.
    out: HashMap<u64, (Choice, u64)>,
    /// Services ejected when last looked at.
    pub ejected: Vec<usize>,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    Good,
    Bad,
    /// Nobody waits for it any more.
    GivenUp,
}

/// What the log says of a service.
#[derive(Serialize)]
pub struct Shown<'a> {
    service: &'a str,
    own: ServiceHealth,
    accusers: usize,
    outstanding: u64,
}

impl Tier {
    pub fn new(addresses: Vec<SocketAddr>, expiry: u64, seed: u64) -> Result<Tier, SettingsError> {
        let probe_interval = (expiry / PROBES).max(1);
        let settings = Settings { services: addresses.len(), probe_interval, slow_start: expiry };
        Ok(Tier { router: Router::new(settings, seed)?, addresses, out: HashMap::new(), ejected: Vec::new() })
    }

    /// Takes over what is judged now; whether the services ejected are others than before.
    pub fn judged(&mut self, now: u64, time: Time, judge: &OutlierDetector) -> bool {
        let ejected = judge.ejected(time);
        let of = |service| HealthView {
            ejected: ejected.contains(&service),
            locally_unhealthy: judge.local_health(time, service) != ServiceHealth::Healthy,
            is_prober: judge.is_prober(time, service),
        };
        let judged: Vec<HealthView> = (0..self.addresses.len()).map(of).collect();
        self.router.update_health(now, judged);
        let changed = ejected != self.ejected;
        self.ejected = ejected;
        changed
    }

    pub fn can_route(&self, now: u64, wish: CallPreference) -> bool {
        self.router.can_route(now, wish)
    }

    /// Where a call of that number goes. Where every service is ejected and the module calls all the same,
    /// nowhere is better than another: the first.
    pub fn call(&mut self, now: u64, number: u64, wish: CallPreference) -> (usize, SocketAddr) {
        let nowhere = Choice { service: 0, is_probe: false };
        let chosen = self.router.choose(now, wish).unwrap_or(nowhere);
        self.out.insert(number, (chosen, now));
        (chosen.service, self.addresses[chosen.service])
    }

    /// A call is over: evidence for or against its service. One that was given up says something only where
    /// it had been out for longer than a service may take that is not slow.
    pub fn ended(&mut self, now: u64, time: Time, number: u64, over: Over, judge: &mut OutlierDetector) {
        let Some((chosen, begun)) = self.out.remove(&number) else { return };
        self.router.release(chosen);
        let took = now.saturating_sub(begun);
        match over {
            Over::GivenUp => judge.record_abandoned_call(time, chosen.service, took),
            _ => judge.record_call(time, chosen.service, over == Over::Good, took),
        }
    }

    /// Calls, probes, and calls that found nowhere to go; then each service as JSON.
    pub fn shown(&self, time: Time, judge: &OutlierDetector) -> (String, String) {
        let names = &judge.settings().services;
        let of = |(service, name)| Shown {
            service: name,
            own: judge.local_health(time, service),
            accusers: judge.accusers(time, service),
            outstanding: self.router.outstanding(service),
        };
        let services: Vec<Shown> = names.iter().map(String::as_str).enumerate().map(of).collect();
        let counts = self.router.counters;
        let routed = serde_json::to_string(&[counts.calls, counts.probes, counts.unroutable]);
        (routed.unwrap_or_default(), serde_json::to_string(&services).unwrap_or_default())
    }
}
