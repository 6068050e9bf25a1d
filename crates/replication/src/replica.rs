//! One replica of the log, on a machine set aside for control: the part that decides what is committed. A
//! leader has the promises of a majority for its epoch before it appends, adopts the furthest log among
//! them, and counts an entry as committed once a majority has stored it in its own epoch. So no two contents
//! are ever committed under one number, whoever crashes, pauses or is cut off, and whether or not the lease
//! that says who may publish holds. What a replica says it stores is on disk before it says so.

use crate::Nanos;
use crate::committed_log::{CommittedLog, Snapshot};
use crate::message::Message;
use crate::revision::{Change, Entry, Position, Revision, split};
use crate::state::{KEYS_MAX, State};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Entries that may wait for a majority.
const UNCOMMITTED_MAX: usize = 128;
/// A request to a replica is repeated after so long without an answer.
const REPEAT: Nanos = 300_000_000;
/// A candidate that has repeated itself so often begins anew with a later epoch.
const REPEATS_MAX: u32 = 10;
/// Replicas hear from the leader this often at the least.
const HEARTBEAT: Nanos = 1_000_000_000;
/// Bytes of entries in one message, beside its head.
const ENTRIES_BYTES: usize = 960;

/// What a replica keeps on disk, written as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    pub promised: u64,
    pub committed: Snapshot,
    /// Entries after it, committed or not: which of them are is learnt anew.
    pub entries: Vec<Entry>,
}

#[derive(Debug, Default)]
struct Candidate {
    /// What each has told of its log: its end, and the entries after this one's committed end.
    promises: BTreeMap<String, (Position, Vec<Entry>)>,
    asked: Nanos,
    repeats: u32,
}

#[derive(Debug, Default)]
struct Leader {
    /// Up to which number each replica's log is known to agree; this one's own once it is on disk.
    agrees: BTreeMap<String, u64>,
    /// When each was last sent to.
    sent: BTreeMap<String, Nanos>,
    /// Content after the last entry, and its number.
    end: State,
    last: u64,
}

impl Leader {
    /// When a replica is to be sent to again: soon where it lacks entries, else for a sign of life.
    fn due(&self, replica: &str) -> Nanos {
        let Some(sent) = self.sent.get(replica) else { return 0 };
        let agrees = self.agrees.get(replica).is_some_and(|agrees| *agrees >= self.last);
        sent + if agrees { HEARTBEAT } else { REPEAT }
    }
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate(Candidate),
    Leader(Leader),
}

/// Why a change was not published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    NotLeader,
    Busy,
    Invalid(String),
}

#[derive(Debug)]
pub struct Replica {
    me: String,
    /// All of them, this one included.
    replicas: Vec<String>,
    /// No epoch before this one is taken part in.
    promised: u64,
    /// Entries after the committed end.
    entries: Vec<Entry>,
    role: Role,
    holds_lease: bool,
    /// Something has changed that is to be on disk before messages go out.
    unsaved: bool,
    out: Vec<(String, Message)>,
}

impl Replica {
    pub fn new(me: &str, replicas: Vec<String>) -> Replica {
        Replica {
            me: me.to_string(),
            replicas,
            promised: 0,
            entries: Vec::new(),
            role: Role::Follower,
            holds_lease: false,
            unsaved: false,
            out: Vec::new(),
        }
    }

    /// Goes on from what was on disk; the log has the committed part.
    pub fn restore(&mut self, promised: u64, entries: Vec<Entry>) {
        (self.promised, self.entries) = (promised, entries);
    }

    pub fn is_replica(&self, name: &str) -> bool {
        self.replicas.iter().any(|replica| replica == name)
    }

    pub fn replicas(&self) -> &[String] {
        &self.replicas
    }

    fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    pub fn epoch(&self) -> u64 {
        self.promised
    }

    /// The lease says who may publish. Without it a leader stands back; what it has begun another goes on
    /// with.
    pub fn set_holds_lease(&mut self, may: bool) {
        self.holds_lease = may;
        if !may {
            self.role = Role::Follower;
        }
    }

    /// The next epoch that is this replica's own: no two replicas ever ask for the same one.
    fn next_epoch(&self) -> u64 {
        let all = self.replicas.len() as u64;
        let mine = self.replicas.iter().position(|replica| *replica == self.me).unwrap_or(0) as u64;
        (self.promised / all + 1) * all + mine
    }

    fn last(&self, log: &CommittedLog) -> Position {
        self.entries.last().map_or(log.revision().position, |entry| entry.revision.position)
    }

    /// The position at a number of this replica's log, committed or not.
    fn position(&self, number: u64, log: &CommittedLog) -> Option<Position> {
        match number.checked_sub(log.number() + 1) {
            None => log.position(number),
            Some(at) => self.entries.get(at as usize).map(|entry| entry.revision.position),
        }
    }

    /// The log has gone on, here or by what others spread: what is committed needs no place in the log.
    /// Committed entries that differ from those here replace them.
    pub fn follow(&mut self, log: &CommittedLog) {
        let end = log.revision().position;
        let Some(first) = self.entries.first() else { return };
        if first.revision.position.number > end.number {
            return;
        }
        let same = self.entries.iter().any(|entry| entry.revision.position == end);
        self.entries.retain(|entry| same && entry.revision.position.number > end.number);
        if !same {
            // Another's entries were committed in their place: this one is the leader no more.
            self.role = Role::Follower;
        }
    }

    pub fn advance(&mut self, now: Nanos, log: &CommittedLog) {
        if !self.holds_lease {
            return;
        }
        match &mut self.role {
            Role::Follower => {
                self.promised = self.next_epoch();
                self.unsaved = true;
                let own = (self.last(log), self.entries.clone());
                let promises = BTreeMap::from([(self.me.clone(), own)]);
                self.role = Role::Candidate(Candidate { promises, asked: now, repeats: 0 });
                self.send_prepares(log);
                self.try_to_lead(now, log);
            }
            Role::Candidate(candidate) if candidate.repeats >= REPEATS_MAX => self.role = Role::Follower,
            Role::Candidate(candidate) if now >= candidate.asked + REPEAT => {
                candidate.asked = now;
                candidate.repeats += 1;
                self.send_prepares(log);
            }
            Role::Candidate(_) => {}
            Role::Leader(_) => self.send_entries(now, log),
        }
    }

    pub fn next_due(&self) -> Nanos {
        match &self.role {
            Role::Follower if self.holds_lease => 0,
            Role::Follower => Nanos::MAX,
            Role::Candidate(candidate) => candidate.asked + REPEAT,
            Role::Leader(leader) => {
                let others = self.replicas.iter().filter(|replica| **replica != self.me);
                others.map(|replica| leader.due(replica)).min().unwrap_or(Nanos::MAX)
            }
        }
    }

    /// Those whose log is not whole here are asked for what is missing of it.
    fn send_prepares(&mut self, log: &CommittedLog) {
        let Role::Candidate(candidate) = &self.role else { return };
        for replica in self.replicas.iter().filter(|replica| **replica != self.me) {
            let after = match candidate.promises.get(replica) {
                Some((last, entries)) => {
                    let reached = entries.last().map_or(log.number(), |entry| entry.revision.position.number);
                    if reached >= last.number {
                        continue;
                    }
                    reached
                }
                None => log.number(),
            };
            self.out.push((replica.clone(), Message::Prepare { epoch: self.promised, after }));
        }
    }

    /// Becomes the leader where a majority has promised and the furthest log among them is whole.
    fn try_to_lead(&mut self, now: Nanos, log: &CommittedLog) {
        let Role::Candidate(candidate) = &self.role else { return };
        if candidate.promises.len() < self.majority() {
            return;
        }
        let furthest = candidate.promises.values().max_by_key(|(last, _)| *last);
        let Some((last, entries)) = furthest else { return };
        let ahead = |entry: &&Entry| entry.revision.position.number > log.number();
        let entries: Vec<Entry> = entries.iter().filter(ahead).cloned().collect();
        let reached = entries.last().map_or(log.number(), |entry| entry.revision.position.number);
        if reached < last.number {
            return;
        }
        self.entries = entries;
        let (end, taken_back) = self.end_of_log(log);
        self.role = Role::Leader(Leader { end, ..Leader::default() });
        // Only an entry of its own epoch tells a leader that those before it are committed. It takes
        // back a change that its leader left half done.
        let mut parts = split(taken_back);
        let whole = parts.pop().unwrap_or_default();
        parts.into_iter().for_each(|part| self.append(part, true, log));
        self.append(whole, false, log);
        self.send_entries(now, log);
    }

    /// The content at the end of the log, and what takes back a change that is not whole there.
    fn end_of_log(&self, log: &CommittedLog) -> (State, Vec<Change>) {
        let mut complete = log.complete().state.clone();
        let mut end = complete.clone();
        let mut open: Vec<Change> = Vec::new();
        for entry in log.open().chain(&self.entries) {
            end.apply(&entry.changes);
            match entry.partial {
                true => open.extend(entry.changes.iter().cloned()),
                false => {
                    open.clear();
                    complete = end.clone();
                }
            }
        }
        (end, complete.inverse(&open))
    }

    fn append(&mut self, changes: Vec<Change>, partial: bool, log: &CommittedLog) {
        let number = self.last(log).number + 1;
        let at = Position { epoch: self.promised, number };
        let Role::Leader(leader) = &mut self.role else { return };
        leader.end.apply(&changes);
        leader.last = number;
        let revision = Revision { position: at, hash: leader.end.hash() };
        self.entries.push(Entry { revision, changes, partial });
        self.unsaved = true;
    }

    /// Appends a change; the number that it will be committed at, if this one stays the leader.
    pub fn propose(
        &mut self,
        changes: Vec<Change>,
        now: Nanos,
        log: &CommittedLog,
    ) -> Result<u64, ProposeError> {
        let Role::Leader(leader) = &self.role else { return Err(ProposeError::NotLeader) };
        if let Some(fault) = changes.iter().find_map(Change::fault) {
            return Err(ProposeError::Invalid(fault));
        }
        let mut end = leader.end.clone();
        end.apply(&changes);
        if end.len() > KEYS_MAX {
            return Err(ProposeError::Invalid(format!("{} keys are more than {KEYS_MAX}", end.len())));
        }
        let mut parts = split(changes);
        if self.entries.len() + parts.len() > UNCOMMITTED_MAX {
            return Err(ProposeError::Busy);
        }
        let last = parts.pop().unwrap_or_default();
        parts.into_iter().for_each(|part| self.append(part, true, log));
        self.append(last, false, log);
        // What is new goes out at once, whenever the last message went.
        if let Role::Leader(leader) = &mut self.role {
            leader.sent.clear();
        }
        self.send_entries(now, log);
        Ok(self.last(log).number)
    }

    /// Sends each replica what it lacks, or a sign of life.
    fn send_entries(&mut self, now: Nanos, log: &CommittedLog) {
        let others: Vec<String> =
            self.replicas.iter().filter(|replica| **replica != self.me).cloned().collect();
        for replica in others {
            let Role::Leader(leader) = &mut self.role else { return };
            if now < leader.due(&replica) {
                continue;
            }
            let agrees = leader.agrees.get(&replica).copied();
            leader.sent.insert(replica.clone(), now);
            self.send_entries_to(&replica, agrees.unwrap_or(log.number()), log);
        }
    }

    fn send_entries_to(&mut self, replica: &str, agrees: u64, log: &CommittedLog) {
        // One that lags behind what is held hears of the end alone; what is committed spreads to it as to
        // all.
        let agrees = if self.position(agrees, log).is_some() { agrees } else { log.number() };
        let Some(previous) = self.position(agrees, log) else { return };
        let suffix = log.tail().chain(&self.entries).filter(|entry| entry.revision.position.number > agrees);
        let entries = fitting(suffix);
        let (epoch, committed) = (self.promised, log.number());
        self.out.push((replica.to_string(), Message::Append { epoch, previous, entries, committed }));
    }

    /// Entries that a majority holds in this epoch, in order, for the log. The leader's and, from what
    /// it says of its log, a follower's.
    pub fn committed(&self, log: &CommittedLog) -> Vec<Entry> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let mut agrees: Vec<u64> =
            self.replicas.iter().map(|r| leader.agrees.get(r).copied().unwrap_or(0)).collect();
        agrees.sort_unstable_by(|a, b| b.cmp(a));
        let held = agrees[self.majority() - 1];
        let own_epoch = self.position(held, log).is_some_and(|at| at.epoch == self.promised);
        let upto = |entry: &&Entry| own_epoch && entry.revision.position.number <= held;
        self.entries.iter().take_while(upto).cloned().collect()
    }

    /// What is on disk counts for the majority.
    pub fn on_persisted(&mut self, log: &CommittedLog) {
        self.unsaved = false;
        let last = self.last(log).number;
        if let Role::Leader(leader) = &mut self.role {
            leader.agrees.insert(self.me.clone(), last);
        }
    }

    pub fn is_unsaved(&self) -> bool {
        self.unsaved
    }

    pub fn state_to_persist(&self, log: &CommittedLog) -> PersistedState {
        let entries = log.open().chain(&self.entries).cloned().collect();
        PersistedState { promised: self.promised, committed: log.complete().clone(), entries }
    }

    /// Whoever cannot write to its disk sends nothing, and what it would have sent is asked for again.
    pub fn drop_unsent(&mut self) {
        self.out.clear();
    }

    /// Messages to send once all is saved; taken once.
    pub fn outgoing(&mut self) -> Vec<(String, Message)> {
        std::mem::take(&mut self.out)
    }

    /// A message between replicas. Returns entries that the leader says are committed, in order.
    pub fn receive(&mut self, now: Nanos, from: &str, message: Message, log: &CommittedLog) -> Vec<Entry> {
        if !self.is_replica(from) {
            return Vec::new();
        }
        match message {
            Message::Prepare { epoch, after } => self.prepare(from, epoch, after, log),
            Message::Promise { epoch, last, after, entries } => {
                self.promise(now, from, epoch, last, after, entries, log);
            }
            Message::EpochRejected { promised } => self.adopt_epoch(promised),
            Message::Append { epoch, previous, entries, committed } => {
                return self.store(from, epoch, previous, entries, committed, log);
            }
            Message::Appended { epoch, number } => self.stored(now, from, epoch, number, log),
            Message::AppendRejected { epoch, agrees } => self.missing(from, epoch, agrees, log),
            _ => {}
        }
        Vec::new()
    }

    /// Another has a later epoch.
    fn adopt_epoch(&mut self, promised: u64) {
        if promised > self.promised {
            self.promised = promised;
            self.unsaved = true;
            self.role = Role::Follower;
        }
    }

    fn prepare(&mut self, from: &str, epoch: u64, after: u64, log: &CommittedLog) {
        if epoch < self.promised {
            return self.out.push((from.to_string(), Message::EpochRejected { promised: self.promised }));
        }
        self.adopt_epoch(epoch);
        // The log before what is held spreads as committed entries do: the candidate asks again after it.
        if self.position(after, log).is_none() && after < log.number() {
            return;
        }
        let suffix = log.tail().chain(&self.entries).filter(|entry| entry.revision.position.number > after);
        let (entries, last) = (fitting(suffix), self.last(log));
        self.out.push((from.to_string(), Message::Promise { epoch, last, after, entries }));
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of the message")]
    fn promise(
        &mut self,
        now: Nanos,
        from: &str,
        epoch: u64,
        last: Position,
        after: u64,
        entries: Vec<Entry>,
        log: &CommittedLog,
    ) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        if epoch != self.promised {
            return;
        }
        let told = candidate.promises.entry(from.to_string()).or_insert((last, Vec::new()));
        if told.0 != last {
            // Its log has been replaced by what was committed.
            *told = (last, Vec::new());
        }
        let promised = &mut told.1;
        let reached = promised.last().map_or(log.number(), |entry| entry.revision.position.number);
        if after == reached {
            promised.extend(entries);
        }
        // Entries that have been committed meanwhile are in the log.
        promised.retain(|entry| entry.revision.position.number > log.number());
        self.send_prepares(log);
        self.try_to_lead(now, log);
    }

    fn store(
        &mut self,
        from: &str,
        epoch: u64,
        previous: Position,
        entries: Vec<Entry>,
        committed: u64,
        log: &CommittedLog,
    ) -> Vec<Entry> {
        if epoch < self.promised {
            self.out.push((from.to_string(), Message::EpochRejected { promised: self.promised }));
            return Vec::new();
        }
        self.adopt_epoch(epoch);
        self.role = Role::Follower;
        let agrees = previous.number <= log.number() || self.position(previous.number, log) == Some(previous);
        if !agrees || previous.number > self.last(log).number {
            let agrees = self.last(log).number.min(previous.number.saturating_sub(1)).max(log.number());
            self.out.push((from.to_string(), Message::AppendRejected { epoch, agrees }));
            return Vec::new();
        }
        let mut reached = previous.number;
        for entry in entries {
            let number = entry.revision.position.number;
            if number != reached + 1 || !entry.is_within_bounds() {
                break;
            }
            reached = number;
            if number <= log.number() || self.position(number, log) == Some(entry.revision.position) {
                continue;
            }
            self.entries.truncate((number - log.number() - 1) as usize);
            self.entries.push(entry);
            self.unsaved = true;
        }
        let reached = reached.max(log.number());
        self.out.push((from.to_string(), Message::Appended { epoch, number: reached }));
        let upto = committed.min(reached);
        self.entries.iter().take_while(|entry| entry.revision.position.number <= upto).cloned().collect()
    }

    fn stored(&mut self, now: Nanos, from: &str, epoch: u64, number: u64, log: &CommittedLog) {
        let last = self.last(log).number;
        let Role::Leader(leader) = &mut self.role else { return };
        if epoch != self.promised || number > last {
            return;
        }
        let agrees = leader.agrees.entry(from.to_string()).or_default();
        *agrees = number.max(*agrees);
        let agrees = *agrees;
        if agrees < last {
            leader.sent.insert(from.to_string(), now);
            self.send_entries_to(from, agrees, log);
        }
    }

    fn missing(&mut self, from: &str, epoch: u64, agrees: u64, log: &CommittedLog) {
        // What is not held any more spreads to it as to all; the next heartbeat finds it further on.
        let held = self.position(agrees, log).is_some();
        if epoch == self.promised && self.is_leader() && held {
            self.send_entries_to(from, agrees, log);
        }
    }
}

/// As many as fit one message.
fn fitting<'a>(entries: impl Iterator<Item = &'a Entry>) -> Vec<Entry> {
    let mut held = 0;
    let mut some = Vec::new();
    for entry in entries {
        held += entry.size();
        if held > ENTRIES_BYTES && !some.is_empty() {
            break;
        }
        some.push(entry.clone());
    }
    some
}
