//! Replay protection: each authentic datagram is accepted once, by a sliding window of sequence numbers for
//! each sender (the anti-replay window of RFC 4303, 3.4.3).

use crate::Nanos;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Sequence numbers up to the highest one seen that are still accepted, once each.
const WINDOW: u64 = 64;

/// Replay windows by sender address. Their number is bounded; the sender heard from longest ago is evicted.
#[derive(Debug, Default)]
pub struct ReplayWindows {
    windows: HashMap<SocketAddr, ReplayWindow>,
    limit: usize,
}

/// The sequence numbers seen of one sender in its highest incarnation.
#[derive(Debug, Clone, Copy)]
struct ReplayWindow {
    incarnation: u64,
    /// Highest sequence number seen.
    highest: u64,
    /// Bit `n` is set where the sequence number `highest - n` has been seen.
    seen: u64,
    last_heard: Nanos,
}

impl ReplayWindow {
    /// A window in which nothing has been seen.
    fn new(incarnation: u64, highest: u64, last_heard: Nanos) -> ReplayWindow {
        ReplayWindow { incarnation, highest, seen: 0, last_heard }
    }

    /// Whether the sequence number is new in the window's incarnation; records it if so.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift >= WINDOW { 0 } else { self.seen << shift };
            self.highest = sequence;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW || self.seen & (1 << behind) != 0 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}

impl ReplayWindows {
    /// Windows of at most `limit` senders, one at least.
    pub fn new(limit: usize) -> ReplayWindows {
        ReplayWindows { windows: HashMap::new(), limit: limit.max(1) }
    }

    /// Whether a datagram with this incarnation and sequence number is the first such from the address. An
    /// incarnation older than one seen is a replay. `now` orders evictions.
    pub fn accept(&mut self, from: SocketAddr, incarnation: u64, sequence: u64, now: Nanos) -> bool {
        if !self.windows.contains_key(&from) && self.windows.len() >= self.limit {
            self.evict_oldest();
        }
        let fresh = ReplayWindow::new(incarnation, sequence, now);
        let window = self.windows.entry(from).or_insert(fresh);
        if incarnation < window.incarnation {
            return false;
        }
        if incarnation > window.incarnation {
            *window = fresh;
        }
        window.last_heard = now;
        window.accept(sequence)
    }

    fn evict_oldest(&mut self) {
        let oldest = self.windows.iter().min_by_key(|(_, window)| window.last_heard);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.windows.remove(&address);
        }
    }
}
