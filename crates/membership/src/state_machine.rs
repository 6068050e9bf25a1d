//! The public methods of the membership state machine. Through them, the caller passes in inputs and takes
//! outputs.

use crate::envelope::{DropReason, PayloadKind};
use crate::messages::AntiEntropyMessage;
use crate::runtime::FocaEffects;
use crate::view::ViewChange;
use crate::{MemberId, Membership, Nanos, Transmit};
use foca::{Member, Timer};
use std::net::SocketAddr;

/// Maximum number of received bodies of the application's shared state that are kept until the caller takes
/// them. Further received bodies are dropped.
const SHARED_STATE_BODIES_MAX: usize = 1024;

impl Membership {
    /// Joins the fleet by announcing this server to the seeds. While this server knows no other member, the
    /// announcement is repeated. The first repetition follows after a probe period. The interval then doubles
    /// each time, up to the announce period.
    pub fn join(&mut self, seeds: &[SocketAddr], now: Nanos) {
        self.now = self.now.max(now);
        let own = self.identity().addr;
        let others = seeds.iter().copied().filter(|seed| *seed != own);
        self.rejoin.start(others.collect(), self.probe_period);
        self.announce_to_seeds();
    }

    /// Adds members to the view as alive, without gossip about them. Used by a server that has kept its view
    /// across a restart. If a restored state is out of date, probes and gossip correct it.
    pub fn restore(&mut self, members: impl Iterator<Item = MemberId>, now: Nanos) {
        self.now = self.now.max(now);
        let own = self.identity().addr;
        let mut effects = FocaEffects::default();
        let others = members.filter(|id| id.addr != own).map(Member::alive);
        // Errors can be ignored: if foca does not apply a member, this server learns of the member from other
        // members later.
        let _ = self.foca.apply_many(others, false, &mut effects);
        self.apply(effects);
    }

    /// Announces to the fleet that this server leaves. The other members then record it as down at once.
    /// Without the announcement, they would detect its absence only by probes and after the suspicion time.
    pub fn leave(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        let mut effects = FocaEffects::default();
        // Errors can be ignored: members that do not receive the announcement detect the absence of this
        // server by their probes.
        let _ = self.foca.leave_cluster(&mut effects);
        self.apply(effects);
    }

    /// Handles a datagram received from the address `from`.
    ///
    /// # Errors
    /// If the datagram is dropped, returns the reason. Dropped datagrams are also counted by reason.
    pub fn handle_datagram(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        now: Nanos,
    ) -> Result<(), DropReason> {
        self.now = self.now.max(now);
        self.counts.received += 1;
        self.counts.received_bytes += datagram.len() as u64;
        let result = self.open_and_handle(from, datagram);
        if let Err(reason) = result {
            self.counts.count_dropped(reason);
        }
        result
    }

    fn open_and_handle(&mut self, from: SocketAddr, datagram: &[u8]) -> Result<(), DropReason> {
        let opened = self.sealer.open(datagram)?;
        if !self.replay_windows.accept(from, opened.incarnation, opened.sequence, self.now) {
            return Err(DropReason::Replay);
        }
        match opened.kind {
            PayloadKind::Swim => self.handle_swim(opened.body),
            PayloadKind::AntiEntropy => {
                let message = AntiEntropyMessage::decode(opened.body).ok_or(DropReason::Protocol)?;
                self.handle_anti_entropy(message)
            }
            PayloadKind::SharedState => {
                if self.shared_state_bodies.len() >= SHARED_STATE_BODIES_MAX {
                    return Err(DropReason::Protocol);
                }
                self.shared_state_bodies.push(opened.body.to_vec());
                Ok(())
            }
        }
    }

    fn handle_swim(&mut self, body: &[u8]) -> Result<(), DropReason> {
        let mut effects = FocaEffects::default();
        let handled = self.foca.handle_data(body, &mut effects);
        self.apply(effects);
        handled.map_err(|_| DropReason::Protocol)
    }

    /// Performs all work whose deadline is at or before `now`.
    pub fn handle_timeout(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        self.rejoin_if_due();
        self.fire_timers();
        self.expire_suspicions_if_due();
        if self.now >= self.anti_entropy_at {
            self.start_anti_entropy();
        }
        self.notify_suspects();
    }

    /// Fires foca's timers that are due. If the send budget does not allow a gossip round, the round is
    /// postponed by one gossip period.
    fn fire_timers(&mut self) {
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().deadline > self.now {
                break;
            }
            let timer = entry.remove();
            if matches!(timer, Timer::PeriodicGossip(_)) && !self.may_gossip() {
                self.schedule(self.now.saturating_add(self.budget.gossip_period()), timer);
                continue;
            }
            let mut effects = FocaEffects::default();
            // Errors can be ignored: if handling a timer fails, foca still starts the next probe round by
            // itself.
            let _ = self.foca.handle_timer(timer, &mut effects);
            self.apply(effects);
        }
    }

    /// Returns the time at which [`Membership::handle_timeout`] is to be called next. The result is never
    /// `None`, since the next anti-entropy exchange always has a deadline. It is an `Option` so that callers
    /// can easily combine the deadline with other deadlines.
    pub fn poll_timeout(&self) -> Option<Nanos> {
        let timer = self.timers.keys().next().map(|key| key.deadline);
        let deadlines =
            [timer, self.rejoin.deadline(), self.suspicions.deadline(), Some(self.anti_entropy_at)];
        deadlines.into_iter().flatten().min()
    }

    /// Sends a body of the application's shared state. This crate does not interpret the body. A body longer
    /// than [`Membership::body_max`] is not sent, but counted in
    /// [`Counts::unsendable`](crate::Counts::unsendable).
    pub fn send_shared_state(&mut self, to: SocketAddr, body: &[u8], now: Nanos) {
        self.now = self.now.max(now);
        self.send(to, PayloadKind::SharedState, body);
    }

    /// Removes and returns the bodies of the application's shared state that were received since the last
    /// call.
    pub fn take_shared_state(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.shared_state_bodies)
    }

    /// Maximum length of a body passed to [`Membership::send_shared_state`], in bytes.
    pub fn body_max(&self) -> usize {
        self.sealer.body_max()
    }

    /// Removes and returns the datagrams that the caller is to send.
    pub fn take_transmits(&mut self) -> Vec<Transmit> {
        std::mem::take(&mut self.transmits)
    }

    /// Removes and returns the changes of the view since the last call.
    pub fn take_changes(&mut self) -> Vec<ViewChange> {
        std::mem::take(&mut self.changes)
    }
}
