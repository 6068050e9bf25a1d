//! Usage records of all tenants. The usage of a tenant is recorded in one of three ways: in an account of its
//! own, in a record for all new tenants of an origin, or approximately in the sketch.

use crate::Nanos;
use crate::account::Account;
use crate::accounts::{Accounts, Slot};
use crate::counters::SchedulerCounters;
use crate::demand::Demand;
use crate::finish_sketch::FinishSketch;
use crate::known_names::KnownNames;
use crate::learned_ratio::LearnedRatio;
use crate::origins::Origins;
use crate::queue_order::QueueTails;
use crate::settings::Settings;
use crate::tenant::{Fingerprint, TenantKey};

/// Number of earlier arrivals (visits) with a tenant name after which the name counts as established. In
/// addition, [`Settings::probation`] must have passed since the first visit.
const KNOWN_VISITS: u8 = 3;

/// Location of the record that holds a tenant's usage.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum UsageLocation {
    /// The usage record of the arrival's tenant has not been determined yet. This is the default value.
    #[default]
    Untracked,
    /// The usage is in the tenant's own account.
    Account(Slot),
    /// The usage is in the record that all newcomers of the tenant's origin share. The value is the index of
    /// the origin in the table of origins.
    Newcomers(usize),
    /// The usage is in the sketch, an array of hashed cells for established tenants without an account.
    Sketch,
}

/// Properties of an arrival that are known once its tenant's usage record has been found: the record's
/// location, the tenant's weight, and the estimated work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocatedArrival {
    /// Location of the tenant's usage record.
    pub location: UsageLocation,
    /// Weight of the arrival's tenant. If the tenant's origin has sent too many names, the weight of an
    /// established tenant is reduced. Weights from the settings are never reduced.
    pub weight: f64,
    /// Estimated work of the arrival, in nanoseconds of one core. The estimate uses the tenant's earlier
    /// invocations.
    pub estimated_work: f64,
}

/// Real time, virtual time and allowance at one moment. The allowance limits how far a tenant may use its
/// share in advance.
#[derive(Clone, Copy, Debug)]
pub struct RateSnapshot {
    /// Real time of the snapshot, in nanoseconds.
    pub now: Nanos,
    /// Virtual time of the snapshot, in nanoseconds of one core per unit of weight.
    pub virtual_time: f64,
    /// Maximum distance by which a tenant's finish may be ahead of the current virtual time while the tenant
    /// counts as within its share. The finish is the virtual time up to which the tenant has used its share.
    /// The unit is that of `virtual_time`.
    pub allowance: f64,
}

/// Usage records of all tenants.
#[derive(Debug)]
pub struct Usage {
    /// Accounts (usage records) of tenants whose names are established.
    pub accounts: Accounts,
    /// Usage records of newcomers (tenants whose names are not yet established). The newcomers of an origin
    /// share one record.
    pub origins: Origins,
    sketch: FinishSketch,
    known_names: KnownNames,
    /// Learned ratio that is shared by all tenants in the sketch: the work that their invocations used,
    /// divided by the work that their operations usually need.
    sketched_ratio: LearnedRatio,
}

impl Usage {
    /// Creates empty usage records for a new scheduler.
    pub fn new(settings: &Settings) -> Self {
        Self {
            accounts: Accounts::new(settings.accounts),
            origins: Origins::new(settings.origins, settings.names_per_origin, settings.probation),
            sketch: FinishSketch::new(settings.cells),
            known_names: KnownNames::new(settings.known_names(), KNOWN_VISITS),
            sketched_ratio: LearnedRatio::default(),
        }
    }

    /// Returns the memory that the usage records take now, in bytes.
    pub fn bytes(&self) -> usize {
        self.accounts.bytes() + self.sketch.bytes() + self.known_names.bytes() + self.origins.bytes()
    }

    /// Records an arrival and finds the usage record of its tenant. The tenant's existing account is used if
    /// there is one. Until the tenant's name is established, the arrival counts for the newcomers of its
    /// origin. An established tenant without an account gets a new account or, if none is available, is
    /// recorded in the sketch.
    pub fn locate(
        &mut self,
        snapshot: RateSnapshot,
        fingerprint: Fingerprint,
        tenant: &TenantKey<'_>,
        work: f64,
        settings: &Settings,
        counters: &mut SchedulerCounters,
    ) -> LocatedArrival {
        let now = snapshot.now;
        if let Some(located) = self.locate_account(now, fingerprint, tenant, work, settings.default_weight) {
            return located;
        }
        let weight = settings.default_weight * self.origins.weight_ratio(tenant.origin, fingerprint, now);
        let before = self.known_names.visit(fingerprint, now);
        if before.visits < KNOWN_VISITS || before.since_first_visit < settings.probation {
            counters.newcomers += 1;
            let (index, estimated_work) = self.origins.record_newcomer(tenant.origin, now, work);
            let location = UsageLocation::Newcomers(index);
            return LocatedArrival { location, weight: settings.default_weight, estimated_work };
        }
        self.open_account(snapshot, fingerprint, tenant, weight, work, counters)
    }

    fn locate_account(
        &mut self,
        now: Nanos,
        fingerprint: Fingerprint,
        tenant: &TenantKey<'_>,
        work: f64,
        default_weight: f64,
    ) -> Option<LocatedArrival> {
        let slot = self.accounts.find(fingerprint, now)?;
        let account = self.accounts.get_mut(slot)?;
        let estimated_work = work * account.ratio.get();
        account.record_demand(now, estimated_work);
        if !account.named {
            account.weight = default_weight * self.origins.weight_ratio(tenant.origin, fingerprint, now);
        }
        Some(LocatedArrival {
            location: UsageLocation::Account(slot),
            weight: account.weight,
            estimated_work,
        })
    }

    /// Opens an account for a tenant whose name is established. If no account is free and none may be
    /// evicted, the tenant's usage is recorded in the sketch.
    fn open_account(
        &mut self,
        snapshot: RateSnapshot,
        fingerprint: Fingerprint,
        tenant: &TenantKey<'_>,
        weight: f64,
        work: f64,
        counters: &mut SchedulerCounters,
    ) -> LocatedArrival {
        let RateSnapshot { now, virtual_time, allowance } = snapshot;
        let finish = self.sketch.finish(fingerprint, virtual_time);
        let mut account = Account::new(tenant.name, weight, finish, now);
        account.record_demand(now, work);
        let over_share = finish - virtual_time > allowance;
        let Some(insertion) = self.accounts.insert(fingerprint, account, now, virtual_time, over_share)
        else {
            counters.sketched += 1;
            let estimated_work = work * self.sketched_ratio.get();
            return LocatedArrival { location: UsageLocation::Sketch, weight, estimated_work };
        };
        counters.evicted += u64::from(insertion.evicted);
        LocatedArrival { location: UsageLocation::Account(insertion.slot), weight, estimated_work: work }
    }

    /// Returns the virtual time up to which a tenant has used its share.
    pub fn finish(&mut self, location: UsageLocation, fingerprint: Fingerprint, virtual_time: f64) -> f64 {
        match location {
            UsageLocation::Account(slot) => {
                self.accounts.get_mut(slot).map_or(virtual_time, |account| account.finish)
            }
            UsageLocation::Newcomers(index) => self.origins.get(index).finish,
            UsageLocation::Sketch => self.sketch.finish(fingerprint, virtual_time),
            UsageLocation::Untracked => virtual_time,
        }
    }

    /// Records the virtual time up to which a tenant has used its share. For a tenant in the sketch, the
    /// recorded value can be raised but not lowered.
    pub fn set_finish(
        &mut self,
        location: UsageLocation,
        fingerprint: Fingerprint,
        finish: f64,
        virtual_time: f64,
    ) {
        match location {
            UsageLocation::Account(slot) => {
                if let Some(account) = self.accounts.get_mut(slot) {
                    account.finish = finish;
                }
            }
            UsageLocation::Newcomers(index) => self.origins.get_mut(index).finish = finish,
            UsageLocation::Sketch => self.sketch.raise(fingerprint, finish, virtual_time),
            UsageLocation::Untracked => {}
        }
    }

    /// Returns the start tags that the next arrivals in the tenant's two queues will get. Returns `None` if
    /// no queue tails are stored, as for a tenant in the sketch.
    pub fn tails_mut(&mut self, location: UsageLocation) -> Option<&mut QueueTails> {
        match location {
            UsageLocation::Account(slot) => self.accounts.get_mut(slot).map(|account| &mut account.tails),
            UsageLocation::Newcomers(index) => Some(&mut self.origins.get_mut(index).tails),
            UsageLocation::Sketch | UsageLocation::Untracked => None,
        }
    }

    /// Returns the virtual time up to which the tenant's share is reserved for promises. Returns `None` if no
    /// reservations are stored, as for a tenant in the sketch.
    pub fn booked_until_mut(&mut self, location: UsageLocation) -> Option<&mut f64> {
        match location {
            UsageLocation::Account(slot) => {
                self.accounts.get_mut(slot).map(|account| &mut account.booked_until)
            }
            UsageLocation::Newcomers(index) => Some(&mut self.origins.get_mut(index).booked_until),
            UsageLocation::Sketch | UsageLocation::Untracked => None,
        }
    }

    /// Returns the learned ratio of a tenant: the work that its invocations used, divided by the work that
    /// their operations usually need. Returns `None` if the tenant has no usage record.
    pub fn ratio_mut(&mut self, location: UsageLocation) -> Option<&mut LearnedRatio> {
        match location {
            UsageLocation::Account(slot) => self.accounts.get_mut(slot).map(|account| &mut account.ratio),
            UsageLocation::Newcomers(index) => Some(&mut self.origins.get_mut(index).ratio),
            UsageLocation::Sketch => Some(&mut self.sketched_ratio),
            UsageLocation::Untracked => None,
        }
    }

    /// Counts an arrival as within or beyond its tenant's share. Only tenants with an account have these
    /// counters.
    pub fn count(&mut self, location: UsageLocation, surplus: bool) {
        if let UsageLocation::Account(slot) = location
            && let Some(account) = self.accounts.get_mut(slot)
        {
            account.within += u64::from(!surplus);
            account.surplus += u64::from(surplus);
        }
    }

    /// Returns the recent demand of each tenant with an account, and one demand for all newcomers of each
    /// origin.
    pub fn demands(&self, now: Nanos, newcomers_weight: f64) -> impl Iterator<Item = Demand> {
        self.accounts.demands(now).chain(self.origins.demands(now, newcomers_weight))
    }

    /// Runs the periodic maintenance of the sketch. The cells of the sketch hold virtual times that wrap
    /// around. Without maintenance, an outdated cell would appear to be ahead of virtual time again.
    pub fn sweep(&mut self, virtual_time: f64) {
        self.sketch.sweep(virtual_time);
    }
}
