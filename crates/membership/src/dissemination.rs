//! Sending within the bound on bytes a second. Gossip and lists of members wait for the budget; probes, their
//! answers and verdicts are charged to it but never wait, so that failure detection keeps its time.

use crate::envelope::{ENVELOPE_BYTES, PayloadKind};
use crate::settings::{GOSSIP_MEMBERS, Settings};
use crate::{Membership, Nanos, Transmit};
use meadowstream_rate_limit::SlidingWindow;
use std::net::SocketAddr;

/// Estimated size of one update of a member in a packet of gossip.
const UPDATE_BYTES: usize = 64;
/// The budget is divided by this for the part that only probes, answers and verdicts may use.
const RESERVE_DIVISOR: u64 = 8;

/// Bytes that the view's own datagrams may take in any second.
pub(crate) struct SendBudget {
    window: SlidingWindow,
    bytes_per_second: u64,
    /// Longest body of a packet of gossip, in bytes.
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

    /// Bytes that datagrams which may wait can take now, outside the reserve.
    pub(crate) fn available(&mut self, now: Nanos) -> u64 {
        self.window.available(now).saturating_sub(self.bytes_per_second / RESERVE_DIVISOR)
    }

    fn charge(&mut self, bytes: u64, now: Nanos) {
        self.window.force_acquire(bytes, now);
    }

    /// Whether a round of gossip with so many updates fits; with few updates its packets are short.
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

    /// Seals a body and queues the datagram. Shared state is not charged: its sender has a budget of its own.
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
