//! Limits the number of file descriptors that the server uses, because the platform limits this number. Each
//! connection, each downstream call and each file that is being read uses one descriptor.

use std::cell::Cell;
use std::rc::Rc;

/// Number of descriptors that the server opens after its start without reserving them: one for the link to
/// the interpreter, and one for the UDP socket for reports to the service registry.
const OPENED_AFTER_START: usize = 2;
/// Assumed number of open file descriptors at the start of the server. Used if the open descriptors cannot be
/// counted.
const OPEN_AT_START_FALLBACK: usize = 13;
/// Divisor of the number of available file descriptors. The result is the size of the reserve, which callers'
/// connections may not use.
///
/// Downstream calls and files may use a part of the reserve. A call or a file receives a descriptor only
/// while the number of free descriptors exceeds half of the reserve's size.
const RESERVE_DIVISOR: usize = 8;
/// Minimum number of file descriptors in the reserve, which callers' connections may not use.
const RESERVE_MIN: usize = 2;

/// Error: the limit on file descriptors is too low. No descriptor is left for connections of callers.
#[derive(Debug, thiserror::Error)]
#[error("limits.sockets: {limit} descriptors are too few, {in_use} are needed for other purposes")]
pub struct TooFewDescriptors {
    /// Configured maximum number of file descriptors that the process may have open.
    pub limit: usize,
    /// Number of file descriptors that the server needs for purposes other than callers' connections,
    /// downstream calls and the reading of files.
    pub in_use: usize,
}

#[derive(Default)]
struct InUse {
    all: Cell<usize>,
    connections: Cell<usize>,
}

/// Pool of file descriptors. Records how many descriptors may be reserved, and how many are reserved now.
pub struct Descriptors {
    limit: usize,
    in_use: Rc<InUse>,
}

/// A reserved file descriptor. The reservation ends when this value is dropped.
pub struct Descriptor {
    in_use: Rc<InUse>,
    /// Number of callers' connections that use this descriptor. The number is 1 for the descriptor of a
    /// connection, and 0 for the descriptor of a downstream call or a file.
    connections: usize,
}

impl Descriptors {
    /// Creates a pool for a process that may open `limit` descriptors in total. Descriptors that are already
    /// open, or that the server opens without a reservation, are not part of the pool.
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

    /// Reserves a descriptor for a connection of a caller. Returns `None` if no descriptor is available for
    /// connections.
    pub fn reserve_for_connection(&self) -> Option<Descriptor> {
        let within_part = self.in_use.connections.get() + self.reserve_size() < self.limit;
        (within_part && self.in_use.all.get() < self.limit).then(|| self.take(1))
    }

    /// Returns whether connections of callers use more than half of the file descriptors in the pool.
    pub fn connections_exceed_half(&self) -> bool {
        2 * self.in_use.connections.get() > self.limit
    }

    /// Reserves a descriptor for a downstream call or for reading a file. Returns `None` if no descriptor is
    /// available for these purposes.
    ///
    /// Some descriptors are always left for connections of callers. A call or a file can wait for a
    /// descriptor, but a connection that the kernel has already accepted cannot wait.
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
