//! Stores the invocations of the server from their arrival until they are answered and their runs have ended.
//!
//! Pending invocations are in the pending queue. All other invocations are ordered by arrival. Each change of
//! an invocation's state also updates the counts by state and the memory use.

use crate::deadline::Deadlines;
use crate::lingering::StopEvidence;
use crate::{Arrival, Nanos};
use meadowstream_fair_queueing::Admission as FairAdmission;
use meadowstream_pending_queue::{ArrivalKey, Entry, PendingQueue};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::{Index, IndexMut};

/// State of an invocation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InvocationState {
    /// Waiting in the pending queue.
    #[default]
    Pending,
    /// Running on the cores.
    Running,
    /// The command that started or resumed the run may have been lost. The run may be on the cores, may wait
    /// for a lost reply, or may not exist.
    Unconfirmed,
    /// The invocation was answered, and nothing reports the end of its run. The run may be on the cores until
    /// evidence excludes it.
    Lingering,
    /// The run waits to make a downstream call.
    AwaitingCall,
    /// The run's downstream call is in progress.
    Calling,
    /// The invocation has the idempotency key of an earlier invocation, and waits for the result of the
    /// earlier one.
    Replaying,
}

const STATES: usize = 7;

/// One request for an operation.
#[derive(Clone, Debug, Default)]
pub struct Invocation {
    /// Identifier of the invocation; equal to [`Arrival::id`].
    pub id: u64,
    /// Index of the operation.
    pub operation: usize,
    /// Index of the priority class.
    pub rank: usize,
    /// Time at which the invocation reached the machine.
    pub arrived: Nanos,
    /// Deadlines of the answer.
    pub deadlines: Deadlines,
    /// Memory that the invocation uses while it is pending, KB.
    pub held_kb: f64,
    /// Decision of the fair queueing scheduler on this invocation; `None` without fair queueing.
    pub fair_admission: Option<FairAdmission>,
    /// Estimated cost of this run, divided by the usual cost of a run of its operation.
    pub cost_ratio: f64,
    /// Id of the earlier invocation with the same idempotency key; `None` if this invocation is no repeat.
    pub repeats: Option<u64>,
    /// Time at which the invocation entered its current state.
    pub state_since: Nanos,
    /// Time at which the run most recently entered the cores.
    pub on_cores_since: Nanos,
    /// Time at which the run of the invocation most recently started.
    pub run_started: Nanos,
    /// Core time used so far.
    pub core_time: Nanos,
    /// Time until which the run waits after its downstream call was rejected; the call is then retried.
    pub retry_call_at: Nanos,
    /// Number of attempts so far to make the current downstream call.
    pub call_attempts: u32,
    /// Timeout of the most recent attempt to make the downstream call.
    pub call_timeout: Nanos,
    /// Whether the invocation has been run at least once.
    pub has_run: bool,
    /// Whether the invocation needs no answer any more, because it was answered or cancelled.
    pub answered: bool,
    /// Evidence from the commands to stop the run.
    pub stop: StopEvidence,
    /// Whether the arrival was checked against the refusal window of its rank. Also true if the invocation is
    /// exempt from this check.
    pub screened: bool,
    start_tag: u64,
    state: InvocationState,
    arrival_number: u64,
    memory_parts: u64,
}

impl Invocation {
    /// Creates a pending invocation. The rank, the deadlines and the cost ratio must be set afterwards.
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

    /// Returns the state of the invocation. The state is changed only by [`Invocations::enter`].
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

/// Number of units per KB in which memory is counted. Memory is counted in integers, so that sums have no
/// rounding errors.
const PARTS_OF_KB: f64 = 1024.0;

/// All invocations of the server. Each invocation has a key, by which it is found until it is removed.
pub struct Invocations {
    all: Slab<Invocation>,
    keys_by_id: HashMap<u64, usize>,
    /// Queue with one entry for each pending invocation. The entry is added or removed when the state of the
    /// invocation changes.
    pub pending: PendingQueue,
    /// Keys of all invocations that are not pending. The map is ordered by arrival number.
    active: BTreeMap<u64, usize>,
    pending_repeats: BTreeSet<ArrivalKey>,
    unscreened: VecDeque<ArrivalKey>,
    counts: [usize; STATES],
    memory_parts: u64,
    /// Memory of a running invocation, divided by the memory of the same invocation while it is pending.
    run_memory_factor: f64,
    /// Whether a stopped run pauses. A paused run keeps the memory that it used while running.
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
    /// Creates a collection without invocations. `pending` must be an empty queue.
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

    /// Returns the key of the invocation whose id is `id`.
    pub fn find(&self, id: u64) -> Option<usize> {
        self.keys_by_id.get(&id).copied()
    }

    /// Adds a pending invocation. If `answer_without_run` is true, the invocation counts as overdue at once,
    /// even if its deadline has not passed. Overdue invocations are answered and not run.
    pub fn insert(&mut self, mut invocation: Invocation, answer_without_run: bool) {
        self.arrivals += 1;
        invocation.arrival_number = self.arrivals;
        let (id, screened) = (invocation.id, invocation.screened);
        let key = self.all.insert(invocation);
        self.keys_by_id.insert(id, key);
        if !screened {
            self.unscreened.push_back(ArrivalKey { arrival_number: self.arrivals, key });
        }
        self.add_to_indexes(key);
        if answer_without_run {
            self.pending.mark_overdue(&self.all[key].entry(key));
        }
    }

    /// Removes an answered invocation. Its run, if it has one, must have ended.
    pub fn remove(&mut self, key: usize) {
        self.remove_from_indexes(key);
        let invocation = self.all.remove(key);
        if self.keys_by_id.get(&invocation.id) == Some(&key) {
            self.keys_by_id.remove(&invocation.id);
        }
    }

    /// Changes the state of an invocation at `now`.
    pub fn enter(&mut self, key: usize, state: InvocationState, now: Nanos) {
        self.remove_from_indexes(key);
        let invocation = &mut self.all[key];
        if state == InvocationState::Running {
            invocation.on_cores_since = now;
        }
        (invocation.state, invocation.state_since) = (state, now);
        self.add_to_indexes(key);
    }

    /// Adds an invocation to the indexes and the sums that belong to its state.
    fn add_to_indexes(&mut self, key: usize) {
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

    /// Removes an invocation from the indexes and the sums that belong to its state.
    fn remove_from_indexes(&mut self, key: usize) {
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

    /// Iterates over the invocations that are not pending, in order of arrival. Each item also contains the
    /// key of the invocation.
    pub fn active(&self) -> impl DoubleEndedIterator<Item = (usize, &Invocation)> {
        self.active.values().map(|key| (*key, &self.all[*key]))
    }

    /// Returns the keys of the invocations that satisfy `condition` among those that are not pending, in
    /// order of arrival.
    pub fn keys_where(&self, condition: impl Fn(&Invocation) -> bool) -> Vec<usize> {
        self.active().filter(|(_, invocation)| condition(invocation)).map(|(key, _)| key).collect()
    }

    /// Returns the key of the earliest arrival that satisfies `condition` among the invocations that are not
    /// pending.
    pub fn first_active(&self, condition: impl Fn(&Invocation) -> bool) -> Option<usize> {
        let (key, _) = self.active().find(|(_, invocation)| condition(invocation))?;
        Some(key)
    }

    /// Returns the key of the earliest arrival among all overdue invocations. `active` is the key of the
    /// earliest overdue invocation that is not pending.
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

    /// Returns the key of the earliest pending invocation that has the idempotency key of an earlier
    /// invocation.
    pub fn first_pending_repeat(&self) -> Option<usize> {
        self.pending_repeats.first().map(|repeat| repeat.key)
    }

    /// Returns the key of the earliest invocation that admission has not yet screened, and marks it as
    /// screened. Screening compares an arrival with the refusal window of its rank.
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

    /// Returns the number of invocations that are in one of the `states`.
    pub fn count(&self, states: &[InvocationState]) -> f64 {
        states.iter().map(|state| self.counts[*state as usize]).sum::<usize>() as f64
    }

    /// Returns the time at which the oldest run on the cores entered the cores; `None` if no run is on the
    /// cores.
    pub fn oldest_run(&self) -> Option<Nanos> {
        let running = self.active().filter(|(_, invocation)| invocation.state == InvocationState::Running);
        running.map(|(_, invocation)| invocation.state_since).min()
    }

    /// Returns the memory that an invocation uses in its current state, KB.
    fn memory_kb_of(&self, invocation: &Invocation) -> f64 {
        let is_paused = invocation.has_run && self.stopped_runs_pause;
        let is_waiting = matches!(invocation.state, InvocationState::Pending | InvocationState::Replaying);
        let factor = if is_waiting && !is_paused { 1.0 } else { self.run_memory_factor };
        invocation.held_kb * factor
    }

    /// Returns the additional memory that a pending invocation needs to run, KB.
    pub fn memory_kb_to_run(&self, key: usize) -> f64 {
        let invocation = &self.all[key];
        invocation.held_kb * self.run_memory_factor - self.memory_kb_of(invocation)
    }

    /// Returns the memory that all invocations use in their current states, KB.
    pub fn memory_kb(&self) -> f64 {
        self.memory_parts as f64 / PARTS_OF_KB
    }
}
