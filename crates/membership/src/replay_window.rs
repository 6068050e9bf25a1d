//! Replay protection: each authentic datagram is accepted at most once. A sliding window of sequence numbers
//! is kept for each sender (the anti-replay window of RFC 4303, section 3.4.3).

use crate::Nanos;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Size of the window: number of sequence numbers, up to the highest one received, that can still be
/// accepted.
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
    /// When a datagram was last received from the sender, not counting those of earlier incarnations.
    last_received_at: Nanos,
}

impl ReplayWindow {
    /// Creates a window that ends at `highest` and in which no sequence number has been received.
    fn new(incarnation: u64, highest: u64, last_received_at: Nanos) -> ReplayWindow {
        ReplayWindow { incarnation, highest, received: 0, last_received_at }
    }

    /// Whether the sequence number is within or after the window and has not been received yet. If so,
    /// records it.
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

    /// Whether a datagram with this incarnation and sequence number is accepted as new from the address; if
    /// so, records it. A datagram of an earlier incarnation than one already received is a replay. `now`
    /// determines the order of evictions.
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
