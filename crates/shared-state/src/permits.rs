//! Units of a budget in use at one server. Each call holds one unit until it has ended. An abandoned call
//! holds its unit for the longest time that it may continue at the service.

use crate::clock::{Nanos, Time};
use std::collections::{BTreeMap, VecDeque};

/// A number of units and the time at which it was recorded, by the fast clock.
#[derive(Clone, Copy, Debug, Default)]
struct TimestampedUnits {
    units: u64,
    at: Nanos,
}

impl TimestampedUnits {
    fn is_older_than(&self, max_age: Nanos, time: Time) -> bool {
        time.fast >= self.at.saturating_add(max_age)
    }
}

/// State of an open call.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    /// Lower bound, by the slow clock, of the time at which the service last received data of the call: the
    /// last permitted write, or the permit if nothing has been sent.
    since: Nanos,
    /// Latest time at which the call may be sent, by the fast clock.
    send_by: Nanos,
}

/// Permits of one server's calls, each for one unit.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    /// Open calls by call number.
    open: BTreeMap<u64, OpenCall>,
    /// Times by which abandoned calls have certainly ended at the service, by the slow clock, in ascending
    /// order.
    abandoned_until: VecDeque<Nanos>,
    /// Number of waiting calls at the latest refusal.
    waiting: TimestampedUnits,
    /// Recent maximum of units in use.
    peak: TimestampedUnits,
    /// Number of calls refused since the start.
    pub refused: u64,
}

impl Permits {
    /// Registers the permit of the call with number `call`. The call may be sent until `send_by` by the fast
    /// clock, see [`Budget::send_by`](crate::budget::Budget::send_by).
    pub fn acquire(&mut self, time: Time, call: u64, send_by: Nanos) {
        self.open.insert(call, OpenCall { since: time.slow, send_by });
        let units = self.in_use(time);
        if units >= self.peak.units {
            self.peak = TimestampedUnits { units, at: time.fast };
        }
    }

    /// Returns whether data of an open call may be sent now, and records the write. Must be called
    /// immediately before each write, because a process may be suspended between the permit and the write for
    /// longer than the lease lasts, and the unit may then belong to another server.
    pub fn permit_send(&mut self, time: Time, call: u64) -> bool {
        let Some(open) = self.open.get_mut(&call).filter(|open| time.fast <= open.send_by) else {
            return false;
        };
        open.since = time.slow;
        true
    }

    /// Releases the unit of a call that has ended at this server. If it is not `certain` that the call has
    /// also ended at the service, its unit stays in use until `use_max` nanoseconds after the last permitted
    /// write.
    pub fn release(&mut self, call: u64, certain: bool, use_max: Nanos) {
        let Some(open) = self.open.remove(&call) else { return };
        if certain {
            return;
        }
        let until = open.since + use_max;
        let index = self.abandoned_until.partition_point(|other| *other <= until);
        self.abandoned_until.insert(index, until);
    }

    /// Records that a call was refused while `waiting` calls waited.
    pub fn record_refusal(&mut self, time: Time, waiting: u64) {
        self.refused += 1;
        self.waiting = TimestampedUnits { units: waiting, at: time.fast };
    }

    /// Returns the units in use, including those of abandoned calls.
    pub fn in_use(&mut self, time: Time) -> u64 {
        while self.abandoned_until.front().is_some_and(|until| *until <= time.slow) {
            self.abandoned_until.pop_front();
        }
        (self.open.len() + self.abandoned_until.len()) as u64
    }

    /// Returns the number of units to request: the maximum in use within the last `recent` nanoseconds. If a
    /// call was refused within that time, the waiting calls and a margin of a quarter plus one are added, so
    /// that a server with growing load need not request each additional unit separately. A server without
    /// refusals requests no more than it uses, which leaves the rest to others.
    pub fn demand(&mut self, time: Time, recent: Nanos) -> u64 {
        let in_use = self.in_use(time);
        if self.peak.is_older_than(recent, time) {
            self.peak = TimestampedUnits { units: in_use, at: time.fast };
        }
        if self.waiting.units == 0 || self.waiting.is_older_than(recent, time) {
            return in_use.max(self.peak.units);
        }
        let demand = in_use.saturating_add(self.waiting.units).max(self.peak.units);
        demand.saturating_add(demand / 4 + 1)
    }
}
