//! Limits the file descriptors that the server uses, since the platform limits their number. Each connection,
//! each downstream call and each file being read uses one.

use std::cell::Cell;
use std::rc::Rc;

/// Number of descriptors that are opened after startup without being counted: the link to the interpreter and
/// the socket of the service registry.
const OPENED_AFTER_START: usize = 2;
/// Number of descriptors assumed to be open at startup if they cannot be counted.
const OPEN_AT_START_FALLBACK: usize = 13;
/// Connections do not use a reserve, which is the number of all descriptors divided by this number.
/// Downstream calls leave half of the reserve to connections.
const RESERVE_DIVISOR: usize = 8;
/// Minimum number of descriptors in the reserve.
const RESERVE_MIN: usize = 2;

/// The limit is too low to leave descriptors for connections of callers.
#[derive(Debug, thiserror::Error)]
#[error("limits.sockets: {limit} descriptors are too few, {in_use} are needed for other purposes")]
pub struct TooFewDescriptors {
    /// The configured limit.
    pub limit: usize,
    /// Number of descriptors that the server needs for other purposes.
    pub in_use: usize,
}

#[derive(Default)]
struct InUse {
    all: Cell<usize>,
    connections: Cell<usize>,
}

/// The number of available descriptors, and the number in use.
pub struct Descriptors {
    limit: usize,
    in_use: Rc<InUse>,
}

/// A reserved descriptor, released when it is dropped.
pub struct Descriptor {
    in_use: Rc<InUse>,
    /// Number of connections that the reservation counts as: 1 for a connection, 0 for a call or file.
    connections: usize,
}

impl Descriptors {
    /// Creates the pool of descriptors that remain of the process's limit after subtracting those that are
    /// already open.
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

    /// Reserves a descriptor for a connection, or returns `None` if none is available.
    pub fn reserve_for_connection(&self) -> Option<Descriptor> {
        let within_part = self.in_use.connections.get() + self.reserve_size() < self.limit;
        (within_part && self.in_use.all.get() < self.limit).then(|| self.take(1))
    }

    /// Returns whether connections use more than half of all descriptors.
    pub fn connections_exceed_half(&self) -> bool {
        2 * self.in_use.connections.get() > self.limit
    }

    /// Reserves a descriptor for a downstream call or a file, or returns `None` if none is available. Some
    /// descriptors are left to connections, because a call or file can wait but a connection already accepted
    /// by the kernel cannot.
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
