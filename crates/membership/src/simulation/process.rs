//! The simulated process of one member, which is running, is stalled, or does not exist.

use crate::{Membership, Nanos, Transmit};
use std::net::SocketAddr;

/// Maximum number of datagrams that the socket of a stalled process buffers. Further datagrams are lost, as
/// with a full receive buffer of the operating system.
const SOCKET_BUFFER_MAX: usize = 256;

/// A datagram that arrives at a process.
pub(super) struct Arrival {
    pub(super) at: Nanos,
    pub(super) from: SocketAddr,
    pub(super) datagram: Vec<u8>,
}

/// Datagrams that a process sent at one time.
pub(super) struct Sent {
    pub(super) at: Nanos,
    pub(super) transmits: Vec<Transmit>,
}

#[derive(Default)]
pub(super) struct Process {
    /// The process's membership state; `None` while the process does not exist.
    pub(super) membership: Option<Membership>,
    pub(super) is_stalled: bool,
    /// The incarnation with which the process was last started.
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

    /// Next deadline of the member; `None` if the process does not exist.
    pub(super) fn next_timeout(&self) -> Option<Nanos> {
        self.membership.as_ref().and_then(Membership::poll_timeout)
    }

    /// The member's current incarnation. It is higher than that of the last start if the member was wrongly
    /// declared down and has rejoined.
    pub(super) fn current_incarnation(&self) -> u64 {
        self.membership.as_ref().map_or(self.incarnation, |membership| membership.identity().incarnation)
    }

    /// Handles a datagram, or buffers it if the process is stalled. Returns whether the datagram was handled.
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

    /// Runs the process for one window: handles arriving datagrams and due timers in order of time until
    /// `end`. Returns the datagrams sent.
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
