//! Judgements on services below: which of a tier's services are slow or failing in the fleet's
//! eyes, and which
//! are ejected. Each server has its own evidence, from its own calls; what it finds it reports, and a report
//! counts for a while. A service is judged for the fleet once at least `reports` servers find so at the same
//! time; a server that hears no other falls back on what it finds itself. Whatever the reports say, at most
//! `share` of a tier is ejected: a fault of the callers or of the network must not take the whole tier away.

use crate::ServerId;
use crate::clock::{Nanos, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Calls that evidence takes at least, and what is forgotten by halves.
const CALLS_MIN: f64 = 5.0;
/// A service fails where this share of calls did, and is slow at so many times the tier's middle time.
const FAILING: f64 = 0.5;
const SLOW: f64 = 4.0;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The tier's services by name, each once.
    pub services: Vec<String>,
    /// Servers that must find so.
    pub reports: usize,
    /// Part of the tier ejected at most, in thousandths.
    pub max_ejected_thousandths: usize,
    /// How long a report counts, and half of what evidence remembers.
    pub expiry: Nanos,
}

impl Settings {
    pub fn check(&self) -> Result<(), String> {
        let mut names: Vec<&String> = self.services.iter().collect();
        names.sort();
        names.dedup();
        if names.len() != self.services.len() || names.len() > 256 {
            return Err("service: at most 256, each name once".into());
        }
        if names.iter().any(|name| name.is_empty() || name.len() > crate::NAME_MAX) {
            return Err(format!("service: name: 1 to {} bytes", crate::NAME_MAX));
        }
        if self.reports == 0 || self.max_ejected_thousandths > 1000 || self.expiry == 0 {
            return Err("reports: 1 at least; eject-share: 0 to 1; expiry-ms: above 0".into());
        }
        Ok(())
    }

    /// Services that may be ejected at once.
    pub fn eject_max(&self) -> usize {
        self.services.len() * self.max_ejected_thousandths / 1000
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServiceHealth {
    #[serde(rename = "Good")]
    Healthy,
    Slow,
    Failing,
}

/// What one server finds of one service; `age` is how long ago, so that no clocks are compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub by: ServerId,
    pub service: u32,
    pub verdict: ServiceHealth,
    pub age: Nanos,
}

#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    calls: f64,
    failed: f64,
    took: f64,
    at: Nanos,
}

impl Evidence {
    fn age(&mut self, now: Nanos, half_life: Nanos) {
        let kept = (-(now.saturating_sub(self.at) as f64) / half_life as f64).exp2();
        (self.calls, self.failed, self.took) = (self.calls * kept, self.failed * kept, self.took * kept);
        self.at = now;
    }
}

#[derive(Clone, Debug)]
pub struct OutlierDetector {
    me: ServerId,
    settings: Settings,
    evidence: Vec<Evidence>,
    /// Others' reports by service and reporter, with when they end by the fast clock.
    heard: BTreeMap<(u32, String), (u64, ServiceHealth, Nanos)>,
    /// When another was last heard at all.
    heard_at: Option<Nanos>,
    /// Reports of unknown services, with no age that counts, or beyond the room.
    pub refused: u64,
}

/// Servers that probe a service, for each that must find badly of it: one may be lost or slow.
const PROBERS: usize = 2;

/// The same on all servers and builds: FNV-1a of service and name.
fn rank(service: usize, name: &str) -> u64 {
    let bytes = (service as u32).to_le_bytes().into_iter().chain(name.bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Reporters remembered for each service.
const REPORTERS_MAX: usize = 1024;

impl OutlierDetector {
    pub fn new(me: ServerId, settings: Settings) -> Result<OutlierDetector, String> {
        settings.check()?;
        let evidence = vec![Evidence::default(); settings.services.len()];
        Ok(OutlierDetector { me, settings, evidence, heard: BTreeMap::new(), heard_at: None, refused: 0 })
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// A call of this server's own has ended.
    pub fn record_call(&mut self, time: Time, service: usize, good: bool, took: Nanos) {
        let half_life = self.settings.expiry;
        let Some(evidence) = self.evidence.get_mut(service) else { return };
        evidence.age(time.fast, half_life);
        evidence.calls += 1.0;
        evidence.failed += f64::from(!good);
        evidence.took += took as f64;
    }

    /// A call of this server's own was given up after so long: evidence against its service only where none
    /// takes so long that is not slow. Guards against a service that never answers, whose calls all end so;
    /// what its callers give up early says nothing.
    pub fn record_abandoned_call(&mut self, time: Time, service: usize, after: Nanos) {
        let known = self.evidence.iter().filter(|evidence| evidence.calls >= CALLS_MIN);
        let (calls, took) = known.fold((0.0, 0.0), |sum, its| (sum.0 + its.calls, sum.1 + its.took));
        if calls > 0.0 && after as f64 > took / calls * SLOW {
            self.record_call(time, service, false, after);
        }
    }

    /// What this server finds itself.
    pub fn local_health(&self, time: Time, service: usize) -> ServiceHealth {
        let aged = |evidence: &Evidence| {
            let mut evidence = *evidence;
            evidence.age(time.fast, self.settings.expiry);
            evidence
        };
        let Some(its) = self.evidence.get(service).map(aged) else { return ServiceHealth::Healthy };
        if its.calls < CALLS_MIN {
            return ServiceHealth::Healthy;
        }
        if its.failed >= its.calls * FAILING {
            return ServiceHealth::Failing;
        }
        let mut others: Vec<f64> = (0..self.evidence.len())
            .filter(|i| *i != service)
            .map(|i| aged(&self.evidence[i]))
            .filter(|other| other.calls >= CALLS_MIN)
            .map(|other| other.took / other.calls)
            .collect();
        others.sort_by(f64::total_cmp);
        let middle = others.get(others.len() / 2).copied().unwrap_or(f64::INFINITY);
        if its.took / its.calls > middle * SLOW { ServiceHealth::Slow } else { ServiceHealth::Healthy }
    }

    /// Reports to tell others: what this server finds, good ones too so that it is known to be heard, and
    /// what it has heard of others, for those that the reporter does not reach.
    pub fn reports(&self, time: Time) -> Vec<Report> {
        let own = (0..self.evidence.len()).map(|service| Report {
            by: self.me.clone(),
            service: service as u32,
            verdict: self.local_health(time, service),
            age: 0,
        });
        let expiry = self.settings.expiry;
        let heard = self.heard.iter().filter(|(_, (.., until))| time.fast < *until);
        let relayed = heard.map(|((service, name), (incarnation, verdict, until))| Report {
            by: ServerId { name: name.clone(), incarnation: *incarnation },
            service: *service,
            verdict: *verdict,
            age: expiry.saturating_sub(until.saturating_sub(time.fast)),
        });
        own.chain(relayed).collect()
    }

    /// What another tells. A report of an older life of a reporter, or older than what is known, is nothing
    /// new; this server's own is its own to make.
    pub fn merge_reports(&mut self, time: Time, reports: &[Report]) {
        self.heard.retain(|_, (.., until)| time.fast < *until);
        for report in reports {
            let named = (1..=crate::NAME_MAX).contains(&report.by.name.len());
            if !named || report.service as usize >= self.evidence.len() || report.age >= self.settings.expiry
            {
                self.refused += 1;
                continue;
            }
            if report.by.name == self.me.name {
                continue;
            }
            self.heard_at = Some(time.fast);
            let until = time.fast + self.settings.expiry - report.age;
            let key = (report.service, report.by.name.clone());
            let known = self.heard.get(&key).map(|(incarnation, _, known)| (*incarnation, *known));
            let full = self.heard.len() >= REPORTERS_MAX * self.evidence.len();
            if known.is_none() && full {
                self.refused += 1;
            } else if known.is_none_or(|known| (report.by.incarnation, until) > known) {
                self.heard.insert(key, (report.by.incarnation, report.verdict, until));
            }
        }
    }

    /// Whether no other has been heard for as long as a report counts.
    pub fn is_isolated(&self, time: Time) -> bool {
        self.heard_at.is_none_or(|at| time.fast >= at + self.settings.expiry)
    }

    /// Servers that find so badly of a service, this one included.
    pub fn accusers(&self, time: Time, service: usize) -> usize {
        self.other_accusers(time, service).count() + usize::from(self.accuses(time, service))
    }

    fn accuses(&self, time: Time, service: usize) -> bool {
        self.local_health(time, service) != ServiceHealth::Healthy
    }

    fn other_accusers(&self, time: Time, service: usize) -> impl Iterator<Item = &str> {
        let from = (service as u32, String::new());
        let theirs = self.heard.range(from..).take_while(move |((s, _), _)| *s == service as u32);
        let bad = theirs
            .filter(move |(_, (_, verdict, until))| *verdict != ServiceHealth::Healthy && time.fast < *until);
        bad.map(|((_, name), _)| name.as_str())
    }

    /// Whether this server is one of the few that go on calling a service that is out, for all others too:
    /// of those that accuse it twice as many as must find so, by a rank of their own in each service. Guards
    /// against the sum of a large fleet's probes, which is more than a cold service stands; where one of them
    /// is lost the next takes its place once the report of the lost one has ended.
    pub fn is_prober(&self, time: Time, service: usize) -> bool {
        let mine = rank(service, &self.me.name);
        let before = self.other_accusers(time, service).filter(|name| rank(service, name) < mine);
        self.accuses(time, service) && before.count() < PROBERS * self.settings.reports
    }

    /// Services ejected now, by number: those most accused first, within the share. A server that hears
    /// nobody goes by its own evidence.
    pub fn ejected(&self, time: Time) -> Vec<usize> {
        let alone = self.is_isolated(time);
        let needed = if alone { 1 } else { self.settings.reports };
        let mut accused: Vec<(usize, usize)> = (0..self.evidence.len())
            .map(|service| (self.accusers(time, service), service))
            .filter(|(accusers, _)| *accusers >= needed)
            .collect();
        accused.sort_by_key(|(accusers, service)| (std::cmp::Reverse(*accusers), *service));
        accused.into_iter().take(self.settings.eject_max()).map(|(_, service)| service).collect()
    }
}
