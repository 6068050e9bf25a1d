//! The invocations of a server, each from its arrival until nothing more is owed or runs.
//!
//! Pending ones stand in the pending queue, the others in the order they came. Counts and memory are kept up
//! to date with each change of state.

use crate::deadline::Deadlines;
use crate::{Arrival, Nanos};
use meadowstream_fair_queueing::Admission as FairAdmission;
use meadowstream_pending_queue::{ArrivalKey, Entry, PendingQueue};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::{Index, IndexMut};

/// Where an invocation stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InvocationState {
    /// In the pending queue.
    #[default]
    Pending,
    /// On the cores.
    Running,
    /// Its run waits to make a downstream call.
    AwaitingCall,
    /// Its run's downstream call is under way.
    Calling,
    /// A repeat that waits for the result of the invocation that it repeats.
    Replaying,
}

const STATES: usize = 5;

/// One request for an operation.
#[derive(Clone, Debug, Default)]
pub struct Invocation {
    /// As in [`Arrival::id`].
    pub id: u64,
    /// Index of its operation.
    pub operation: usize,
    /// Index of its priority class.
    pub rank: usize,
    /// When it reached the machine.
    pub arrived: Nanos,
    /// Until when it is of use.
    pub deadlines: Deadlines,
    /// Memory while it is pending, KB.
    pub held_kb: f64,
    /// How fair queueing admitted it, where tenants are told apart as they come.
    pub fair_admission: Option<FairAdmission>,
    /// Its cost as a ratio to the usual one of its operation.
    pub cost_ratio: f64,
    /// The invocation whose idempotency key it carries.
    pub repeats: Option<u64>,
    /// Since when it is in its state.
    pub state_since: Nanos,
    /// When its run was started last.
    pub run_started: Nanos,
    /// Time on a core so far.
    pub core_time: Nanos,
    /// When its call may be made again after a rejected attempt.
    pub retry_call_at: Nanos,
    /// Attempts of the call that its run waits for.
    pub call_attempts: u32,
    /// Timeout of the last attempt.
    pub call_timeout: Nanos,
    /// Its run was started at least once.
    pub has_run: bool,
    /// Nothing more is owed to the caller.
    pub answered: bool,
    /// Its run has been told to stop.
    pub stopping: bool,
    /// Admission has decided on it.
    pub screened: bool,
    start_tag: u64,
    state: InvocationState,
    arrival_number: u64,
    memory_parts: u64,
}

impl Invocation {
    /// A pending one; rank, deadlines and cost ratio are set by the caller.
    pub fn new(now: Nanos, arrival: &Arrival, fair_admission: Option<FairAdmission>) -> Self {
        Self {
            id: arrival.id,
            operation: arrival.operation,
            arrived: now.saturating_sub(arrival.age),
            held_kb: arrival.held_kb,
            repeats: arrival.repeats,
            screened: arrival.repeats.is_some(),
            state_since: now,
            start_tag: fair_admission.map_or(0, |admission| admission.start_tag),
            fair_admission,
            ..Self::default()
        }
    }

    /// Changed by [`Invocations::enter`] alone.
    pub fn state(&self) -> InvocationState {
        self.state
    }

    fn entry(&self, key: usize) -> Entry {
        Entry {
            arrival_number: self.arrival_number,
            key,
            id: self.id,
            operation: self.operation,
            rank: self.rank,
            start_tag: self.start_tag,
            promised: self.fair_admission.is_some_and(|admission| admission.promised),
            arrived: self.arrived,
            deadline: self.deadlines.objective,
            cost_ratio: self.cost_ratio,
        }
    }
}

/// Memory is added up in whole parts of a KB, so that sums are exact.
const PARTS_OF_KB: f64 = 1024.0;

/// All invocations. Their keys are valid until they are removed.
pub struct Invocations {
    all: Slab<Invocation>,
    keys_by_id: HashMap<u64, usize>,
    /// Entries are added and removed with changes of state alone.
    pub pending: PendingQueue,
    /// Keys of all that are not pending, by arrival number.
    active: BTreeMap<u64, usize>,
    pending_repeats: BTreeSet<ArrivalKey>,
    unscreened: VecDeque<ArrivalKey>,
    counts: [usize; STATES],
    memory_parts: u64,
    /// Memory of a running invocation as a multiple of that of a pending one.
    run_memory_factor: f64,
    /// Stopped runs keep the memory of a running one.
    stopped_runs_pause: bool,
    arrivals: u64,
}

impl Index<usize> for Invocations {
    type Output = Invocation;
    fn index(&self, key: usize) -> &Invocation {
        &self.all[key]
    }
}

impl IndexMut<usize> for Invocations {
    fn index_mut(&mut self, key: usize) -> &mut Invocation {
        &mut self.all[key]
    }
}

impl Invocations {
    /// None yet; `pending` is an empty queue.
    pub fn new(pending: PendingQueue, run_memory_factor: f64, stopped_runs_pause: bool) -> Self {
        Self {
            all: Slab::new(),
            keys_by_id: HashMap::new(),
            pending,
            active: BTreeMap::new(),
            pending_repeats: BTreeSet::new(),
            unscreened: VecDeque::new(),
            counts: [0; STATES],
            memory_parts: 0,
            run_memory_factor,
            stopped_runs_pause,
            arrivals: 0,
        }
    }

    /// The key of the invocation with this id.
    pub fn find(&self, id: u64) -> Option<usize> {
        self.keys_by_id.get(&id).copied()
    }

    /// Adds a pending one. With `answer_without_run` it is answered at once, whatever its deadline.
    pub fn insert(&mut self, mut invocation: Invocation, answer_without_run: bool) {
        self.arrivals += 1;
        invocation.arrival_number = self.arrivals;
        let (id, screened) = (invocation.id, invocation.screened);
        let key = self.all.insert(invocation);
        self.keys_by_id.insert(id, key);
        if !screened {
            self.unscreened.push_back(ArrivalKey { arrival_number: self.arrivals, key });
        }
        self.link(key);
        if answer_without_run {
            self.pending.mark_overdue(&self.all[key].entry(key));
        }
    }

    /// Nothing more is owed or runs.
    pub fn remove(&mut self, key: usize) {
        self.unlink(key);
        let invocation = self.all.remove(key);
        if self.keys_by_id.get(&invocation.id) == Some(&key) {
            self.keys_by_id.remove(&invocation.id);
        }
    }

    /// Changes the state of an invocation.
    pub fn enter(&mut self, key: usize, state: InvocationState, now: Nanos) {
        self.unlink(key);
        (self.all[key].state, self.all[key].state_since) = (state, now);
        self.link(key);
    }

    /// Adds an invocation to the indexes and sums of its state.
    fn link(&mut self, key: usize) {
        let memory_parts = (self.memory_kb_of(&self.all[key]) * PARTS_OF_KB).round() as u64;
        self.memory_parts += memory_parts;
        let invocation = &mut self.all[key];
        invocation.memory_parts = memory_parts;
        self.counts[invocation.state as usize] += 1;
        let arrival_number = invocation.arrival_number;
        if invocation.state == InvocationState::Pending {
            self.pending.insert(invocation.entry(key));
            if invocation.repeats.is_some() {
                self.pending_repeats.insert(ArrivalKey { arrival_number, key });
            }
        } else {
            self.active.insert(arrival_number, key);
        }
    }

    /// Removes an invocation from the indexes and sums of its state.
    fn unlink(&mut self, key: usize) {
        let invocation = &self.all[key];
        self.memory_parts -= invocation.memory_parts;
        self.counts[invocation.state as usize] -= 1;
        let arrival_number = invocation.arrival_number;
        if invocation.state == InvocationState::Pending {
            self.pending.remove(&invocation.entry(key));
            self.pending_repeats.remove(&ArrivalKey { arrival_number, key });
        } else {
            self.active.remove(&arrival_number);
        }
    }

    /// Those that are not pending with their keys, in the order they came.
    pub fn active(&self) -> impl DoubleEndedIterator<Item = (usize, &Invocation)> {
        self.active.values().map(|key| (*key, &self.all[*key]))
    }

    /// The key of the first active one that fulfils the condition.
    pub fn first_active(&self, condition: impl Fn(&Invocation) -> bool) -> Option<usize> {
        let (key, _) = self.active().find(|(_, invocation)| condition(invocation))?;
        Some(key)
    }

    /// Of the overdue pending ones and this active one, the key of the one that came first.
    pub fn first_overdue(
        &mut self,
        now: Nanos,
        latest_start: impl Fn(usize, Nanos) -> Nanos,
        active: Option<usize>,
    ) -> Option<usize> {
        let pending = self.pending.first_overdue(now, latest_start);
        let arrival = |key| ArrivalKey { arrival_number: self.all[key].arrival_number, key };
        let first = pending.into_iter().chain(active.map(arrival)).min()?;
        Some(first.key)
    }

    /// The key of the first pending one that repeats another.
    pub fn first_pending_repeat(&self) -> Option<usize> {
        self.pending_repeats.first().map(|repeat| repeat.key)
    }

    /// The key of the first that admission has not decided on; it counts as decided on now.
    pub fn next_to_screen(&mut self) -> Option<usize> {
        while let Some(ArrivalKey { arrival_number, key }) = self.unscreened.pop_front() {
            let Some(invocation) = self.all.get_mut(key) else { continue };
            if invocation.arrival_number == arrival_number && !invocation.screened {
                invocation.screened = true;
                return Some(key);
            }
        }
        None
    }

    /// How many are in one of these states.
    pub fn count(&self, states: &[InvocationState]) -> f64 {
        states.iter().map(|state| self.counts[*state as usize]).sum::<usize>() as f64
    }

    /// Since when the one is on the cores that has been there for the longest.
    pub fn oldest_run(&self) -> Option<Nanos> {
        let running = self.active().filter(|(_, one)| one.state == InvocationState::Running);
        running.map(|(_, one)| one.state_since).min()
    }

    /// Memory of an invocation in its state, KB.
    fn memory_kb_of(&self, invocation: &Invocation) -> f64 {
        let is_paused = invocation.has_run && self.stopped_runs_pause;
        let is_waiting = matches!(invocation.state, InvocationState::Pending | InvocationState::Replaying);
        let factor = if is_waiting && !is_paused { 1.0 } else { self.run_memory_factor };
        invocation.held_kb * factor
    }

    /// Memory that a pending invocation takes in addition once it runs, KB.
    pub fn memory_kb_to_run(&self, key: usize) -> f64 {
        let invocation = &self.all[key];
        invocation.held_kb * self.run_memory_factor - self.memory_kb_of(invocation)
    }

    /// Memory of all, KB.
    pub fn memory_kb(&self) -> f64 {
        self.memory_parts as f64 / PARTS_OF_KB
    }
}
