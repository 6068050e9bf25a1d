//! A budget of the whole fleet (units at once, or units a second) split into leases. Every server may use its
//! floor at any time; beyond that only what it holds by a lease that has not ended by its own clock.
//!
//! - [`settings`]: total, floors, voters and durations.
//! - [`message`]: what servers send each other.
//! - `election`: the voters elect one grantor at a time, each term by a majority.
//! - `grantor`: the grantor's table of leases. A new grantor grants nothing until every lease of earlier ones
//!   has ended.
//! - `holder`: a lease as its holder sees it, and the requests that renew it.
//!
//! Invariant: at every moment the floors of all servers and all leases together are at most the total,
//! whatever messages are lost, duplicated, late or out of order and whichever server stops. `tests/model.rs`
//! checks the nearest interleavings of a small fleet; `docs/shared-state.md` states the bounds.

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

/// One server's part in one budget: a state machine without I/O. Readings of the clocks and messages go in,
/// messages to send come out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    id: ServerId,
    settings: BudgetSettings,
    election: Election,
    holder: Holder,
    /// Counters since the start.
    pub counters: BudgetCounters,
}

impl Budget {
    /// The part of the server `id`, from `time` on.
    ///
    /// # Errors
    /// A setting that cannot be used.
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

    /// The settings in force.
    pub fn settings(&self) -> &BudgetSettings {
        &self.settings
    }

    /// Takes another total, in units. A smaller one holds once the present leases have ended or shrunk, one
    /// lease at the latest.
    ///
    /// # Errors
    /// The total is out of range or the floors pass it; the old one stays.
    pub fn set_total(&mut self, total: u64) -> Result<(), BudgetSettingsError> {
        let settings = BudgetSettings { total, ..self.settings.clone() };
        settings.check()?;
        self.settings = settings;
        Ok(())
    }

    /// Sets what this server wants and uses, in units, its floor included.
    pub fn set_demand(&mut self, wanted: u64, in_use: u64) {
        self.holder.set_demand(&self.settings, wanted, in_use);
    }

    /// What this server may use now.
    pub fn allowance(&self, time: Time) -> Allowance {
        self.holder.allowance(&self.settings, time)
    }

    /// Whether one more unit may be acquired while `in_use` are in use. Units of the lease are acquired only
    /// while the lease outlasts their longest use.
    pub fn may_acquire(&self, time: Time, in_use: u64) -> bool {
        let allowance = self.allowance(time);
        let leased = if allowance.remaining > self.settings.use_max { allowance.leased } else { 0 };
        in_use < allowance.floor + leased
    }

    /// Until when, by the fast clock, the call of a unit that is acquired now may be sent, while `in_use` are
    /// in use. A unit of the floor has no end. One of the lease has to be sent while the lease outlasts its
    /// longest use: the service is done with it before the lease is granted again.
    pub fn send_by(&self, time: Time, in_use: u64) -> Nanos {
        let allowance = self.allowance(time);
        if in_use < allowance.floor {
            return Nanos::MAX;
        }
        time.fast + allowance.remaining.saturating_sub(self.settings.use_max)
    }

    /// Whether this server is the grantor now.
    pub fn is_grantor(&self, time: Time) -> bool {
        self.election.is_grantor(time)
    }

    /// Name of the grantor, as far as this server knows.
    pub fn grantor(&self) -> Option<&str> {
        self.holder.grantor()
    }

    /// Units that may be in use by leases that this server has granted.
    pub fn outstanding(&self) -> u64 {
        self.election.grantor_state().map_or(0, |state| state.leases.outstanding())
    }

    /// Lets a new grantor grant at once; for the model check alone, which must find the fault.
    #[doc(hidden)]
    pub fn skip_grant_wait(&mut self) {
        if let Some(state) = self.election.grantor_state_mut() {
            state.leases.skip_wait();
        }
    }

    /// Does what is due by `time`. `draw` is any number and picks the voter that a request goes to where the
    /// grantor is not known.
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

    /// Asks the other voters for their votes and counts this server's own.
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

    /// Handles one message of this budget; answers go to its sender.
    pub fn receive(&mut self, time: Time, from: &ServerId, message: BudgetMessage) -> Vec<Outgoing> {
        let Some(answer) = self.answer(time, from, message) else { return Vec::new() };
        if *from == self.id {
            return self.receive(time, from, answer);
        }
        vec![Outgoing { to: from.name.clone(), message: answer }]
    }

    fn answer(&mut self, time: Time, from: &ServerId, message: BudgetMessage) -> Option<BudgetMessage> {
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
                        is_for_me: incarnation == self.id.incarnation,
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
                self.election.note_grantor(time);
            }
            Err(DroppedGrant::Unsolicited) => self.counters.unsolicited += 1,
            Err(DroppedGrant::Excessive) => self.counters.excessive += 1,
            Err(DroppedGrant::Stale) => self.counters.stale += 1,
        }
    }

    /// A grantor that names itself is in office and grants later.
    fn handle_redirect(&mut self, time: Time, grantor: Option<String>) {
        let grantor = grantor.filter(|name| self.settings.is_voter(name));
        if grantor.is_some() {
            self.election.note_grantor(time);
        }
        self.holder.redirect(grantor);
    }
}
