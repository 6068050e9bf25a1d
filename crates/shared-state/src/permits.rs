//! Units of a budget that one server uses. Each call holds one until it has ended; a call that was abandoned
//! holds it for the longest time that it may still go on at the service.

use crate::clock::{Nanos, Time};
use std::collections::{BTreeMap, VecDeque};

/// A number of units and when it was noted, by the fast clock.
#[derive(Clone, Copy, Debug, Default)]
struct Noted {
    units: u64,
    at: Nanos,
}

impl Noted {
    fn is_older_than(&self, age: Nanos, time: Time) -> bool {
        time.fast >= self.at.saturating_add(age)
    }
}

/// The unit of an open call.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    /// The service has the call since then at the earliest, by the slow clock: since it was last sent to, or
    /// since the permit where nothing has been sent.
    since: Nanos,
    /// The call may not be sent later, by the fast clock.
    send_by: Nanos,
}

/// Permits of the calls of one server.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    /// Open calls by number.
    open: BTreeMap<u64, OpenCall>,
    /// When abandoned calls are certainly over, by the slow clock; in order.
    abandoned_until: VecDeque<Nanos>,
    /// Calls that waited when one was last refused.
    waiting: Noted,
    /// Most units in use of late.
    peak: Noted,
    /// Calls refused since the start.
    pub refused: u64,
}

impl Permits {
    /// A call begins; `call` is its number. It may be sent until `send_by` by the fast clock, see
    /// [`Budget::send_by`](crate::budget::Budget::send_by).
    pub fn acquire(&mut self, time: Time, call: u64, send_by: Nanos) {
        self.open.insert(call, OpenCall { since: time.slow, send_by });
        let units = self.in_use(time);
        if units >= self.peak.units {
            self.peak = Noted { units, at: time.fast };
        }
    }

    /// Whether bytes of an open call may be sent now; to be asked right before each write. A process may be
    /// stopped between the permit and the write for longer than the lease lasts, when the unit is another
    /// server's.
    pub fn permit_send(&mut self, time: Time, call: u64) -> bool {
        let Some(open) = self.open.get_mut(&call).filter(|open| time.fast <= open.send_by) else {
            return false;
        };
        open.since = time.slow;
        true
    }

    /// A call has ended at this server. Where it is not `certain` that the service has ended it, too, its
    /// unit stays in use until `use_max` nanoseconds after it was last sent to.
    pub fn release(&mut self, call: u64, certain: bool, use_max: Nanos) {
        let Some(open) = self.open.remove(&call) else { return };
        if certain {
            return;
        }
        let until = open.since + use_max;
        let index = self.abandoned_until.partition_point(|other| *other <= until);
        self.abandoned_until.insert(index, until);
    }

    /// A call was refused while `waiting` calls waited.
    pub fn refuse(&mut self, time: Time, waiting: u64) {
        self.refused += 1;
        self.waiting = Noted { units: waiting, at: time.fast };
    }

    /// Units in use now.
    pub fn in_use(&mut self, time: Time) -> u64 {
        while self.abandoned_until.front().is_some_and(|until| *until <= time.slow) {
            self.abandoned_until.pop_front();
        }
        (self.open.len() + self.abandoned_until.len()) as u64
    }

    /// Units to ask for: the most in use within the last `recent` nanoseconds. Where a call was refused
    /// within them, also those that wait, and a quarter more and one, so that a growing server does not ask
    /// for every unit; a server that is refused nothing asks for no more than it uses, and leaves the rest to
    /// others.
    pub fn wanted(&mut self, time: Time, recent: Nanos) -> u64 {
        let in_use = self.in_use(time);
        if self.peak.is_older_than(recent, time) {
            self.peak = Noted { units: in_use, at: time.fast };
        }
        if self.waiting.units == 0 || self.waiting.is_older_than(recent, time) {
            return in_use.max(self.peak.units);
        }
        let wanted = in_use.saturating_add(self.waiting.units).max(self.peak.units);
        wanted.saturating_add(wanted / 4 + 1)
    }
}
