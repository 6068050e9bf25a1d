//! The memory limit for pending invocations, running invocations and idempotency keys together.

/// Share of the available memory that may be used.
const USED_SHARE: f64 = 0.85;

/// Limit derived from the memory that the settings grant.
pub struct MemoryLimit {
    memory_kb: f64,
}

impl MemoryLimit {
    /// Creates the limit for `memory_kb` of available memory.
    pub fn new(memory_kb: f64) -> Self {
        Self { memory_kb }
    }

    /// Whether `needed_kb` exceeds the limit.
    pub fn is_exceeded(&self, needed_kb: f64) -> bool {
        needed_kb > self.memory_kb * USED_SHARE
    }
}
