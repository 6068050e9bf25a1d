//! One replica of the log, which runs on a dedicated control machine. The replicas together decide which log
//! entries are committed.
//!
//! The protocol is Raft with Paxos-style elections. The holder of an external lease is the candidate for
//! leadership; the lease affects liveness only, never safety. A candidate chooses an epoch reserved for it,
//! requests promises from a majority, and adopts the most advanced log of the replicas in this majority
//! (`election`). The leader appends entries in its epoch and treats an entry as committed once a majority has
//! stored it (`leader`). The other replicas promise epochs and store entries (`acceptor`).
//!
//! Invariant: two different contents are never committed under one number. The invariant holds no matter
//! which replicas crash, pause or are partitioned, and even if two replicas believe that they hold the lease.
//! It requires that all state that a message depends on is on disk before the message is sent.

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

/// Time after which a replica repeats an unanswered request to another replica.
const REPEAT_AFTER_NS: Nanos = 300 * MILLISECOND_NS;
/// Maximum total size of the entries in one message between replicas, in bytes. The maximum is larger than
/// the longest entry. With the message header, a message stays within [`crate::message::BODY_BYTES_MAX`]: the
/// header takes at most 43 bytes (four integers of up to 10 bytes each, the variant, and the number of
/// entries).
const REPLICA_ENTRIES_BYTES_MAX: usize = 960;

/// Reason why a change was not appended to the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica is not the leader of the log. The error message says "publisher", which is the term for
    /// the leader in the operator's command.
    #[error("not the publisher any more")]
    NotLeader,
    /// Too many entries of the log are not committed yet.
    #[error("too much waits to be committed: try again")]
    Busy,
    /// The length of a key or of a value in the change is not allowed.
    #[error(transparent)]
    InvalidChange(#[from] ChangeError),
    /// With the change, the configuration would have more than [`KEYS_MAX`] keys.
    #[error("{keys} keys are more than {KEYS_MAX}")]
    TooManyKeys {
        /// Number of keys that the configuration would have with the change.
        keys: usize,
    },
}

/// A message to another replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaMessage {
    /// Name of the receiving replica.
    pub to: String,
    /// The message.
    pub message: Message,
}

/// Role of a replica in its current epoch.
#[derive(Debug)]
enum Role {
    /// The replica is not the leader: it promises epochs and stores the leader's entries.
    Follower,
    /// The replica wants to become the leader, and waits for promises from a majority.
    Candidate(Candidate),
    /// The replica is the leader: it appends entries and sends them to the other replicas.
    Leader(Leader),
}

/// A replica of the log. The first part of its log is the [`CommittedLog`], which the member owns and passes
/// to each call. The second part is the uncommitted entries, which are kept here.
#[derive(Debug)]
pub struct Replica {
    name: String,
    /// Names of all replicas, including this one.
    replicas: Vec<String>,
    /// Highest epoch that this replica has promised, to another replica or to itself. The replica rejects
    /// messages of earlier epochs. Never decreases.
    promised: u64,
    /// Entries that this replica has stored, but that are not in the committed log. They directly follow the
    /// committed log, without gaps.
    uncommitted: Vec<Entry>,
    role: Role,
    /// Whether this replica holds the external leadership lease. The holder tries to become or remain the
    /// leader.
    holds_lease: bool,
    /// Whether `promised` or `uncommitted` differ from the state on disk. While they differ, this replica may
    /// not send its queued messages.
    is_unsaved: bool,
    /// Messages queued for other replicas. A message may be sent only after the state that it depends on is
    /// on disk.
    outgoing: Vec<ReplicaMessage>,
}

impl Replica {
    /// Creates a replica with an empty log, in the follower role. `replicas` lists the names of all replicas,
    /// including `name`.
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

    /// Restores the state of the replica from disk. The member restores the committed entries separately, in
    /// its committed log.
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

    /// Returns the number of replicas that form a majority. Any two majorities have at least one replica in
    /// common.
    fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// Returns whether this replica considers itself the leader: a majority has promised its epoch, and it
    /// has not learned of a later epoch.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Sets whether this replica holds the leadership lease. The holder tries to lead. A leader that loses
    /// the lease becomes a follower. The next leader then finishes replicating the old leader's uncommitted
    /// entries, or replaces them.
    pub fn set_holds_lease(&mut self, holds: bool) {
        self.holds_lease = holds;
        if !holds {
            self.role = Role::Follower;
        }
    }

    /// Returns the position of the last entry in this replica's log, including uncommitted entries.
    fn last_position(&self, log: &CommittedLog) -> Position {
        self.uncommitted.last().map_or(log.revision().position, Entry::position)
    }

    /// Returns the position of entry `number` in this replica's log, including uncommitted entries. Returns
    /// `None` if the replica does not hold the entry.
    fn position(&self, number: u64, log: &CommittedLog) -> Option<Position> {
        match number.checked_sub(log.number() + 1) {
            None => log.position(number),
            Some(index) => self.uncommitted.get(index as usize).map(Entry::position),
        }
    }

    /// Updates the uncommitted entries after the committed log has grown, through this replica or by gossip.
    /// Drops the entries whose numbers are now committed. If there are such entries, but the last entry of
    /// the committed log is not one of them, drops all uncommitted entries and makes this replica a follower.
    pub fn follow(&mut self, log: &CommittedLog) {
        let end = log.revision().position;
        let Some(first) = self.uncommitted.first() else { return };
        if first.number() > end.number {
            return;
        }
        let agrees = self.uncommitted.iter().any(|entry| entry.position() == end);
        self.uncommitted.retain(|entry| agrees && entry.number() > end.number);
        if !agrees {
            // The committed entries come from another leader, and have numbers that this replica had used for
            // its own entries. So this replica is no longer the leader.
            self.role = Role::Follower;
        }
    }

    /// Performs the work that is due in the current role, if this replica holds the lease. A follower starts
    /// an election, a candidate repeats its requests for promises, and a leader sends entries and heartbeats.
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

    /// Returns the time at which [`Replica::advance`] is to be called next, in nanoseconds. 0 means now, and
    /// [`Nanos::MAX`] means that no call is needed.
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

    /// Records that the state last returned by [`Replica::state_to_persist`] is now on disk.
    pub fn on_persisted(&mut self, log: &CommittedLog) {
        self.is_unsaved = false;
        let last = self.last_position(log).number;
        if let Role::Leader(leader) = &mut self.role {
            // The leader counts itself towards the majority that has stored an entry only once the entry is
            // on its own disk. The entries up to number `last` are on disk now.
            leader.set_matched(&self.name, last);
        }
    }

    /// Returns whether the state must be written to disk before queued messages may be sent.
    pub fn is_unsaved(&self) -> bool {
        self.is_unsaved
    }

    /// Returns the state of this replica that is to be written to disk.
    pub fn state_to_persist(&self, log: &CommittedLog) -> PersistedState {
        let entries = log.incomplete().chain(&self.uncommitted).cloned().collect();
        PersistedState { promised: self.promised, committed: log.complete().clone(), entries }
    }

    /// Drops the queued messages, because the state that they depend on could not be written to disk. Other
    /// replicas repeat requests that are not answered.
    pub fn drop_outgoing(&mut self) {
        self.outgoing.clear();
    }

    /// Removes and returns the queued messages. The caller may send them only if [`Replica::is_unsaved`]
    /// returns false.
    pub fn take_outgoing(&mut self) -> Vec<ReplicaMessage> {
        std::mem::take(&mut self.outgoing)
    }

    fn send(&mut self, to: &str, message: Message) {
        self.outgoing.push(ReplicaMessage { to: to.to_string(), message });
    }

    /// Handles a message from another replica. Ignores messages from members that are not replicas. If the
    /// message is from the leader, returns the entries that it reports as committed, in ascending order.
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

    /// Promises `epoch` and becomes a follower, if `epoch` is higher than every epoch promised so far.
    fn adopt_epoch(&mut self, epoch: u64) {
        if epoch > self.promised {
            self.promised = epoch;
            self.is_unsaved = true;
            self.role = Role::Follower;
        }
    }

    /// Returns the entries of this replica's log after number `number`, as many as fit into one message.
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
