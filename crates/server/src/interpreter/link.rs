//! The link to the interpreter, which is established again after each loss.

use crate::event::Event;
use crate::interpreter::incarnation::Incarnation;
use crate::interpreter::reader::NoticeReader;
use crate::server::Server;
use crate::server::receive;
use crate::wire::interpreter;
use crate::wire::interpreter::Notice;
use crate::wire::ring::Ring;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use meadowstream_overload_control::Nanos;
use meadowstream_overload_control::controller::CONTROL_PERIOD;
use std::io::{Error, ErrorKind, Result};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Maximum number of commands that wait to be written. If an interpreter that does not read exceeds it, the
/// link is closed and established again.
const COMMANDS_MAX: usize = 4096;
/// Size of a write, in bytes, from which no further command is added to it.
const WRITE_MAX_BYTES: usize = 64 * 1024;
/// First delay between attempts to establish the link; each failed attempt doubles it up to the maximum.
const BACKOFF: Duration = Duration::from_millis(5);
/// Maximum delay between attempts.
const BACKOFF_MAX: Duration = Duration::from_millis(160);
/// The first attempt to connect must succeed within the readiness deadline divided by this number.
const CONNECT_DIVISOR: u32 = 10;
/// The banner of the first attempt must arrive within the readiness deadline divided by this number.
const BANNER_DIVISOR: u32 = 5;
/// Number of control periods without received data after which the link is closed. Gauges are requested in
/// every period, so a working link is never silent for this long.
const SILENT_PERIODS_MAX: usize = 4;

/// Maintains a link to the interpreter until the server process exits.
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

/// Receives bytes, and times out after [`SILENT_PERIODS_MAX`] control periods without any. The periods are
/// timed one by one: after a suspension of the machine a single long timer would expire at once, though no
/// gauges were requested meanwhile.
async fn receive_or_time_out(stream: &Async<TcpStream>, ring: &mut Ring) -> Result<()> {
    for _ in 0..SILENT_PERIODS_MAX {
        match with_timeout(Duration::from_nanos(CONTROL_PERIOD), receive(stream, ring)).await {
            Err(error) if is_timeout(&error) => {}
            received => return received,
        }
    }
    Err(ErrorKind::TimedOut.into())
}

/// Serves one link from connecting to its end, which is always reported as an error.
async fn session(server: &Server, incarnation: &mut Incarnation, linked: &mut bool) -> Result<()> {
    let address = server.configuration.addresses.get().interpreter;
    let connecting = Async::<TcpStream>::connect(address);
    let stream = with_timeout(incarnation.time_allowance(CONNECT_DIVISOR), connecting).await?;
    stream.get_ref().set_nodelay(true)?;
    let requested = server.clock.now();
    (&stream).write_all(&interpreter::connect(incarnation.last_read)).await?;
    let (commands, queue) = async_channel::bounded(COMMANDS_MAX);
    let link = Link { server, stream: &stream, commands, requested };
    future::or(link.read(incarnation, linked), write(&stream, &queue)).await
}

/// A connected link, before or after its banner was received.
struct Link<'a> {
    server: &'a Server,
    stream: &'a Async<TcpStream>,
    commands: Sender<Vec<u8>>,
    /// Time at which the banner was requested.
    requested: Nanos,
}

impl Link<'_> {
    async fn read(&self, incarnation: &mut Incarnation, linked: &mut bool) -> Result<()> {
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
                if let Some(notice) = line.notice {
                    let event = self.event(notice, incarnation, linked);
                    let _ = self.server.events.send(event).await;
                }
            }
        }
    }

    fn event(&self, notice: Notice, incarnation: &mut Incarnation, linked: &mut bool) -> Event {
        let Notice::Banner { cold, age } = notice else { return Event::Notice(notice) };
        *linked = true;
        self.server.counters.links.add();
        let restarted = incarnation.detect_restart(self.requested, self.server.clock.now(), age);
        Event::Linked { cold, age, restarted, commands: self.commands.clone() }
    }
}

/// Writes commands from the queue. Commands that are queued together are combined into one write.
async fn write(mut stream: &Async<TcpStream>, queue: &Receiver<Vec<u8>>) -> Result<()> {
    while let Ok(mut batch) = queue.recv().await {
        while batch.len() < WRITE_MAX_BYTES
            && let Ok(line) = queue.try_recv()
        {
            batch.extend(line);
        }
        stream.write_all(&batch).await?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
