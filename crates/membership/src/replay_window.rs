//! Replay protection: each authentic datagram is accepted at most once. A sliding window of sequence numbers
//! is kept for each sender (the anti-replay window of RFC 4303, section 3.4.3).

use crate::Nanos;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Size of a replay window, in sequence numbers. A datagram whose sequence number is this much or more below
/// the highest one received from the sender is rejected.
const WINDOW: u64 = 64;

/// Replay windows by sender address. Their number is limited: the window of the least recently active sender
/// is evicted to make space.
#[derive(Debug, Default)]
pub struct ReplayWindows {
    windows: HashMap<SocketAddr, ReplayWindow>,
    limit: usize,
}

/// The sequence numbers received from one sender in its highest incarnation.
#[derive(Debug, Clone, Copy)]
struct ReplayWindow {
    incarnation: u64,
    /// Highest sequence number received.
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` has been received.
    received: u64,
    /// When a datagram was last received from the sender in the window's incarnation.
    last_received_at: Nanos,
}

impl ReplayWindow {
    /// Creates a window that ends at `highest` and in which no sequence number has been received.
    fn new(incarnation: u64, highest: u64, last_received_at: Nanos) -> ReplayWindow {
        ReplayWindow { incarnation, highest, received: 0, last_received_at }
    }

    /// Checks a received sequence number, and records it if it is accepted. Returns whether it is accepted:
    /// it must be within or after the window, and not received before.
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
    /// Creates an empty set of windows for at most `limit` senders; a limit of 0 counts as 1.
    pub fn new(limit: usize) -> ReplayWindows {
        ReplayWindows { windows: HashMap::new(), limit: limit.max(1) }
    }

    /// Checks a datagram received from the address `from`, and records it if it is new. Returns whether the
    /// datagram is new; otherwise it is a replay. A datagram with an earlier incarnation than one already
    /// received from the address also counts as a replay. `now` is recorded as the time of the sender's last
    /// activity; the least recently active sender is evicted first.
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
