//! Units of a budget that calls of one server use. Each call holds one unit until the call has ended. An
//! abandoned call holds its unit for the longest time that the call may continue at the service.

use crate::clock::{Nanos, Time};
use std::collections::{BTreeMap, VecDeque};

/// A number of units, and the time at which this number was recorded, by the fast clock ([`Time::fast`]).
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

/// State of a call that has a permit and has not ended at this server.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    /// Time, by the slow clock ([`Time::slow`]), of the last permitted write of the call, or of the call's
    /// permit if nothing has been written. The time is a lower bound of the time at which the service last
    /// received data of the call.
    last_write_at: Nanos,
    /// Latest time at which the call may be sent, by the fast clock.
    send_by: Nanos,
}

/// Permits of one server's calls. Each permit holds one unit of the budget.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    /// Open calls by call number.
    open: BTreeMap<u64, OpenCall>,
    /// Times after which abandoned calls cannot still be running at the service, by the slow clock, in
    /// ascending order.
    abandoned_until: VecDeque<Nanos>,
    /// Number of calls that waited for a unit at the latest refusal.
    waiting: TimestampedUnits,
    /// Recent maximum of the number of units in use.
    peak: TimestampedUnits,
    /// Number of calls refused since the server started.
    pub refused: u64,
}

impl Permits {
    /// Registers a permit for the call with number `call`. Data of the call may be sent until `send_by` by
    /// the fast clock, see [`Budget::send_by`](crate::budget::Budget::send_by).
    pub fn acquire(&mut self, time: Time, call: u64, send_by: Nanos) {
        self.open.insert(call, OpenCall { last_write_at: time.slow, send_by });
        let units = self.in_use(time);
        if units >= self.peak.units {
            self.peak = TimestampedUnits { units, at: time.fast };
        }
    }

    /// Returns whether data of a call may be written to the service now, and records the write. Must be
    /// called immediately before each write: a process may be suspended between the permit and the write for
    /// longer than its lease lasts, and the unit may then belong to another server.
    pub fn permit_send(&mut self, time: Time, call: u64) -> bool {
        let Some(open) = self.open.get_mut(&call).filter(|open| time.fast <= open.send_by) else {
            return false;
        };
        open.last_write_at = time.slow;
        true
    }

    /// Releases the unit of the budget held by a call that has ended at this server. If it is not `certain`
    /// that the call has also ended at the service, the unit stays in use until `use_max` nanoseconds after
    /// `permit_send` last permitted a write of the call, or after `acquire` if it never did.
    pub fn release(&mut self, call: u64, certain: bool, use_max: Nanos) {
        let Some(open) = self.open.remove(&call) else { return };
        if certain {
            return;
        }
        let until = open.last_write_at + use_max;
        let index = self.abandoned_until.partition_point(|other| *other <= until);
        self.abandoned_until.insert(index, until);
    }

    /// Records that a call was refused while `waiting` calls waited.
    pub fn record_refusal(&mut self, time: Time, waiting: u64) {
        self.refused += 1;
        self.waiting = TimestampedUnits { units: waiting, at: time.fast };
    }

    /// Returns the number of units in use, including those of abandoned calls that may still be running at
    /// the service.
    pub fn in_use(&mut self, time: Time) -> u64 {
        while self.abandoned_until.front().is_some_and(|until| *until <= time.slow) {
            self.abandoned_until.pop_front();
        }
        (self.open.len() + self.abandoned_until.len()) as u64
    }

    /// Returns the number of units to request from the grantor. Without a refusal within the last `recent`
    /// nanoseconds, this is the maximum number in use within that time, which leaves the other units to other
    /// servers. After a refusal, the number of waiting calls is added to the units in use now. The larger of
    /// this sum and the maximum is then increased by a quarter plus one unit, so that a server with growing
    /// load need not request each additional unit separately.
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
