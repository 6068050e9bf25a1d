//! A budget limits the number of units that the whole fleet uses at the same time, or per second. The units
//! are divided among the servers.
//!
//! Each server may use its floor, a guaranteed minimum number of units, without a lease. To use more units, a
//! server needs a lease. It must stop using the leased units when the lease ends by its own clock.
//!
//! - [`settings`]: total, floors, voters and durations.
//! - [`message`]: messages between servers.
//! - `election`: the voters elect one grantor at a time, for a term, by majority.
//! - `grantor`: the grantor's table of leases. A new grantor grants nothing until every lease of earlier
//!   grantors has ended.
//! - `holder`: a server's own lease, and the requests that renew it.
//!
//! Invariant: at any time, the floors of all servers plus all leases sum to at most the total, whatever
//! messages are lost, duplicated, delayed or reordered and whichever servers stop. `tests/model.rs` checks
//! the interleavings of a small fleet up to a limited depth; `docs/shared-state.md` states the bounds.

pub mod counters;
mod election;
mod fair_share;
mod grantor;
mod holder;
pub mod message;
pub mod settings;

use crate::clock::{Nanos, Time};
use crate::server_id::ServerId;
pub use counters::BudgetCounters;
use election::{Election, VoteCount};
use grantor::LeaseDemand;
pub use holder::Allowance;
use holder::{DroppedGrant, Holder, ReceivedGrant};
pub use message::{BudgetMessage, GrantId, Outgoing, Term};
pub use settings::{BudgetSettings, BudgetSettingsError};

/// One server's part of a budget, as a state machine without I/O. The inputs are clock readings and received
/// messages. The outputs are messages to send.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    id: ServerId,
    settings: BudgetSettings,
    election: Election,
    holder: Holder,
    /// Counters of events in this part of the budget. All counts begin at 0 when the server starts.
    pub counters: BudgetCounters,
}

impl Budget {
    /// Creates the part of a budget that belongs to the server `id`. The server starts at `time`.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid setting.
    pub fn new(id: ServerId, settings: BudgetSettings, time: Time) -> Result<Budget, BudgetSettingsError> {
        settings.check()?;
        Ok(Budget {
            election: Election::new(&id.name, &settings, time),
            holder: Holder::new(&settings, time),
            counters: BudgetCounters::default(),
            id,
            settings,
        })
    }

    /// Returns the settings of the budget, including its current total.
    pub fn settings(&self) -> &BudgetSettings {
        &self.settings
    }

    /// Sets a new total of the budget, in units. A smaller total takes effect once the current leases have
    /// ended or shrunk, which takes at most one lease duration.
    ///
    /// # Errors
    ///
    /// Returns an error if the new total is out of range, or less than the sum of the floors (guaranteed
    /// minimums) of all servers. The old total then remains.
    pub fn set_total(&mut self, total: u64) -> Result<(), BudgetSettingsError> {
        let settings = BudgetSettings { total, ..self.settings.clone() };
        settings.check()?;
        self.settings = settings;
        Ok(())
    }

    /// Sets the number of units that this server wants, and the number that it uses now. Both numbers include
    /// the units of the server's floor (its guaranteed minimum).
    pub fn set_demand(&mut self, wanted: u64, in_use: u64) {
        self.holder.set_demand(&self.settings, wanted, in_use);
    }

    /// Returns the units that this server may use now.
    pub fn allowance(&self, time: Time) -> Allowance {
        self.holder.allowance(&self.settings, time)
    }

    /// Returns whether this server may acquire one more unit while it uses `in_use` units. Units of the floor
    /// (the server's guaranteed minimum) need no lease. A unit of the lease may be acquired only if the lease
    /// lasts for longer than a unit may stay in use ([`BudgetSettings::use_max`]).
    pub fn may_acquire(&self, time: Time, in_use: u64) -> bool {
        let allowance = self.allowance(time);
        let leased = if allowance.remaining > self.settings.use_max { allowance.leased } else { 0 };
        in_use < allowance.floor + leased
    }

    /// Returns the latest time at which a call that acquires a unit now may be sent, by this server's fast
    /// clock ([`Time::fast`]). `in_use` is the number of units in use before the call.
    ///
    /// A call with a unit of the floor (the server's guaranteed minimum) may be sent at any time. A call with
    /// a unit of the lease may be sent only until [`BudgetSettings::use_max`] before the end of the lease.
    /// The call has then ended at the service before the unit can be leased to another server.
    pub fn send_by(&self, time: Time, in_use: u64) -> Nanos {
        let allowance = self.allowance(time);
        if in_use < allowance.floor {
            return Nanos::MAX;
        }
        time.fast + allowance.remaining.saturating_sub(self.settings.use_max)
    }

    /// Returns whether this server is the grantor of the budget now.
    pub fn is_grantor(&self, time: Time) -> bool {
        self.election.is_grantor(time)
    }

    /// Returns the name of the grantor, or `None` if this server does not know the grantor.
    pub fn grantor(&self) -> Option<&str> {
        self.holder.grantor()
    }

    /// Returns the total number of units that holders may use under leases granted by this server. Returns 0
    /// if this server is not the grantor.
    pub fn outstanding(&self) -> u64 {
        self.election.grantor_state().map_or(0, |state| state.leases.outstanding())
    }

    /// Lets a new grantor grant leases at once, without waiting until earlier leases have ended. Only the
    /// model check uses this method, to inject a fault that the check must detect.
    #[doc(hidden)]
    pub fn skip_grant_wait(&mut self) {
        if let Some(state) = self.election.grantor_state_mut() {
            state.leases.skip_wait();
        }
    }

    /// Performs the actions that are due at `time`, such as vote requests and lease requests. Returns the
    /// messages to send. While the grantor is unknown, the random number `draw` selects the voter that
    /// receives a lease request.
    pub fn advance(&mut self, time: Time, draw: u64) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        if let Some(ballot) = self.election.advance(time, &self.settings, self.id.incarnation) {
            self.request_votes(time, ballot, &mut outgoing);
        }
        if let Some((to, request)) = self.holder.next_request(&self.settings, time, draw) {
            if to == self.id.name {
                let id = self.id.clone();
                outgoing.extend(self.receive(time, &id, request));
            } else {
                outgoing.push(Outgoing { to, message: request });
            }
        }
        outgoing
    }

    /// Requests votes for a ballot from the other voters. This server also votes for itself, if its own vote
    /// is free.
    fn request_votes(&mut self, time: Time, ballot: u64, outgoing: &mut Vec<Outgoing>) {
        for voter in self.settings.voters.iter().filter(|voter| **voter != self.id.name) {
            let message = BudgetMessage::VoteRequest { ballot };
            outgoing.push(Outgoing { to: voter.clone(), message });
        }
        if self.election.vote_for(time, &self.settings, &self.id) {
            let voter = self.id.name.clone();
            self.count_vote(time, &voter, ballot);
        }
    }

    fn count_vote(&mut self, time: Time, voter: &str, ballot: u64) {
        let count = self.election.count_vote(time, &self.settings, voter, ballot);
        if count == VoteCount::Unchanged {
            return;
        }
        self.counters.elections_won += u64::from(count == VoteCount::Elected);
        self.holder.set_grantor(Some(self.id.name.clone()));
    }

    /// Handles a received message about this budget. Returns the messages to send in reply.
    pub fn receive(&mut self, time: Time, from: &ServerId, message: BudgetMessage) -> Vec<Outgoing> {
        let Some(reply) = self.reply(time, from, message) else { return Vec::new() };
        if *from == self.id {
            return self.receive(time, from, reply);
        }
        vec![Outgoing { to: from.name.clone(), message: reply }]
    }

    fn reply(&mut self, time: Time, from: &ServerId, message: BudgetMessage) -> Option<BudgetMessage> {
        match message {
            BudgetMessage::VoteRequest { ballot } => self.handle_vote_request(time, from, ballot),
            BudgetMessage::VoteResponse { incarnation, ballot, granted } => {
                if incarnation != self.id.incarnation || !self.settings.is_voter(&from.name) {
                    self.counters.invalid += 1;
                } else if granted {
                    self.count_vote(time, &from.name, ballot);
                }
                None
            }
            BudgetMessage::LeaseRequest { number, wanted, in_use, adopted } => {
                Some(self.handle_lease_request(time, from, number, &LeaseDemand { wanted, in_use, adopted }))
            }
            BudgetMessage::LeaseGrant { incarnation, request_number, term, grant_number, amount } => {
                self.handle_grant(
                    time,
                    &ReceivedGrant {
                        from: &from.name,
                        is_for_this_incarnation: incarnation == self.id.incarnation,
                        request: request_number,
                        id: GrantId { term, number: grant_number },
                        amount,
                    },
                );
                None
            }
            BudgetMessage::Redirect { grantor } => {
                self.handle_redirect(time, grantor);
                None
            }
        }
    }

    fn handle_vote_request(&mut self, time: Time, from: &ServerId, ballot: u64) -> Option<BudgetMessage> {
        if !self.election.is_voter() || !self.settings.is_voter(&from.name) {
            self.counters.invalid += 1;
            return None;
        }
        let granted = self.election.vote_for(time, &self.settings, from);
        Some(BudgetMessage::VoteResponse { incarnation: from.incarnation, ballot, granted })
    }

    fn handle_lease_request(
        &mut self,
        time: Time,
        from: &ServerId,
        number: u64,
        demand: &LeaseDemand,
    ) -> BudgetMessage {
        if !self.is_grantor(time) {
            return BudgetMessage::Redirect { grantor: self.election.voted_for(time).map(String::from) };
        }
        let Some(state) = self.election.grantor_state_mut().filter(|state| state.leases.may_grant(time))
        else {
            return BudgetMessage::Redirect { grantor: Some(self.id.name.clone()) };
        };
        let term = state.term;
        let grant = state.leases.grant(time, &self.settings, term, from, demand, &mut self.counters);
        match grant {
            Some(grant) => BudgetMessage::LeaseGrant {
                incarnation: from.incarnation,
                request_number: number,
                term,
                grant_number: grant.number,
                amount: grant.amount,
            },
            None => BudgetMessage::Redirect { grantor: None },
        }
    }

    fn handle_grant(&mut self, time: Time, grant: &ReceivedGrant<'_>) {
        match self.holder.adopt(&self.settings, time, grant) {
            Ok(()) => {
                self.counters.grants_adopted += 1;
                self.election.record_grantor(time);
            }
            Err(DroppedGrant::Unsolicited) => self.counters.unsolicited += 1,
            Err(DroppedGrant::Excessive) => self.counters.excessive += 1,
            Err(DroppedGrant::Stale) => self.counters.stale += 1,
        }
    }

    /// Handles a reply to a lease request that grants no lease. `grantor` is the name of the grantor, or
    /// `None` if the sender does not know the grantor or has no free entry for this server. A sender that
    /// names itself is the grantor but does not grant leases yet.
    fn handle_redirect(&mut self, time: Time, grantor: Option<String>) {
        let grantor = grantor.filter(|name| self.settings.is_voter(name));
        if grantor.is_some() {
            self.election.record_grantor(time);
        }
        self.holder.redirect(grantor);
    }
}
