//! Promises: a rejected arrival that is told when to come back is admitted then, and a little longer. A
//! ticket that cannot be guessed stands for it; it is good once, for its tenant, from any connection.

use crate::Nanos;
use crate::memory;
use crate::tenant::Fingerprint;
use crate::timer_wheel::TimerWheel;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;

/// Random part added to a promised time, as a share of it: those rejected together do not return together.
const SPREAD_RATIO: f64 = 0.25;
/// The random part is at least this share of the longest time that may be promised.
const SPREAD_LEAST_RATIO: f64 = 0.02;
/// Promised times are whole milliseconds, in nanoseconds.
const RESOLUTION_NS: Nanos = 1_000_000;
/// Distinguishes the tickets' random numbers from others of the same seed ("ticket").
const TICKET_SEED: u64 = 0x7469_636b_6574;

/// What was promised; virtual times are of the fair rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    /// The tenant.
    pub tenant: Fingerprint,
    /// Estimated work, in nanoseconds of one core.
    pub work: f64,
    /// Start tag in the order.
    pub start_tag: f64,
    /// Virtual time at which its part of its tenant's share begins.
    pub booked_start: f64,
    /// How far virtual time was to advance until the return, in nanoseconds of one core for a unit of weight.
    pub expected_advance: f64,
}

/// What becomes of a return with a ticket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Redemption {
    /// It is as promised.
    InTime(Promise),
    /// It is before the promised time; the promise is lost.
    Early,
    /// The ticket does not stand: too late, used before, never given, or another tenant's.
    Unknown,
}

/// The time to stay away, in nanoseconds, and the ticket to come back with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// How long to stay away, in nanoseconds.
    pub wait: Nanos,
    /// The ticket's number, above 0.
    pub number: u64,
}

#[derive(Debug)]
struct StandingPromise {
    promise: Promise,
    /// The ticket's number; 0 once it has been used.
    ticket: u64,
    valid_from: Nanos,
}

/// The promises that stand, up to a limit.
#[derive(Debug)]
pub struct Promises {
    limit: usize,
    longest: Nanos,
    return_grace: Nanos,
    slots: Vec<Option<StandingPromise>>,
    free: Vec<u32>,
    tickets: HashMap<u64, u32>,
    expiries: TimerWheel,
    rng: ChaCha8Rng,
}

impl Promises {
    /// At most `limit` promises of up to `longest` nanoseconds; a return is in time for `return_grace`
    /// nanoseconds.
    pub fn new(limit: usize, longest: Nanos, return_grace: Nanos, seed: u64, now: Nanos) -> Self {
        Self {
            limit: limit.min(u32::MAX as usize),
            longest,
            return_grace,
            slots: Vec::new(),
            free: Vec::new(),
            tickets: HashMap::new(),
            expiries: TimerWheel::new(longest + return_grace, now),
            rng: ChaCha8Rng::seed_from_u64(seed ^ TICKET_SEED),
        }
    }

    /// Most bytes that so many promises take.
    pub fn bytes_max(limit: usize) -> usize {
        let slot_bytes = size_of::<Option<StandingPromise>>() + size_of::<u32>();
        let map = memory::map_bytes_max::<u64, u32>(limit);
        2 * limit.max(4) * slot_bytes + map + TimerWheel::bytes_max(2 * limit)
    }

    /// Bytes held now.
    pub fn bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Option<StandingPromise>>()
            + self.free.capacity() * size_of::<u32>()
            + memory::map_bytes(&self.tickets)
            + self.expiries.bytes()
    }

    /// Number of promises that stand.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether none stands.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Makes a promise for a return after `wait` nanoseconds, to which a random part is added; `None` where
    /// that would be over the longest time, or no slot is free.
    pub fn make(&mut self, now: Nanos, wait: f64, promise: Promise) -> Option<Ticket> {
        let spread = (wait * SPREAD_RATIO).max(self.longest as f64 * SPREAD_LEAST_RATIO);
        let wait = wait + spread * self.rng.random_range(0.0..1.0);
        if wait > self.longest as f64 {
            return None;
        }
        let index = self.free_slot()?;
        // Rounded up, so that nobody who waits as told is early.
        let wait = (wait as Nanos).max(1).div_ceil(RESOLUTION_NS) * RESOLUTION_NS;
        let number = self.rng.random::<u64>().max(1);
        let standing = StandingPromise { promise, ticket: number, valid_from: now + wait };
        self.slots[index as usize] = Some(standing);
        self.tickets.insert(number, index);
        self.expiries.insert(now + wait + self.return_grace, index);
        Some(Ticket { wait, number })
    }

    fn free_slot(&mut self) -> Option<u32> {
        if let Some(index) = self.free.pop() {
            return Some(index);
        }
        if self.slots.len() >= self.limit {
            return None;
        }
        self.slots.push(None);
        Some(self.slots.len() as u32 - 1)
    }

    /// A tenant returns with a ticket, which is used up whatever becomes of it; another tenant's stays good.
    /// The slot is freed when its timer expires, so that no number is in two timers.
    pub fn redeem(&mut self, now: Nanos, ticket: u64, tenant: Fingerprint) -> Redemption {
        let Some(index) = self.tickets.get(&ticket).copied() else { return Redemption::Unknown };
        let standing = self.slots[index as usize].as_mut();
        let Some(standing) = standing.filter(|standing| standing.promise.tenant == tenant) else {
            return Redemption::Unknown;
        };
        standing.ticket = 0;
        let (promise, valid_from) = (standing.promise, standing.valid_from);
        self.tickets.remove(&ticket);
        if now < valid_from {
            Redemption::Early
        } else if now > valid_from + self.return_grace {
            Redemption::Unknown
        } else {
            Redemption::InTime(promise)
        }
    }

    /// Frees the slots whose time has passed; returns how many promises have lapsed.
    pub fn expire(&mut self, now: Nanos) -> u64 {
        let Self { expiries, slots, tickets, free, .. } = self;
        let mut lapsed = 0;
        expiries.expire(now, |index| {
            if let Some(standing) = slots[index as usize].take() {
                free.push(index);
                lapsed += u64::from(tickets.remove(&standing.ticket).is_some());
            }
        });
        lapsed
    }
}
