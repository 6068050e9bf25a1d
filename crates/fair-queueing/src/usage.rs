//! Usage records of all tenants. A tenant's usage is recorded in its own account, in the record that
//! newcomers of the same origin share, or in the sketch.

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

/// Number of earlier arrivals (visits) with a tenant name that establish the name, provided that
/// [`Settings::probation`] has passed since the first of them.
const KNOWN_VISITS: u8 = 3;

/// Location of a tenant's usage record.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum UsageLocation {
    /// The usage is not recorded. This is the default until the usage record of an arrival's tenant has been
    /// found.
    #[default]
    Untracked,
    /// In the tenant's own account.
    Account(Slot),
    /// In the record shared by all newcomers of the tenant's origin; the value is the index of the origin.
    Newcomers(usize),
    /// In the sketch, whose cells are shared by the tenants without an account.
    Sketch,
}

/// Weight and estimated work of an arrival, and the location of its tenant's usage record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocatedArrival {
    /// Location of the tenant's usage record.
    pub location: UsageLocation,
    /// Weight of the arrival's tenant. The weight of a tenant that is established but not named is reduced if
    /// its origin has sent too many names.
    pub weight: f64,
    /// Work estimated from the tenant's previous invocations, in nanoseconds of one core.
    pub estimated_work: f64,
}

/// State of the fair rate and the virtual time at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct RateSnapshot {
    /// Time of the snapshot, in nanoseconds.
    pub now: Nanos,
    /// Virtual time, in nanoseconds of one core per unit of weight.
    pub virtual_time: f64,
    /// Maximum distance by which a tenant's finish (the virtual time up to which the tenant has used its
    /// share) may be ahead of the current virtual time while the tenant still counts as within its share. The
    /// unit is that of `virtual_time`.
    pub allowance: f64,
}

/// Usage records of all tenants.
#[derive(Debug)]
pub struct Usage {
    /// Accounts of established tenants.
    pub accounts: Accounts,
    /// Usage records of newcomers (tenants whose names are not yet established), one record for each origin.
    pub origins: Origins,
    sketch: FinishSketch,
    known_names: KnownNames,
    /// Learned ratio shared by all tenants in the sketch.
    sketched_ratio: LearnedRatio,
}

impl Usage {
    /// Creates records without any usage.
    pub fn new(settings: &Settings) -> Self {
        Self {
            accounts: Accounts::new(settings.accounts),
            origins: Origins::new(settings.origins, settings.names_per_origin, settings.probation),
            sketch: FinishSketch::new(settings.cells),
            known_names: KnownNames::new(settings.known_names(), KNOWN_VISITS),
            sketched_ratio: LearnedRatio::default(),
        }
    }

    /// Returns the memory in use, in bytes.
    pub fn bytes(&self) -> usize {
        self.accounts.bytes() + self.sketch.bytes() + self.known_names.bytes() + self.origins.bytes()
    }

    /// Records an arrival and finds its tenant's usage record. In order of preference, this is the tenant's
    /// existing account, the record of the newcomers of the arrival's origin (until the tenant's name is
    /// established), a new account, or the sketch.
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

    /// Opens an account for a tenant whose name is established. If no account is free or may be evicted, the
    /// sketch records the tenant's usage.
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

    /// Sets the virtual time up to which a tenant has used its share. For a tenant in the sketch, this value
    /// can only be raised.
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

    /// Returns the start tags that the next arrivals in the tenant's queues will get; `None` for a tenant in
    /// the sketch, which does not store them.
    pub fn tails_mut(&mut self, location: UsageLocation) -> Option<&mut QueueTails> {
        match location {
            UsageLocation::Account(slot) => self.accounts.get_mut(slot).map(|account| &mut account.tails),
            UsageLocation::Newcomers(index) => Some(&mut self.origins.get_mut(index).tails),
            UsageLocation::Sketch | UsageLocation::Untracked => None,
        }
    }

    /// Returns the virtual time up to which promises have reserved the tenant's share; `None` for a tenant in
    /// the sketch, which stores no reservations.
    pub fn booked_until_mut(&mut self, location: UsageLocation) -> Option<&mut f64> {
        match location {
            UsageLocation::Account(slot) => {
                self.accounts.get_mut(slot).map(|account| &mut account.booked_until)
            }
            UsageLocation::Newcomers(index) => Some(&mut self.origins.get_mut(index).booked_until),
            UsageLocation::Sketch | UsageLocation::Untracked => None,
        }
    }

    /// Returns the learned ratio of the work that the tenant's invocations use to the work that their
    /// operations usually need; `None` if the tenant has no usage record.
    pub fn ratio_mut(&mut self, location: UsageLocation) -> Option<&mut LearnedRatio> {
        match location {
            UsageLocation::Account(slot) => self.accounts.get_mut(slot).map(|account| &mut account.ratio),
            UsageLocation::Newcomers(index) => Some(&mut self.origins.get_mut(index).ratio),
            UsageLocation::Sketch => Some(&mut self.sketched_ratio),
            UsageLocation::Untracked => None,
        }
    }

    /// Counts an arrival, within or beyond the share, in its tenant's account if the tenant has one.
    pub fn count(&mut self, location: UsageLocation, surplus: bool) {
        if let UsageLocation::Account(slot) = location
            && let Some(account) = self.accounts.get_mut(slot)
        {
            account.within += u64::from(!surplus);
            account.surplus += u64::from(surplus);
        }
    }

    /// Returns the recent demand of each tenant with an account, and of the newcomers of each origin
    /// together.
    pub fn demands(&self, now: Nanos, newcomers_weight: f64) -> impl Iterator<Item = Demand> {
        self.accounts.demands(now).chain(self.origins.demands(now, newcomers_weight))
    }

    /// Runs the periodic maintenance of the sketch, which keeps its wrapped virtual times valid.
    pub fn sweep(&mut self, virtual_time: f64) {
        self.sketch.sweep(virtual_time);
    }
}
