//! Election of the grantor by the voters.
//!
//! Invariant: at most one server is the grantor at a time. A voter that has voted for one server votes for no
//! other until the term duration plus the drift margin has passed by the voter's slow clock ([`Time::slow`]).
//! A candidate counts its term from the time of its vote request, by its fast clock ([`Time::fast`]), so its
//! term ends before its voters can vote for another server. Votes are not stored on disk. A restarted voter
//! therefore does not vote for as long as a vote of its earlier incarnation may last.

use super::grantor::LeaseTable;
use super::message::Term;
use super::settings::BudgetSettings;
use crate::clock::{Nanos, Time};
use crate::server_id::ServerId;
use std::collections::{BTreeSet, VecDeque};

/// Number of recent ballots for which a candidate or grantor still counts votes. The number is greater than 1
/// so that a majority can be reached over a slow and lossy network.
const BALLOTS_MAX: usize = 8;

/// The latest vote that this server granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Vote {
    candidate: ServerId,
    /// Time until which the vote binds this server, by the slow clock.
    expires_at: Nanos,
}

/// A ballot: one round of vote requests to the other voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ballot {
    number: u64,
    /// Time of the vote requests, by the fast clock.
    requested_at: Nanos,
    /// Names of the voters that granted their vote in this ballot.
    votes: BTreeSet<String>,
}

/// State of a server that is a candidate or the grantor. The state is created when the server becomes a
/// candidate, and is kept when the candidate is elected.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct GrantorState {
    pub term: Term,
    /// Recent ballots, in the order of their vote requests.
    ballots: VecDeque<Ballot>,
    /// End of the term of office, by the fast clock; `None` for a candidate.
    elected_until: Option<Nanos>,
    pub leases: LeaseTable,
}

impl GrantorState {
    /// Returns the time of the latest vote requests, by the fast clock.
    fn last_requested_at(&self) -> Nanos {
        self.ballots.back().map_or(0, |ballot| ballot.requested_at)
    }

    /// Returns whether the candidacy has failed or the grantor's term of office has ended.
    fn is_over(&self, time: Time, settings: &BudgetSettings) -> bool {
        match self.elected_until {
            Some(until) => time.fast >= until,
            None => time.fast >= self.last_requested_at() + settings.term_duration / 2,
        }
    }

    /// Returns whether the server is the grantor and must request votes again to extend its term of office.
    fn renewal_is_due(&self, time: Time, settings: &BudgetSettings) -> bool {
        let interval = (settings.term_duration / 8).max(1);
        self.elected_until.is_some() && time.fast >= self.last_requested_at() + interval
    }
}

/// Effect of counting a received vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VoteCount {
    /// The vote completes no majority, or the majority does not extend the term of office.
    Unchanged,
    /// The candidate has become the grantor.
    Elected,
    /// The grantor's term of office has been extended.
    Extended,
}

/// One server's part in the elections of the grantor. The server votes and becomes a candidate only if its
/// name is among the voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Election {
    /// Index of this server among the voters; `None` if it is not a voter.
    rank: Option<u64>,
    /// Time, by the slow clock, before which this server neither votes nor becomes a candidate, since a vote
    /// of its earlier incarnation may still be valid.
    votes_from: Nanos,
    vote: Option<Vote>,
    grantor_state: Option<GrantorState>,
    last_ballot: u64,
    /// Time at which this server last knew of a grantor or candidate, which may be the server itself, by the
    /// fast clock.
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

    /// Records that a grantor is known at `time`, so that this server does not become a candidate yet.
    pub fn record_grantor(&mut self, time: Time) {
        self.grantor_seen_at = time.fast;
    }

    /// Returns whether this server is the grantor now.
    pub fn is_grantor(&self, time: Time) -> bool {
        let until = self.grantor_state.as_ref().and_then(|state| state.elected_until);
        until.is_some_and(|until| time.fast < until)
    }

    /// Returns the state of this server as a candidate or grantor; `None` if it is neither.
    pub fn grantor_state(&self) -> Option<&GrantorState> {
        self.grantor_state.as_ref()
    }

    /// Mutable variant of [`Election::grantor_state`].
    pub fn grantor_state_mut(&mut self) -> Option<&mut GrantorState> {
        self.grantor_state.as_mut()
    }

    /// Returns the name of the candidate for which this server's vote is still valid, if any.
    pub fn voted_for(&self, time: Time) -> Option<&str> {
        let vote = self.vote.as_ref().filter(|vote| time.slow < vote.expires_at)?;
        Some(&vote.candidate.name)
    }

    /// Ends this server's term of office or candidacy if it is over, and opens a ballot if one is due.
    /// Returns the number of the new ballot.
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

    /// Returns whether this server may become a candidate: it may vote, and it has known no grantor for one
    /// term duration plus half a term duration times its rank. The different waits keep the voters from all
    /// becoming candidates at the same time.
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

    /// Grants this server's vote to a candidate for one term duration, unless the vote is still held by
    /// another candidate. Returns whether the vote was granted.
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

    /// Counts a vote of `voter` in one of this server's recent ballots. If the ballot has a majority, the
    /// term of office lasts for one term duration from the time of the ballot's vote requests.
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
