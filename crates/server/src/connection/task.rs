//! One connection of a balancer: reads calls, writes answers.

use crate::connection::table::Connection;
use crate::connection::table::OPEN_MAX;
use crate::connection::table::Told;
use crate::lifecycle::configuration::TENANT_FIELD;
use crate::memory::descriptors::Place;
use crate::memory::repeats::TOKEN_MAX;
use crate::server::Input;
use crate::server::Server;
use crate::wire::Parsed;
use crate::wire::decimal;
use crate::wire::resp;
use crate::wire::ring::Ring;
use crate::wire::rpc;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use meadowstream_configuration::{Origin, TenantSource};
use meadowstream_overload_control::{Effect, Nanos, Sender};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, TcpStream};
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
/// What has begun to come is whole within this part of the shortest client timeout, and so is the first that
/// comes on a connection, or the connection ends. Guards against peers that hold connections and say nothing;
/// a call that crosses the end comes again on another. Harms a peer that needs as long for 2 KiB.
const SILENT: u64 = 2;
/// Once it has heard `enough` a peer closes when all is answered; where it does not, this part of the time to
/// the stop later the connection is closed here. A lingering close takes as long again at the most, so that
/// both end before the stop. Guards descriptors; a call cannot cross it, since none is sent after `enough`.
const LINGER: u64 = 8;
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
    /// The peer has ended its side.
    ended: bool,
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
        ended: false,
        waits_since: Some(server.clock.now()),
        buffered: 0,
    };
    match talk.go_on().await {
        Ok(()) => talk.linger().await,
        Err(error) => {
            debug!(id, %error, "connection broke");
            let _ = server.inputs.send(Input::Broken(id)).await;
        }
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
                self.stream.readable().await.map(|()| Next::Read)
            };
            let writable = async {
                if self.outgoing.is_empty() {
                    future::pending::<()>().await;
                }
                self.stream.writable().await.map(|()| Next::GoOn)
            };
            let told = async { Ok(self.hears.recv().await.map_or(Next::GoOn, Next::Told)) };
            let end = async {
                let Some(end) = self.ends_at() else { future::pending().await };
                Timer::at(self.server.clock.instant(end)).await;
                Ok(Next::End)
            };
            let look = async {
                if !crowded {
                    future::pending::<()>().await;
                }
                Timer::after(LOOK).await;
                Ok(Next::GoOn)
            };
            let any = future::or(told, future::or(writable, future::or(readable, future::or(look, end))));
            match any.await? {
                Next::GoOn => {}
                Next::Read => self.read()?,
                Next::Told(told) => self.say(told)?,
                Next::End if !self.outgoing.is_empty() => return Err(ErrorKind::TimedOut.into()),
                Next::End => {
                    // What came in this very moment still counts.
                    self.read()?;
                    self.take_commands().await?;
                    if self.ends_at().is_some_and(|end| end <= self.server.clock.now()) {
                        return Ok(());
                    }
                }
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
        let leaves = self.connection.leaving.get().then_some(used + self.linger_for());
        let silent = self.waits_since.map(|since| since + self.shortest_wait() / SILENT);
        leaves.into_iter().chain(silent).min().filter(|_| self.tags.is_empty())
    }

    fn longest_wait(&self) -> Nanos {
        let operations = &self.server.configuration.settings.deployment.operations;
        operations.iter().map(|op| op.client_timeout).max().unwrap_or(0)
    }

    fn shortest_wait(&self) -> Nanos {
        let operations = &self.server.configuration.settings.deployment.operations;
        operations.iter().map(|op| op.client_timeout).min().unwrap_or(0)
    }

    fn linger_for(&self) -> Nanos {
        self.server.configuration.stop_ms * 1_000_000 / LINGER
    }

    /// A lingering close, the one way in which a connection ends that its peer has not ended: nothing is
    /// said any more, and what still comes is read and dropped until the peer ends or a while has passed. A
    /// close over bytes not yet read would reset the connection and take answers with it that are still on
    /// their way. What is dropped here was sent in the moment of the close, and is sent once more elsewhere.
    /// One whose place is needed only drops what has come.
    async fn linger(&mut self) {
        let until = self.server.clock.instant(self.server.clock.now() + self.linger_for());
        let mut over = Timer::at(until);
        if self.ended || self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut chunk = [0; CHUNK];
        while self.server.clock.instant(self.server.clock.now()) < until {
            match self.stream.get_ref().read(&mut chunk) {
                Ok(0) => return,
                Ok(_) => future::yield_now().await,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock && !self.connection.gives_way.get() => {
                    let readable = async { self.stream.readable().await.is_ok() };
                    let told = async { self.hears.recv().await.is_ok() };
                    let late = async {
                        (&mut over).await;
                        false
                    };
                    if !future::or(readable, future::or(told, late)).await {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }

    fn read(&mut self) -> std::io::Result<()> {
        let mut chunk = [0; CHUNK];
        let room = self.incoming.room().min(CHUNK);
        if room == 0 {
            return Ok(());
        }
        match self.stream.get_ref().read(&mut chunk[..room]) {
            Ok(0) => (self.deaf, self.ended) = (true, true),
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
                Taken::Cancelled(tag) if self.tags.contains(&tag) => {
                    self.tags.retain(|open| *open != tag);
                    self.connection.open.set(self.tags.len());
                    let id = self.connection.id;
                    let _ = self.server.inputs.send(Input::Cancelled { connection: id, tag }).await;
                }
                Taken::Cancelled(_) | Taken::Nothing => {}
            }
        }
        Ok(())
    }

    /// What becomes of a command.
    fn input(&self, command: rpc::Command) -> Taken {
        let counters = &self.server.counters;
        // What is open hears its own answer and no other.
        let bad = |tag, why| {
            counters.bad_commands.add();
            debug!(id = self.connection.id, why, "bad command");
            let open = self.tags.contains(&tag);
            if open { Taken::Nothing } else { Taken::Answer(tag, rpc::Answer::Errored) }
        };
        match command {
            rpc::Command::Health { tag } if self.tags.contains(&tag) => bad(tag, "a tag that is open"),
            rpc::Command::Health { tag } => {
                counters.health_checks.add();
                Taken::Answer(tag, rpc::Answer::Health(self.server.standing.healthy.get()))
            }
            // Where callers tell that they have given up, the answer may have crossed the word: then there is
            // nothing to do, and nothing more to say of that tag.
            rpc::Command::Cancel { tag } if self.server.configuration.settings.notifies_cancellation => {
                counters.cancels.add();
                Taken::Cancelled(tag)
            }
            rpc::Command::Cancel { tag } => bad(tag, "cancelling is not in use here"),
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
                let (tenant, patience) = match (self.tenant(&call), self.patience(&call)) {
                    (Ok(tenant), Ok(patience)) => (tenant, patience),
                    (Err(why), _) | (_, Err(why)) => return bad(call.tag, why),
                };
                let is_marked_retry = call.field("dup").is_some_and(|mark| mark != "0");
                counters.invocations.add();
                let arrived = Input::Arrived {
                    connection: self.connection.clone(),
                    tag: call.tag,
                    operation,
                    reference: call.reference,
                    since: call.since,
                    held_kb: call.held_kb,
                    tenant,
                    patience,
                    is_marked_retry,
                    body: call.body.to_vec(),
                    token,
                    sender: self.sender(&call),
                };
                Taken::Input(call.tag, arrived)
            }
        }
    }

    /// Its tenant's place in the settings, where these have allowances and the options no way of their own.
    fn tenant(&self, call: &rpc::Call) -> Result<usize, &'static str> {
        let configuration = &self.server.configuration;
        let names = &configuration.settings.tenant_names;
        if names.is_empty() || configuration.options.borrow().tenants.is_some() {
            return Ok(0);
        }
        let named = call.field(TENANT_FIELD).and_then(|tenant| names.iter().position(|name| name == tenant));
        named.ok_or("unknown tenant")
    }

    /// For how long its caller waited when it came to the machine, where callers say so.
    fn patience(&self, call: &rpc::Call) -> Result<Option<Nanos>, &'static str> {
        if !self.server.configuration.settings.passes_deadline {
            return Ok(None);
        }
        let stated = call.field("allow").map(|text| decimal::<u32>(text.as_bytes()).ok_or("bad allow"));
        Ok(stated.transpose()?.map(|ms| u64::from(ms) * 1_000_000))
    }

    /// The token of a tokened operation, without which it cannot be told from a repeat.
    fn token(&self, operation: usize, call: &rpc::Call) -> Result<Option<Vec<u8>>, &'static str> {
        let configuration = &self.server.configuration;
        if configuration.settings.deployment.operations[operation].effect != Effect::IdempotentWithKey {
            return Ok(None);
        }
        let options = configuration.options.borrow();
        let field = options.idempotency_keys.as_ref().and_then(|keys| call.field(&keys.field));
        let token = field.filter(|token| !token.is_empty()).ok_or("a tokened call without its token")?;
        if token.len() > TOKEN_MAX { Err("a token is too long") } else { Ok(Some(token.into())) }
    }

    /// Who sends, as the options say that tenants are known; one that does not name itself has no name.
    fn sender(&self, call: &rpc::Call) -> Option<Sender> {
        let options = self.server.configuration.options.borrow();
        let tenants = options.tenants.as_ref()?;
        let tenant = match &tenants.source {
            TenantSource::Sender => call.sender.map_or(Vec::new(), |sender| sender.to_string().into_bytes()),
            TenantSource::Peer => self.peer.to_string().into_bytes(),
            TenantSource::Field(field) => call.field(field).unwrap_or("").as_bytes().to_vec(),
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
            // It was cancelled meanwhile.
            Told::Answer(tag, _) if !self.tags.contains(&tag) => Ok(()),
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

/// What a connection's task goes on with.
enum Next {
    Read,
    Told(Told),
    /// It has had its time.
    End,
    /// Something else has changed.
    GoOn,
}

enum Taken {
    Input(u64, Input),
    Answer(u64, rpc::Answer),
    Cancelled(u64),
    Nothing,
}
