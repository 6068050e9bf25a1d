//! What a mechanism costs: processor time of the thread, datagrams and bytes. Memory is what the allocator
//! has given out.

use serde::Serialize;

/// Processor time of this thread, in nanoseconds.
pub fn thread_time() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Bytes that this process has from the allocator now, over all its arenas. A difference of two readings
/// says something only where no other thread allocates or frees between them.
pub fn allocated() -> u64 {
    // SAFETY: mallinfo2 takes no argument and only reads the allocator's own counts under its locks.
    let info = unsafe { libc::mallinfo2() };
    (info.uordblks + info.hblkhd) as u64
}

/// Costs of one mechanism, from the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Nanoseconds.
    pub processor: u64,
    pub datagrams: u64,
    pub bytes: u64,
}

impl Cost {
    pub fn add(&mut self, other: &Cost) {
        self.processor += other.processor;
        self.datagrams += other.datagrams;
        self.bytes += other.bytes;
    }

    pub fn since(&self, before: &Cost) -> Cost {
        Cost {
            processor: self.processor - before.processor,
            datagrams: self.datagrams - before.datagrams,
            bytes: self.bytes - before.bytes,
        }
    }
}

/// What each mechanism of the fleet costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Costs {
    pub membership: Cost,
    pub shared_state: Cost,
    pub replication: Cost,
}

impl Costs {
    pub fn add(&mut self, other: &Costs) {
        self.membership.add(&other.membership);
        self.shared_state.add(&other.shared_state);
        self.replication.add(&other.replication);
    }

    pub fn since(&self, before: &Costs) -> Costs {
        Costs {
            membership: self.membership.since(&before.membership),
            shared_state: self.shared_state.since(&before.shared_state),
            replication: self.replication.since(&before.replication),
        }
    }

    pub fn processor(&self) -> u64 {
        self.membership.processor + self.shared_state.processor + self.replication.processor
    }

    pub fn bytes(&self) -> u64 {
        self.membership.bytes + self.shared_state.bytes + self.replication.bytes
    }
}
