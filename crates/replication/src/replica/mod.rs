//! One replica of the log, on a machine set aside for control: the part that decides what is committed.
//!
//! The protocol is that of Raft with elections as in Paxos. A lease, held outside, says which replica tries
//! to lead; it bears on progress only. A candidate takes an epoch of its own, requests the promises of a
//! majority, and adopts the furthest log among them (`election`). The leader appends entries in its epoch and
//! counts one as committed once a majority has stored it (`leader`). The other replicas promise and store
//! (`acceptor`).
//!
//! Invariant: no two contents are ever committed under one number, whichever replicas crash, pause or are cut
//! off, and whether or not two believe that they hold the lease. To keep it, whatever a message rests on is
//! on disk before the message is sent.

mod acceptor;
mod election;
mod leader;

use crate::change::ChangeError;
use crate::committed_log::CommittedLog;
use crate::entry::Entry;
use crate::message::Message;
use crate::persistence::PersistedState;
use crate::revision::Position;
use crate::state::KEYS_MAX;
use crate::time::{MILLISECOND_NS, Nanos};
use acceptor::AppendRequest;
use election::{Candidate, Promise};
use leader::Leader;

/// A request to a replica is repeated after so long without an answer.
const REPEAT_AFTER_NS: Nanos = 300 * MILLISECOND_NS;
/// Most bytes of entries in one message between replicas: more than the longest entry, and within
/// [`crate::message::BODY_BYTES_MAX`] with the head, which takes 43 at most (four integers of 10 bytes, the
/// variant, the number of entries).
const REPLICA_ENTRIES_BYTES_MAX: usize = 960;

/// A change that was not appended to the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another replica leads, or none. The text calls the leader the publisher, as the operator's command
    /// does.
    #[error("not the publisher any more")]
    NotLeader,
    /// Too many entries wait for a majority.
    #[error("too much waits to be committed: try again")]
    Busy,
    /// A key or a value is out of bounds.
    #[error(transparent)]
    InvalidChange(#[from] ChangeError),
    /// The configuration would have more than [`KEYS_MAX`] keys.
    #[error("{keys} keys are more than {KEYS_MAX}")]
    TooManyKeys {
        /// Keys of the content with the change.
        keys: usize,
    },
}

/// A message to another replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaMessage {
    /// The replica's name.
    pub to: String,
    /// What it is sent.
    pub message: Message,
}

/// What a replica does in its epoch.
#[derive(Debug)]
enum Role {
    /// Promises epochs and stores the leader's entries.
    Follower,
    /// Waits for a majority's promises.
    Candidate(Candidate),
    /// Appends entries.
    Leader(Leader),
}

/// A replica. Its log is the [`CommittedLog`], which the member owns and passes in, and the entries after it.
#[derive(Debug)]
pub struct Replica {
    name: String,
    /// Names of all replicas, this one included.
    replicas: Vec<String>,
    /// The replica takes part in no epoch before this one; that of a candidate or leader is its own. Never
    /// falls.
    promised: u64,
    /// Entries after the committed end, without gaps.
    uncommitted: Vec<Entry>,
    role: Role,
    /// Whether this replica is to lead.
    holds_lease: bool,
    /// `promised` or `uncommitted` differ from what is on disk: no message may be sent.
    is_unsaved: bool,
    /// Messages to send once all is on disk.
    outgoing: Vec<ReplicaMessage>,
}

impl Replica {
    /// A follower with an empty log. `replicas` are the names of all, this one's included.
    pub fn new(name: &str, replicas: Vec<String>) -> Replica {
        Replica {
            name: name.to_string(),
            replicas,
            promised: 0,
            uncommitted: Vec::new(),
            role: Role::Follower,
            holds_lease: false,
            is_unsaved: false,
            outgoing: Vec::new(),
        }
    }

    /// Continues from what was on disk; the committed part is in the member's log.
    pub fn restore(&mut self, promised: u64, uncommitted: Vec<Entry>) {
        self.promised = promised;
        self.uncommitted = uncommitted;
    }

    fn is_replica(&self, name: &str) -> bool {
        self.replicas.iter().any(|replica| replica == name)
    }

    fn others(&self) -> impl Iterator<Item = &String> {
        self.replicas.iter().filter(|replica| **replica != self.name)
    }

    /// Any two majorities have a replica in common.
    fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// Whether a majority has promised this replica's epoch, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Without the lease a leader becomes a follower; entries that it has begun are completed by the next.
    pub fn set_holds_lease(&mut self, holds: bool) {
        self.holds_lease = holds;
        if !holds {
            self.role = Role::Follower;
        }
    }

    /// The end of this replica's log, committed or not.
    fn last_position(&self, log: &CommittedLog) -> Position {
        self.uncommitted.last().map_or(log.revision().position, Entry::position)
    }

    /// The position at a number of this replica's log, committed or not.
    fn position(&self, number: u64, log: &CommittedLog) -> Option<Position> {
        match number.checked_sub(log.number() + 1) {
            None => log.position(number),
            Some(index) => self.uncommitted.get(index as usize).map(Entry::position),
        }
    }

    /// The committed log has grown, by this replica or by gossip. Entries at its numbers are dropped; where
    /// the committed ones differ, so are all that follow.
    pub fn follow(&mut self, log: &CommittedLog) {
        let end = log.revision().position;
        let Some(first) = self.uncommitted.first() else { return };
        if first.number() > end.number {
            return;
        }
        let agrees = self.uncommitted.iter().any(|entry| entry.position() == end);
        self.uncommitted.retain(|entry| agrees && entry.number() > end.number);
        if !agrees {
            // Entries of another leader were committed in their place.
            self.role = Role::Follower;
        }
    }

    /// Does what is due: a campaign, repeated requests, heartbeats.
    pub fn advance(&mut self, now: Nanos, log: &CommittedLog) {
        if !self.holds_lease {
            return;
        }
        match &self.role {
            Role::Follower => self.campaign(now, log),
            Role::Candidate(_) => self.repeat_campaign(now, log),
            Role::Leader(_) => self.replicate(now, log),
        }
    }

    /// When [`Replica::advance`] is wanted next, in nanoseconds: 0 for at once, [`Nanos::MAX`] for never.
    pub fn next_due(&self) -> Nanos {
        match &self.role {
            Role::Follower if self.holds_lease => 0,
            Role::Follower => Nanos::MAX,
            Role::Candidate(candidate) => candidate.next_due(),
            Role::Leader(leader) => {
                self.others().map(|replica| leader.next_due(replica)).min().unwrap_or(Nanos::MAX)
            }
        }
    }

    /// What [`Replica::state_to_persist`] returned last is on disk.
    pub fn on_persisted(&mut self, log: &CommittedLog) {
        self.is_unsaved = false;
        let last = self.last_position(log).number;
        if let Role::Leader(leader) = &mut self.role {
            // The leader's own copy counts for the majority only now.
            leader.set_matched(&self.name, last);
        }
    }

    /// Whether something is to be on disk before messages are sent.
    pub fn is_unsaved(&self) -> bool {
        self.is_unsaved
    }

    /// What is to be on disk.
    pub fn state_to_persist(&self, log: &CommittedLog) -> PersistedState {
        let entries = log.incomplete().chain(&self.uncommitted).cloned().collect();
        PersistedState { promised: self.promised, committed: log.complete().clone(), entries }
    }

    /// Drops messages that rest on what could not be written. Their receivers ask again.
    pub fn drop_outgoing(&mut self) {
        self.outgoing.clear();
    }

    /// Messages to send, each returned once. Only to be sent while nothing is unsaved.
    pub fn take_outgoing(&mut self) -> Vec<ReplicaMessage> {
        std::mem::take(&mut self.outgoing)
    }

    fn send(&mut self, to: &str, message: Message) {
        self.outgoing.push(ReplicaMessage { to: to.to_string(), message });
    }

    /// Handles a message between replicas; those of other members are ignored. Returns entries that the
    /// leader says are committed, in order.
    pub fn receive(&mut self, now: Nanos, from: &str, message: Message, log: &CommittedLog) -> Vec<Entry> {
        if !self.is_replica(from) {
            return Vec::new();
        }
        match message {
            Message::Prepare { epoch, after } => self.on_prepare(from, epoch, after, log),
            Message::Promise { epoch, last, after, entries } => {
                self.on_promise(now, from, Promise { epoch, last, after, entries }, log);
            }
            Message::EpochRejected { promised } => self.adopt_epoch(promised),
            Message::Append { epoch, previous, entries, committed } => {
                let request = AppendRequest { epoch, previous, entries, committed };
                return self.on_append(from, request, log);
            }
            Message::Appended { epoch, number } => self.on_appended(now, from, epoch, number, log),
            Message::AppendRejected { epoch, matched } => {
                self.on_append_rejected(from, epoch, matched, log);
            }
            _ => {}
        }
        Vec::new()
    }

    /// A later epoch ends this replica's own candidacy or leadership.
    fn adopt_epoch(&mut self, epoch: u64) {
        if epoch > self.promised {
            self.promised = epoch;
            self.is_unsaved = true;
            self.role = Role::Follower;
        }
    }

    /// Entries of this replica's log after a number, as many as fit one message.
    fn entries_after(&self, number: u64, log: &CommittedLog) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        for entry in log.tail().chain(&self.uncommitted) {
            if entry.number() <= number {
                continue;
            }
            bytes += entry.size();
            if bytes > REPLICA_ENTRIES_BYTES_MAX && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }
}
