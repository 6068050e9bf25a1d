//! What a mechanism costs: processor time of the thread, datagrams and bytes. Memory is what the allocator
//! has given out.

use serde::Serialize;

const SECOND_NS: u64 = 1_000_000_000;

/// Processor time of this thread, in nanoseconds.
pub fn thread_time_ns() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as u64 * SECOND_NS + time.tv_nsec as u64
}

/// Bytes that this process has from the allocator now, over all its arenas. A difference of two readings
/// has a meaning only where no other thread allocates or frees between them.
pub fn allocated_bytes() -> u64 {
    // SAFETY: mallinfo2 takes no argument and only reads the allocator's own counts under its locks.
    let info = unsafe { libc::mallinfo2() };
    (info.uordblks + info.hblkhd) as u64
}

/// Costs of one mechanism, from the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Processor time in nanoseconds.
    pub processor_ns: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Cost {
    /// Adds another's costs.
    pub fn add(&mut self, other: &Cost) {
        self.processor_ns += other.processor_ns;
        self.datagrams += other.datagrams;
        self.bytes += other.bytes;
    }

    /// The costs since an earlier reading.
    pub fn since(&self, before: &Cost) -> Cost {
        Cost {
            processor_ns: self.processor_ns - before.processor_ns,
            datagrams: self.datagrams - before.datagrams,
            bytes: self.bytes - before.bytes,
        }
    }
}

/// Costs of each mechanism of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Costs {
    /// The fleet's view.
    pub membership: Cost,
    /// Counters, budgets and leases.
    pub shared_state: Cost,
    /// Replicated configuration.
    pub replication: Cost,
}

impl Costs {
    /// Adds another's costs.
    pub fn add(&mut self, other: &Costs) {
        self.membership.add(&other.membership);
        self.shared_state.add(&other.shared_state);
        self.replication.add(&other.replication);
    }

    /// The costs since an earlier reading.
    pub fn since(&self, before: &Costs) -> Costs {
        Costs {
            membership: self.membership.since(&before.membership),
            shared_state: self.shared_state.since(&before.shared_state),
            replication: self.replication.since(&before.replication),
        }
    }

    /// Bytes of all mechanisms.
    pub fn bytes(&self) -> u64 {
        self.membership.bytes + self.shared_state.bytes + self.replication.bytes
    }
}
