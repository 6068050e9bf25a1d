//! The memory limit: pending and running invocations and idempotency keys together stay within it.

/// Share of the memory that is used.
const USED_SHARE: f64 = 0.85;

/// The limit, of the memory that the settings grant.
pub struct MemoryLimit {
    memory_kb: f64,
}

impl MemoryLimit {
    /// Of so much memory, KB.
    pub fn new(memory_kb: f64) -> Self {
        Self { memory_kb }
    }

    /// Whether so much is over the limit, KB.
    pub fn is_exceeded(&self, needed_kb: f64) -> bool {
        needed_kb > self.memory_kb * USED_SHARE
    }
}
