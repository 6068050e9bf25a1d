//! The link to the interpreter, made again after each break.

use crate::event::Event;
use crate::server::Server;
use crate::server::receive;
use crate::wire::Parsed;
use crate::wire::interpreter;
use crate::wire::ring::Ring;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use meadowstream_overload_control::Nanos;
use meadowstream_overload_control::controller::CONTROL_PERIOD;
use std::io::{ErrorKind, Result};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Commands that may wait to be written; an interpreter that takes none is linked to anew.
const COMMANDS: usize = 4096;
/// What is written at once.
const OUT_MAX: usize = 64 * 1024;
/// Before the next try, twice as long each time up to the longest.
const PAUSE: Duration = Duration::from_millis(5);
const PAUSE_MAX: Duration = Duration::from_millis(160);
/// A restarted server is to be ready within 10 s whatever its interpreter does: a tenth of it is for the
/// first dial and a fifth for the first banner, and each time that was too short twice as long, so that one
/// that always takes that long is linked to in the end. Guards against peers that accept and say nothing, and
/// packets that are lost; dialling anew costs nothing where the interpreter only starts late: a new link
/// replaces the one before, and the banner comes on it.
const READY_WITHIN: Duration = Duration::from_secs(10);
const DIAL: u32 = 10;
const BANNER: u32 = 5;
/// The module asks for gauges each period, so that a link on which nothing comes for four of them has gone
/// silent. Guards against a peer that died without a word; harms an interpreter that stands still for as
/// long: it finds another link when it goes on.
const SILENT: usize = 4;
/// Two banners say the start of one interpreter in whole milliseconds, by clocks that may drift apart.
const SAME_START: Nanos = 1_000_000_000;

pub async fn keep(server: Rc<Server>) {
    let mut seen = Seen::default();
    let mut pause = PAUSE;
    loop {
        let mut linked = false;
        let moved = async {
            let _ = server.moved.1.recv().await;
            Err(std::io::Error::other("the interpreter has another address"))
        };
        if let Err(error) = future::or(moved, session(&server, &mut seen, &mut linked)).await {
            if linked {
                warn!(%error, last_read = seen.last_read, "link to the interpreter lost");
            }
            // Too little time was given only where nothing came in it.
            seen.too_short = if linked { 0 } else { seen.too_short + u32::from(is_timeout(&error)) };
        }
        pause = if linked { PAUSE } else { (pause * 2).min(PAUSE_MAX) };
        if linked {
            let _ = server.events.send(Event::LinkLost).await;
        }
        Timer::after(pause).await;
    }
}

/// What is known of the interpreter over all links.
#[derive(Default)]
struct Seen {
    last_read: u64,
    /// When it started at the latest, as its banners said.
    born: Option<Nanos>,
    /// Tries since the last link for which the time was too short.
    too_short: u32,
}

impl Seen {
    /// How long this try may take for what is given that part of the time at first.
    fn patience(&self, part: u32) -> Duration {
        (READY_WITHIN / part).saturating_mul(1 << self.too_short.min(8)).min(READY_WITHIN)
    }

    /// Whether the banner that said this age is that of an interpreter which started after the one before.
    /// It was asked for and read at these times and made in between; a machine may stand still meanwhile.
    fn is_anew(&mut self, asked: Nanos, read: Nanos, age: Nanos) -> bool {
        let latest = read.saturating_sub(age);
        let anew = self.born.is_some_and(|before| asked.saturating_sub(age) > before + SAME_START);
        self.born = Some(self.born.filter(|_| !anew).map_or(latest, |before| before.min(latest)));
        anew
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    error.kind() == ErrorKind::TimedOut
}

async fn within<T>(limit: Duration, what: impl Future<Output = Result<T>>) -> Result<T> {
    let late = async {
        Timer::after(limit).await;
        Err(ErrorKind::TimedOut.into())
    };
    future::or(what, late).await
}

/// Waits for bytes, until so many periods have brought none. They are counted one by one: a machine that
/// stood still finds them all over at once, though nothing was asked in them.
async fn hear(stream: &Async<TcpStream>, ring: &mut Ring) -> Result<()> {
    for _ in 0..SILENT {
        match within(Duration::from_nanos(CONTROL_PERIOD), receive(stream, ring)).await {
            Err(error) if is_timeout(&error) => {}
            heard => return heard,
        }
    }
    Err(ErrorKind::TimedOut.into())
}

async fn session(server: &Server, seen: &mut Seen, linked: &mut bool) -> Result<()> {
    let address = server.configuration.addresses.get().interpreter;
    let stream = within(seen.patience(DIAL), Async::<TcpStream>::connect(address)).await?;
    stream.get_ref().set_nodelay(true)?;
    let asked = server.clock.now();
    (&stream).write_all(&interpreter::connect(seen.last_read)).await?;
    let (commands, queue) = async_channel::bounded(COMMANDS);
    let reads = async {
        let (mut ring, mut skips) = (Ring::new(2 * interpreter::LINE_MAX), false);
        loop {
            if *linked {
                hear(&stream, &mut ring).await?;
            } else {
                within(seen.patience(BANNER), receive(&stream, &mut ring)).await?;
            }
            while let Some((input, used)) = next(server, ring.front(), &mut skips, &mut seen.last_read) {
                ring.drop_front(used);
                let input = match input {
                    Some(interpreter::Notice::Banner { cold, age }) => {
                        *linked = true;
                        server.counters.links.add();
                        let anew = seen.is_anew(asked, server.clock.now(), age);
                        if anew {
                            seen.last_read = 0;
                        }
                        Some(Event::Linked { cold, age, restarted: anew, commands: commands.clone() })
                    }
                    other => other.map(Event::Notice),
                };
                if let Some(input) = input {
                    let _ = server.events.send(input).await;
                }
            }
        }
    };
    future::or(reads, write(&stream, &queue)).await
}

/// The next line that says something new, and the bytes that are done with.
fn next(
    server: &Server,
    bytes: &[u8],
    skips: &mut bool,
    last_read: &mut u64,
) -> Option<(Option<interpreter::Notice>, usize)> {
    let (line, used) = match interpreter::line(bytes) {
        Parsed::Incomplete => return None,
        Parsed::Complete(line, used) => (line, used),
        Parsed::Malformed(_) => {
            // Its end is looked for in what comes next; until then all of it is passed over.
            let end = bytes.iter().position(|byte| *byte == b'\n').map(|end| end + 1);
            *skips = end.is_none();
            server.counters.bad_notices.add();
            return Some((None, end.unwrap_or(bytes.len())));
        }
    };
    if std::mem::take(skips) {
        return Some((None, used));
    }
    server.counters.notices.add();
    match interpreter::notice(line) {
        // A notice that was read before is not news.
        Ok((Some(index), _)) if index <= *last_read => Some((None, used)),
        Ok((index, notice)) => {
            *last_read = index.unwrap_or(*last_read);
            Some((Some(notice), used))
        }
        Err(error) => {
            server.counters.bad_notices.add();
            warn!("notice passed over: {error:#}");
            Some((None, used))
        }
    }
}

async fn write(mut stream: &Async<TcpStream>, queue: &Receiver<Vec<u8>>) -> Result<()> {
    let mut ring = Ring::new(OUT_MAX);
    while let Ok(line) = queue.recv().await {
        let _ = ring.put(&line);
        while ring.free() > interpreter::LINE_MAX
            && let Ok(line) = queue.try_recv()
        {
            let _ = ring.put(&line);
        }
        while !ring.is_empty() {
            let count = stream.write(ring.front()).await?;
            ring.drop_front(count);
        }
    }
    Ok(())
}
