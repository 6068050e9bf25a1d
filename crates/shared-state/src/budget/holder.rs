//! The lease that a server holds, and the requests with which the server renews the lease.
//!
//! Invariant: a lease ends at its holder before it ends in the grantor's table. The holder counts the lease
//! duration from the time of its lease request, by its fast clock ([`Time::fast`]). The grantor begins to
//! count later, at the time of the grant. It counts the lease duration plus the drift margin by its slow
//! clock ([`Time::slow`]).

use super::message::{BudgetMessage, GrantId};
use super::settings::BudgetSettings;
use crate::clock::{Nanos, Time};
use std::collections::VecDeque;

/// Number of recent lease requests whose send times are stored. A grant that answers an older request is
/// dropped, since the duration of a lease is counted from the send time of its request.
const REQUESTS_MAX: usize = 8;
/// Maximum number of consecutive lease requests that the grantor may leave unanswered. After this many
/// unanswered requests, the next request goes to a random voter.
const UNANSWERED_MAX: u32 = 2;

/// Units of a budget that this server may use now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Units of the floor that the server may use now. The floor is the server's guaranteed minimum, which
    /// needs no lease.
    pub floor: u64,
    /// Units of the server's lease.
    pub leased: u64,
    /// Time until the lease ends, in nanoseconds of this server's fast clock ([`Time::fast`]). The value is 0
    /// if the server has no lease.
    pub remaining: Nanos,
}

/// The latest lease that this server adopted. The lease may have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Lease {
    grant: GrantId,
    amount: u64,
    /// Time at which the lease ends, by this server's fast clock ([`Time::fast`]).
    ends_at: Nanos,
}

/// A recent lease request of this server. A reply to the request is still accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentRequest {
    number: u64,
    /// Time at which the lease request was sent, by this server's fast clock ([`Time::fast`]).
    sent_at: Nanos,
}

/// A lease grant received in a message, with the name of its sender.
pub(super) struct ReceivedGrant<'a> {
    /// Name of the server that sent the grant.
    pub from: &'a str,
    /// Whether the grant answers a lease request of the receiver's current incarnation.
    pub is_for_this_incarnation: bool,
    /// Number of the lease request that the grant answers.
    pub request: u64,
    pub id: GrantId,
    pub amount: u64,
}

/// Reason why a received lease grant is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DroppedGrant {
    /// The grant answers no stored lease request of this incarnation. The start of the lease is therefore
    /// unknown.
    Unsolicited,
    /// The grant has more units than may be leased in all, or its sender is not a voter.
    Excessive,
    /// The grant had already ended, or it cannot replace the lease that this server still holds. Only a later
    /// grant of the same term can replace a held lease. Terms are not ordered in time, so a grant of another
    /// term is adopted only after the held lease has ended.
    Stale,
}

/// State of one server as a lease holder of a budget, such as its latest lease and its lease requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Holder {
    /// Time from which this server may use its floor (the units that need no lease), by its slow clock
    /// ([`Time::slow`]). Before this time, calls of the server's earlier incarnation may still hold these
    /// units.
    floor_from: Nanos,
    lease: Lease,
    requests: VecDeque<SentRequest>,
    last_number: u64,
    /// Time at which the next lease request is due, by this server's fast clock ([`Time::fast`]).
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

    /// Sets the demand that the next lease request reports. `wanted` and `in_use` are numbers of units. Both
    /// numbers include the units of the floor (the server's guaranteed minimum).
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

    /// Sets the name of the grantor, to which this server sends its lease requests. `None` means that the
    /// grantor is unknown.
    pub fn set_grantor(&mut self, grantor: Option<String>) {
        self.grantor = grantor;
    }

    /// Handles a reply to a lease request that grants no lease. `grantor` is the name of the grantor, or
    /// `None` if the reply names no voter as the grantor.
    pub fn redirect(&mut self, grantor: Option<String>) {
        self.unanswered = 0;
        self.grantor = grantor;
    }

    /// Returns the next lease request and the name of its receiver, or `None` if no request is due. The
    /// receiver is the grantor. If the grantor is unknown, the random number `draw` selects a voter as the
    /// receiver.
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

    /// Adopts a received grant as this server's lease. The lease duration is counted from the send time of
    /// the request that the grant answers. While a lease is held, only a later grant of the same term
    /// replaces it.
    pub fn adopt(
        &mut self,
        settings: &BudgetSettings,
        time: Time,
        grant: &ReceivedGrant<'_>,
    ) -> Result<(), DroppedGrant> {
        let request = self.requests.iter().find(|request| request.number == grant.request);
        let Some(request) = request.filter(|_| grant.is_for_this_incarnation) else {
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
