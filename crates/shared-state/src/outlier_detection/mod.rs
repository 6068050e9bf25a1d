//! Outlier detection for the services of a tier. It detects services that the servers of the fleet find slow
//! or failing, and ejects these services.
//!
//! Each server collects evidence on the services from its own calls and reports its findings to the other
//! servers. Each report expires after some time. A service is ejected once enough servers find it unhealthy
//! at the same time. A server that receives no reports relies on its own evidence.
//!
//! Invariant: at most the configured share of a tier is ejected, so that a fault of the callers or of the
//! network does not remove the whole tier.

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

/// Number of servers that probe an ejected service, as a multiple of [`Settings::accusers_min`]. That setting
/// is the number of servers that must find a service unhealthy before the service is ejected. The multiple is
/// greater than 1 because a server that probes may be lost or slow.
const PROBERS_PER_ACCUSER: usize = 2;
/// Maximum number of stored reports, as a multiple of the number of services. Each report is from one server
/// on one service. If the maximum is reached, a new report is stored only if it replaces a stored report.
const REPORTERS_MAX: usize = 1024;

/// Key of a stored report: the index of a service, and the name of the server that reports on the service.
type ReportKey = (u32, String);

/// Stored report of another server on the health of a service.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    incarnation: u64,
    health: ServiceHealth,
    /// Time at which the report expires, by this server's fast clock ([`Time::fast`]).
    expires_at: Nanos,
}

/// One server's part of the fleet's outlier detection.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    id: ServerId,
    settings: Settings,
    evidence: Evidence,
    reports: BTreeMap<ReportKey, ReceivedReport>,
    /// Time at which this server last received a report of another server, by this server's fast clock
    /// ([`Time::fast`]). `None` if it has received no report.
    received_at: Option<Nanos>,
    /// Number of received reports that were rejected. Causes are an unknown service, an expired report, an
    /// invalid server name, or the limit on stored reports.
    pub rejected: u64,
}

/// Returns a number that determines the order in which servers are selected to probe a service. The number is
/// the FNV-1a hash of the service's index and the server's name. The hash function is fixed, so all servers
/// and all builds compute the same order.
fn prober_rank(service: usize, name: &str) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let bytes = (service as u32).to_le_bytes().into_iter().chain(name.bytes());
    bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

impl OutlierDetector {
    /// Creates the outlier detector of the server `id`.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid setting.
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

    /// Returns the settings of outlier detection.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Records a call from this server to a service. The call ended after `duration` nanoseconds.
    pub fn record_call(&mut self, time: Time, service: usize, succeeded: bool, duration: Nanos) {
        self.evidence.record_call(time.fast, service, succeeded, duration);
    }

    /// Records that this server abandoned a call to a service after `duration` nanoseconds. The call counts
    /// as a failure if a healthy service would have answered within this time. Otherwise the call is ignored.
    /// Without this rule, a service that never answers would have no recorded calls.
    pub fn record_abandoned_call(&mut self, time: Time, service: usize, duration: Nanos) {
        if self.evidence.is_slow(duration) {
            self.record_call(time, service, false, duration);
        }
    }

    /// Returns the health of a service, as found from this server's own calls alone.
    pub fn local_health(&self, time: Time, service: usize) -> ServiceHealth {
        self.evidence.health(time.fast, service)
    }

    /// Returns the reports to send to other servers. This server's own reports on all services are first. A
    /// report on a healthy service is sent, too, since it shows that this server is reachable. Unexpired
    /// reports of other servers follow, for receivers that the reporting servers may not reach.
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

    /// Stores received reports. For each service and reporting server, only one report is kept. A report of a
    /// later incarnation of the reporting server replaces an earlier one; within an incarnation, the most
    /// recent report is kept.
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

    /// Returns whether this server counts as isolated. A server is isolated if it has received no report of
    /// another server for [`Settings::expiry`] or longer. An isolated server ejects services on its own
    /// evidence.
    pub fn is_isolated(&self, time: Time) -> bool {
        self.received_at.is_none_or(|at| time.fast >= at + self.settings.expiry)
    }

    /// Returns the number of servers that find a service unhealthy. This server is included if it finds the
    /// service unhealthy.
    pub fn accusers(&self, time: Time, service: usize) -> usize {
        self.other_accusers(time, service).count() + usize::from(self.accuses(time, service))
    }

    fn accuses(&self, time: Time, service: usize) -> bool {
        self.local_health(time, service) != ServiceHealth::Healthy
    }

    /// Returns the names of the other servers whose unexpired reports find a service unhealthy.
    fn other_accusers(&self, time: Time, service: usize) -> impl Iterator<Item = &str> {
        let service = service as u32;
        let reports = self.reports.range((service, String::new())..);
        let on_service = reports.take_while(move |((other, _), _)| *other == service);
        let accusations = on_service.filter(move |(_, report)| {
            report.health != ServiceHealth::Healthy && time.fast < report.expires_at
        });
        accusations.map(|((_, name), _)| name.as_str())
    }

    /// Returns whether this server must probe an ejected service on behalf of the fleet. Of the servers that
    /// find the service unhealthy, only the few with the lowest ranks probe the service. Probes from a whole
    /// fleet would overload a service that is warming up. If a server that probes is lost, its report
    /// expires, and the server with the next rank replaces it.
    pub fn is_prober(&self, time: Time, service: usize) -> bool {
        let own_rank = prober_rank(service, &self.id.name);
        let others = self.other_accusers(time, service);
        let ranked_before = others.filter(|name| prober_rank(service, name) < own_rank);
        self.accuses(time, service)
            && ranked_before.count() < PROBERS_PER_ACCUSER * self.settings.accusers_min
    }

    /// Returns the indices of the services that are ejected now, in descending order of the number of servers
    /// that find the service unhealthy. At most the configured share of the tier is ejected. A server that
    /// receives no reports ejects services on its own evidence alone.
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
