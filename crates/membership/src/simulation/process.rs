//! The simulated process of one member. The process is running or stalled, or it does not exist.

use crate::{Membership, Nanos, Transmit};
use std::net::SocketAddr;

/// Maximum number of datagrams in the socket buffer of a stalled process. Further datagrams are lost, as with
/// a full receive buffer of an operating system.
const SOCKET_BUFFER_MAX: usize = 256;

/// A datagram that arrives at a simulated process at the time `at`.
pub(super) struct Arrival {
    pub(super) at: Nanos,
    pub(super) from: SocketAddr,
    pub(super) datagram: Vec<u8>,
}

/// Datagrams that a simulated process sent at the time `at`.
pub(super) struct Sent {
    pub(super) at: Nanos,
    pub(super) transmits: Vec<Transmit>,
}

#[derive(Default)]
pub(super) struct Process {
    /// The membership state machine that the process runs; `None` while the process does not exist.
    pub(super) membership: Option<Membership>,
    pub(super) is_stalled: bool,
    /// The incarnation that the process had at its last start.
    pub(super) incarnation: u64,
    socket_buffer: Vec<(SocketAddr, Vec<u8>)>,
}

impl Process {
    pub(super) fn start(&mut self, membership: Membership, incarnation: u64) {
        self.membership = Some(membership);
        self.incarnation = incarnation;
        self.is_stalled = false;
        self.socket_buffer.clear();
    }

    pub(super) fn crash(&mut self) {
        self.membership = None;
        self.socket_buffer.clear();
    }

    /// Continues a stalled process: overdue timers fire first, then the buffered datagrams are handled.
    pub(super) fn resume(&mut self, now: Nanos) {
        self.is_stalled = false;
        let buffered = std::mem::take(&mut self.socket_buffer);
        let Some(membership) = self.membership.as_mut() else { return };
        membership.handle_timeout(now);
        for (from, datagram) in buffered {
            let _ = membership.handle_datagram(from, &datagram, now);
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.membership.is_some() && !self.is_stalled
    }

    /// Returns the member's next deadline; `None` if the process does not exist.
    pub(super) fn next_timeout(&self) -> Option<Nanos> {
        self.membership.as_ref().and_then(Membership::poll_timeout)
    }

    /// Returns the member's current incarnation. It can be higher than at the last start: a running member
    /// that the fleet has declared down rejoins with a higher incarnation.
    pub(super) fn current_incarnation(&self) -> u64 {
        self.membership.as_ref().map_or(self.incarnation, |membership| membership.identity().incarnation)
    }

    /// Handles a datagram, and returns whether the datagram was handled. A stalled process buffers the
    /// datagram instead. If the process does not exist, the datagram is lost.
    pub(super) fn receive(&mut self, from: SocketAddr, datagram: Vec<u8>, now: Nanos) -> bool {
        let Some(membership) = self.membership.as_mut() else { return false };
        if !self.is_stalled {
            let _ = membership.handle_datagram(from, &datagram, now);
            return true;
        }
        if self.socket_buffer.len() < SOCKET_BUFFER_MAX {
            self.socket_buffer.push((from, datagram));
        }
        false
    }

    /// Runs the process for one time window. Until `end`, handles arriving datagrams and due timers in the
    /// order of their times. Returns the datagrams that the process sent.
    pub(super) fn run_window(&mut self, now: Nanos, end: Nanos, arrivals: Vec<Arrival>) -> Vec<Sent> {
        if self.is_stalled {
            for arrival in arrivals {
                self.receive(arrival.from, arrival.datagram, arrival.at);
            }
            return Vec::new();
        }
        let Some(membership) = self.membership.as_mut() else { return Vec::new() };
        let mut sent = Vec::new();
        let mut arrivals = arrivals.into_iter().peekable();
        loop {
            let timeout = membership.poll_timeout().filter(|timeout| *timeout < end);
            let latest = timeout.unwrap_or(Nanos::MAX);
            let at = if let Some(arrival) = arrivals.next_if(|arrival| arrival.at <= latest) {
                let _ = membership.handle_datagram(arrival.from, &arrival.datagram, arrival.at);
                arrival.at
            } else if let Some(timeout) = timeout {
                let at = timeout.max(now);
                membership.handle_timeout(at);
                at
            } else {
                return sent;
            };
            let transmits = membership.take_transmits();
            if !transmits.is_empty() {
                sent.push(Sent { at, transmits });
            }
        }
    }
}
