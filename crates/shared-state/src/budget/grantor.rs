//! The grantor's table of leases.
//!
//! Invariant: the largest grants of all holders that may still stand sum to what may be leased at most. A
//! grant stands until the holder says that it has adopted a later one and uses no more than that, or until
//! the lease and the drift margin have passed by the slow clock.

use super::counters::BudgetCounters;
use super::fair_share::{Demand, fair_share};
use super::message::{GrantId, Term};
use super::settings::BudgetSettings;
use crate::clock::{Nanos, Time};
use crate::server_id::ServerId;
use std::collections::BTreeMap;

/// Holders in the table for each server of the settings: an incarnation that has ended stays in it until its
/// leases have ended.
const HOLDERS_PER_SERVER: u64 = 4;

/// What a holder asks the grantor for; amounts are units beyond its floor.
pub(super) struct LeaseDemand {
    /// Units that it wants.
    pub wanted: u64,
    /// Units that it uses.
    pub in_use: u64,
    /// The grant that its present lease came with.
    pub adopted: GrantId,
}

/// A grant as the grantor sends it.
pub(super) struct Grant {
    /// Its number in the grantor's term.
    pub number: u64,
    /// Units granted beyond the floor.
    pub amount: u64,
}

/// A grant that may still stand at its holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StandingGrant {
    number: u64,
    amount: u64,
    /// By the slow clock.
    ends_at: Nanos,
}

/// One holder in the grantor's table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct HolderEntry {
    grants: Vec<StandingGrant>,
    wanted: u64,
    /// When its last request came, by the slow clock.
    requested_at: Nanos,
}

impl HolderEntry {
    /// Most units that the holder may use by its grants.
    fn largest_grant(&self) -> u64 {
        self.grants.iter().map(|grant| grant.amount).max().unwrap_or(0)
    }

    /// Forgets the grants before the adopted one, which its holder no longer uses. One that uses more than
    /// its latest grant keeps the earlier ones, too, until they end.
    fn confirm(&mut self, adopted: u64, in_use: u64, last_number: u64, counters: &mut BudgetCounters) {
        match self.grants.iter().find(|grant| grant.number == adopted) {
            Some(grant) if in_use <= grant.amount => self.grants.retain(|grant| grant.number >= adopted),
            Some(_) => {}
            None => counters.unknown_grants += u64::from(adopted > last_number),
        }
    }
}

/// Leases granted in one term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct LeaseTable {
    /// Nothing is granted before, by the slow clock: the leases of earlier grantors have ended by then.
    grants_from: Nanos,
    last_number: u64,
    holders: BTreeMap<ServerId, HolderEntry>,
}

impl LeaseTable {
    /// Begins a term at the time of its election. The last lease of an earlier grantor was requested before
    /// that one's term ended, so that it ends within one lease from now.
    pub fn begin(&mut self, time: Time, settings: &BudgetSettings) {
        self.grants_from = time.slow + settings.lease_duration + settings.drift_margin;
    }

    /// Leaves the wait for earlier grantors out; for the model check alone.
    pub fn skip_wait(&mut self) {
        self.grants_from = 0;
    }

    /// Whether the leases of earlier grantors have ended.
    pub fn may_grant(&self, time: Time) -> bool {
        time.slow >= self.grants_from
    }

    /// Units that may be in use by the grants of this term.
    pub fn outstanding(&self) -> u64 {
        self.holders.values().map(HolderEntry::largest_grant).sum()
    }

    /// Grants a lease to a holder; `None` where the table is full.
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
        let standing = settings.lease_duration + settings.drift_margin;
        self.expire(time, standing);
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
        let grant = StandingGrant { number, amount, ends_at: time.slow + standing };
        self.holders.entry(holder.clone()).or_default().grants.push(grant);
        counters.grants_sent += 1;
        Some(Grant { number, amount })
    }

    /// Removes grants that have ended and holders that neither hold nor ask.
    fn expire(&mut self, time: Time, standing: Nanos) {
        for entry in self.holders.values_mut() {
            entry.grants.retain(|grant| time.slow < grant.ends_at);
        }
        self.holders.retain(|_, entry| !entry.grants.is_empty() || time.slow < entry.requested_at + standing);
    }

    /// The holder's fair share, as far as the grants of the others leave it free.
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
