//! A holder's lease and its requests.
//!
//! Invariant: a lease ends at its holder before it ends in the grantor's table. The holder counts it from the
//! time of its request, by its fast clock; the grantor from the time of the grant, by its slow clock.

use super::message::{BudgetMessage, GrantId};
use super::settings::BudgetSettings;
use crate::clock::{Nanos, Time};
use std::collections::VecDeque;

/// Requests whose time is remembered, to date the grants that answer them.
const REQUESTS_MAX: usize = 8;
/// Requests without an answer after which the grantor is no longer taken to be known.
const UNANSWERED_MAX: u32 = 2;

/// Units that a server may use now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Units by its floor.
    pub floor: u64,
    /// Units by its lease.
    pub leased: u64,
    /// How long the lease still lasts by the fast clock, in nanoseconds; 0 where there is none.
    pub remaining: Nanos,
}

/// The lease that a server holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Lease {
    grant: GrantId,
    amount: u64,
    /// By the fast clock.
    ends_at: Nanos,
}

/// A request for a lease that may still be answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentRequest {
    number: u64,
    /// By the fast clock.
    sent_at: Nanos,
}

/// A grant as it came.
pub(super) struct ReceivedGrant<'a> {
    /// Name of the sender.
    pub from: &'a str,
    /// Whether it is for this incarnation.
    pub is_for_me: bool,
    /// Number of the request that it answers.
    pub request: u64,
    pub id: GrantId,
    pub amount: u64,
}

/// Why a grant is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DroppedGrant {
    /// It answers no request of this incarnation: its time cannot be told.
    Unsolicited,
    /// It passes what may be leased, or its sender is no voter.
    Excessive,
    /// It had ended when it came; or this server holds a lease that is not older than it, or is of another
    /// term. Terms have no order in time, so that one of another term is adopted only once the held lease has
    /// ended.
    Stale,
}

/// One server's part as a holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Holder {
    /// The floor is not used before, by the slow clock: an earlier incarnation may still use it.
    floor_from: Nanos,
    lease: Lease,
    requests: VecDeque<SentRequest>,
    last_number: u64,
    /// By the fast clock.
    next_request_at: Nanos,
    wanted: u64,
    in_use: u64,
    grantor: Option<String>,
    unanswered: u32,
}

impl Holder {
    pub fn new(settings: &BudgetSettings, time: Time) -> Holder {
        Holder {
            floor_from: time.slow + settings.use_max,
            lease: Lease::default(),
            requests: VecDeque::new(),
            last_number: 0,
            next_request_at: time.fast,
            wanted: 0,
            in_use: 0,
            grantor: None,
            unanswered: 0,
        }
    }

    /// Sets what the next request asks for; units include the floor.
    pub fn set_demand(&mut self, settings: &BudgetSettings, wanted: u64, in_use: u64) {
        self.wanted = wanted.saturating_sub(settings.floor).min(settings.leasable());
        self.in_use = in_use.saturating_sub(settings.floor);
    }

    pub fn allowance(&self, settings: &BudgetSettings, time: Time) -> Allowance {
        let remaining = self.lease.ends_at.saturating_sub(time.fast);
        let leased = if remaining > 0 { self.lease.amount } else { 0 };
        let floor = if time.slow >= self.floor_from { settings.floor } else { 0 };
        Allowance { floor, leased, remaining }
    }

    pub fn grantor(&self) -> Option<&str> {
        self.grantor.as_deref()
    }

    /// Takes a server for the grantor, which requests go to from now on.
    pub fn set_grantor(&mut self, grantor: Option<String>) {
        self.grantor = grantor;
    }

    /// Notes an answer that names the grantor, or none.
    pub fn redirect(&mut self, grantor: Option<String>) {
        self.unanswered = 0;
        self.grantor = grantor;
    }

    /// The next request where one is due, and the server that it goes to: the grantor where it is known, else
    /// the voter that `draw` picks.
    pub fn next_request(
        &mut self,
        settings: &BudgetSettings,
        time: Time,
        draw: u64,
    ) -> Option<(String, BudgetMessage)> {
        if time.fast < self.next_request_at {
            return None;
        }
        self.next_request_at = time.fast + settings.refresh_interval;
        self.last_number += 1;
        self.requests.push_back(SentRequest { number: self.last_number, sent_at: time.fast });
        if self.requests.len() > REQUESTS_MAX {
            self.requests.pop_front();
        }
        self.unanswered += 1;
        if self.unanswered > UNANSWERED_MAX {
            self.grantor = None;
        }
        let any_voter = &settings.voters[(draw % settings.voters.len() as u64) as usize];
        let to = self.grantor.clone().unwrap_or_else(|| any_voter.clone());
        let request = BudgetMessage::LeaseRequest {
            number: self.last_number,
            wanted: self.wanted,
            in_use: self.in_use,
            adopted: self.lease.grant,
        };
        Some((to, request))
    }

    /// Adopts a grant as the lease, dated from its request. While a lease is held only a later grant of its
    /// term takes its place.
    pub fn adopt(
        &mut self,
        settings: &BudgetSettings,
        time: Time,
        grant: &ReceivedGrant<'_>,
    ) -> Result<(), DroppedGrant> {
        let request = self.requests.iter().find(|request| request.number == grant.request);
        let Some(request) = request.filter(|_| grant.is_for_me) else {
            return Err(DroppedGrant::Unsolicited);
        };
        if grant.amount > settings.leasable() || !settings.is_voter(grant.from) {
            return Err(DroppedGrant::Excessive);
        }
        let ends_at = request.sent_at + settings.lease_duration;
        let held = time.fast < self.lease.ends_at;
        let current = self.lease.grant;
        let newer = grant.id.term == current.term && grant.id.number > current.number;
        if time.fast >= ends_at || (held && !newer) {
            return Err(DroppedGrant::Stale);
        }
        self.lease = Lease { grant: grant.id, amount: grant.amount, ends_at };
        self.grantor = Some(grant.from.to_string());
        self.unanswered = 0;
        Ok(())
    }
}
