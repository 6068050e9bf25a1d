//! The voters elect the grantor, the server that grants leases.
//!
//! Invariant: at most one server is the grantor at a time. After a voter has voted for a server, it votes for
//! no other server for the term duration plus the drift margin, as measured by the voter's slow clock
//! ([`Time::slow`]). A candidate counts its term from the time of its vote request, by its fast clock
//! ([`Time::fast`]). The term therefore ends before the candidate's voters can vote for another server.
//!
//! Votes are not stored on disk. A restarted voter therefore grants no vote until every vote of its
//! earlier incarnation must have expired.

use super::grantor::LeaseTable;
use super::message::Term;
use super::settings::BudgetSettings;
use crate::clock::{Nanos, Time};
use crate::server_id::ServerId;
use std::collections::{BTreeSet, VecDeque};

/// Number of recent ballots (rounds of vote requests) for which a candidate or grantor still counts votes.
/// Over a slow and lossy network, votes may arrive after the next ballot has begun. Counting these votes
/// helps to reach a majority.
const BALLOTS_MAX: usize = 8;

/// The latest vote that this server granted to a candidate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Vote {
    candidate: ServerId,
    /// Time at which the vote expires, by this server's slow clock ([`Time::slow`]). Until then, this server
    /// votes for no other candidate.
    expires_at: Nanos,
}

/// A ballot: one round of vote requests from a candidate to the other voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ballot {
    number: u64,
    /// Time at which the vote requests of the ballot were sent, by this server's fast clock ([`Time::fast`]).
    requested_at: Nanos,
    /// Names of the voters that granted their vote in this ballot.
    votes: BTreeSet<String>,
}

/// State of a server that is a candidate or the grantor. The state is created when the server becomes a
/// candidate, and remains when the server is elected as the grantor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct GrantorState {
    pub term: Term,
    /// Recent ballots of this server, in the order in which their vote requests were sent.
    ballots: VecDeque<Ballot>,
    /// End of this server's term of office as the grantor, by its fast clock ([`Time::fast`]). `None` if this
    /// server is a candidate and not yet elected.
    elected_until: Option<Nanos>,
    pub leases: LeaseTable,
}

impl GrantorState {
    /// Returns the time at which this server last sent vote requests, by its fast clock ([`Time::fast`]).
    fn last_requested_at(&self) -> Nanos {
        self.ballots.back().map_or(0, |ballot| ballot.requested_at)
    }

    /// Returns whether the grantor's term of office or the candidacy has ended. A candidacy ends if the
    /// candidate is not elected within half a term duration after its vote requests.
    fn is_over(&self, time: Time, settings: &BudgetSettings) -> bool {
        match self.elected_until {
            Some(until) => time.fast >= until,
            None => time.fast >= self.last_requested_at() + settings.term_duration / 2,
        }
    }

    /// Returns whether a grantor must request votes again now, to extend its term of office. Returns false
    /// for a candidate.
    fn renewal_is_due(&self, time: Time, settings: &BudgetSettings) -> bool {
        let interval = (settings.term_duration / 8).max(1);
        self.elected_until.is_some() && time.fast >= self.last_requested_at() + interval
    }
}

/// Result of counting a vote that this server received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VoteCount {
    /// The vote has no effect. For example, it completes no majority, or the majority does not extend the
    /// term of office.
    Unchanged,
    /// The vote completes a majority, and the candidate has become the grantor.
    Elected,
    /// The vote completes a majority, which extends the grantor's term of office.
    Extended,
}

/// One server's part in the elections of the grantor. Only a server that the settings list as a voter can
/// vote and become a candidate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Election {
    /// Index of this server in the list of voters, or `None` if this server is not a voter.
    rank: Option<u64>,
    /// Time from which this server takes part in elections, by its slow clock ([`Time::slow`]). Before this
    /// time, the server neither votes nor becomes a candidate, since a vote of its earlier incarnation may
    /// still be valid.
    votes_from: Nanos,
    vote: Option<Vote>,
    grantor_state: Option<GrantorState>,
    last_ballot: u64,
    /// Time at which this server last knew of a grantor or a candidate, by its fast clock ([`Time::fast`]).
    /// The grantor or candidate may be this server itself.
    grantor_seen_at: Nanos,
}

impl Election {
    pub fn new(name: &str, settings: &BudgetSettings, time: Time) -> Election {
        Election {
            rank: settings.voters.iter().position(|voter| voter == name).map(|rank| rank as u64),
            votes_from: time.slow + settings.term_duration + settings.drift_margin,
            vote: None,
            grantor_state: None,
            last_ballot: 0,
            grantor_seen_at: time.fast,
        }
    }

    pub fn is_voter(&self) -> bool {
        self.rank.is_some()
    }

    /// Records that the fleet has a grantor at `time`. This restarts the waiting time before this server may
    /// become a candidate.
    pub fn record_grantor(&mut self, time: Time) {
        self.grantor_seen_at = time.fast;
    }

    /// Returns whether this server is the grantor now.
    pub fn is_grantor(&self, time: Time) -> bool {
        let until = self.grantor_state.as_ref().and_then(|state| state.elected_until);
        until.is_some_and(|until| time.fast < until)
    }

    /// Returns the state that this server has as a candidate or grantor. Returns `None` if this server is
    /// neither candidate nor grantor.
    pub fn grantor_state(&self) -> Option<&GrantorState> {
        self.grantor_state.as_ref()
    }

    /// Returns a mutable reference to the state that [`Election::grantor_state`] returns.
    pub fn grantor_state_mut(&mut self) -> Option<&mut GrantorState> {
        self.grantor_state.as_mut()
    }

    /// Returns the name of the candidate that has this server's vote. Returns `None` if this server has not
    /// voted or its vote has expired.
    pub fn voted_for(&self, time: Time) -> Option<&str> {
        let vote = self.vote.as_ref().filter(|vote| time.slow < vote.expires_at)?;
        Some(&vote.candidate.name)
    }

    /// Performs the actions that are due in the election. A term of office or candidacy of this server ends
    /// if its time is over. If this server must request votes, a ballot is opened and its number is returned.
    pub fn advance(&mut self, time: Time, settings: &BudgetSettings, incarnation: u64) -> Option<u64> {
        if self.grantor_state.as_ref().is_some_and(|state| state.is_over(time, settings)) {
            self.grantor_state = None;
            self.grantor_seen_at = time.fast;
        }
        let rank = self.rank?;
        let due = match &self.grantor_state {
            Some(state) => state.renewal_is_due(time, settings),
            None => self.may_become_candidate(time, settings, rank),
        };
        due.then(|| self.open_ballot(time, incarnation, rank))
    }

    /// Returns whether this server may become a candidate. This requires that the server is allowed to vote
    /// and has known neither a grantor nor a candidate for some time. The required time is one term duration
    /// plus half a term duration times the server's rank (its index in the list of voters). The voters
    /// therefore do not all become candidates at the same time.
    fn may_become_candidate(&self, time: Time, settings: &BudgetSettings, rank: u64) -> bool {
        let wait = settings.term_duration + rank * settings.term_duration / 2;
        time.slow >= self.votes_from && time.fast >= self.grantor_seen_at + wait
    }

    fn open_ballot(&mut self, time: Time, incarnation: u64, rank: u64) -> u64 {
        self.last_ballot += 1;
        let number = self.last_ballot;
        let state = self.grantor_state.get_or_insert_with(|| GrantorState {
            term: Term { incarnation, rank, election: number },
            ballots: VecDeque::new(),
            elected_until: None,
            leases: LeaseTable::default(),
        });
        state.ballots.push_back(Ballot { number, requested_at: time.fast, votes: BTreeSet::new() });
        if state.ballots.len() > BALLOTS_MAX {
            state.ballots.pop_front();
        }
        number
    }

    /// Grants this server's vote to a candidate if no other candidate has the vote. Before this server takes
    /// part in elections, it grants no vote. The vote lasts for one term duration plus the drift margin.
    /// Returns whether the vote was granted.
    pub fn vote_for(&mut self, time: Time, settings: &BudgetSettings, candidate: &ServerId) -> bool {
        let free = match &self.vote {
            Some(vote) => vote.candidate == *candidate || time.slow >= vote.expires_at,
            None => true,
        };
        let granted = free && time.slow >= self.votes_from;
        if granted {
            let expires_at = time.slow + settings.term_duration + settings.drift_margin;
            self.vote = Some(Vote { candidate: candidate.clone(), expires_at });
            self.grantor_seen_at = time.fast;
        }
        granted
    }

    /// Counts a vote of `voter` in one of this server's recent ballots. If the ballot then has a majority,
    /// this server is the grantor for one term duration. The term is counted from the time at which the
    /// ballot's vote requests were sent.
    pub fn count_vote(
        &mut self,
        time: Time,
        settings: &BudgetSettings,
        voter: &str,
        ballot: u64,
    ) -> VoteCount {
        let Some(state) = &mut self.grantor_state else { return VoteCount::Unchanged };
        let Some(ballot) = state.ballots.iter_mut().find(|known| known.number == ballot) else {
            return VoteCount::Unchanged;
        };
        ballot.votes.insert(voter.to_string());
        let until = ballot.requested_at + settings.term_duration;
        let has_majority = ballot.votes.len() >= settings.majority();
        let extends = state.elected_until.is_none_or(|known| known < until);
        if !has_majority || time.fast >= until || !extends {
            return VoteCount::Unchanged;
        }
        if state.elected_until.replace(until).is_some() {
            return VoteCount::Extended;
        }
        state.leases.begin(time, settings);
        VoteCount::Elected
    }
}
