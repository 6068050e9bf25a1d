//! What a server has in hand: every invocation from its arrival until nothing more is owed or runs. Those
//! that wait stand in the indexed hold, the few others in the order they came; what is asked often (how
//! many are in a state, the memory of all) is kept up to date here and never counted anew.

use crate::{Arrival, Nanos};
use meadowstream_fair_queueing::Admission;
use meadowstream_pending_queue::{Entry, PendingQueue};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::{Index, IndexMut};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Held,
    OnCores,
    AtCall,
    Calling,
    Reusing,
}

#[derive(Clone, Debug, Default)]
pub struct Inv {
    pub id: u64,
    pub operation: usize,
    pub rank: usize,
    /// Start tag of fair order, 0 where tenants are unknown.
    pub tag: u64,
    pub arrived: Nanos,
    /// When the final answer is owed, and until when an answer is worth its full value.
    pub due: Nanos,
    pub wanted: Nanos,
    pub held_kb: f64,
    /// Its place among tenants, where these are told apart.
    pub seat: Option<Admission>,
    /// Its hinted cost as a ratio to the mean hint of its operation.
    pub size: f64,
    pub repeats: Option<u64>,
    pub since: Nanos,
    pub begun: Nanos,
    pub on_cores: Nanos,
    pub retry_call_at: Nanos,
    /// Tries of the call it stands at, and how long the last may take.
    pub calls: u32,
    pub call_allowed: Nanos,
    pub ran: bool,
    pub answered: bool,
    pub stopped: bool,
    pub judged: bool,
    state: State,
    seq: u64,
    booked: u64,
}

impl Inv {
    pub fn new(now: Nanos, arrival: &Arrival) -> Self {
        Self {
            id: arrival.id,
            operation: arrival.operation,
            arrived: now.saturating_sub(arrival.age),
            held_kb: arrival.held_kb,
            repeats: arrival.repeats,
            judged: arrival.repeats.is_some(),
            since: now,
            ..Self::default()
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    fn entry(&self, key: usize) -> Entry {
        let Self { seq, id, operation, rank, tag, arrived, wanted, size, .. } = *self;
        let promised = self.seat.is_some_and(|seat| seat.promised);
        Entry {
            arrival_number: seq,
            key,
            id,
            operation,
            rank,
            start_tag: tag,
            promised,
            arrived,
            deadline: wanted,
            cost_ratio: size,
        }
    }
}

/// Memory is added up in whole parts of a KB, so that what is taken away leaves no rest.
const PARTS: f64 = 1024.0;

pub struct Invs {
    all: Slab<Inv>,
    by_id: HashMap<u64, usize>,
    pub hold: PendingQueue,
    /// All that are not held, by arrival.
    active: BTreeMap<u64, usize>,
    repeats: BTreeSet<(u64, usize)>,
    unjudged: VecDeque<(u64, usize)>,
    counts: [usize; 5],
    booked: u64,
    /// What a running one holds as a multiple, and whether a paused one holds as much.
    run_memory_factor: f64,
    pauses: bool,
    last: u64,
}

impl Index<usize> for Invs {
    type Output = Inv;
    fn index(&self, i: usize) -> &Inv {
        &self.all[i]
    }
}

impl IndexMut<usize> for Invs {
    fn index_mut(&mut self, i: usize) -> &mut Inv {
        &mut self.all[i]
    }
}

impl Invs {
    pub fn new(ranks: usize, operations: usize, run_memory_factor: f64, pauses: bool) -> Self {
        Self {
            all: Slab::new(),
            by_id: HashMap::new(),
            hold: PendingQueue::new(ranks, operations),
            active: BTreeMap::new(),
            repeats: BTreeSet::new(),
            unjudged: VecDeque::new(),
            counts: [0; 5],
            booked: 0,
            run_memory_factor,
            pauses,
            last: 0,
        }
    }

    pub fn find(&self, id: u64) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    /// Takes a new one into the hold; `late` is answered at once, whatever it is wanted by.
    pub fn push(&mut self, mut inv: Inv, late: bool) {
        self.last += 1;
        inv.seq = self.last;
        let (id, seq, judged) = (inv.id, inv.seq, inv.judged);
        let key = self.all.insert(inv);
        self.by_id.insert(id, key);
        if !judged {
            self.unjudged.push_back((seq, key));
        }
        self.put(key);
        if late {
            self.hold.mark_overdue(&self.all[key].entry(key));
        }
    }

    pub fn remove(&mut self, i: usize) {
        self.take(i);
        let inv = self.all.remove(i);
        if self.by_id.get(&inv.id) == Some(&i) {
            self.by_id.remove(&inv.id);
        }
    }

    pub fn enter(&mut self, i: usize, state: State, now: Nanos) {
        self.take(i);
        (self.all[i].state, self.all[i].since) = (state, now);
        self.put(i);
    }

    fn put(&mut self, i: usize) {
        let booked = (self.memory_of(&self.all[i]) * PARTS).round() as u64;
        self.booked += booked;
        let inv = &mut self.all[i];
        inv.booked = booked;
        self.counts[inv.state as usize] += 1;
        let (seq, repeats) = (inv.seq, inv.repeats.is_some());
        if inv.state == State::Held {
            self.hold.insert(inv.entry(i));
            if repeats {
                self.repeats.insert((seq, i));
            }
        } else {
            self.active.insert(seq, i);
        }
    }

    fn take(&mut self, i: usize) {
        let inv = &self.all[i];
        self.booked -= inv.booked;
        self.counts[inv.state as usize] -= 1;
        if inv.state == State::Held {
            self.hold.remove(&inv.entry(i));
            self.repeats.remove(&(inv.seq, i));
        } else {
            self.active.remove(&inv.seq);
        }
    }

    /// Those that are not held, in the order they came.
    pub fn active(&self) -> impl DoubleEndedIterator<Item = (usize, &Inv)> {
        self.active.values().map(|i| (*i, &self.all[*i]))
    }

    pub fn first_active(&self, which: impl Fn(&Inv) -> bool) -> Option<usize> {
        self.active().find(|(_, inv)| which(inv)).map(|(i, _)| i)
    }

    /// Of those in the hold that are due and this one that is not held, the one that came first.
    pub fn first_due(
        &mut self,
        now: Nanos,
        last_chance: impl Fn(usize, Nanos) -> Nanos,
        active: Option<usize>,
    ) -> Option<usize> {
        let held = self.hold.first_overdue(now, last_chance).map(|one| (one.arrival_number, one.key));
        let active = active.map(|i| (self.all[i].seq, i));
        held.into_iter().chain(active).min().map(|(_, i)| i)
    }

    pub fn first_repeat(&self) -> Option<usize> {
        self.repeats.first().map(|(_, i)| *i)
    }

    /// The first that nobody has looked at since it came; it counts as looked at now.
    pub fn judge_next(&mut self) -> Option<usize> {
        while let Some((seq, i)) = self.unjudged.pop_front() {
            if let Some(inv) = self.all.get_mut(i).filter(|inv| inv.seq == seq && !inv.judged) {
                inv.judged = true;
                return Some(i);
            }
        }
        None
    }

    pub fn count(&self, states: &[State]) -> f64 {
        states.iter().map(|state| self.counts[*state as usize]).sum::<usize>() as f64
    }

    /// A paused run keeps the memory of a running one.
    pub fn memory_of(&self, inv: &Inv) -> f64 {
        let paused = inv.ran && self.pauses;
        let waits = !paused && matches!(inv.state, State::Held | State::Reusing);
        inv.held_kb * if waits { 1.0 } else { self.run_memory_factor }
    }

    /// KB that all of them hold.
    pub fn memory(&self) -> f64 {
        self.booked as f64 / PARTS
    }
}
