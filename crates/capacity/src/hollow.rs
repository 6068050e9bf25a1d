//! One hollow server: the cores that a real one runs for the fleet, with nothing to serve, driven by
//! datagrams and time. What it sends goes out by address, sealed as a real one's.

use crate::meter::{Costs, thread_time};
use meadowstream_membership::directory::Directory;
use meadowstream_membership::envelope::{HEADER_BYTES, TAG_BYTES};
use meadowstream_membership::{MemberId, Membership, Nanos, Transmit};
use meadowstream_replication::member::{Member, Outgoing};
use meadowstream_shared_state::clock::Reading;
use meadowstream_shared_state::{REPLICATION, ServerId, SharedState};
use std::net::SocketAddr;

/// Seconds of simulated time begin here, as Unix nanoseconds: incarnations are start times.
pub const EPOCH: Nanos = 1_700_000_000_000_000_000;

/// What every server of the fleet is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    pub membership: meadowstream_membership::Settings,
    pub shared_state: meadowstream_shared_state::Settings,
    /// Replicated configuration; off where absent. The replicas hold the lease of this name in turn.
    pub replication: Option<(meadowstream_replication::member::Settings, &'static str)>,
}

pub struct Hollow {
    pub membership: Membership,
    pub shared_state: SharedState,
    pub replication: Option<Member>,
    lease: &'static str,
    directory: Directory,
    shared_due: Nanos,
    pub costs: Costs,
}

/// Bytes that the envelope adds to a body.
const ENVELOPE: u64 = (HEADER_BYTES + TAG_BYTES) as u64;

impl Hollow {
    /// Settings that the cores refuse are an error that names them.
    pub fn new(
        name: &str,
        addr: SocketAddr,
        settings: &Settings,
        seed: u64,
        now: Nanos,
    ) -> Result<Hollow, String> {
        let me = MemberId { name: name.to_string(), addr, incarnation: EPOCH + now };
        let who = ServerId { name: name.to_string(), incarnation: EPOCH + now };
        let replication = settings
            .replication
            .as_ref()
            .map(|(settings, _)| Member::new(name, settings.clone(), seed, EPOCH + now, None));
        Ok(Hollow {
            membership: Membership::new(me, &settings.membership, seed, now)
                .map_err(|fault| fault.to_string())?,
            shared_state: SharedState::new(who, settings.shared_state.clone(), seed, Self::reading(now))
                .map_err(|fault| fault.to_string())?,
            replication: replication.transpose().map_err(|fault| fault.to_string())?,
            lease: settings.replication.as_ref().map_or("", |(_, lease)| lease),
            directory: Directory::default(),
            shared_due: now,
            costs: Costs::default(),
        })
    }

    fn reading(now: Nanos) -> Reading {
        Reading { monotonic: now, wall: EPOCH + now }
    }

    pub fn receive(&mut self, from: SocketAddr, datagram: &[u8], now: Nanos) {
        let began = thread_time();
        let _ = self.membership.handle_datagram(from, datagram, now);
        let carried = self.membership.take_shared_state();
        let opened = thread_time();
        self.costs.membership.processor += opened - began;
        if carried.is_empty() {
            return;
        }
        for body in carried {
            let _ = self.shared_state.receive(Self::reading(now), &body);
        }
        let others = self.shared_state.take_received();
        self.send_shared_state(now);
        let shared = thread_time();
        self.costs.shared_state.processor += shared - opened;
        if let Some(member) = self.replication.as_mut().filter(|_| !others.is_empty()) {
            let bodies = others.iter().filter(|other| other.topic == REPLICATION);
            bodies.for_each(|other| member.receive(EPOCH + now, &other.from.name, &other.body));
            self.play_replication(now);
            self.costs.replication.processor += thread_time() - shared;
        }
    }

    /// What a host does: the lease, what is to be written, what is to be in force, what is to be sent.
    /// Nothing is really written or checked.
    fn play_replication(&mut self, now: Nanos) {
        let Some(member) = &mut self.replication else { return };
        let unix = EPOCH + now;
        if member.is_replica() {
            let time = self.shared_state.time();
            let lease =
                self.shared_state.budgets.iter_mut().find(|budget| budget.settings().name == self.lease);
            let holds = lease.is_some_and(|lease| {
                lease.set_demand(1, 0);
                lease.allowance(time).leased > 0
            });
            member.set_holds_lease(holds);
        }
        if unix >= member.next_due() {
            member.advance(unix, self.directory.names());
        }
        while let Some(saved) = member.unsaved_state() {
            member.on_persisted(&saved, unix);
        }
        if let Some(snapshot) = member.next_to_apply() {
            member.on_applied(snapshot.number(), unix);
        }
        for Outgoing { to, body } in member.take_outgoing() {
            let before = self.shared_state.messages.sent_bytes;
            self.shared_state.send_other(&to, REPLICATION, body);
            let size = self.shared_state.messages.sent_bytes - before;
            let Some((_, body)) = self.shared_state.take_outgoing().pop() else { continue };
            if let Some(address) = self.directory.address(&to) {
                self.costs.replication.datagrams += 1;
                self.costs.replication.bytes += size + ENVELOPE;
                self.membership.send_shared_state(address, &body, now);
            }
        }
    }

    /// Does what is due by `now`.
    pub fn advance(&mut self, now: Nanos) {
        let began = thread_time();
        self.membership.handle_timeout(now);
        self.membership.take_changes();
        let advanced = thread_time();
        self.costs.membership.processor += advanced - began;
        if now >= self.shared_due {
            self.shared_due = now + self.shared_state.due_in();
            self.directory.refresh(&self.membership, now);
            self.shared_state.advance(Self::reading(now), self.directory.names());
            self.send_shared_state(now);
            self.costs.shared_state.processor += thread_time() - advanced;
        }
        let shared = thread_time();
        if self.replication.as_ref().is_some_and(|member| EPOCH + now >= member.next_due()) {
            self.play_replication(now);
            self.costs.replication.processor += thread_time() - shared;
        }
    }

    fn send_shared_state(&mut self, now: Nanos) {
        for (name, body) in self.shared_state.take_outgoing() {
            if let Some(to) = self.directory.address(&name) {
                self.costs.shared_state.datagrams += 1;
                self.costs.shared_state.bytes += body.len() as u64 + ENVELOPE;
                self.membership.send_shared_state(to, &body, now);
            }
        }
    }

    /// Units of the shared budget that it holds by a lease.
    pub fn leased(&self) -> u64 {
        let time = self.shared_state.time();
        self.shared_state.budgets.first().map_or(0, |budget| budget.allowance(time).leased)
    }

    pub fn next_due(&self) -> Nanos {
        let replication = self.replication.as_ref().map_or(Nanos::MAX, Member::next_due);
        let replication = replication.saturating_sub(EPOCH);
        self.membership.poll_timeout().unwrap_or(Nanos::MAX).min(self.shared_due).min(replication)
    }

    /// Datagrams to send since the last call.
    pub fn outgoing(&mut self) -> Vec<Transmit> {
        let outgoing = self.membership.take_transmits();
        let counts = self.membership.counts();
        // What is neither shared state nor configuration is the membership's own.
        let others = [self.costs.shared_state, self.costs.replication];
        self.costs.membership.datagrams = counts.sent - others.iter().map(|cost| cost.datagrams).sum::<u64>();
        self.costs.membership.bytes = counts.sent_bytes - others.iter().map(|cost| cost.bytes).sum::<u64>();
        outgoing
    }
}
