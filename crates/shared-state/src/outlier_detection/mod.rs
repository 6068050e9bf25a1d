//! Outlier detection over the services of a tier: which of them the fleet finds slow or failing, and which
//! are ejected.
//!
//! Each server has evidence from its own calls. It reports what it finds; a report counts for a while. A
//! service is ejected once enough servers find it unhealthy at the same time; a server that receives no
//! reports relies on its own evidence. Invariant: at most the configured part of a tier is ejected, so that a
//! fault of the callers or of the network does not take the whole tier away.

mod evidence;
pub mod report;
pub mod settings;

use crate::clock::{Nanos, Time};
use crate::server_id::{ServerId, is_valid_name};
use evidence::Evidence;
pub use report::{Report, ServiceHealth};
pub use settings::{Settings, SettingsError};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Servers that probe a service, for each server that must find it unhealthy: one may be lost or slow.
const PROBERS_PER_ACCUSER: usize = 2;
/// Reporters remembered for each service.
const REPORTERS_MAX: usize = 1024;

/// The service and the name of the server that reports on it.
type ReportKey = (u32, String);

/// A report of another server.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    incarnation: u64,
    health: ServiceHealth,
    /// By the fast clock.
    expires_at: Nanos,
}

/// One server's part in outlier detection.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    id: ServerId,
    settings: Settings,
    evidence: Evidence,
    reports: BTreeMap<ReportKey, ReceivedReport>,
    /// When a report of another server was last received, by the fast clock.
    received_at: Option<Nanos>,
    /// Reports dropped: of unknown services, too old, of an invalid name, or beyond the number remembered.
    pub rejected: u64,
}

/// Order of the probers of a service, the same on all servers and builds: FNV-1a of the service's index and
/// the server's name.
fn prober_rank(service: usize, name: &str) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let bytes = (service as u32).to_le_bytes().into_iter().chain(name.bytes());
    bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

impl OutlierDetector {
    /// The part of the server `id`.
    ///
    /// # Errors
    /// A setting that cannot be used.
    pub fn new(id: ServerId, settings: Settings) -> Result<OutlierDetector, SettingsError> {
        settings.check()?;
        let evidence = Evidence::new(settings.services.len(), settings.expiry);
        Ok(OutlierDetector {
            id,
            settings,
            evidence,
            reports: BTreeMap::new(),
            received_at: None,
            rejected: 0,
        })
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Records a call of this server that has ended after `duration` nanoseconds.
    pub fn record_call(&mut self, time: Time, service: usize, succeeded: bool, duration: Nanos) {
        self.evidence.record_call(time.fast, service, succeeded, duration);
    }

    /// Records a call of this server that was abandoned after `duration` nanoseconds: a failure if a healthy
    /// service would have answered by then. A service that never answers has only such calls.
    pub fn record_abandoned_call(&mut self, time: Time, service: usize, duration: Nanos) {
        if self.evidence.is_slow(duration) {
            self.record_call(time, service, false, duration);
        }
    }

    /// Health of a service by this server's own calls.
    pub fn local_health(&self, time: Time, service: usize) -> ServiceHealth {
        self.evidence.health(time.fast, service)
    }

    /// Reports to send: this server's own, healthy services included, so that others know that it is reached;
    /// and those received, for servers that the reporter does not reach.
    pub fn reports(&self, time: Time) -> Vec<Report> {
        let own = (0..self.evidence.services()).map(|service| Report {
            by: self.id.clone(),
            service: service as u32,
            health: self.local_health(time, service),
            age: 0,
        });
        let mut reports: Vec<Report> = own.collect();
        for ((service, name), report) in &self.reports {
            if time.fast >= report.expires_at {
                continue;
            }
            reports.push(Report {
                by: ServerId { name: name.clone(), incarnation: report.incarnation },
                service: *service,
                health: report.health,
                age: self.settings.expiry.saturating_sub(report.expires_at.saturating_sub(time.fast)),
            });
        }
        reports
    }

    /// Merges reports of other servers. Of each reporter the latest report of its latest incarnation counts.
    pub fn merge_reports(&mut self, time: Time, reports: &[Report]) {
        self.reports.retain(|_, report| time.fast < report.expires_at);
        for report in reports {
            if !self.is_valid(report) {
                self.rejected += 1;
            } else if report.by.name != self.id.name {
                self.received_at = Some(time.fast);
                self.merge_report(time, report);
            }
        }
    }

    fn is_valid(&self, report: &Report) -> bool {
        let is_known_service = (report.service as usize) < self.evidence.services();
        is_valid_name(&report.by.name) && is_known_service && report.age < self.settings.expiry
    }

    fn merge_report(&mut self, time: Time, report: &Report) {
        let incarnation = report.by.incarnation;
        let expires_at = time.fast + self.settings.expiry - report.age;
        let key = (report.service, report.by.name.clone());
        let is_newer = match self.reports.get(&key) {
            Some(known) => (incarnation, expires_at) > (known.incarnation, known.expires_at),
            None if self.reports.len() >= REPORTERS_MAX * self.evidence.services() => {
                self.rejected += 1;
                false
            }
            None => true,
        };
        if is_newer {
            let received = ReceivedReport { incarnation, health: report.health, expires_at };
            self.reports.insert(key, received);
        }
    }

    /// Whether no report has been received for as long as one counts.
    pub fn is_isolated(&self, time: Time) -> bool {
        self.received_at.is_none_or(|at| time.fast >= at + self.settings.expiry)
    }

    /// Number of servers that find a service unhealthy, this one included.
    pub fn accusers(&self, time: Time, service: usize) -> usize {
        self.other_accusers(time, service).count() + usize::from(self.accuses(time, service))
    }

    fn accuses(&self, time: Time, service: usize) -> bool {
        self.local_health(time, service) != ServiceHealth::Healthy
    }

    /// Names of the other servers that find a service unhealthy.
    fn other_accusers(&self, time: Time, service: usize) -> impl Iterator<Item = &str> {
        let service = service as u32;
        let reports = self.reports.range((service, String::new())..);
        let on_service = reports.take_while(move |((other, _), _)| *other == service);
        let accusations = on_service.filter(move |(_, report)| {
            report.health != ServiceHealth::Healthy && time.fast < report.expires_at
        });
        accusations.map(|((_, name), _)| name.as_str())
    }

    /// Whether this server probes a service that is ejected, for the whole fleet: a few of its accusers do,
    /// by a rank of their own for each service, since the probes of a whole fleet are more than a service
    /// that warms up stands. Where a prober is lost, the next takes its place once its report has expired.
    pub fn is_prober(&self, time: Time, service: usize) -> bool {
        let own_rank = prober_rank(service, &self.id.name);
        let others = self.other_accusers(time, service);
        let ranked_before = others.filter(|name| prober_rank(service, name) < own_rank);
        self.accuses(time, service)
            && ranked_before.count() < PROBERS_PER_ACCUSER * self.settings.accusers_min
    }

    /// Indices of the services ejected now: those with most accusers first, within the configured part. For
    /// an isolated server its own evidence is enough.
    pub fn ejected(&self, time: Time) -> Vec<usize> {
        let accusers_min = if self.is_isolated(time) { 1 } else { self.settings.accusers_min };
        let mut accused = Vec::new();
        for service in 0..self.evidence.services() {
            let accusers = self.accusers(time, service);
            if accusers >= accusers_min {
                accused.push((Reverse(accusers), service));
            }
        }
        accused.sort_unstable();
        accused.into_iter().take(self.settings.ejected_max()).map(|(_, service)| service).collect()
    }
}
