//! Promises to admit the retries of rejected arrivals. A retry must be made at the promised time or within a
//! grace period after it.
//!
//! Each promise has an unguessable ticket. The tenant of the rejected arrival can redeem the ticket once,
//! from any connection.

use crate::Nanos;
use crate::memory;
use crate::tenant::Fingerprint;
use crate::timer_wheel::TimerWheel;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;

/// Maximum random extension of a promised wait, as a ratio of the wait. A short wait has a larger maximum,
/// given by [`SPREAD_MIN_RATIO`]. Without the extension, arrivals that were rejected at the same time would
/// all retry at the same time.
const SPREAD_RATIO: f64 = 0.25;
/// Lower bound of the maximum random extension, as a ratio of the longest wait that may be promised. For a
/// short wait, an extension proportional to the wait would be too small to spread out the retries.
const SPREAD_MIN_RATIO: f64 = 0.02;
/// Promised waits are rounded up to a multiple of this unit, in nanoseconds.
const RESOLUTION_NS: Nanos = 1_000_000;
/// Value that is combined with the scheduler's seed to obtain the seed of the ticket numbers ("ticket" in
/// ASCII). Ticket numbers thus differ from other random numbers that are derived from the scheduler's seed.
const TICKET_SEED: u64 = 0x7469_636b_6574;

/// A promise to admit the retry of a rejected arrival. Virtual times and tags are in nanoseconds of one core
/// per unit of weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    /// Fingerprint of the name of the tenant that may redeem the promise.
    pub tenant: Fingerprint,
    /// Estimated work of the rejected arrival, in nanoseconds of one core.
    pub work: f64,
    /// Start tag for the retry, which determines its place in the fair order. The tag is fixed when the
    /// promise is made. The retry gets this tag or the highest tag served by then, whichever is higher.
    pub start_tag: f64,
    /// Start of the reservation: the virtual time from which the tenant's share is reserved for the retry.
    pub booked_start: f64,
    /// Predicted advance of virtual time between the rejection and the retry, in nanoseconds of one core per
    /// unit of weight.
    pub expected_advance: f64,
}

/// Result of redeeming a ticket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Redemption {
    /// The ticket was presented in time, so the promise applies.
    InTime(Promise),
    /// The ticket was presented before the promised time. The promise is void.
    Early,
    /// The ticket is invalid. It has expired, was already used, was never issued, or was issued to another
    /// tenant.
    Unknown,
}

/// Ticket for the retry of a rejected arrival: the promised wait and the ticket's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Time from the rejection of the arrival to the promised time of the retry, in nanoseconds.
    pub wait: Nanos,
    /// Number that identifies the ticket, greater than 0.
    pub number: u64,
}

#[derive(Debug)]
struct ActivePromise {
    promise: Promise,
    /// Number of the promise's ticket, or 0 once the ticket has been used.
    ticket: u64,
    valid_from: Nanos,
}

/// Table of active promises to admit a retry, with a maximum size.
#[derive(Debug)]
pub struct Promises {
    limit: usize,
    longest: Nanos,
    return_grace: Nanos,
    slots: Vec<Option<ActivePromise>>,
    free: Vec<u32>,
    tickets: HashMap<u64, u32>,
    expiries: TimerWheel,
    rng: ChaCha8Rng,
}

impl Promises {
    /// Creates a table of at most `limit` promises. A promised wait is at most `longest` nanoseconds. A retry
    /// can redeem its promise until `return_grace` nanoseconds after the promised time.
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

    /// Returns the maximum memory of a table of `limit` promises, in bytes.
    pub fn bytes_max(limit: usize) -> usize {
        let slot_bytes = size_of::<Option<ActivePromise>>() + size_of::<u32>();
        let map = memory::map_bytes_max::<u64, u32>(limit);
        2 * limit.max(4) * slot_bytes + map + TimerWheel::bytes_max(2 * limit)
    }

    /// Returns the memory that the table uses now, in bytes.
    pub fn bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Option<ActivePromise>>()
            + self.free.capacity() * size_of::<u32>()
            + memory::map_bytes(&self.tickets)
            + self.expiries.bytes()
    }

    /// Returns the number of active promises, whose tickets have neither been used nor expired.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether there are no active promises.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Issues a promise to admit a retry after `wait` nanoseconds plus a random extension. Returns `None` if
    /// the extended wait would exceed the longest wait that may be promised, or if the table of promises is
    /// full.
    pub fn make(&mut self, now: Nanos, wait: f64, promise: Promise) -> Option<Ticket> {
        let spread = (wait * SPREAD_RATIO).max(self.longest as f64 * SPREAD_MIN_RATIO);
        let wait = wait + spread * self.rng.random_range(0.0..1.0);
        if wait > self.longest as f64 {
            return None;
        }
        let index = self.free_slot()?;
        // The wait is rounded up, since a caller that waits for exactly the returned time must not be early.
        let wait = (wait as Nanos).max(1).div_ceil(RESOLUTION_NS) * RESOLUTION_NS;
        let number = self.rng.random::<u64>().max(1);
        let active = ActivePromise { promise, ticket: number, valid_from: now + wait };
        self.slots[index as usize] = Some(active);
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

    /// Redeems the ticket that a retry of `tenant` presents. A ticket that was issued to `tenant` is then
    /// used up, even if the retry is early or late. A ticket of another tenant remains valid.
    ///
    /// The promise's slot is freed only when its timer expires. If the slot were reused earlier, two timers
    /// would refer to the same slot.
    pub fn redeem(&mut self, now: Nanos, ticket: u64, tenant: Fingerprint) -> Redemption {
        let Some(index) = self.tickets.get(&ticket).copied() else { return Redemption::Unknown };
        let active = self.slots[index as usize].as_mut();
        let Some(active) = active.filter(|active| active.promise.tenant == tenant) else {
            return Redemption::Unknown;
        };
        active.ticket = 0;
        let (promise, valid_from) = (active.promise, active.valid_from);
        self.tickets.remove(&ticket);
        if now < valid_from {
            Redemption::Early
        } else if now > valid_from + self.return_grace {
            Redemption::Unknown
        } else {
            Redemption::InTime(promise)
        }
    }

    /// Frees the slots of promises whose timers have expired. Returns the number of freed promises that were
    /// never redeemed.
    pub fn expire(&mut self, now: Nanos) -> u64 {
        let Self { expiries, slots, tickets, free, .. } = self;
        let mut lapsed = 0;
        expiries.expire(now, |index| {
            if let Some(active) = slots[index as usize].take() {
                free.push(index);
                lapsed += u64::from(tickets.remove(&active.ticket).is_some());
            }
        });
        lapsed
    }
}
