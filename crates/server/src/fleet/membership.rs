//! The membership task of a server: runs the membership protocol on a UDP socket, and logs the view of the
//! fleet.
//!
//! The task passes received datagrams and the current time to the protocol, and sends the protocol's
//! datagrams.

use crate::configuration::fleet::FleetSettings;
use crate::fleet::replication::{Replication, ReplicationError};
use crate::fleet::sharing::Sharing;
use crate::fleet::view_log::{ViewLog, log_change};
use crate::server::Server;
use async_io::{Async, Timer};
use futures_lite::future;
use meadowstream_membership::envelope::DATAGRAM_BYTES_MAX;
use meadowstream_membership::{MemberId, Membership, Nanos, Transmit};
use std::io::Error;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use tracing::{debug, info, warn};

/// Reason why the membership task resumes after waiting.
enum Wake {
    Datagram { length: usize, from: SocketAddr },
    Due,
    Leave,
    ReceiveFailed(Error),
}

/// Binds the UDP socket on which the members of the fleet exchange messages.
pub fn bind(fleet: &FleetSettings) -> std::io::Result<Async<UdpSocket>> {
    Async::<UdpSocket>::bind(fleet.bind)
}

/// Runs the membership task until the server leaves the fleet. The task then notifies the other members.
/// These members therefore see this server as down at once.
pub async fn run(server: Rc<Server>, socket: Async<UdpSocket>, fleet: FleetSettings) {
    let Some(membership) = start(&server, &socket, &fleet) else { return };
    let now = server.clock.now();
    let replication = match replication(&server, &fleet, now) {
        Ok(replication) => replication,
        Err(error) => return warn!(target: "fleet", fault = %error, "<replication>: membership off"),
    };
    let sharing = Sharing::new(replication);
    let mut task =
        MembershipTask { server, socket, membership, sharing, view_log: ViewLog::default(), next_view: now };
    task.membership.join(&fleet.seeds, now);
    task.run(&fleet).await;
    info!(target: "fleet", member = fleet.name, "left the fleet");
}

/// Creates the state of the membership protocol. If a setting is out of range, logs a warning and returns
/// `None`.
fn start(server: &Server, socket: &Async<UdpSocket>, fleet: &FleetSettings) -> Option<Membership> {
    let bound = socket.get_ref().local_addr().unwrap_or(fleet.bind);
    let addr = fleet.advertise.unwrap_or(bound);
    let incarnation = server.incarnation;
    let me = MemberId { name: fleet.name.clone(), addr, incarnation };
    let seed = server.configuration.seed ^ incarnation;
    match Membership::new(me, &fleet.settings, seed, server.clock.now()) {
        Ok(membership) => {
            info!(target: "fleet", member = fleet.name, %addr, %bound, incarnation,
                fleet = fleet.settings.fleet, seeds = fleet.seeds.len(),
                bytes_a_second = fleet.settings.bytes_per_second, "joining");
            Some(membership)
        }
        Err(fault) => {
            warn!(target: "fleet", %fault, "membership off");
            None
        }
    }
}

/// Creates the client of replicated configuration. Returns `None` if the options do not enable replicated
/// configuration.
fn replication(
    server: &Server,
    fleet: &FleetSettings,
    now: Nanos,
) -> Result<Option<Replication>, ReplicationError> {
    let options = server.configuration.options.borrow().clone();
    let Some(replication) = &options.replication else { return Ok(None) };
    let Some(file) = server.configuration.replication_file() else { return Ok(None) };
    Replication::new(server, replication, &fleet.name, file, now).map(Some)
}

struct MembershipTask {
    server: Rc<Server>,
    socket: Async<UdpSocket>,
    membership: Membership,
    sharing: Sharing,
    view_log: ViewLog,
    /// Time, in Unix nanoseconds, at which the task next checks whether the view of the fleet must be logged.
    next_view: Nanos,
}

impl MembershipTask {
    async fn run(&mut self, fleet: &FleetSettings) {
        // The buffer is one byte longer than the longest valid datagram. An oversized datagram is therefore
        // detected by its length. Without the extra byte, the datagram would be truncated without notice.
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX + 1];
        loop {
            let now = self.server.clock.now();
            self.sharing.advance(&self.server, &mut self.membership, now);
            self.transmit().await;
            self.log(fleet);
            match self.wait(&mut buffer).await {
                Wake::Datagram { length, from } => {
                    let now = self.server.clock.now();
                    let _ = self.membership.handle_datagram(from, &buffer[..length], now);
                    self.membership.handle_timeout(self.server.clock.now());
                }
                Wake::Due => self.membership.handle_timeout(self.server.clock.now()),
                Wake::Leave => {
                    self.membership.leave(self.server.clock.now());
                    return self.transmit().await;
                }
                // Some systems report an ICMP rejection of an earlier datagram as a receive error. The socket
                // is still usable, so the task continues.
                Wake::ReceiveFailed(error) => debug!(target: "fleet", %error, "receive"),
            }
        }
    }

    fn log(&mut self, fleet: &FleetSettings) {
        for change in self.membership.take_changes() {
            log_change(&change);
        }
        let now = self.server.clock.now();
        if now >= self.next_view {
            self.next_view = now + fleet.settings.probe_period;
            self.view_log.update(&self.server, &mut self.membership, fleet.settings.announce_period, now);
        }
    }

    async fn wait(&self, buffer: &mut [u8]) -> Wake {
        let due = self.membership.poll_timeout().unwrap_or(Nanos::MAX);
        let due = due.min(self.next_view).min(self.sharing.due);
        let datagram = async {
            match self.socket.recv_from(buffer).await {
                Ok((length, from)) => Wake::Datagram { length, from },
                Err(error) => Wake::ReceiveFailed(error),
            }
        };
        let timer = async {
            Timer::at(self.server.clock.instant(due)).await;
            Wake::Due
        };
        let leave = async {
            let _ = self.server.leave_signal.recv().await;
            Wake::Leave
        };
        future::or(datagram, future::or(timer, leave)).await
    }

    async fn transmit(&mut self) {
        for Transmit { to, datagram } in self.membership.take_transmits() {
            if let Err(error) = self.socket.send_to(&datagram, to).await {
                debug!(target: "fleet", %to, %error, "send");
            }
        }
    }
}
