//! Idempotency keys: an operation that is idempotent with a key runs only once while the key is remembered.

use crate::invocations::Invocation;
use crate::{Arrival, Effect, Host, Nanos, Operation};
use meadowstream_pending_queue::expiring_keys::ExpiringKeys;

/// The idempotency keys that are remembered. The host stores the keys themselves; this set contains the id of
/// the first invocation with each key.
pub struct IdempotencyKeys {
    keys: ExpiringKeys,
    entry_kb: f64,
}

impl IdempotencyKeys {
    /// Creates an empty set of keys. Each key uses `entry_kb` KB of memory.
    pub fn new(entry_kb: f64) -> Self {
        Self { keys: ExpiringKeys::default(), entry_kb }
    }

    /// Removes the keys whose idempotency window has ended.
    pub fn expire(&mut self, now: Nanos) {
        self.keys.expire(now);
    }

    /// Returns the memory that all remembered keys use, KB.
    pub fn memory_kb(&self) -> f64 {
        self.keys.len() as f64 * self.entry_kb
    }

    /// Remembers the idempotency key of an arrival as soon as the host has read the arrival. If the key were
    /// remembered only at the start of the run, a repeat that arrives earlier would not be recognized and
    /// would also run.
    pub fn remember(&mut self, now: Nanos, arrival: &Arrival, operation: &Operation, host: &mut dyn Host) {
        let has_key = operation.effect == Effect::IdempotentWithKey;
        if has_key && arrival.repeats.is_none() && !arrival.key_not_stored {
            host.remember_key(arrival.id, operation.idempotency_window);
            self.keys.insert(arrival.id, now + operation.idempotency_window);
        }
    }

    /// Forgets the idempotency key of an invocation that has ended without a run. A repeat with this key may
    /// then run.
    pub fn forget_unless_run(&mut self, invocation: &Invocation, effect: Effect, host: &mut dyn Host) {
        let has_key = effect == Effect::IdempotentWithKey && invocation.repeats.is_none();
        if has_key && !invocation.has_run && !invocation.answered {
            host.forget_key(invocation.id);
            self.keys.remove(invocation.id);
        }
    }
}
