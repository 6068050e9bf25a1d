//! A process that joins the fleet but serves no callers: the coordinator of a rollout, a control machine, or
//! the `publish` command.
//!
//! The process runs the membership protocol and the shared state. Messages on other topics are returned to
//! the caller of [`NonServingMember::step`].

use crate::configuration::fleet::FleetSettings;
use crate::fleet::membership::bind;
use crate::lifecycle::clock::Clock;
use anyhow::{Context, Result, anyhow};
use async_io::{Async, Timer};
use futures_lite::future;
use meadowstream_membership::directory::Directory;
use meadowstream_membership::envelope::DATAGRAM_BYTES_MAX;
use meadowstream_membership::{MemberId, Membership, Transmit};
use meadowstream_shared_state::clock::Reading;
use meadowstream_shared_state::{ServerId, SharedState};
use std::net::{SocketAddr, UdpSocket};

/// A message from another member on a topic other than the shared state.
pub struct TopicMessage {
    /// The member that sent the message.
    pub from: ServerId,
    /// Number of the message's topic. The topic determines how the body is encoded.
    pub topic: u16,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// A member of the fleet that serves no callers, for example the coordinator of a rollout.
pub struct NonServingMember {
    /// Clock of the process, which returns Unix time in nanoseconds.
    pub clock: Clock,
    socket: Async<UdpSocket>,
    /// State of the membership protocol in this process.
    pub membership: Membership,
    /// The state that the members of the fleet share, including the leases.
    pub shared: SharedState,
    /// Names and addresses of the members that are alive.
    pub directory: Directory,
    /// Incarnation of this member: the start time of the process, in Unix nanoseconds.
    pub incarnation: u64,
    shared_state_due: u64,
    buffer: Vec<u8>,
}

impl NonServingMember {
    /// Binds a UDP socket, and joins the fleet by contacting the seed members.
    pub fn join(fleet: &FleetSettings) -> Result<NonServingMember> {
        let clock = Clock::start();
        let socket = bind(fleet).with_context(|| format!("<membership>: cannot bind {}", fleet.bind))?;
        let bound = socket.get_ref().local_addr()?;
        let (incarnation, name) = (clock.now(), fleet.name.clone());
        let addr = fleet.advertise.unwrap_or(bound);
        let me = MemberId { name: name.clone(), addr, incarnation };
        let membership = Membership::new(me, &fleet.settings, incarnation, incarnation);
        let mut membership = membership.map_err(|fault| anyhow!("<membership>: {fault}"))?;
        membership.join(&fleet.seeds, incarnation);
        let settings = fleet.shared.clone().context("<replication> or <rollout> is missing")?;
        let server_id = ServerId { name: name.clone(), incarnation };
        let reading = Reading { monotonic: 0, wall: incarnation };
        let shared =
            SharedState::new(server_id, settings, incarnation, reading).map_err(|fault| anyhow!(fault))?;
        tracing::info!(target: "fleet", member = name, %addr, %bound, incarnation, "joining");
        let buffer = vec![0; DATAGRAM_BYTES_MAX + 1];
        Ok(NonServingMember {
            clock,
            socket,
            membership,
            shared,
            directory: Directory::default(),
            incarnation,
            shared_state_due: incarnation,
            buffer,
        })
    }

    /// Returns the current time, in Unix nanoseconds.
    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    fn reading(&self) -> Reading {
        Reading { monotonic: self.now() - self.incarnation, wall: self.now() }
    }

    /// Requests the lease with this name if `wants` is true; otherwise withdraws the request. Returns true if
    /// the lease is requested and this process holds it now.
    pub fn request_lease(&mut self, name: &str, wants: bool) -> bool {
        let time = self.shared.read_clocks(self.reading());
        let lease = self.shared.budgets.iter_mut().find(|budget| budget.settings().name == name);
        lease.is_some_and(|lease| {
            lease.set_demand(u64::from(wants), 0);
            wants && lease.allowance(time).leased > 0
        })
    }

    /// Queues a message for the member with the name `to`, on the topic with the number `topic`.
    pub fn send(&mut self, to: &str, topic: u16, body: Vec<u8>) {
        self.shared.send_other(to, topic, body);
    }

    /// Performs one step of the member's work. Advances the shared state if necessary, sends pending
    /// datagrams, and then waits. The wait ends with the first datagram, the next timer, or the time `wake`.
    /// Returns the messages received on topics other than the shared state.
    pub async fn step(&mut self, wake: u64) -> Vec<TopicMessage> {
        let now = self.now();
        self.directory.refresh(&self.membership, now);
        if now >= self.shared_state_due {
            self.shared_state_due = now + self.shared.due_in();
            let reading = self.reading();
            self.shared.advance(reading, self.directory.names());
        }
        for (name, body) in self.shared.take_outgoing() {
            if let Some(to) = self.directory.address(&name) {
                self.membership.send_shared_state(to, &body, now);
            }
        }
        self.flush().await;
        self.membership.take_changes();
        let timeout = self.membership.poll_timeout().unwrap_or(u64::MAX);
        let wake = timeout.min(self.shared_state_due).min(wake);
        let timer = Timer::at(self.clock.instant(wake));
        let received = receive(&self.socket, &mut self.buffer, timer).await;
        let now = self.now();
        if let Some((length, from)) = received {
            let _ = self.membership.handle_datagram(from, &self.buffer[..length], now);
            let reading = self.reading();
            for body in self.membership.take_shared_state() {
                let _ = self.shared.receive(reading, &body);
            }
        }
        self.membership.handle_timeout(now);
        let others = self.shared.take_received().into_iter();
        others.map(|other| TopicMessage { from: other.from, topic: other.topic, body: other.body }).collect()
    }

    async fn flush(&mut self) {
        for Transmit { to, datagram } in self.membership.take_transmits() {
            let _ = self.socket.send_to(&datagram, to).await;
        }
    }

    /// Notifies the other members that this process leaves the fleet.
    pub async fn leave(&mut self) {
        let now = self.now();
        self.membership.leave(now);
        self.flush().await;
    }
}

async fn receive(socket: &Async<UdpSocket>, buffer: &mut [u8], timer: Timer) -> Option<(usize, SocketAddr)> {
    let datagram = async { socket.recv_from(buffer).await.ok() };
    let timeout = async {
        timer.await;
        None
    };
    future::or(datagram, timeout).await
}
