//! Idempotency keys: an operation that is idempotent with a key runs once while its key is remembered.

use crate::invocations::Invocation;
use crate::{Arrival, Effect, Host, Nanos, Operation};
use meadowstream_pending_queue::expiring_keys::ExpiringKeys;

/// The idempotency keys that are remembered. A key is stored as the id of the first invocation that had it.
pub struct IdempotencyKeys {
    keys: ExpiringKeys,
    entry_kb: f64,
}

impl IdempotencyKeys {
    /// Creates an empty set of keys that use `entry_kb` of memory each.
    pub fn new(entry_kb: f64) -> Self {
        Self { keys: ExpiringKeys::default(), entry_kb }
    }

    /// Forgets the keys whose idempotency window has ended.
    pub fn expire(&mut self, now: Nanos) {
        self.keys.expire(now);
    }

    /// Returns the memory used by all remembered keys, KB.
    pub fn memory_kb(&self) -> f64 {
        self.keys.len() as f64 * self.entry_kb
    }

    /// Remembers the idempotency key of an arrival. This happens when the arrival is read, so that a repeat
    /// that is read while the first invocation is still pending is recognized.
    pub fn remember(&mut self, now: Nanos, arrival: &Arrival, operation: &Operation, host: &mut dyn Host) {
        let has_key = operation.effect == Effect::IdempotentWithKey;
        if has_key && arrival.repeats.is_none() && !arrival.key_not_stored {
            host.remember_key(arrival.id, operation.idempotency_window);
            self.keys.insert(arrival.id, now + operation.idempotency_window);
        }
    }

    /// Forgets the idempotency key of an invocation that has ended without running, so that a repeat with
    /// the key may run.
    pub fn forget_unless_run(&mut self, invocation: &Invocation, effect: Effect, host: &mut dyn Host) {
        let has_key = effect == Effect::IdempotentWithKey && invocation.repeats.is_none();
        if has_key && !invocation.has_run && !invocation.answered {
            host.forget_key(invocation.id);
            self.keys.remove(invocation.id);
        }
    }
}
