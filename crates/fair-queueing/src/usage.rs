//! What each tenant has used of its share, wherever that is kept.

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

/// Visits after which a name is known, if the probation has passed since the first.
const KNOWN_VISITS: u8 = 3;

/// Where the use of a tenant is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum UsageLocation {
    /// Nowhere.
    #[default]
    Nowhere,
    /// In an account of its own.
    Account(Slot),
    /// In the record that the newcomers of its origin share, by the index of the origin.
    Newcomers(usize),
    /// In the cells of the sketch.
    Sketch,
}

/// An arrival with what is known of its tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Located {
    /// Where the use of its tenant is kept.
    pub location: UsageLocation,
    /// The weight that it counts with.
    pub weight: f64,
    /// Its work as estimated from its tenant's past, in nanoseconds of one core.
    pub estimated_work: f64,
}

/// The present of the fair rate.
#[derive(Clone, Copy, Debug)]
pub struct Present {
    /// The time, in nanoseconds.
    pub now: Nanos,
    /// The virtual time, in nanoseconds of one core for a unit of weight.
    pub virtual_time: f64,
    /// How far ahead of virtual time a finish may lie within the share, in the same unit.
    pub allowance: f64,
}

/// Use of all tenants.
#[derive(Debug)]
pub struct Usage {
    /// Tenants with an account.
    pub accounts: Accounts,
    /// Newcomers of each origin.
    pub origins: Origins,
    sketch: FinishSketch,
    known_names: KnownNames,
    /// Ratio of all tenants in the sketch together.
    sketched_ratio: LearnedRatio,
}

impl Usage {
    /// Nothing is used at first.
    pub fn new(settings: &Settings) -> Self {
        Self {
            accounts: Accounts::new(settings.accounts),
            origins: Origins::new(settings.origins, settings.names_per_origin, settings.probation),
            sketch: FinishSketch::new(settings.cells),
            known_names: KnownNames::new(settings.known_names(), KNOWN_VISITS),
            sketched_ratio: LearnedRatio::default(),
        }
    }

    /// Bytes held now.
    pub fn bytes(&self) -> usize {
        self.accounts.bytes() + self.sketch.bytes() + self.known_names.bytes() + self.origins.bytes()
    }

    /// Records an arrival and finds where its tenant's use is kept: its account, the record that newcomers of
    /// its origin share until its name is known, a new account, or the sketch.
    pub fn locate(
        &mut self,
        present: Present,
        fingerprint: Fingerprint,
        tenant: &TenantKey<'_>,
        work: f64,
        settings: &Settings,
        counters: &mut SchedulerCounters,
    ) -> Located {
        let now = present.now;
        if let Some(located) = self.locate_account(now, fingerprint, tenant, work, settings.default_weight) {
            return located;
        }
        let weight = settings.default_weight * self.origins.weight_ratio(tenant.origin, fingerprint, now);
        let before = self.known_names.visit(fingerprint, now);
        if before.visits < KNOWN_VISITS || before.since_first_visit < settings.probation {
            counters.newcomers += 1;
            let (index, estimated_work) = self.origins.record_newcomer(tenant.origin, now, work);
            let location = UsageLocation::Newcomers(index);
            return Located { location, weight: settings.default_weight, estimated_work };
        }
        self.open_account(present, fingerprint, tenant, weight, work, counters)
    }

    fn locate_account(
        &mut self,
        now: Nanos,
        fingerprint: Fingerprint,
        tenant: &TenantKey<'_>,
        work: f64,
        default_weight: f64,
    ) -> Option<Located> {
        let slot = self.accounts.find(fingerprint, now)?;
        let account = self.accounts.get_mut(slot)?;
        let estimated_work = work * account.ratio.get();
        account.record_demand(now, estimated_work);
        if !account.named {
            account.weight = default_weight * self.origins.weight_ratio(tenant.origin, fingerprint, now);
        }
        Some(Located { location: UsageLocation::Account(slot), weight: account.weight, estimated_work })
    }

    /// Opens an account for a name that has become known; where there is none, the sketch keeps its use.
    fn open_account(
        &mut self,
        present: Present,
        fingerprint: Fingerprint,
        tenant: &TenantKey<'_>,
        weight: f64,
        work: f64,
        counters: &mut SchedulerCounters,
    ) -> Located {
        let Present { now, virtual_time, allowance } = present;
        let finish = self.sketch.finish(fingerprint, virtual_time);
        let mut account = Account::new(tenant.name, weight, finish, now);
        account.record_demand(now, work);
        let over_share = finish - virtual_time > allowance;
        let Some(insertion) = self.accounts.insert(fingerprint, account, now, virtual_time, over_share)
        else {
            counters.sketched += 1;
            let estimated_work = work * self.sketched_ratio.get();
            return Located { location: UsageLocation::Sketch, weight, estimated_work };
        };
        counters.evicted += u64::from(insertion.evicted);
        Located { location: UsageLocation::Account(insertion.slot), weight, estimated_work: work }
    }

    /// Virtual time up to which a tenant has used its share.
    pub fn finish(&mut self, location: UsageLocation, fingerprint: Fingerprint, virtual_time: f64) -> f64 {
        match location {
            UsageLocation::Account(slot) => {
                self.accounts.get_mut(slot).map_or(virtual_time, |account| account.finish)
            }
            UsageLocation::Newcomers(index) => self.origins.get(index).finish,
            UsageLocation::Sketch => self.sketch.finish(fingerprint, virtual_time),
            UsageLocation::Nowhere => virtual_time,
        }
    }

    /// Sets up to which virtual time a tenant has used its share; the sketch can only raise it.
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
            UsageLocation::Nowhere => {}
        }
    }

    /// Where the tenant's queues end; the sketch keeps none.
    pub fn tails_mut(&mut self, location: UsageLocation) -> Option<&mut QueueTails> {
        match location {
            UsageLocation::Account(slot) => self.accounts.get_mut(slot).map(|account| &mut account.tails),
            UsageLocation::Newcomers(index) => Some(&mut self.origins.get_mut(index).tails),
            UsageLocation::Sketch | UsageLocation::Nowhere => None,
        }
    }

    /// Virtual time up to which the tenant's share is promised; the sketch keeps none.
    pub fn booked_until_mut(&mut self, location: UsageLocation) -> Option<&mut f64> {
        match location {
            UsageLocation::Account(slot) => {
                self.accounts.get_mut(slot).map(|account| &mut account.booked_until)
            }
            UsageLocation::Newcomers(index) => Some(&mut self.origins.get_mut(index).booked_until),
            UsageLocation::Sketch | UsageLocation::Nowhere => None,
        }
    }

    /// The learned ratio that the tenant's work is estimated with.
    pub fn ratio_mut(&mut self, location: UsageLocation) -> Option<&mut LearnedRatio> {
        match location {
            UsageLocation::Account(slot) => self.accounts.get_mut(slot).map(|account| &mut account.ratio),
            UsageLocation::Newcomers(index) => Some(&mut self.origins.get_mut(index).ratio),
            UsageLocation::Sketch => Some(&mut self.sketched_ratio),
            UsageLocation::Nowhere => None,
        }
    }

    /// Counts an arrival in its tenant's account, if it has one.
    pub fn count(&mut self, location: UsageLocation, surplus: bool) {
        if let UsageLocation::Account(slot) = location
            && let Some(account) = self.accounts.get_mut(slot)
        {
            account.within += u64::from(!surplus);
            account.surplus += u64::from(surplus);
        }
    }

    /// Recent demand of all tenants with an account and of the newcomers of each origin.
    pub fn demands(&self, now: Nanos, newcomers_weight: f64) -> impl Iterator<Item = Demand> {
        self.accounts.demands(now).chain(self.origins.demands(now, newcomers_weight))
    }

    /// Does the sketch's periodic work.
    pub fn sweep(&mut self, virtual_time: f64) {
        self.sketch.sweep(virtual_time);
    }
}
