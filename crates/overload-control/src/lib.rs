//! meadowstream: overload control inside one server of a fleet.
//!
//! A host makes a [`controller::Controller`] from a [`Deployment`], passes on what happens to it as calls
//! (`arrived`, `finished`, ...), and gives each call a [`Host`] on which the decisions come out.
//! Neither side knows a protocol. Times are nanoseconds of any clock that never goes back.

pub mod controller;
pub mod decay;
mod invs;
mod largest;
pub mod lq;

pub type Nanos = u64;

/// What the module may ask of the server that hosts it. Ids come back as they were given.
pub trait Host {
    /// Take a held invocation to the cores, or let a paused one go on.
    fn run(&mut self, inv: u64);
    /// Take an invocation off the cores.
    fn stop(&mut self, inv: u64);
    /// Answer that nothing was done; `stay_away` is advice for this server alone, 0 for none.
    fn throttle(&mut self, inv: u64, no_retry: bool, stay_away: Nanos);
    /// What this one is told with `throttle`, which comes next, is a promise: it has a place, and the ticket
    /// to come back with stands for it.
    fn promise(&mut self, _inv: u64, _ticket: u64) {}
    /// Answer with an error.
    fn give_up(&mut self, inv: u64);
    /// Whether what the servers share (budgets, judgements of services) leaves room below for the call of
    /// this one, while so many runs wait at theirs.
    fn may_call(&mut self, _inv: u64, _waiting: usize) -> bool {
        true
    }
    /// Let a run that waits at a call make it.
    fn call(&mut self, inv: u64, timeout: Nanos);
    /// Let a run go on without its call.
    fn skip_call(&mut self, inv: u64);
    /// Keep an invocation in the table of tokens.
    fn remember(&mut self, inv: u64, life: Nanos);
    fn forget(&mut self, inv: u64);
    /// Answer a repeat from its forerunner's result.
    fn reuse(&mut self, inv: u64);
    /// What health checks hear; `stored` answers them without doing the work of one.
    fn health(&mut self, good: bool, stored: bool);
    /// The value that rides on answers (see [`Advert`]).
    fn advertise(&mut self, value: f64);
    /// Close each connection that has carried nothing for this long.
    fn close_idle(&mut self, after: Nanos);
    /// Call `woken` with this token after a while.
    fn wake(&mut self, after: Nanos, token: u32);
    fn log(&mut self, line: &str);
}

/// The busy share that DESIGN steers to.
pub const REFERENCE: f64 = 0.9;

/// What the operator's settings say, as far as decisions read them.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub operations: Vec<Operation>,
    /// Invocations a second that the whole fleet grants each tenant.
    pub tenant_allowance: Vec<f64>,
    pub over_share_value: f64,
    /// Fair shares among tenants that are told apart as they come; `None` where they are not.
    pub fair: Option<meadowstream_fair_queueing::Settings>,
    /// Servers of this tier listed at start.
    pub peers: f64,
    /// Callers of this tier at start.
    pub callers: f64,
    /// Invocations here are calls of a tier above, which has already worked for them.
    pub called_by_own: bool,
    pub cores: f64,
    /// Busy share of the cores to steer to.
    pub reference: f64,
    pub memory_kb: f64,
    pub run_memory: f64,
    pub entry_kb: f64,
    pub halting: Halting,
    pub below: Below,
    pub advert: Advert,
    pub stay_away_max: Nanos,
    /// After this callers close idle connections by themselves.
    pub idle_max: Nanos,
    /// Whether further tries and copies come marked.
    pub retries_marked: bool,
    pub drain_grace: Nanos,
    pub answer_grace: Nanos,
    pub survivable_crowd: f64,
    pub cold: bool,
    pub cold_speed: f64,
    pub cold_for: Nanos,
}

#[derive(Clone, Debug)]
pub struct Operation {
    pub effect: Effect,
    pub latency_objective: Nanos,
    pub client_timeout: Nanos,
    pub token_window: Nanos,
    pub billed_value: f64,
    pub late_value: f64,
    /// Share of the value an answer keeps when a call was left out.
    pub without_call_value: f64,
    /// Whether its runs may call what lies below.
    pub calls: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Tokened,
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Halting {
    Impossible,
    /// Stopped work falls back into the hold and is lost.
    Discards,
    /// Stopped work keeps its progress and memory.
    Pauses,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Below {
    Nothing,
    Tier,
    /// One dependency for all servers: the mean number of calls that is this server's share, and how
    /// long an abandoned call lingers there, and the span over which the mean is taken.
    Shared {
        share: f64,
        linger: Nanos,
        over: Nanos,
    },
}

/// What the value on answers means to those who heed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advert {
    Nothing,
    /// Nothing of lower rank is sent.
    Floor,
    /// Invocations a caller may have here at once.
    Allowance,
    /// Chance of not being passed over.
    Weight,
}

/// Who sends, where tenants are told apart as they come.
#[derive(Clone, Debug, Default)]
pub struct Sender {
    pub tenant: Vec<u8>,
    /// Where it comes from, as far as that cannot be made up.
    pub origin: u64,
    /// What it brings of a promise.
    pub ticket: Option<u64>,
}

/// An invocation as it is read.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    pub id: u64,
    pub operation: usize,
    pub tenant: usize,
    pub sender: Option<Sender>,
    /// Since it reached the machine.
    pub age: Nanos,
    /// How long the caller still waits, where it says so.
    pub patience: Option<Nanos>,
    /// The invocation of which it is a repeat.
    pub repeats: Option<u64>,
    /// The host has no place left to remember it in.
    pub unkept: bool,
    /// Marked as a further try or a copy.
    pub marked_retry: bool,
    pub held_kb: f64,
    /// A guess of its cost in core time, where there is one.
    pub hint: Option<Nanos>,
}

/// What the server measures of itself, where it does.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Busy share of the cores over the last half second.
    pub busy: Option<f64>,
    /// All that wants a core now: runs, reading, checks.
    pub wanting: Option<f64>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Succeeded,
    Errored,
    /// It may have had its effect.
    Unknown,
    /// It is known that nothing was done.
    NeverRan,
    Cancelled,
}
