//! The link, a TCP connection to the interpreter. If the link is lost, a new link is established.

use crate::event::Event;
use crate::interpreter::commands;
use crate::interpreter::commands::CommandSender;
use crate::interpreter::incarnation::Incarnation;
use crate::interpreter::reader::NoticeReader;
use crate::server::Server;
use crate::sockets::{self, receive};
use crate::wire::interpreter;
use crate::wire::interpreter::Notice;
use crate::wire::ring::Ring;
use async_io::{Async, Timer};
use futures_lite::future;
use meadowstream_overload_control::Nanos;
use meadowstream_overload_control::controller::CONTROL_PERIOD;
use std::io::{Error, ErrorKind, Result};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Maximum number of commands that wait to be sent to the interpreter. If the queue overflows because the
/// interpreter does not read, the link is closed and a new link is established.
const COMMANDS_MAX: usize = 4096;
/// Delay before the server establishes a new link to the interpreter after a link was lost. Each failed
/// attempt doubles the delay, up to [`BACKOFF_MAX`].
const BACKOFF: Duration = Duration::from_millis(5);
/// Maximum delay before the next attempt to establish a link to the interpreter.
const BACKOFF_MAX: Duration = Duration::from_millis(160);
/// Divisor of the readiness deadline. The result is the time limit for opening the TCP connection to the
/// interpreter. Timeouts of earlier attempts double this limit.
const CONNECT_DIVISOR: u32 = 10;
/// Divisor of the readiness deadline. The result is the time limit for receiving the interpreter's banner.
/// Timeouts of earlier attempts double this limit.
const BANNER_DIVISOR: u32 = 5;
/// Number of control periods after which a link without received data is closed. The server requests gauges
/// in every control period, so a working link receives data in every period.
const SILENT_PERIODS_MAX: usize = 4;

/// Keeps a link to the interpreter established until the server process exits. Replaces each link that is
/// lost.
pub async fn run(server: Rc<Server>) {
    let mut incarnation = Incarnation::default();
    let mut backoff = BACKOFF;
    loop {
        let mut linked = false;
        let address_changed = async {
            let _ = server.interpreter_address_changed.1.recv().await;
            Err(Error::other("the interpreter's address has changed"))
        };
        if let Err(error) = future::or(address_changed, session(&server, &mut incarnation, &mut linked)).await
        {
            if linked {
                warn!(%error, last_read = incarnation.last_read, "link to the interpreter lost");
            }
            incarnation.record_end(linked, is_timeout(&error));
        }
        backoff = if linked { BACKOFF } else { (backoff * 2).min(BACKOFF_MAX) };
        if linked {
            let _ = server.events.send(Event::LinkLost).await;
        }
        Timer::after(backoff).await;
    }
}

fn is_timeout(error: &Error) -> bool {
    error.kind() == ErrorKind::TimedOut
}

async fn with_timeout<T>(limit: Duration, work: impl Future<Output = Result<T>>) -> Result<T> {
    let timeout = async {
        Timer::after(limit).await;
        Err(ErrorKind::TimedOut.into())
    };
    future::or(work, timeout).await
}

/// Receives bytes from the link. Returns a timeout error if no bytes arrive within [`SILENT_PERIODS_MAX`]
/// control periods.
///
/// Each period has its own timer. After the machine was suspended, a single long timer would expire at once,
/// although the server could not request gauges during the suspension.
async fn receive_or_time_out(stream: &Async<TcpStream>, ring: &mut Ring) -> Result<()> {
    for _ in 0..SILENT_PERIODS_MAX {
        match with_timeout(Duration::from_nanos(CONTROL_PERIOD), receive(stream, ring)).await {
            Err(error) if is_timeout(&error) => {}
            received => return received,
        }
    }
    Err(ErrorKind::TimedOut.into())
}

/// Establishes a link, and then uses the link until it ends. Returns the error that ended the link, or `Ok`
/// if the queue of commands to the interpreter was closed.
async fn session(server: &Server, incarnation: &mut Incarnation, linked: &mut bool) -> Result<()> {
    let address = server.configuration.addresses.get().interpreter;
    let connecting = Async::<TcpStream>::connect(address);
    let stream = with_timeout(incarnation.time_allowance(CONNECT_DIVISOR), connecting).await?;
    stream.get_ref().set_nodelay(true)?;
    let requested = server.clock.now();
    sockets::send_all(&stream, &interpreter::connect(incarnation.last_read)).await?;
    let (commands, queue) = commands::queue(COMMANDS_MAX);
    let mut link = Link { server, stream: &stream, commands: Some(commands), requested };
    future::or(link.read(incarnation, linked), queue.write_to(&stream)).await
}

/// A TCP connection to the interpreter. The link is established once the interpreter's banner is received.
struct Link<'a> {
    server: &'a Server,
    stream: &'a Async<TcpStream>,
    /// Queue of the commands for this link. Taken by the event loop when the banner arrives.
    commands: Option<CommandSender>,
    /// Time at which the server requested the banner from the interpreter.
    requested: Nanos,
}

impl Link<'_> {
    async fn read(&mut self, incarnation: &mut Incarnation, linked: &mut bool) -> Result<()> {
        let mut ring = Ring::new(2 * interpreter::LINE_MAX);
        let mut reader = NoticeReader::default();
        let counters = &self.server.counters;
        loop {
            if *linked {
                receive_or_time_out(self.stream, &mut ring).await?;
            } else {
                let allowance = incarnation.time_allowance(BANNER_DIVISOR);
                with_timeout(allowance, receive(self.stream, &mut ring)).await?;
            }
            while let Some(line) = reader.read(ring.front(), &mut incarnation.last_read, counters) {
                ring.drop_front(line.length);
                if line.missed {
                    let _ = self.server.events.send(Event::NoticesMissed).await;
                }
                if let Some(notice) = line.notice {
                    let event = self.event(notice, incarnation, linked);
                    let _ = self.server.events.send(event).await;
                }
            }
        }
    }

    /// Returns the event for a notice. Only the first banner of a link establishes the link.
    fn event(&mut self, notice: Notice, incarnation: &mut Incarnation, linked: &mut bool) -> Event {
        let Notice::Banner { cold, age } = notice else { return Event::Notice(notice) };
        let Some(commands) = self.commands.take() else { return Event::Notice(notice) };
        *linked = true;
        self.server.counters.links.add();
        let restarted = incarnation.detect_restart(self.requested, self.server.clock.now(), age);
        Event::Linked { cold, age, restarted, commands }
    }
}

#[cfg(test)]
mod tests;
