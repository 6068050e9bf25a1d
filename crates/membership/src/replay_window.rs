//! Replay protection: each authentic datagram is accepted at most once. For each sender, a sliding window
//! records which of the latest sequence numbers have been received (the anti-replay window of RFC 4303,
//! section 3.4.3).

use crate::Nanos;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Size of a replay window, in sequence numbers. A datagram is rejected if its sequence number is this much
/// or more below the highest number received from the same sender.
const WINDOW: u64 = 64;

/// Replay windows, indexed by the sender's address. The number of windows is limited: when the limit is
/// reached, a new window replaces the window of the least recently active sender.
#[derive(Debug, Default)]
pub struct ReplayWindows {
    windows: HashMap<SocketAddr, ReplayWindow>,
    limit: usize,
}

/// Records which sequence numbers were received from one sender. Covers only the highest incarnation received
/// from this sender.
#[derive(Debug, Clone, Copy)]
struct ReplayWindow {
    incarnation: u64,
    /// Highest sequence number received from the sender's latest incarnation.
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` has been received.
    received: u64,
    /// Time at which the last datagram from the sender's latest incarnation was received.
    last_received_at: Nanos,
}

impl ReplayWindow {
    /// Creates a window whose highest sequence number is `highest`. No number is recorded as received yet,
    /// not even `highest`.
    fn new(incarnation: u64, highest: u64, last_received_at: Nanos) -> ReplayWindow {
        ReplayWindow { incarnation, highest, received: 0, last_received_at }
    }

    /// Checks a received sequence number, and returns whether it is accepted. A number is rejected if it was
    /// received before or is too old for the window. An accepted number is recorded as received.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.received = if shift >= WINDOW { 0 } else { self.received << shift };
            self.highest = sequence;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW || self.received & (1 << behind) != 0 {
            return false;
        }
        self.received |= 1 << behind;
        true
    }
}

impl ReplayWindows {
    /// Creates an empty set of windows for at most `limit` senders. If `limit` is 0, the limit is 1.
    pub fn new(limit: usize) -> ReplayWindows {
        ReplayWindows { windows: HashMap::new(), limit: limit.max(1) }
    }

    /// Returns true if a datagram from the address `from` is new, and records it as received. Returns false
    /// for a replay. A datagram also counts as a replay if its incarnation is lower than one already received
    /// from this address. Every datagram of the current or a higher incarnation sets the time of the sender's
    /// last activity to `now`. If a new sender would exceed the maximum number of windows, the window of the
    /// least recently active sender is evicted.
    pub fn accept(&mut self, from: SocketAddr, incarnation: u64, sequence: u64, now: Nanos) -> bool {
        if !self.windows.contains_key(&from) && self.windows.len() >= self.limit {
            self.evict_oldest();
        }
        let new_window = ReplayWindow::new(incarnation, sequence, now);
        let window = self.windows.entry(from).or_insert(new_window);
        if incarnation < window.incarnation {
            return false;
        }
        if incarnation > window.incarnation {
            *window = new_window;
        }
        window.last_received_at = now;
        window.accept(sequence)
    }

    fn evict_oldest(&mut self) {
        let oldest = self.windows.iter().min_by_key(|(_, window)| window.last_received_at);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.windows.remove(&address);
        }
    }
}
