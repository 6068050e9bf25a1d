//! Models one server of the fleet. A model server runs the protocol code of membership, shared state and
//! replication that a real server runs, but handles no invocations. Its only inputs are received datagrams
//! and the simulated time. Datagrams are addressed, encoded and authenticated like those of a real server.

use crate::error::ModelError;
use crate::meter::{Costs, thread_time_ns};
use meadowstream_membership::directory::Directory;
use meadowstream_membership::envelope::{HEADER_BYTES, TAG_BYTES};
use meadowstream_membership::{MemberId, Membership, Nanos, Transmit};
use meadowstream_replication::member::{Member, Outgoing};
use meadowstream_shared_state::clock::Reading;
use meadowstream_shared_state::{REPLICATION, ServerId, SharedState};
use std::net::SocketAddr;

/// Unix time in nanoseconds at the start of the simulation. The incarnation number of a server is the Unix
/// time at which the server started.
pub const START_NS: Nanos = 1_700_000_000_000_000_000;

/// Size in bytes of the envelope that is added to each message body.
const ENVELOPE_BYTES: u64 = (HEADER_BYTES + TAG_BYTES) as u64;

/// Replication settings of a server.
#[derive(Clone, Debug)]
pub struct ReplicationSettings {
    /// Settings of the server's replication protocol.
    pub member: meadowstream_replication::member::Settings,
    /// Name of a budget that has a single unit. The server that holds a lease on this unit leads the
    /// replicated log.
    pub lease: &'static str,
}

/// Settings that are equal on all servers of the fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Membership settings.
    pub membership: meadowstream_membership::Settings,
    /// Shared state settings.
    pub shared_state: meadowstream_shared_state::Settings,
    /// Replication settings; `None` disables replicated configuration.
    pub replication: Option<ReplicationSettings>,
}

/// A server of the fleet model.
pub struct ModelServer {
    /// Membership protocol of the server.
    pub membership: Membership,
    /// Shared state of the server: counters, budgets and leases.
    pub shared_state: SharedState,
    /// Replication protocol of the server, for replicated configuration; `None` if replication is disabled.
    pub replication: Option<Member>,
    /// Name of the lease whose holder leads the replicated log; empty without replication.
    lease: &'static str,
    /// Addresses of the other servers by name.
    directory: Directory,
    /// Simulated time in nanoseconds at which the timers of shared state are next due.
    shared_state_due: Nanos,
    /// CPU time and network traffic of this server since its start.
    pub costs: Costs,
}

impl ModelServer {
    /// Creates a server that has not joined the fleet yet. `now` is the simulated time in nanoseconds.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn new(
        name: &str,
        addr: SocketAddr,
        settings: &Settings,
        seed: u64,
        now: Nanos,
    ) -> Result<ModelServer, ModelError> {
        let unix = START_NS + now;
        let member_id = MemberId { name: name.to_string(), addr, incarnation: unix };
        let server_id = ServerId { name: name.to_string(), incarnation: unix };
        let shared_state = settings.shared_state.clone();
        let replication = match &settings.replication {
            Some(replication) => Some(Member::new(name, replication.member.clone(), seed, unix, None)?),
            None => None,
        };
        Ok(ModelServer {
            membership: Membership::new(member_id, &settings.membership, seed, now)?,
            shared_state: SharedState::new(server_id, shared_state, seed, Self::reading(now))?,
            replication,
            lease: settings.replication.as_ref().map_or("", |replication| replication.lease),
            directory: Directory::default(),
            shared_state_due: now,
            costs: Costs::default(),
        })
    }

    /// Converts the simulated time `now` to a clock reading in the form that shared state uses.
    fn reading(now: Nanos) -> Reading {
        Reading { monotonic: now, wall: START_NS + now }
    }

    /// Handles a datagram received from the address `from`.
    pub fn receive(&mut self, from: SocketAddr, datagram: &[u8], now: Nanos) {
        let started = thread_time_ns();
        // The result is ignored. A rejected datagram has no effect except the CPU time spent on it, which is
        // counted.
        let _ = self.membership.handle_datagram(from, datagram, now);
        let bodies = self.membership.take_shared_state();
        let membership_done = thread_time_ns();
        self.costs.membership.processor_ns += membership_done - started;
        if bodies.is_empty() {
            return;
        }
        for body in bodies {
            let _ = self.shared_state.receive(Self::reading(now), &body);
        }
        let others = self.shared_state.take_received();
        self.send_shared_state(now);
        let shared_state_done = thread_time_ns();
        self.costs.shared_state.processor_ns += shared_state_done - membership_done;
        if others.is_empty() {
            return;
        }
        let Some(member) = &mut self.replication else { return };
        for other in others.iter().filter(|other| other.topic == REPLICATION) {
            member.receive(START_NS + now, &other.from.name, &other.body);
        }
        self.drive_replication(now);
        self.costs.replication.processor_ns += thread_time_ns() - shared_state_done;
    }

    /// Carries out the actions that the replication protocol requests, such as saving state and sending
    /// messages. In the model, writing state to disk and applying a revision succeed immediately.
    fn drive_replication(&mut self, now: Nanos) {
        let unix = START_NS + now;
        let holds_lease = self.request_lease();
        let Some(member) = &mut self.replication else { return };
        if member.is_replica() {
            member.set_holds_lease(holds_lease);
        }
        if unix >= member.next_due() {
            member.advance(unix, self.directory.names());
        }
        while let Some(state) = member.unsaved_state() {
            member.on_persisted(&state, unix);
        }
        if let Some(snapshot) = member.next_to_apply() {
            member.on_applied(snapshot.number(), unix);
        }
        for outgoing in member.take_outgoing() {
            self.send_replication(outgoing, now);
        }
    }

    /// Requests the lease whose holder leads the replicated log. Returns whether this server holds the lease.
    /// A server that is not a replica never requests the lease, and the result is false.
    fn request_lease(&mut self) -> bool {
        if !self.replication.as_ref().is_some_and(Member::is_replica) {
            return false;
        }
        let time = self.shared_state.time();
        let mut budgets = self.shared_state.budgets.iter_mut();
        let lease = budgets.find(|budget| budget.settings().name == self.lease);
        lease.is_some_and(|lease| {
            lease.set_demand(1, 0);
            lease.allowance(time).leased > 0
        })
    }

    /// Sends a replication message. The message is transported as the body of a shared state message.
    fn send_replication(&mut self, Outgoing { to, body }: Outgoing, now: Nanos) {
        let sent_before = self.shared_state.messages.sent_bytes;
        self.shared_state.send_other(&to, REPLICATION, body);
        let bytes = self.shared_state.messages.sent_bytes - sent_before;
        let Some((_, body)) = self.shared_state.take_outgoing().pop() else { return };
        if let Some(address) = self.directory.address(&to) {
            self.costs.replication.datagrams += 1;
            self.costs.replication.bytes += bytes + ENVELOPE_BYTES;
            self.membership.send_shared_state(address, &body, now);
        }
    }

    /// Runs all timers of this server that are due at `now`.
    pub fn advance(&mut self, now: Nanos) {
        let started = thread_time_ns();
        self.membership.handle_timeout(now);
        self.membership.take_changes();
        let membership_done = thread_time_ns();
        self.costs.membership.processor_ns += membership_done - started;
        if now >= self.shared_state_due {
            self.shared_state_due = now + self.shared_state.due_in();
            self.directory.refresh(&self.membership, now);
            self.shared_state.advance(Self::reading(now), self.directory.names());
            self.send_shared_state(now);
            self.costs.shared_state.processor_ns += thread_time_ns() - membership_done;
        }
        let shared_state_done = thread_time_ns();
        if self.replication.as_ref().is_some_and(|member| START_NS + now >= member.next_due()) {
            self.drive_replication(now);
            self.costs.replication.processor_ns += thread_time_ns() - shared_state_done;
        }
    }

    /// Sends the pending messages of shared state. Counts the datagrams and bytes as costs of shared state.
    fn send_shared_state(&mut self, now: Nanos) {
        for (name, body) in self.shared_state.take_outgoing() {
            if let Some(to) = self.directory.address(&name) {
                self.costs.shared_state.datagrams += 1;
                self.costs.shared_state.bytes += body.len() as u64 + ENVELOPE_BYTES;
                self.membership.send_shared_state(to, &body, now);
            }
        }
    }

    /// Returns how many units this server holds by lease from the first shared budget; 0 if there is no
    /// budget.
    pub fn leased(&self) -> u64 {
        let time = self.shared_state.time();
        self.shared_state.budgets.first().map_or(0, |budget| budget.allowance(time).leased)
    }

    /// Returns the simulated time in nanoseconds at which the next timer of this server is due.
    /// [`ModelServer::advance`] must be called at this time.
    pub fn next_due(&self) -> Nanos {
        let membership = self.membership.poll_timeout().unwrap_or(Nanos::MAX);
        let replication = self.replication.as_ref().map_or(Nanos::MAX, Member::next_due);
        membership.min(self.shared_state_due).min(replication.saturating_sub(START_NS))
    }

    /// Removes the pending outgoing datagrams of this server and returns them.
    pub fn take_outgoing(&mut self) -> Vec<Transmit> {
        let outgoing = self.membership.take_transmits();
        let counts = self.membership.counts();
        // The counts of the membership protocol include the datagrams and bytes of shared state and
        // replication. These datagrams and bytes are subtracted here.
        let others = [self.costs.shared_state, self.costs.replication];
        let datagrams: u64 = others.iter().map(|cost| cost.datagrams).sum();
        let bytes: u64 = others.iter().map(|cost| cost.bytes).sum();
        self.costs.membership.datagrams = counts.sent - datagrams;
        self.costs.membership.bytes = counts.sent_bytes - bytes;
        outgoing
    }
}
