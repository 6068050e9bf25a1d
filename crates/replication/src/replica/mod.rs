//! One replica of the log, on a dedicated control machine. The replicas decide which entries are committed.
//!
//! The protocol is Raft with Paxos-style elections. An external lease selects the replica that tries to lead;
//! the lease affects liveness only, never safety. A candidate chooses an epoch reserved for it, requests
//! promises from a majority, and adopts the most advanced log among them (`election`). The leader appends
//! entries in its epoch and treats an entry as committed once a majority has stored it (`leader`). The other
//! replicas promise epochs and store entries (`acceptor`).
//!
//! Invariant: no two different contents are ever committed under one number, no matter which replicas crash,
//! pause or are partitioned, and even if two replicas believe that they hold the lease. The invariant
//! requires that all state a message depends on is on disk before the message is sent.

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

/// Time after which an unanswered request to another replica is repeated.
const REPEAT_AFTER_NS: Nanos = 300 * MILLISECOND_NS;
/// Maximum bytes of entries in one message between replicas. The limit exceeds the longest entry. Together
/// with the message header it stays within [`crate::message::BODY_BYTES_MAX`]: the header takes at most 43
/// bytes (four integers of up to 10 bytes each, the variant, and the number of entries).
const REPLICA_ENTRIES_BYTES_MAX: usize = 960;

/// Reason why a change was not appended to the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica is not the leader. The message says "publisher" because the operator's command uses that
    /// term for the leader.
    #[error("not the publisher any more")]
    NotLeader,
    /// The log already has too many uncommitted entries.
    #[error("too much waits to be committed: try again")]
    Busy,
    /// A key or a value is out of bounds.
    #[error(transparent)]
    InvalidChange(#[from] ChangeError),
    /// The configuration would have more than [`KEYS_MAX`] keys.
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
    /// Promises epochs and stores the leader's entries.
    Follower,
    /// Waits for promises from a majority.
    Candidate(Candidate),
    /// Appends and replicates entries.
    Leader(Leader),
}

/// A replica of the log. The log consists of the [`CommittedLog`], which the member owns and passes to each
/// call, followed by the replica's uncommitted entries.
#[derive(Debug)]
pub struct Replica {
    name: String,
    /// Names of all replicas, including this one.
    replicas: Vec<String>,
    /// Highest promised epoch: the replica rejects messages of earlier epochs. A candidate or leader has
    /// promised its own epoch. Never decreases.
    promised: u64,
    /// Entries after the committed log, without gaps.
    uncommitted: Vec<Entry>,
    role: Role,
    /// Whether this replica holds the external lease, whose holder tries to become or remain the leader.
    holds_lease: bool,
    /// Whether `promised` or `uncommitted` differ from the state on disk. While true, no message may be sent.
    is_unsaved: bool,
    /// Messages to send once the state is on disk.
    outgoing: Vec<ReplicaMessage>,
}

impl Replica {
    /// Creates a follower with an empty log. `replicas` lists the names of all replicas, including `name`.
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

    /// Restores the state read from disk. The committed entries are restored separately, in the member's log.
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

    /// Number of replicas that form a majority. Any two majorities have a replica in common.
    fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// Whether this replica considers itself the leader: a majority has promised this replica's epoch, and
    /// this replica has not learned of a later epoch.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Sets whether this replica holds the lease, whose holder tries to lead. A leader that loses the lease
    /// steps down to follower. The next leader finishes replicating the old leader's uncommitted entries, or
    /// replaces them.
    pub fn set_holds_lease(&mut self, holds: bool) {
        self.holds_lease = holds;
        if !holds {
            self.role = Role::Follower;
        }
    }

    /// Position of the last entry of this replica's log, committed or not.
    fn last_position(&self, log: &CommittedLog) -> Position {
        self.uncommitted.last().map_or(log.revision().position, Entry::position)
    }

    /// Position of the entry with this number in this replica's log, committed or not; `None` if the entry is
    /// not held.
    fn position(&self, number: u64, log: &CommittedLog) -> Option<Position> {
        match number.checked_sub(log.number() + 1) {
            None => log.position(number),
            Some(index) => self.uncommitted.get(index as usize).map(Entry::position),
        }
    }

    /// Updates the uncommitted entries after the committed log has grown, through this replica or by gossip.
    /// Drops entries whose numbers are now committed. If this replica had stored a different entry under the
    /// number of the last committed entry, drops all uncommitted entries and steps down to follower.
    pub fn follow(&mut self, log: &CommittedLog) {
        let end = log.revision().position;
        let Some(first) = self.uncommitted.first() else { return };
        if first.number() > end.number {
            return;
        }
        let agrees = self.uncommitted.iter().any(|entry| entry.position() == end);
        self.uncommitted.retain(|entry| agrees && entry.number() > end.number);
        if !agrees {
            // Entries of another leader were committed under numbers that this replica had used for its own
            // entries.
            self.role = Role::Follower;
        }
    }

    /// Performs the work that is due for the current role: a follower starts an election, a candidate repeats
    /// its requests for promises, and a leader sends entries and heartbeats. Does nothing without the lease.
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

    /// When [`Replica::advance`] is next to be called, in nanoseconds: 0 means now, [`Nanos::MAX`] never.
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

    /// Records that the state last returned by [`Replica::state_to_persist`] is on disk.
    pub fn on_persisted(&mut self, log: &CommittedLog) {
        self.is_unsaved = false;
        let last = self.last_position(log).number;
        if let Role::Leader(leader) = &mut self.role {
            // The leader's own copy counts towards the majority only once it is on disk.
            leader.set_matched(&self.name, last);
        }
    }

    /// Whether the state must be written to disk before messages are sent.
    pub fn is_unsaved(&self) -> bool {
        self.is_unsaved
    }

    /// The state to write to disk.
    pub fn state_to_persist(&self, log: &CommittedLog) -> PersistedState {
        let entries = log.incomplete().chain(&self.uncommitted).cloned().collect();
        PersistedState { promised: self.promised, committed: log.complete().clone(), entries }
    }

    /// Drops the queued messages, which depend on state that could not be written to disk. Other replicas
    /// repeat the requests that remain unanswered.
    pub fn drop_outgoing(&mut self) {
        self.outgoing.clear();
    }

    /// Removes and returns the queued messages. The caller may send them only while
    /// [`Replica::is_unsaved`] is false.
    pub fn take_outgoing(&mut self) -> Vec<ReplicaMessage> {
        std::mem::take(&mut self.outgoing)
    }

    fn send(&mut self, to: &str, message: Message) {
        self.outgoing.push(ReplicaMessage { to: to.to_string(), message });
    }

    /// Handles a message from another replica; messages from members that are not replicas are ignored.
    /// Returns, in order, the entries that the leader reports as committed.
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

    /// Promises `epoch` and steps down to follower, if `epoch` is later than the highest epoch promised so
    /// far.
    fn adopt_epoch(&mut self, epoch: u64) {
        if epoch > self.promised {
            self.promised = epoch;
            self.is_unsaved = true;
            self.role = Role::Follower;
        }
    }

    /// Entries of this replica's log after `number`, as many as fit into one message.
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
