//! Idempotency keys: an operation that is idempotent with a key runs once while its key is remembered.

use crate::invocations::Invocation;
use crate::{Arrival, Effect, Host, Nanos, Operation};
use meadowstream_pending_queue::expiring_keys::ExpiringKeys;

/// The keys that are remembered, by the invocation that brought them.
pub struct IdempotencyKeys {
    keys: ExpiringKeys,
    entry_kb: f64,
}

impl IdempotencyKeys {
    /// No keys; each will take so much memory, KB.
    pub fn new(entry_kb: f64) -> Self {
        Self { keys: ExpiringKeys::default(), entry_kb }
    }

    /// Forgets the keys whose window is over.
    pub fn expire(&mut self, now: Nanos) {
        self.keys.expire(now);
    }

    /// Memory of all keys, KB.
    pub fn memory_kb(&self) -> f64 {
        self.keys.len() as f64 * self.entry_kb
    }

    /// Remembers the key of an arrival from its reading on: a repeat that is read while the first is still
    /// pending must be recognized as one.
    pub fn remember(&mut self, now: Nanos, arrival: &Arrival, operation: &Operation, host: &mut dyn Host) {
        let has_key = operation.effect == Effect::IdempotentWithKey;
        if has_key && arrival.repeats.is_none() && !arrival.key_not_stored {
            host.remember_key(arrival.id, operation.idempotency_window);
            self.keys.insert(arrival.id, now + operation.idempotency_window);
        }
    }

    /// Forgets the key of an invocation that is over and never ran: its repeats may run.
    pub fn forget_unless_run(&mut self, invocation: &Invocation, effect: Effect, host: &mut dyn Host) {
        let has_key = effect == Effect::IdempotentWithKey && invocation.repeats.is_none();
        if has_key && !invocation.has_run && !invocation.answered {
            host.forget_key(invocation.id);
            self.keys.remove(invocation.id);
        }
    }
}
