//! One connection of a balancer: reads calls, writes answers.

use super::{Input, Server};
use crate::memory::connections::{Connection, OPEN_MAX, Told};
use crate::memory::descriptors::Place;
use crate::memory::repeats::TOKEN_MAX;
use crate::wire::{Parsed, resp, ring::Ring, rpc};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use meadowstream::{Effect, Nanos, Sender};
use meadowstream_options::{By, Origin};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

/// Longest answer, and room for all that can be owed at once and for `enough`.
const ANSWER_MAX: usize = resp::WORD_MAX + 256;
const OUT_MAX: usize = (OPEN_MAX + 1) * ANSWER_MAX;
/// Part of the memory limit that all rings may fill, with what is owed; beyond it nothing is taken, and it is
/// looked this often whether there is room again.
const BUFFERS: usize = 2;
const LOOK: Duration = Duration::from_millis(10);
/// What has begun to come is whole within this time, and so is the first that comes on a connection, or the
/// connection ends. Guards against peers that hold connections and say nothing; a call that crosses the end
/// comes again on another. Harms a peer that needs as long for 2 KiB.
const SILENT: Nanos = 1_500_000_000;
/// Once it has heard `enough` a peer closes when all is answered; where it does not, this much later the
/// connection is closed here. Guards descriptors; a call cannot cross it, since none is sent after `enough`.
const LINGER: Nanos = 1_000_000_000;
/// Read at once.
const CHUNK: usize = 8 * 1024;

struct Talk {
    server: Rc<Server>,
    stream: Async<TcpStream>,
    connection: Rc<Connection>,
    /// The peer's address without its port.
    peer: IpAddr,
    hears: Receiver<Told>,
    incoming: Ring,
    outgoing: Ring,
    /// Tags of the calls that are open.
    tags: Vec<u64>,
    /// Nothing more is read: the peer has ended, or what it sends is no RESP.
    deaf: bool,
    /// Since when something is to come that is not whole yet.
    waits_since: Option<Nanos>,
    /// Part of `Server::buffered`.
    buffered: usize,
}

impl Drop for Talk {
    fn drop(&mut self) {
        self.server.buffered.set(self.server.buffered.get() - self.buffered);
    }
}

/// Counts the connection from now on, before its task has run: nothing that was accepted is overlooked.
pub fn take_in(server: &Rc<Server>, stream: Async<TcpStream>, place: Place) {
    server.counters.connections_opened.add();
    let (connection, hears) = server.connections.open(server.clock.now());
    server.executor.spawn(serve(server.clone(), stream, place, connection, hears)).detach();
}

async fn serve(
    server: Rc<Server>,
    stream: Async<TcpStream>,
    place: Place,
    connection: Rc<Connection>,
    hears: Receiver<Told>,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let id = connection.id;
    let peer = stream.get_ref().peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
    let mut talk = Talk {
        server: server.clone(),
        stream,
        connection,
        peer,
        hears,
        incoming: Ring::new(resp::ARRAY_MAX),
        outgoing: Ring::new(OUT_MAX),
        tags: Vec::new(),
        deaf: false,
        waits_since: Some(server.clock.now()),
        buffered: 0,
    };
    if let Err(error) = talk.go_on().await {
        debug!(id, %error, "connection broke");
        let _ = server.inputs.send(Input::Broken(id)).await;
    }
    server.connections.close(id);
    drop((talk, place));
    server.counters.connections_closed.add();
}

impl Talk {
    async fn go_on(&mut self) -> std::io::Result<()> {
        loop {
            while let Ok(told) = self.hears.try_recv() {
                self.say(told)?;
            }
            self.take_commands().await?;
            self.write()?;
            let all_said = self.tags.is_empty() && self.outgoing.is_empty();
            if (self.deaf || self.connection.gives_way.get()) && all_said {
                return Ok(());
            }
            self.count_buffers();
            let crowded = !self.deaf && !self.has_room();
            let listens = !self.deaf && self.may_take() && self.incoming.room() > 0;
            let readable = async {
                if !listens {
                    future::pending::<()>().await;
                }
                self.stream.readable().await.map(|()| (true, None))
            };
            let writable = async {
                if self.outgoing.is_empty() {
                    future::pending::<()>().await;
                }
                self.stream.writable().await.map(|()| (false, None))
            };
            let told = async { Ok((false, self.hears.recv().await.ok())) };
            let end = async {
                let Some(end) = self.ends_at() else { future::pending().await };
                Timer::at(self.server.clock.instant(end)).await;
                Err(ErrorKind::TimedOut.into())
            };
            let look = async {
                if !crowded {
                    future::pending::<()>().await;
                }
                Timer::after(LOOK).await;
                Ok((false, None))
            };
            let any = future::or(told, future::or(writable, future::or(readable, future::or(look, end))));
            let (read, told) = any.await?;
            told.map_or(Ok(()), |told| self.say(told))?;
            if read {
                self.read()?;
            }
        }
    }

    /// All that is owed fits into the ring, with one answer more.
    fn may_take(&self) -> bool {
        let owed = self.tags.len();
        owed < OPEN_MAX && self.outgoing.room() >= (owed + 2) * ANSWER_MAX && self.has_room()
    }

    /// Guards memory: many connections that each hold little may hold too much together.
    fn has_room(&self) -> bool {
        self.server.buffered.get() < (self.server.configuration.memory_mb << 20) as usize / BUFFERS
    }

    /// What the rings hold, and for each open call its body and the answer it will get.
    fn count_buffers(&mut self) {
        let now = self.incoming.len() + self.outgoing.len() + self.tags.len() * 2 * ANSWER_MAX;
        self.server.buffered.set(self.server.buffered.get() + now - self.buffered);
        self.buffered = now;
    }

    /// When the peer has had its time to read what is written, or to close what is to go. Guards against
    /// peers that do neither; harms one that stands still for as long as the most patient client waits.
    fn ends_at(&self) -> Option<Nanos> {
        let used = self.connection.used.get();
        if !self.outgoing.is_empty() {
            return Some(used + self.longest_wait());
        }
        let leaves = self.connection.leaving.get().then_some(used + LINGER);
        let silent = self.waits_since.map(|since| since + SILENT);
        leaves.into_iter().chain(silent).min().filter(|_| self.tags.is_empty())
    }

    fn longest_wait(&self) -> Nanos {
        let operations = &self.server.configuration.settings.deployment.operations;
        operations.iter().map(|op| op.client_timeout).max().unwrap_or(0)
    }

    fn read(&mut self) -> std::io::Result<()> {
        let mut chunk = [0; CHUNK];
        let room = self.incoming.room().min(CHUNK);
        if room == 0 {
            return Ok(());
        }
        match self.stream.get_ref().read(&mut chunk[..room]) {
            Ok(0) => self.deaf = true,
            Ok(count) => {
                let _ = self.incoming.put(&chunk[..count]);
                self.incoming.straighten();
                self.connection.used.set(self.server.clock.now());
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    fn write(&mut self) -> std::io::Result<()> {
        while !self.outgoing.is_empty() {
            match self.stream.get_ref().write(self.outgoing.front()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.outgoing.drop_front(count);
                    self.connection.used.set(self.server.clock.now());
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    async fn take_commands(&mut self) -> std::io::Result<()> {
        while !self.deaf && self.may_take() {
            let (command, used) = match resp::array(self.incoming.front()) {
                Parsed::More => {
                    if !self.incoming.is_empty() {
                        self.waits_since.get_or_insert(self.server.clock.now());
                    }
                    break;
                }
                Parsed::Malformed(why) => {
                    self.server.counters.malformed.add();
                    debug!(id = self.connection.id, why, "malformed");
                    self.deaf = true;
                    break;
                }
                Parsed::Whole(words, used) => (self.input(rpc::command(&words)), used),
            };
            self.incoming.drop_front(used);
            self.waits_since = None;
            self.connection.stays();
            match command {
                Taken::Input(tag, input) => {
                    self.tags.push(tag);
                    self.count_buffers();
                    self.connection.open.set(self.tags.len());
                    let _ = self.server.inputs.send(input).await;
                }
                Taken::Answer(tag, answer) => self.put(tag, &answer)?,
                Taken::Nothing => {}
            }
        }
        Ok(())
    }

    /// What becomes of a command.
    fn input(&self, command: rpc::Command) -> Taken {
        let counters = &self.server.counters;
        let bad = |tag, why| {
            counters.bad_commands.add();
            debug!(id = self.connection.id, why, "bad command");
            Taken::Answer(tag, rpc::Answer::Errored)
        };
        match command {
            rpc::Command::Health { tag } => {
                counters.health_checks.add();
                Taken::Answer(tag, rpc::Answer::Health(self.server.standing.healthy.get()))
            }
            rpc::Command::Bad { tag: Some(tag), why } => bad(tag, why),
            rpc::Command::Bad { tag: None, why } => {
                bad(0, why);
                Taken::Nothing
            }
            rpc::Command::Call(call) if self.tags.contains(&call.tag) => bad(call.tag, "a tag that is open"),
            rpc::Command::Call(call) => {
                let names = &self.server.configuration.settings.operation_names;
                let Some(operation) = names.iter().position(|name| name == call.operation) else {
                    return bad(call.tag, "unknown operation");
                };
                // An honest caller has given up on one that old, and none is from the time to come.
                if self.server.clock.age(call.since).unsigned_abs() > self.longest_wait() {
                    return bad(call.tag, "since is out of range");
                }
                let token = match self.token(operation, &call) {
                    Ok(token) => token,
                    Err(why) => return bad(call.tag, why),
                };
                counters.invocations.add();
                let arrived = Input::Arrived {
                    connection: self.connection.clone(),
                    tag: call.tag,
                    operation,
                    reference: call.reference,
                    since: call.since,
                    held_kb: call.held_kb,
                    body: call.body.to_vec(),
                    token,
                    sender: self.sender(&call),
                };
                Taken::Input(call.tag, arrived)
            }
        }
    }

    /// Who sends, as the options say that tenants are known; one that does not name itself has no name.
    /// The token of a tokened operation, without which it cannot be told from a repeat.
    fn token(&self, operation: usize, call: &rpc::Call) -> Result<Option<Vec<u8>>, &'static str> {
        let configuration = &self.server.configuration;
        if configuration.settings.deployment.operations[operation].effect != Effect::Tokened {
            return Ok(None);
        }
        let options = configuration.options.borrow();
        let field = options.tokens.as_ref().and_then(|tokens| call.field(&tokens.field));
        let token = field.filter(|token| !token.is_empty()).ok_or("a tokened call without its token")?;
        if token.len() > TOKEN_MAX { Err("a token is too long") } else { Ok(Some(token.into())) }
    }

    fn sender(&self, call: &rpc::Call) -> Option<Sender> {
        let options = self.server.configuration.options.borrow();
        let tenants = options.tenants.as_ref()?;
        let tenant = match &tenants.by {
            By::Sender => call.sender.map_or(Vec::new(), |sender| sender.to_string().into_bytes()),
            By::Peer => self.peer.to_string().into_bytes(),
            By::Field(field) => call.field(field).unwrap_or("").as_bytes().to_vec(),
        };
        let origin = match tenants.origin {
            Origin::Connection => self.connection.id,
            Origin::Sender => call.sender.unwrap_or(0),
            Origin::Peer => match self.peer {
                IpAddr::V4(address) => u64::from(address.to_bits()),
                // Whoever has one address there has all that share its first half.
                IpAddr::V6(address) => (address.to_bits() >> 64) as u64,
            },
        };
        Some(Sender { tenant, origin, ticket: call.ticket })
    }

    fn say(&mut self, told: Told) -> std::io::Result<()> {
        match told {
            Told::Answer(tag, answer) => {
                self.tags.retain(|open| *open != tag);
                self.connection.open.set(self.tags.len());
                if self.server.grace_over.get() {
                    self.connection.enough();
                }
                self.put(tag, &answer)
            }
            // What has come by now is still taken.
            Told::GiveWay => self.read(),
            Told::Enough => {
                self.server.counters.enough_sent.add();
                let mut bytes = Vec::new();
                rpc::put_enough(&mut bytes);
                self.send(&bytes)
            }
        }
    }

    fn put(&mut self, tag: u64, answer: &rpc::Answer) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        rpc::put_answer(&mut bytes, tag, answer, self.server.standing.advertised.get());
        self.send(&bytes)
    }

    fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.connection.used.set(self.server.clock.now());
        let fits = self.outgoing.put(bytes);
        if fits { Ok(()) } else { Err(ErrorKind::OutOfMemory.into()) }
    }
}

enum Taken {
    Input(u64, Input),
    Answer(u64, rpc::Answer),
    Nothing,
}
