//! Limit on the memory that pending invocations, running invocations and idempotency keys use together.

/// Share of the server's available memory that invocations and idempotency keys may use.
const USED_SHARE: f64 = 0.85;

/// Memory limit, derived from the memory that the settings grant to the server.
pub struct MemoryLimit {
    memory_kb: f64,
}

impl MemoryLimit {
    /// Creates the limit for a server with `memory_kb` KB of available memory.
    pub fn new(memory_kb: f64) -> Self {
        Self { memory_kb }
    }

    /// Whether the limit is exceeded if invocations and idempotency keys need `needed_kb` KB.
    pub fn is_exceeded(&self, needed_kb: f64) -> bool {
        needed_kb > self.memory_kb * USED_SHARE
    }
}
