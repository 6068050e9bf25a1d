//! The limit on the memory of pending invocations, running invocations and idempotency keys together.

/// Share of the available memory that invocations and idempotency keys may use.
const USED_SHARE: f64 = 0.85;

/// Limit derived from the memory that the settings grant.
pub struct MemoryLimit {
    memory_kb: f64,
}

impl MemoryLimit {
    /// Creates the limit for `memory_kb` of memory, KB.
    pub fn new(memory_kb: f64) -> Self {
        Self { memory_kb }
    }

    /// Whether invocations and idempotency keys that need `needed_kb` exceed the limit.
    pub fn is_exceeded(&self, needed_kb: f64) -> bool {
        needed_kb > self.memory_kb * USED_SHARE
    }
}
