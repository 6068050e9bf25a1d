//! A process that is a member of the fleet and serves nothing: a coordinator, a control machine, an
//! operator's command. It has the fleet's view and the shared state, and returns the messages of other
//! topics.

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

/// A body of a topic that another member has sent.
pub struct TopicMessage {
    /// The sender.
    pub from: ServerId,
    /// The topic.
    pub topic: u16,
    /// The message, encoded as its topic says.
    pub body: Vec<u8>,
}

/// The process as a member of the fleet.
pub struct NonServingMember {
    /// The time.
    pub clock: Clock,
    socket: Async<UdpSocket>,
    /// The state of the membership protocol.
    pub membership: Membership,
    /// The state shared with other members.
    pub shared: SharedState,
    /// Members that are alive, with their addresses.
    pub directory: Directory,
    /// Its start, in Unix nanoseconds.
    pub incarnation: u64,
    due: u64,
    buffer: Vec<u8>,
}

impl NonServingMember {
    /// Binds its address and joins by the seeds.
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
        let who = ServerId { name: name.clone(), incarnation };
        let reading = Reading { monotonic: 0, wall: incarnation };
        let shared = SharedState::new(who, settings, incarnation, reading).map_err(|fault| anyhow!(fault))?;
        tracing::info!(target: "fleet", member = name, %addr, %bound, incarnation, "joining");
        let buffer = vec![0; DATAGRAM_BYTES_MAX + 1];
        Ok(NonServingMember {
            clock,
            socket,
            membership,
            shared,
            directory: Directory::default(),
            incarnation,
            due: incarnation,
            buffer,
        })
    }

    /// The time, in Unix nanoseconds.
    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    fn reading(&self) -> Reading {
        Reading { monotonic: self.now() - self.incarnation, wall: self.now() }
    }

    /// Sets whether it wants the lease of this name. True where it holds it now.
    pub fn lease(&mut self, name: &str, wants: bool) -> bool {
        let time = self.shared.read_clocks(self.reading());
        let lease = self.shared.budgets.iter_mut().find(|budget| budget.settings().name == name);
        lease.is_some_and(|lease| {
            lease.set_demand(u64::from(wants), 0);
            wants && lease.allowance(time).leased > 0
        })
    }

    /// Sends a message of a topic to a member, by name.
    pub fn send(&mut self, to: &str, topic: u16, body: Vec<u8>) {
        self.shared.send_other(to, topic, body);
    }

    /// Does what is due, sends what is to be sent, and waits for one datagram or until `wake`. Returns the
    /// messages of other topics.
    pub async fn turn(&mut self, wake: u64) -> Vec<TopicMessage> {
        let now = self.now();
        self.directory.refresh(&self.membership, now);
        if now >= self.due {
            self.due = now + self.shared.due_in();
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
        let wake = self.membership.poll_timeout().unwrap_or(u64::MAX).min(self.due).min(wake);
        let timer = Timer::at(self.clock.instant(wake));
        let came = receive(&self.socket, &mut self.buffer, timer).await;
        let now = self.now();
        if let Some((count, from)) = came {
            let _ = self.membership.handle_datagram(from, &self.buffer[..count], now);
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

    /// Notifies the fleet that it leaves.
    pub async fn leave(&mut self) {
        let now = self.now();
        self.membership.leave(now);
        self.flush().await;
    }
}

async fn receive(socket: &Async<UdpSocket>, buffer: &mut [u8], timer: Timer) -> Option<(usize, SocketAddr)> {
    let datagram = async { socket.recv_from(buffer).await.ok() };
    let over = async {
        timer.await;
        None
    };
    future::or(datagram, over).await
}
