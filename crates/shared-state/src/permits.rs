//! Tracks the units of a budget that one server's calls use. Each call holds one unit until the call has
//! ended. An abandoned call may continue at the service. Its unit therefore stays in use until the call must
//! have ended at the service.

use crate::clock::{Nanos, Time};
use std::collections::{BTreeMap, VecDeque};

/// A number of units, and the time at which the number was recorded. The time is by the fast clock
/// ([`Time::fast`]).
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

/// State of a call that holds a permit and has not ended at this server yet.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    /// Time of the last permitted write of the call, by this server's slow clock ([`Time::slow`]). Before the
    /// first write, this is the time of the call's permit. The service received the last data of the call at
    /// this time or later.
    last_write_at: Nanos,
    /// Latest time at which data of the call may be sent, by this server's fast clock ([`Time::fast`]).
    send_by: Nanos,
}

/// Permits of one server's calls. Each permit holds one unit of a budget.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    /// Open calls by call number.
    open: BTreeMap<u64, OpenCall>,
    /// For each abandoned call, the time at which its unit becomes free, by this server's slow clock
    /// ([`Time::slow`]). By then, the call can no longer be running at the service. The times are in
    /// ascending order.
    abandoned_until: VecDeque<Nanos>,
    /// Number of calls that were waiting for a unit when a call was last refused a unit.
    waiting: TimestampedUnits,
    /// Largest number of units that were in use at one time in the recent past.
    peak: TimestampedUnits,
    /// Number of calls that were refused a unit since the server started.
    pub refused: u64,
}

impl Permits {
    /// Records a permit for the call with number `call`. Data of the call may be sent until `send_by`, by
    /// this server's fast clock; see [`Budget::send_by`](crate::budget::Budget::send_by).
    pub fn acquire(&mut self, time: Time, call: u64, send_by: Nanos) {
        self.open.insert(call, OpenCall { last_write_at: time.slow, send_by });
        let units = self.in_use(time);
        if units >= self.peak.units {
            self.peak = TimestampedUnits { units, at: time.fast };
        }
    }

    /// Returns whether data of a call may be written to the service now, and records the write. The caller
    /// must call this method immediately before each write. A process may be suspended between the permit and
    /// the write for longer than its lease lasts. The unit may then belong to another server, and the write
    /// must not happen.
    pub fn permit_send(&mut self, time: Time, call: u64) -> bool {
        let Some(open) = self.open.get_mut(&call).filter(|open| time.fast <= open.send_by) else {
            return false;
        };
        open.last_write_at = time.slow;
        true
    }

    /// Releases the unit of a call that has ended at this server. `certain` means that the call has also
    /// ended at the service. If `certain` is false, the unit stays in use until `use_max` nanoseconds after
    /// the last permitted write of the call. If no write was permitted, the time is counted from `acquire`.
    pub fn release(&mut self, call: u64, certain: bool, use_max: Nanos) {
        let Some(open) = self.open.remove(&call) else { return };
        if certain {
            return;
        }
        let until = open.last_write_at + use_max;
        let index = self.abandoned_until.partition_point(|other| *other <= until);
        self.abandoned_until.insert(index, until);
    }

    /// Records that a call was refused a unit. `waiting` is the number of calls that wait for a unit.
    pub fn record_refusal(&mut self, time: Time, waiting: u64) {
        self.refused += 1;
        self.waiting = TimestampedUnits { units: waiting, at: time.fast };
    }

    /// Returns the number of units in use. Abandoned calls that may still be running at the service are
    /// included.
    pub fn in_use(&mut self, time: Time) -> u64 {
        while self.abandoned_until.front().is_some_and(|until| *until <= time.slow) {
            self.abandoned_until.pop_front();
        }
        (self.open.len() + self.abandoned_until.len()) as u64
    }

    /// Returns the number of units that this server should request from the grantor.
    ///
    /// If no call was refused within the last `recent` nanoseconds, the result is the largest number of units
    /// in use within that time. The other units are then left to other servers. After a recent refusal, the
    /// number of waiting calls is added to the units in use now. The result is the larger of this sum and the
    /// recent maximum, increased by a quarter plus one unit. A server with growing load therefore need not
    /// request each additional unit separately.
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
