//! The grantor's table of leases.
//!
//! Invariant: the sum over all holders of each holder's largest grant that may still be active is at most the
//! number of leasable units. A grant may be active until its holder reports that it has adopted a later grant
//! and uses no more units than the later grant has, or until the lease duration plus the drift margin has
//! passed by the grantor's slow clock ([`Time::slow`]).

use super::counters::BudgetCounters;
use super::fair_share::{Demand, fair_share};
use super::message::{GrantId, Term};
use super::settings::BudgetSettings;
use crate::clock::{Nanos, Time};
use crate::server_id::ServerId;
use std::collections::BTreeMap;

/// Maximum number of holders in the table, as a multiple of the configured number of servers. The value
/// exceeds 1 because an ended incarnation of a server stays in the table until its leases have ended.
const HOLDERS_PER_SERVER: u64 = 4;

/// Demand that a holder reports in a lease request. All amounts are units beyond the holder's floor (its
/// guaranteed minimum).
pub(super) struct LeaseDemand {
    /// Units that the holder wants.
    pub wanted: u64,
    /// Units that the holder uses now.
    pub in_use: u64,
    /// Identifier of the grant of the holder's current lease.
    pub adopted: GrantId,
}

/// A new grant, to be sent to its holder.
pub(super) struct Grant {
    /// Number of the grant in the grantor's term.
    pub number: u64,
    /// Units granted beyond the holder's floor (its guaranteed minimum).
    pub amount: u64,
}

/// A grant that its holder may still use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ActiveGrant {
    number: u64,
    amount: u64,
    /// Time at which the grant has certainly ended at its holder, by the slow clock.
    ends_at: Nanos,
}

/// One holder in the grantor's table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct HolderEntry {
    grants: Vec<ActiveGrant>,
    wanted: u64,
    /// Time of the holder's latest request, by the slow clock.
    requested_at: Nanos,
}

impl HolderEntry {
    /// Returns the largest number of units that the holder may use under any of its grants.
    fn largest_grant(&self) -> u64 {
        self.grants.iter().map(|grant| grant.amount).max().unwrap_or(0)
    }

    /// Removes the grants that are earlier than the grant `adopted`, which the holder reports as its current
    /// lease. If the holder uses more units than the adopted grant has, earlier grants are kept until they
    /// end.
    fn confirm(&mut self, adopted: u64, in_use: u64, last_number: u64, counters: &mut BudgetCounters) {
        match self.grants.iter().find(|grant| grant.number == adopted) {
            Some(grant) if in_use <= grant.amount => self.grants.retain(|grant| grant.number >= adopted),
            Some(_) => {}
            None => counters.unknown_grants += u64::from(adopted > last_number),
        }
    }
}

/// Table of the leases that a grantor has granted in its term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct LeaseTable {
    /// Time, by the slow clock, before which nothing is granted, since leases of earlier grantors may still
    /// be held.
    grants_from: Nanos,
    last_number: u64,
    holders: BTreeMap<ServerId, HolderEntry>,
}

impl LeaseTable {
    /// Begins a term of office at the time of the election. The last lease of an earlier grantor was
    /// requested before that grantor's term ended, so the lease ends within one lease duration from now.
    pub fn begin(&mut self, time: Time, settings: &BudgetSettings) {
        self.grants_from = time.slow + settings.lease_duration + settings.drift_margin;
    }

    /// Skips the wait until the leases of earlier grantors have ended. Used only by the model check.
    pub fn skip_wait(&mut self) {
        self.grants_from = 0;
    }

    /// Returns whether the leases of earlier grantors have ended.
    pub fn may_grant(&self, time: Time) -> bool {
        time.slow >= self.grants_from
    }

    /// Returns the number of units that holders may use under the grants of this term.
    pub fn outstanding(&self) -> u64 {
        self.holders.values().map(HolderEntry::largest_grant).sum()
    }

    /// Grants a lease in reply to a holder's request. Returns `None` if the holder is new and the table is
    /// full.
    pub fn grant(
        &mut self,
        time: Time,
        settings: &BudgetSettings,
        term: Term,
        holder: &ServerId,
        demand: &LeaseDemand,
        counters: &mut BudgetCounters,
    ) -> Option<Grant> {
        let leasable = settings.leasable();
        let active_duration = settings.lease_duration + settings.drift_margin;
        self.expire(time, active_duration);
        let holders_max = settings.servers_max * HOLDERS_PER_SERVER;
        if !self.holders.contains_key(holder) && self.holders.len() as u64 >= holders_max {
            counters.invalid += 1;
            return None;
        }
        counters.invalid += u64::from(demand.wanted > leasable);
        let entry = self.holders.entry(holder.clone()).or_default();
        entry.wanted = demand.wanted.min(leasable);
        entry.requested_at = time.slow;
        if demand.adopted.term == term {
            entry.confirm(demand.adopted.number, demand.in_use, self.last_number, counters);
        }
        let amount = self.amount_for(holder, leasable);
        self.last_number += 1;
        let number = self.last_number;
        let grant = ActiveGrant { number, amount, ends_at: time.slow + active_duration };
        self.holders.entry(holder.clone()).or_default().grants.push(grant);
        counters.grants_sent += 1;
        Some(Grant { number, amount })
    }

    /// Removes grants that have ended, and holders that have neither a grant nor a request within
    /// `active_duration` nanoseconds.
    fn expire(&mut self, time: Time, active_duration: Nanos) {
        for entry in self.holders.values_mut() {
            entry.grants.retain(|grant| time.slow < grant.ends_at);
        }
        self.holders
            .retain(|_, entry| !entry.grants.is_empty() || time.slow < entry.requested_at + active_duration);
    }

    /// Returns the number of units for a new grant to a holder: the holder's fair share, limited to the units
    /// that the grants of other holders leave free.
    fn amount_for(&self, holder: &ServerId, leasable: u64) -> u64 {
        let mut held_by_others = 0;
        let mut demands = Vec::with_capacity(self.holders.len());
        let mut index = 0;
        for (server, entry) in &self.holders {
            let held = entry.largest_grant();
            if server == holder {
                index = demands.len();
            } else {
                held_by_others += held;
            }
            demands.push(Demand { wanted: entry.wanted, held });
        }
        let share = fair_share(leasable, &demands, index);
        share.min(leasable.saturating_sub(held_by_others))
    }
}
