//! Exchange of shared state, replicated configuration and rollout messages with the other members. Runs as a
//! part of the membership task.

use crate::event::Event;
use crate::fleet::replication::Replication;
use crate::fleet::rollout;
use crate::fleet::shared_state::{LocalSharedState, SharedStatus};
use crate::server::Server;
use meadowstream_membership::directory::Directory;
use meadowstream_membership::{Membership, Nanos};
use meadowstream_rollout::wire;
use meadowstream_shared_state::{
    REPLICATION, ROLLOUT_ORDERS, ROLLOUT_REPORTS, ServerId, VERSION_ANNOUNCEMENTS,
};
use std::rc::Rc;
use tracing::info;

/// Interval, in nanoseconds, between two announcements of versions. In each announcement this server sends
/// its own version and some of the known versions of other servers to one member.
const ANNOUNCE_EVERY_NS: Nanos = 200_000_000;
/// Maximum time between two log lines about the shared state, in nanoseconds.
const LOG_EVERY_NS: Nanos = 500_000_000;

/// State that the exchange with other members keeps between two calls of [`Sharing::advance`].
#[derive(Default)]
pub struct Sharing {
    /// Client of replicated configuration; `None` if the options do not enable replicated configuration.
    replication: Option<Replication>,
    directory: Directory,
    /// Time at which [`Sharing::advance`] must be called next if no message arrives, in Unix nanoseconds.
    pub due: Nanos,
    logged: SharedStatus,
    logged_at: Nanos,
    announced_at: Nanos,
}

impl Sharing {
    /// Creates the state of the exchange with other members when the membership task starts.
    pub fn new(replication: Option<Replication>) -> Self {
        Self { replication, ..Self::default() }
    }

    /// Handles received messages. If a message was received or the time [`Sharing::due`] was reached, also
    /// advances replicated configuration and shared state, announces versions, and writes the log.
    pub fn advance(&mut self, server: &Rc<Server>, membership: &mut Membership, now: Nanos) {
        let Some(shared) = &server.shared else {
            self.due = Nanos::MAX;
            return;
        };
        let received = membership.take_shared_state();
        let has_received = !received.is_empty();
        shared.receive(received);
        for (from, topic, body) in shared.take_received() {
            self.handle(server, shared, &from, topic, &body, now);
        }
        if now < self.due && !has_received {
            return;
        }
        self.directory.refresh(membership, now);
        if let Some(replication) = &mut self.replication {
            replication.advance(server, shared, &self.directory, now);
        }
        let replication_due =
            self.replication.as_ref().map_or(Nanos::MAX, |replication| replication.due(now));
        self.due = (now + shared.due_in()).min(replication_due);
        self.announce_versions(server, shared, now);
        self.advance_shared(server, shared, membership, now);
        self.log(shared, now);
    }

    fn handle(
        &mut self,
        server: &Rc<Server>,
        shared: &LocalSharedState,
        from: &ServerId,
        topic: u16,
        body: &[u8],
        now: Nanos,
    ) {
        if topic == REPLICATION
            && let Some(replication) = &mut self.replication
        {
            replication.receive(&from.name, body, now);
        }
        let Some(rollout) = &server.rollout else { return };
        if topic == VERSION_ANNOUNCEMENTS
            && let Some(versions) = wire::decode(body)
        {
            rollout.versions.borrow_mut().merge(versions);
        }
        if topic == ROLLOUT_ORDERS
            && let Some(order) = wire::decode::<wire::Order>(body)
            && let Some(report) = rollout::handle_order(server, rollout, order)
        {
            shared.send_other(&from.name, ROLLOUT_REPORTS, wire::encode(&report));
        }
    }

    /// Announces versions to one member of the fleet: the program version and the settings hash of this
    /// server and of some other known servers.
    ///
    /// Successive announcements are sent to all members in turn. The first member depends on this server's
    /// incarnation, so that servers do not all announce to the same member at once.
    fn announce_versions(&mut self, server: &Server, shared: &LocalSharedState, now: Nanos) {
        let Some(rollout) = &server.rollout else { return };
        if now < self.announced_at + ANNOUNCE_EVERY_NS {
            return;
        }
        self.announced_at = now;
        let mut versions = rollout.versions.borrow_mut();
        versions.retain(|name| self.directory.address(name).is_some());
        let alive = self.directory.names();
        if alive.is_empty() {
            return;
        }
        let round = (now / ANNOUNCE_EVERY_NS).wrapping_add(versions.own().incarnation);
        let member = &alive[round as usize % alive.len()];
        shared.send_other(member, VERSION_ANNOUNCEMENTS, wire::encode(&versions.announcement(now)));
    }

    fn advance_shared(
        &self,
        server: &Server,
        shared: &LocalSharedState,
        membership: &mut Membership,
        now: Nanos,
    ) {
        let advanced = shared.advance(self.directory.names(), &server.counters);
        for (name, body) in advanced.outgoing {
            if let Some(to) = self.directory.address(&name) {
                membership.send_shared_state(to, &body, now);
            }
        }
        if advanced.has_capacity {
            // If the queue is full, the event is dropped. A full queue contains other events for the
            // controller. While the controller handles these events, it checks whether calls are permitted.
            let _ = server.events.try_send(Event::DownstreamCapacity);
        }
    }

    /// Logs the state that the fleet shares. A line is logged if the leases or the ejected services have
    /// changed, and otherwise at regular intervals.
    fn log(&mut self, shared: &LocalSharedState, now: Nanos) {
        let status = shared.status();
        let compared = |s: &SharedStatus| (s.floor, s.leased, s.is_grantor, s.ejected.clone());
        if compared(&status) == compared(&self.logged) && now < self.logged_at + LOG_EVERY_NS {
            return;
        }
        let (totals, tally) = shared.totals();
        let tier = shared.tier_status();
        let ejected = serde_json::to_string(&status.ejected).unwrap_or_default();
        info!(target: "fleet", floor = status.floor, leased = status.leased, uses = status.in_use,
            gives = status.is_grantor, outstanding = status.outstanding, ejected, services = tier.services,
            routed = tier.routed, totals, tally, "shared");
        (self.logged, self.logged_at) = (status, now);
    }
}
