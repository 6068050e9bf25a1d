//! One replica of the log, on a machine set aside for control: the part that decides what is committed. A
//! publisher has the promises of a majority for its epoch before it appends, adopts the furthest log among
//! them, and counts an entry as committed once a majority has stored it in its own epoch. So no two contents
//! are ever committed under one number, whoever crashes, pauses or is cut off, and whether or not the lease
//! that says who may publish holds. What a replica says it stores is on disk before it says so.

use crate::Nanos;
use crate::history::{History, Snapshot};
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
/// Replicas hear from the publisher this often at the least.
const HEARTBEAT: Nanos = 1_000_000_000;
/// Bytes of entries in one message, beside its head.
const ENTRIES_BYTES: usize = 960;

/// What a replica keeps on disk, written as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Saved {
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
struct Publisher {
    /// Up to which number each replica's log is known to agree; this one's own once it is on disk.
    agrees: BTreeMap<String, u64>,
    /// When each was last sent to.
    sent: BTreeMap<String, Nanos>,
    /// Content after the last entry, and its number.
    end: State,
    last: u64,
}

impl Publisher {
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
    Publisher(Publisher),
}

/// Why a change was not published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotPublished {
    NotPublisher,
    Busy,
    Bad(String),
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
    may_publish: bool,
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
            may_publish: false,
            unsaved: false,
            out: Vec::new(),
        }
    }

    /// Goes on from what was on disk; the history has the committed part.
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

    pub fn is_publisher(&self) -> bool {
        matches!(self.role, Role::Publisher(_))
    }

    pub fn epoch(&self) -> u64 {
        self.promised
    }

    /// The lease says who may publish. Without it a publisher stands back; what it has begun another goes on
    /// with.
    pub fn set_may_publish(&mut self, may: bool) {
        self.may_publish = may;
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

    fn last(&self, history: &History) -> Position {
        self.entries.last().map_or(history.revision().at, |entry| entry.revision.at)
    }

    /// The position at a number of this replica's log, committed or not.
    fn position(&self, number: u64, history: &History) -> Option<Position> {
        match number.checked_sub(history.number() + 1) {
            None => history.position(number),
            Some(at) => self.entries.get(at as usize).map(|entry| entry.revision.at),
        }
    }

    /// The history has gone on, here or by what others spread: what is committed needs no place in the log.
    /// Committed entries that differ from those here replace them.
    pub fn follow(&mut self, history: &History) {
        let end = history.revision().at;
        let Some(first) = self.entries.first() else { return };
        if first.revision.at.number > end.number {
            return;
        }
        let same = self.entries.iter().any(|entry| entry.revision.at == end);
        self.entries.retain(|entry| same && entry.revision.at.number > end.number);
        if !same {
            // Another's entries were committed in their place: this one is the publisher no more.
            self.role = Role::Follower;
        }
    }

    pub fn advance(&mut self, now: Nanos, history: &History) {
        if !self.may_publish {
            return;
        }
        match &mut self.role {
            Role::Follower => {
                self.promised = self.next_epoch();
                self.unsaved = true;
                let own = (self.last(history), self.entries.clone());
                let promises = BTreeMap::from([(self.me.clone(), own)]);
                self.role = Role::Candidate(Candidate { promises, asked: now, repeats: 0 });
                self.ask_for_promises(history);
                self.take_over(now, history);
            }
            Role::Candidate(candidate) if candidate.repeats >= REPEATS_MAX => self.role = Role::Follower,
            Role::Candidate(candidate) if now >= candidate.asked + REPEAT => {
                candidate.asked = now;
                candidate.repeats += 1;
                self.ask_for_promises(history);
            }
            Role::Candidate(_) => {}
            Role::Publisher(_) => self.send_entries(now, history),
        }
    }

    pub fn next_due(&self) -> Nanos {
        match &self.role {
            Role::Follower if self.may_publish => 0,
            Role::Follower => Nanos::MAX,
            Role::Candidate(candidate) => candidate.asked + REPEAT,
            Role::Publisher(publisher) => {
                let others = self.replicas.iter().filter(|replica| **replica != self.me);
                others.map(|replica| publisher.due(replica)).min().unwrap_or(Nanos::MAX)
            }
        }
    }

    /// Those whose log is not whole here are asked for what is missing of it.
    fn ask_for_promises(&mut self, history: &History) {
        let Role::Candidate(candidate) = &self.role else { return };
        for replica in self.replicas.iter().filter(|replica| **replica != self.me) {
            let after = match candidate.promises.get(replica) {
                Some((last, entries)) => {
                    let reached = entries.last().map_or(history.number(), |entry| entry.revision.at.number);
                    if reached >= last.number {
                        continue;
                    }
                    reached
                }
                None => history.number(),
            };
            self.out.push((replica.clone(), Message::Prepare { epoch: self.promised, after }));
        }
    }

    /// Becomes the publisher where a majority has promised and the furthest log among them is whole.
    fn take_over(&mut self, now: Nanos, history: &History) {
        let Role::Candidate(candidate) = &self.role else { return };
        if candidate.promises.len() < self.majority() {
            return;
        }
        let furthest = candidate.promises.values().max_by_key(|(last, _)| *last);
        let Some((last, entries)) = furthest else { return };
        let ahead = |entry: &&Entry| entry.revision.at.number > history.number();
        let entries: Vec<Entry> = entries.iter().filter(ahead).cloned().collect();
        let reached = entries.last().map_or(history.number(), |entry| entry.revision.at.number);
        if reached < last.number {
            return;
        }
        self.entries = entries;
        let (end, taken_back) = self.end_of_log(history);
        self.role = Role::Publisher(Publisher { end, ..Publisher::default() });
        // Only an entry of its own epoch tells a publisher that those before it are committed. It takes
        // back a change that its publisher left half done.
        let mut parts = split(taken_back);
        let whole = parts.pop().unwrap_or_default();
        parts.into_iter().for_each(|part| self.append(part, true, history));
        self.append(whole, false, history);
        self.send_entries(now, history);
    }

    /// The content at the end of the log, and what takes back a change that is not whole there.
    fn end_of_log(&self, history: &History) -> (State, Vec<Change>) {
        let mut complete = history.complete().state.clone();
        let mut end = complete.clone();
        let mut open: Vec<Change> = Vec::new();
        for entry in history.open().chain(&self.entries) {
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

    fn append(&mut self, changes: Vec<Change>, partial: bool, history: &History) {
        let number = self.last(history).number + 1;
        let at = Position { epoch: self.promised, number };
        let Role::Publisher(publisher) = &mut self.role else { return };
        publisher.end.apply(&changes);
        publisher.last = number;
        let revision = Revision { at, hash: publisher.end.hash() };
        self.entries.push(Entry { revision, changes, partial });
        self.unsaved = true;
    }

    /// Appends a change; the number that it will be committed at, if this one stays the publisher.
    pub fn publish(
        &mut self,
        changes: Vec<Change>,
        now: Nanos,
        history: &History,
    ) -> Result<u64, NotPublished> {
        let Role::Publisher(publisher) = &self.role else { return Err(NotPublished::NotPublisher) };
        if let Some(fault) = changes.iter().find_map(Change::fault) {
            return Err(NotPublished::Bad(fault));
        }
        let mut end = publisher.end.clone();
        end.apply(&changes);
        if end.len() > KEYS_MAX {
            return Err(NotPublished::Bad(format!("{} keys are more than {KEYS_MAX}", end.len())));
        }
        let mut parts = split(changes);
        if self.entries.len() + parts.len() > UNCOMMITTED_MAX {
            return Err(NotPublished::Busy);
        }
        let last = parts.pop().unwrap_or_default();
        parts.into_iter().for_each(|part| self.append(part, true, history));
        self.append(last, false, history);
        // What is new goes out at once, whenever the last message went.
        if let Role::Publisher(publisher) = &mut self.role {
            publisher.sent.clear();
        }
        self.send_entries(now, history);
        Ok(self.last(history).number)
    }

    /// Sends each replica what it lacks, or a sign of life.
    fn send_entries(&mut self, now: Nanos, history: &History) {
        let others: Vec<String> =
            self.replicas.iter().filter(|replica| **replica != self.me).cloned().collect();
        for replica in others {
            let Role::Publisher(publisher) = &mut self.role else { return };
            if now < publisher.due(&replica) {
                continue;
            }
            let agrees = publisher.agrees.get(&replica).copied();
            publisher.sent.insert(replica.clone(), now);
            self.send_entries_to(&replica, agrees.unwrap_or(history.number()), history);
        }
    }

    fn send_entries_to(&mut self, replica: &str, agrees: u64, history: &History) {
        // One that lags behind what is held hears of the end alone; what is committed spreads to it as to
        // all.
        let agrees = if self.position(agrees, history).is_some() { agrees } else { history.number() };
        let Some(previous) = self.position(agrees, history) else { return };
        let log = history.tail().chain(&self.entries).filter(|entry| entry.revision.at.number > agrees);
        let entries = fitting(log);
        let (epoch, committed) = (self.promised, history.number());
        self.out.push((replica.to_string(), Message::Append { epoch, previous, entries, committed }));
    }

    /// Entries that a majority holds in this epoch, in order, for the history. The publisher's and, from what
    /// it says of its log, a follower's.
    pub fn committed(&self, history: &History) -> Vec<Entry> {
        let Role::Publisher(publisher) = &self.role else { return Vec::new() };
        let mut agrees: Vec<u64> =
            self.replicas.iter().map(|r| publisher.agrees.get(r).copied().unwrap_or(0)).collect();
        agrees.sort_unstable_by(|a, b| b.cmp(a));
        let held = agrees[self.majority() - 1];
        let own_epoch = self.position(held, history).is_some_and(|at| at.epoch == self.promised);
        let upto = |entry: &&Entry| own_epoch && entry.revision.at.number <= held;
        self.entries.iter().take_while(upto).cloned().collect()
    }

    /// What is on disk counts for the majority.
    pub fn saved(&mut self, history: &History) {
        self.unsaved = false;
        let last = self.last(history).number;
        if let Role::Publisher(publisher) = &mut self.role {
            publisher.agrees.insert(self.me.clone(), last);
        }
    }

    pub fn is_unsaved(&self) -> bool {
        self.unsaved
    }

    pub fn to_save(&self, history: &History) -> Saved {
        let entries = history.open().chain(&self.entries).cloned().collect();
        Saved { promised: self.promised, committed: history.complete().clone(), entries }
    }

    /// Whoever cannot write to its disk sends nothing, and what it would have sent is asked for again.
    pub fn drop_unsent(&mut self) {
        self.out.clear();
    }

    /// Messages to send once all is saved; taken once.
    pub fn outgoing(&mut self) -> Vec<(String, Message)> {
        std::mem::take(&mut self.out)
    }

    /// A message between replicas. Returns entries that the publisher says are committed, in order.
    pub fn receive(&mut self, now: Nanos, from: &str, message: Message, history: &History) -> Vec<Entry> {
        if !self.is_replica(from) {
            return Vec::new();
        }
        match message {
            Message::Prepare { epoch, after } => self.prepare(from, epoch, after, history),
            Message::Promise { epoch, last, after, entries } => {
                self.promise(now, from, epoch, last, after, entries, history);
            }
            Message::Refuse { promised } => self.stand_back(promised),
            Message::Append { epoch, previous, entries, committed } => {
                return self.store(from, epoch, previous, entries, committed, history);
            }
            Message::Appended { epoch, number } => self.stored(now, from, epoch, number, history),
            Message::Missing { epoch, agrees } => self.missing(from, epoch, agrees, history),
            _ => {}
        }
        Vec::new()
    }

    /// Another has a later epoch.
    fn stand_back(&mut self, promised: u64) {
        if promised > self.promised {
            self.promised = promised;
            self.unsaved = true;
            self.role = Role::Follower;
        }
    }

    fn prepare(&mut self, from: &str, epoch: u64, after: u64, history: &History) {
        if epoch < self.promised {
            return self.out.push((from.to_string(), Message::Refuse { promised: self.promised }));
        }
        self.stand_back(epoch);
        // The log before what is held spreads as committed entries do: the candidate asks again after it.
        if self.position(after, history).is_none() && after < history.number() {
            return;
        }
        let log = history.tail().chain(&self.entries).filter(|entry| entry.revision.at.number > after);
        let (entries, last) = (fitting(log), self.last(history));
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
        history: &History,
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
        let log = &mut told.1;
        let reached = log.last().map_or(history.number(), |entry| entry.revision.at.number);
        if after == reached {
            log.extend(entries);
        }
        // Entries that have been committed meanwhile are in the history.
        log.retain(|entry| entry.revision.at.number > history.number());
        self.ask_for_promises(history);
        self.take_over(now, history);
    }

    fn store(
        &mut self,
        from: &str,
        epoch: u64,
        previous: Position,
        entries: Vec<Entry>,
        committed: u64,
        history: &History,
    ) -> Vec<Entry> {
        if epoch < self.promised {
            self.out.push((from.to_string(), Message::Refuse { promised: self.promised }));
            return Vec::new();
        }
        self.stand_back(epoch);
        self.role = Role::Follower;
        let agrees =
            previous.number <= history.number() || self.position(previous.number, history) == Some(previous);
        if !agrees || previous.number > self.last(history).number {
            let agrees =
                self.last(history).number.min(previous.number.saturating_sub(1)).max(history.number());
            self.out.push((from.to_string(), Message::Missing { epoch, agrees }));
            return Vec::new();
        }
        let mut reached = previous.number;
        for entry in entries {
            let number = entry.revision.at.number;
            if number != reached + 1 || !entry.is_within_bounds() {
                break;
            }
            reached = number;
            if number <= history.number() || self.position(number, history) == Some(entry.revision.at) {
                continue;
            }
            self.entries.truncate((number - history.number() - 1) as usize);
            self.entries.push(entry);
            self.unsaved = true;
        }
        let reached = reached.max(history.number());
        self.out.push((from.to_string(), Message::Appended { epoch, number: reached }));
        let upto = committed.min(reached);
        self.entries.iter().take_while(|entry| entry.revision.at.number <= upto).cloned().collect()
    }

    fn stored(&mut self, now: Nanos, from: &str, epoch: u64, number: u64, history: &History) {
        let last = self.last(history).number;
        let Role::Publisher(publisher) = &mut self.role else { return };
        if epoch != self.promised || number > last {
            return;
        }
        let agrees = publisher.agrees.entry(from.to_string()).or_default();
        *agrees = number.max(*agrees);
        let agrees = *agrees;
        if agrees < last {
            publisher.sent.insert(from.to_string(), now);
            self.send_entries_to(from, agrees, history);
        }
    }

    fn missing(&mut self, from: &str, epoch: u64, agrees: u64, history: &History) {
        // What is not held any more spreads to it as to all; the next heartbeat finds it further on.
        let held = self.position(agrees, history).is_some();
        if epoch == self.promised && self.is_publisher() && held {
            self.send_entries_to(from, agrees, history);
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
