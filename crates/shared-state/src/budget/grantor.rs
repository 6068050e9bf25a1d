//! The grantor's table of leases. The grantor is the server that grants the leases of a budget.
//!
//! Invariant: the holders together can use at most the units that may be leased. For each holder, the largest
//! grant that may still be active is counted. A grant ends when its holder reports that it has adopted a
//! later grant and uses no more units than the later grant has. At the latest, a grant ends after the lease
//! duration plus the drift margin, as measured by the grantor's slow clock ([`Time::slow`]).

use super::counters::BudgetCounters;
use super::fair_share::{Demand, fair_share};
use super::message::{GrantId, Term};
use super::settings::BudgetSettings;
use crate::clock::{Nanos, Time};
use crate::server_id::ServerId;
use std::collections::BTreeMap;

/// Maximum number of holders in the table, as a multiple of the configured number of servers. A restarted
/// server counts as a new holder, while its ended incarnation stays in the table until the old leases have
/// ended. The multiple is therefore greater than 1.
const HOLDERS_PER_SERVER: u64 = 4;

/// Demand for units that a holder reports in a lease request. The amounts do not include units of the
/// holder's floor (its guaranteed minimum).
pub(super) struct LeaseDemand {
    /// Units that the holder wants.
    pub wanted: u64,
    /// Units that the holder uses now, beyond its floor.
    pub in_use: u64,
    /// Identifier of the grant that the holder has adopted as its current lease.
    pub adopted: GrantId,
}

/// A new grant of a lease, to be sent to the holder that requested it.
pub(super) struct Grant {
    /// Sequence number of the grant within the grantor's term of office.
    pub number: u64,
    /// Number of granted units. Units of the holder's floor (its guaranteed minimum) are not included.
    pub amount: u64,
}

/// A grant whose units the holder may still use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ActiveGrant {
    number: u64,
    amount: u64,
    /// Time at which the grant ends, by the grantor's slow clock ([`Time::slow`]). By then, the holder can no
    /// longer use the grant.
    ends_at: Nanos,
}

/// Entry for one holder in the grantor's table of leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct HolderEntry {
    grants: Vec<ActiveGrant>,
    wanted: u64,
    /// Time at which the holder's latest lease request was received, by the grantor's slow clock
    /// ([`Time::slow`]).
    requested_at: Nanos,
}

impl HolderEntry {
    /// Returns the number of units of the holder's largest active grant. The grantor assumes that the holder
    /// uses this grant, since the holder may use any of its active grants.
    fn largest_grant(&self) -> u64 {
        self.grants.iter().map(|grant| grant.amount).max().unwrap_or(0)
    }

    /// Removes grants that the holder no longer uses. The holder reports that it has adopted the grant with
    /// number `adopted` as its lease. Earlier grants are removed if the holder uses at most the units of the
    /// adopted grant; otherwise they are kept until they end.
    fn confirm(&mut self, adopted: u64, in_use: u64, last_number: u64, counters: &mut BudgetCounters) {
        match self.grants.iter().find(|grant| grant.number == adopted) {
            Some(grant) if in_use <= grant.amount => self.grants.retain(|grant| grant.number >= adopted),
            Some(_) => {}
            None => counters.unknown_grants += u64::from(adopted > last_number),
        }
    }
}

/// Table of the leases that this grantor has granted in its term of office.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct LeaseTable {
    /// Time from which this grantor grants leases, by its slow clock ([`Time::slow`]). Before this time,
    /// leases of earlier grantors may still be in use.
    grants_from: Nanos,
    last_number: u64,
    holders: BTreeMap<ServerId, HolderEntry>,
}

impl LeaseTable {
    /// Begins the grantor's term of office at the time of the election. The grantor then waits for one lease
    /// duration plus the drift margin before it grants leases. By then, all leases of earlier grantors have
    /// ended, since every such lease was requested before its grantor's term ended.
    pub fn begin(&mut self, time: Time, settings: &BudgetSettings) {
        self.grants_from = time.slow + settings.lease_duration + settings.drift_margin;
    }

    /// Lets this grantor grant leases at once, without waiting until the leases of earlier grantors have
    /// ended. Only the model check uses this method.
    pub fn skip_wait(&mut self) {
        self.grants_from = 0;
    }

    /// Returns whether this grantor may grant leases. The grantor must wait until all leases of earlier
    /// grantors have ended.
    pub fn may_grant(&self, time: Time) -> bool {
        time.slow >= self.grants_from
    }

    /// Returns the total number of units that holders may use under the grants of this term of office.
    pub fn outstanding(&self) -> u64 {
        self.holders.values().map(HolderEntry::largest_grant).sum()
    }

    /// Grants a lease to a holder that requested one. Returns `None` if the holder is not in the table and
    /// the table is full.
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

    /// Removes outdated entries from the table. Grants are removed when they have ended. A holder is removed
    /// if it has no grant left and has sent no request for `active_duration` nanoseconds.
    fn expire(&mut self, time: Time, active_duration: Nanos) {
        for entry in self.holders.values_mut() {
            entry.grants.retain(|grant| time.slow < grant.ends_at);
        }
        self.holders
            .retain(|_, entry| !entry.grants.is_empty() || time.slow < entry.requested_at + active_duration);
    }

    /// Returns the number of units for a new grant to `holder`. This is the holder's fair share, but at most
    /// the units that are not granted to other holders.
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
