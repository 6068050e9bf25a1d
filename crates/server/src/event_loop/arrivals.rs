//! Registers incoming requests as invocations, before the controller decides whether to run them. Detects
//! repeated calls, and fails requests that cannot be registered.

use crate::connection::table::{Connection, Notification};
use crate::event::Request;
use crate::event_loop::actions::ActionExecutor;
use crate::resources::idempotency::Lookup;
use crate::resources::invocations::Invocation;
use crate::wire::rpc::Answer;
use meadowstream_overload_control::{Arrival, Nanos};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The idempotency key of a request, and the hash of the request's body. Reusing a key with a different body
/// is an error.
struct KeyWithBodyHash {
    key: Vec<u8>,
    body_hash: u64,
}

impl ActionExecutor {
    /// Registers a request as an invocation, and returns its description for the controller. In four cases,
    /// fails the request and returns `None`:
    /// - The request's idempotency key is stored with a different body.
    /// - An unfinished invocation has the same reference. The interpreter could not distinguish the two runs.
    /// - The reference is that of a recent run that must not run twice.
    /// - The controller has not started yet.
    pub fn register(&mut self, mut request: Request, has_controller: bool) -> Option<Arrival> {
        let now = self.server.clock.now();
        let mut arrival = self.describe(&request);
        let keyed = request.idempotency_key.take().map(|key| self.key_with_body_hash(key, &request.body));
        let lookup = keyed.as_ref().map(|keyed| {
            let arrived_at = now.saturating_sub(arrival.age);
            self.idempotency.find(now, arrived_at, request.operation, &keyed.key, keyed.body_hash)
        });
        let repeat_of = self.count_lookup(lookup);
        let (operation, tag, connection) = (request.operation, request.tag, request.connection.clone());
        let has_run = self.recent_runs.contains(now, request.reference);
        if has_run {
            self.server.counters.references_reused.add();
        }
        if lookup == Some(Lookup::BodyMismatch) || has_run {
            self.fail_unregistered(&connection, tag);
            return None;
        }
        let shared = self.server.shared.as_ref();
        let counted_tenant = request.sender.as_ref().and_then(|sender| shared?.tenant(&sender.tenant));
        let invocation = Invocation { repeat_of, ..Invocation::new(request, counted_tenant) };
        let id = if has_controller { self.invocations.insert(invocation) } else { None };
        let Some(id) = id else {
            self.fail_unregistered(&connection, tag);
            return None;
        };
        if let Some(keyed) = keyed.filter(|_| lookup == Some(Lookup::New)) {
            self.store_key(id, operation, &keyed, now);
        }
        arrival.id = id;
        arrival.repeats = repeat_of;
        arrival.key_not_stored = lookup == Some(Lookup::TableFull);
        Some(arrival)
    }

    fn describe(&self, request: &Request) -> Arrival {
        let age = self.server.clock.age(request.arrival_unix_ms).max(0) as Nanos;
        Arrival {
            operation: request.operation,
            tenant: request.tenant,
            sender: request.sender.clone(),
            age,
            remaining_deadline: request.client_timeout.map(|stated| stated.saturating_sub(age).max(1)),
            is_marked_retry: request.marked_retry,
            held_kb: request.held_kb,
            ..Arrival::default()
        }
    }

    /// Hashes the body of a request with the configured seed. Without a seed, callers could construct two
    /// bodies with the same hash. The server would then take a call with the second body for a repeat.
    fn key_with_body_hash(&self, key: Vec<u8>, body: &[u8]) -> KeyWithBodyHash {
        let mut hasher = SipHasher13::new_with_keys(self.server.configuration.seed, 0);
        hasher.write(body);
        KeyWithBodyHash { key, body_hash: hasher.finish() }
    }

    /// Counts the result of an idempotency key's lookup. If the request repeats an earlier invocation,
    /// returns the id of that invocation.
    fn count_lookup(&self, lookup: Option<Lookup>) -> Option<u64> {
        let counters = &self.server.counters;
        match lookup? {
            Lookup::Repeat(original) => {
                counters.repeats.add();
                return Some(original);
            }
            Lookup::BodyMismatch => counters.tokens_other.add(),
            Lookup::TableFull => counters.tokens_full.add(),
            Lookup::New => {}
        }
        None
    }

    /// Stores the idempotency key of a new invocation. Until the end of a time window, further calls with
    /// this key are repeats.
    ///
    /// The window starts now and not at the arrival time that the caller states. For a caller whose clock is
    /// behind, the window would otherwise end too early.
    fn store_key(&mut self, id: u64, operation: usize, keyed: &KeyWithBodyHash, now: Nanos) {
        let operations = &self.server.configuration.settings.deployment.operations;
        let window_end = now + operations[operation].idempotency_window;
        self.idempotency.insert(id, operation, &keyed.key, keyed.body_hash, window_end);
    }

    fn fail_unregistered(&self, connection: &Connection, tag: u64) {
        self.server.counters.errored.add();
        connection.notify(Notification::Answer { tag, answer: Answer::Failed });
    }
}
