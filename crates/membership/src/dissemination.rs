//! Sends datagrams within a budget of bytes per second. When the budget is used up, gossip and lists of
//! members are postponed. Probes, answers to probes, and verdicts (reports that a member is suspect or down)
//! are charged to the budget but never postponed, so that failure detection is not delayed.

use crate::envelope::{ENVELOPE_BYTES, PayloadKind};
use crate::settings::{GOSSIP_MEMBERS, Settings};
use crate::{Membership, Nanos, Transmit};
use meadowstream_rate_limit::SlidingWindow;
use std::net::SocketAddr;

/// Estimated size of one member update in a gossip packet, in bytes. Used to estimate the size of a gossip
/// round before the round is sent.
const UPDATE_BYTES: usize = 64;
/// The reserved part of the send budget is the whole budget divided by this number. Only failure detection
/// (probes, their answers and verdicts) may use the reserved part. Gossip and lists of members use the rest.
const RESERVE_DIVISOR: u64 = 8;

/// Limit on the bytes per second that this member sends as datagrams of the membership protocol.
pub(crate) struct SendBudget {
    window: SlidingWindow,
    bytes_per_second: u64,
    /// Maximum size of the body of a gossip packet, in bytes.
    gossip_packet_bytes: usize,
    gossip_period: Nanos,
}

impl SendBudget {
    pub(crate) fn new(settings: &Settings, now: Nanos) -> SendBudget {
        SendBudget {
            window: SlidingWindow::new(settings.bytes_per_second, now),
            bytes_per_second: settings.bytes_per_second,
            gossip_packet_bytes: settings.gossip_packet_bytes(),
            gossip_period: settings.gossip_period,
        }
    }

    pub(crate) fn gossip_period(&self) -> Nanos {
        self.gossip_period
    }

    /// Returns how many bytes gossip and lists of members may use now. This is the unused part of the budget
    /// minus the reserved part ([`RESERVE_DIVISOR`]).
    pub(crate) fn available(&mut self, now: Nanos) -> u64 {
        self.window.available(now).saturating_sub(self.bytes_per_second / RESERVE_DIVISOR)
    }

    fn charge(&mut self, bytes: u64, now: Nanos) {
        self.window.force_acquire(bytes, now);
    }

    /// Returns whether the budget allows a gossip round that sends `updates` member updates. The size of the
    /// packets is estimated from the number of updates, because packets with few updates are shorter than the
    /// maximum.
    fn allows_gossip(&mut self, updates: usize, now: Nanos) -> bool {
        let body = (UPDATE_BYTES * (updates + 1)).min(self.gossip_packet_bytes);
        let round = GOSSIP_MEMBERS * (body + ENVELOPE_BYTES);
        round as u64 <= self.available(now)
    }
}

impl Membership {
    pub(crate) fn may_gossip(&mut self) -> bool {
        self.budget.allows_gossip(self.foca.updates_backlog(), self.now)
    }

    /// Seals a body into a datagram and queues the datagram for sending. The datagram is charged to the send
    /// budget. Shared state is not charged, because the sender of shared state limits its traffic by a
    /// separate budget.
    pub(crate) fn send(&mut self, to: SocketAddr, kind: PayloadKind, body: &[u8]) {
        self.sequence += 1;
        let incarnation = self.identity().incarnation;
        let Some(datagram) = self.sealer.seal(kind, incarnation, self.sequence, body) else {
            self.counts.unsendable += 1;
            return;
        };
        let bytes = datagram.len() as u64;
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes;
        if kind != PayloadKind::SharedState {
            self.budget.charge(bytes, self.now);
        }
        self.transmits.push(Transmit { to, datagram });
    }
}
