//! One connection of a balancer: reads calls, writes answers.

use super::{Input, Server};
use crate::memory::connections::{Connection, OPEN_MAX, Told};
use crate::wire::{Parsed, resp, ring::Ring, rpc};
use async_channel::Receiver;
use async_io::Async;
use futures_lite::future;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use tracing::debug;

/// Longest answer, and room for all that can be owed at once and for `enough`.
const ANSWER_MAX: usize = resp::WORD_MAX + 256;
const OUT_MAX: usize = (OPEN_MAX + 1) * ANSWER_MAX;
/// What the two rings of a connection can grow to.
pub const BUFFERED_MAX: usize = resp::ARRAY_MAX + OUT_MAX;
/// Read at once.
const CHUNK: usize = 8 * 1024;

struct Talk {
    server: Rc<Server>,
    stream: Async<TcpStream>,
    connection: Rc<Connection>,
    hears: Receiver<Told>,
    incoming: Ring,
    outgoing: Ring,
    /// Tags of the calls that are open.
    tags: Vec<u64>,
    /// Nothing more is read: the peer has ended, or what it sends is no RESP.
    deaf: bool,
}

pub async fn serve(server: Rc<Server>, stream: Async<TcpStream>) {
    let (connection, hears) = server.connections.open(server.clock.now());
    let _ = stream.get_ref().set_nodelay(true);
    if server.standing.leaving.get() {
        connection.enough();
    }
    let id = connection.id;
    let mut talk = Talk {
        server: server.clone(),
        stream,
        connection,
        hears,
        incoming: Ring::new(resp::ARRAY_MAX),
        outgoing: Ring::new(OUT_MAX),
        tags: Vec::new(),
        deaf: false,
    };
    if let Err(error) = talk.go_on().await {
        debug!(id, %error, "connection broke");
        let _ = server.inputs.send(Input::Broken(id)).await;
    }
    server.connections.close(id);
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
            if self.deaf && self.tags.is_empty() && self.outgoing.is_empty() {
                return Ok(());
            }
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
            let (read, told) = future::or(told, future::or(writable, readable)).await?;
            told.map_or(Ok(()), |told| self.say(told))?;
            if read {
                self.read()?;
            }
        }
    }

    /// All that is owed fits into the ring, with one answer more.
    fn may_take(&self) -> bool {
        let owed = self.tags.len();
        owed < OPEN_MAX && self.outgoing.room() >= (owed + 2) * ANSWER_MAX
    }

    fn read(&mut self) -> std::io::Result<()> {
        let mut chunk = [0; CHUNK];
        let room = self.incoming.room().min(CHUNK);
        match self.stream.get_ref().read(&mut chunk[..room]) {
            Ok(0) => self.deaf = true,
            Ok(count) => {
                let _ = self.incoming.put(&chunk[..count]);
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
                Ok(count) => self.outgoing.drop_front(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    async fn take_commands(&mut self) -> std::io::Result<()> {
        while !self.deaf && self.may_take() {
            self.incoming.straighten();
            let (command, used) = match resp::array(self.incoming.front()) {
                Parsed::More => break,
                Parsed::Malformed(why) => {
                    self.server.counters.malformed.add();
                    debug!(id = self.connection.id, why, "malformed");
                    self.deaf = true;
                    break;
                }
                Parsed::Whole(words, used) => (self.input(rpc::command(&words)), used),
            };
            self.incoming.drop_front(used);
            match command {
                Taken::Input(tag, input) => {
                    self.tags.push(tag);
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
                counters.invocations.add();
                let arrived = Input::Arrived {
                    connection: self.connection.clone(),
                    tag: call.tag,
                    operation,
                    reference: call.reference,
                    since: call.since,
                    held_kb: call.held_kb,
                    body: call.body.to_vec(),
                };
                Taken::Input(call.tag, arrived)
            }
        }
    }

    fn say(&mut self, told: Told) -> std::io::Result<()> {
        match told {
            Told::Answer(tag, answer) => {
                self.tags.retain(|open| *open != tag);
                self.connection.open.set(self.tags.len());
                self.put(tag, &answer)
            }
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
