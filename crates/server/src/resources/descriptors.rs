//! The file descriptors that the server may hold, whose number the platform limits: each connection, each
//! downstream call and each file that is read has one of them.

use std::cell::Cell;
use std::rc::Rc;

/// Opened after the start beside those counted here: the interpreter's link and the catalog's socket.
const OPENED_AFTER_START: usize = 2;
/// Taken for open at the start where that cannot be counted.
const OPEN_AT_START_FALLBACK: usize = 13;
/// Part of the descriptors that connections never use. Downstream calls leave half of it to connections.
const RESERVE_DIVISOR: usize = 8;
/// The least of that reserve.
const RESERVE_MIN: usize = 2;

/// The limit leaves no descriptor for callers.
#[derive(Debug, thiserror::Error)]
#[error("limits.sockets: {limit} are too few, {in_use} are in use")]
pub struct TooFewDescriptors {
    /// The limit.
    pub limit: usize,
    /// Descriptors that the server needs beside those of callers.
    pub in_use: usize,
}

#[derive(Default)]
struct InUse {
    all: Cell<usize>,
    connections: Cell<usize>,
}

/// How many descriptors there are, and how many are in use.
pub struct Descriptors {
    limit: usize,
    in_use: Rc<InUse>,
}

/// The use of one descriptor, given back when it is dropped.
pub struct Descriptor {
    in_use: Rc<InUse>,
    /// 1 for a connection, 0 for anything else.
    connections: usize,
}

impl Descriptors {
    /// What the process's limit leaves beside the descriptors that are open now.
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

    fn reserve(&self) -> usize {
        (self.limit / RESERVE_DIVISOR).max(RESERVE_MIN)
    }

    /// One for a connection, if there is one.
    pub fn for_connection(&self) -> Option<Descriptor> {
        let within_part = self.in_use.connections.get() + self.reserve() < self.limit;
        (within_part && self.in_use.all.get() < self.limit).then(|| self.take(1))
    }

    /// Whether connections use more than half of all.
    pub fn connections_exceed_half(&self) -> bool {
        2 * self.in_use.connections.get() > self.limit
    }

    /// One for a downstream call or a file, if there is one. These leave some to connections, since they can
    /// wait and what the kernel has accepted cannot.
    pub fn for_call(&self) -> Option<Descriptor> {
        (self.in_use.all.get() + self.reserve() / 2 < self.limit).then(|| self.take(0))
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
