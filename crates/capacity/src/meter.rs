//! Measures the cost of membership, shared state and replication: CPU time of the calling thread, sent
//! datagrams and bytes, and heap memory.

use serde::Serialize;

const SECOND_NS: u64 = 1_000_000_000;

/// Returns the CPU time that the calling thread has used, in nanoseconds.
pub fn thread_time_ns() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as u64 * SECOND_NS + time.tv_nsec as u64
}

/// Returns the number of heap bytes that this process has allocated and not yet freed, over all arenas of the
/// allocator. The difference between two results is meaningful only if no other thread allocates or frees
/// memory in the meantime.
pub fn allocated_bytes() -> u64 {
    // SAFETY: mallinfo2 takes no argument and only reads the allocator's statistics, under its locks.
    let info = unsafe { libc::mallinfo2() };
    (info.uordblks + info.hblkhd) as u64
}

/// Accumulated CPU time and network traffic of one part of the fleet protocol. The parts are membership,
/// shared state and replication.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// CPU time in nanoseconds.
    pub processor_ns: u64,
    /// Number of datagrams sent.
    pub datagrams: u64,
    /// Total size of the datagrams sent, in bytes.
    pub bytes: u64,
}

impl Cost {
    /// Adds `other` to this cost.
    pub fn add(&mut self, other: &Cost) {
        self.processor_ns += other.processor_ns;
        self.datagrams += other.datagrams;
        self.bytes += other.bytes;
    }

    /// Returns the CPU time, datagrams and bytes that were added after the earlier reading `before`.
    pub fn since(&self, before: &Cost) -> Cost {
        Cost {
            processor_ns: self.processor_ns - before.processor_ns,
            datagrams: self.datagrams - before.datagrams,
            bytes: self.bytes - before.bytes,
        }
    }
}

/// Accumulated CPU time and network traffic of membership, shared state and replication.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Costs {
    /// Cost of membership.
    pub membership: Cost,
    /// Cost of shared state: counters, budgets and leases.
    pub shared_state: Cost,
    /// Cost of replicated configuration.
    pub replication: Cost,
}

impl Costs {
    /// Adds `other` to these costs.
    pub fn add(&mut self, other: &Costs) {
        self.membership.add(&other.membership);
        self.shared_state.add(&other.shared_state);
        self.replication.add(&other.replication);
    }

    /// Returns the CPU time, datagrams and bytes that were added after the earlier reading `before`.
    pub fn since(&self, before: &Costs) -> Costs {
        Costs {
            membership: self.membership.since(&before.membership),
            shared_state: self.shared_state.since(&before.shared_state),
            replication: self.replication.since(&before.replication),
        }
    }

    /// Returns the total number of bytes sent by membership, shared state and replication.
    pub fn bytes(&self) -> u64 {
        self.membership.bytes + self.shared_state.bytes + self.replication.bytes
    }
}
