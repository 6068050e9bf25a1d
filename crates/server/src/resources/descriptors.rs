//! Limits the number of file descriptors that the server uses, since the platform limits this number. Each
//! connection, each downstream call and each file being read uses one descriptor.

use std::cell::Cell;
use std::rc::Rc;

/// Number of descriptors that the server opens after startup without reserving them: one for the link to
/// the interpreter and one for the socket of the service registry.
const OPENED_AFTER_START: usize = 2;
/// Number of descriptors assumed to be open at startup if the open descriptors cannot be counted.
const OPEN_AT_START_FALLBACK: usize = 13;
/// Divisor of the number of available descriptors; the result is the size of a reserve. Connections of
/// callers together use at most the descriptors outside the reserve. A downstream call or a file gets a
/// descriptor only if more than half of the reserve's size is free.
const RESERVE_DIVISOR: usize = 8;
/// Minimum number of descriptors in the reserve.
const RESERVE_MIN: usize = 2;

/// Error for a limit that is too low to leave descriptors for connections of callers.
#[derive(Debug, thiserror::Error)]
#[error("limits.sockets: {limit} descriptors are too few, {in_use} are needed for other purposes")]
pub struct TooFewDescriptors {
    /// The configured limit on file descriptors.
    pub limit: usize,
    /// Number of descriptors that the server needs for other purposes than connections and calls.
    pub in_use: usize,
}

#[derive(Default)]
struct InUse {
    all: Cell<usize>,
    connections: Cell<usize>,
}

/// The number of descriptors that may be reserved, and the number in use.
pub struct Descriptors {
    limit: usize,
    in_use: Rc<InUse>,
}

/// A reserved file descriptor. Dropping it releases the reservation.
pub struct Descriptor {
    in_use: Rc<InUse>,
    /// Number of connections that this reservation counts as: 1 for a connection, 0 for a downstream call
    /// or a file.
    connections: usize,
}

impl Descriptors {
    /// Creates a pool of the descriptors that the process may still open. The descriptors that are open now
    /// are subtracted from `limit`.
    pub fn with_limit(limit: usize) -> Result<Self, TooFewDescriptors> {
        let open =
            std::fs::read_dir("/proc/self/fd").map_or(OPEN_AT_START_FALLBACK, |entries| entries.count() - 1);
        let in_use = open + OPENED_AFTER_START;
        let left = limit.saturating_sub(in_use);
        if left <= RESERVE_MIN {
            return Err(TooFewDescriptors { limit, in_use });
        }
        Ok(Self { limit: left, in_use: Rc::default() })
    }

    fn reserve_size(&self) -> usize {
        (self.limit / RESERVE_DIVISOR).max(RESERVE_MIN)
    }

    /// Reserves a descriptor for a connection of a caller; returns `None` if none is available.
    pub fn reserve_for_connection(&self) -> Option<Descriptor> {
        let within_part = self.in_use.connections.get() + self.reserve_size() < self.limit;
        (within_part && self.in_use.all.get() < self.limit).then(|| self.take(1))
    }

    /// Returns whether connections of callers use more than half of all descriptors.
    pub fn connections_exceed_half(&self) -> bool {
        2 * self.in_use.connections.get() > self.limit
    }

    /// Reserves a descriptor for a downstream call or a file; returns `None` if none is available. Some
    /// descriptors are left to connections of callers. A call or file can wait for a descriptor, but a
    /// connection already accepted by the kernel cannot.
    pub fn reserve_for_call(&self) -> Option<Descriptor> {
        (self.in_use.all.get() + self.reserve_size() / 2 < self.limit).then(|| self.take(0))
    }

    fn take(&self, connections: usize) -> Descriptor {
        self.in_use.all.set(self.in_use.all.get() + 1);
        self.in_use.connections.set(self.in_use.connections.get() + connections);
        Descriptor { in_use: self.in_use.clone(), connections }
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.in_use.all.set(self.in_use.all.get() - 1);
        self.in_use.connections.set(self.in_use.connections.get() - self.connections);
    }
}

#[cfg(test)]
mod tests;
