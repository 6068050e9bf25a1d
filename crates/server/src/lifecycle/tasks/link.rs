//! The link to the interpreter, made again after each break.

use super::{Input, Server, receive};
use crate::wire::{Parsed, interpreter, ring::Ring};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use std::io::Result;
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

pub async fn keep(server: Rc<Server>) {
    let mut last_read = 0;
    let mut pause = PAUSE;
    loop {
        let mut linked = false;
        let moved = async {
            let _ = server.moved.1.recv().await;
            Err(std::io::Error::other("the interpreter has another address"))
        };
        if let Err(error) = future::or(moved, session(&server, &mut last_read, &mut linked)).await
            && linked
        {
            warn!(%error, last_read, "link to the interpreter lost");
        }
        pause = if linked { PAUSE } else { (pause * 2).min(PAUSE_MAX) };
        if linked {
            let _ = server.inputs.send(Input::LinkLost).await;
        }
        Timer::after(pause).await;
    }
}

async fn session(server: &Server, last_read: &mut u64, linked: &mut bool) -> Result<()> {
    let stream = Async::<TcpStream>::connect(server.configuration.addresses.get().interpreter).await?;
    stream.get_ref().set_nodelay(true)?;
    (&stream).write_all(&interpreter::connect(*last_read)).await?;
    let (commands, queue) = async_channel::bounded(COMMANDS);
    let reads = async {
        let (mut ring, mut skips) = (Ring::new(2 * interpreter::LINE_MAX), false);
        loop {
            receive(&stream, &mut ring).await?;
            while let Some((input, used)) = next(server, ring.front(), &mut skips, last_read) {
                ring.drop_front(used);
                let input = match input {
                    Some(interpreter::Notice::Banner { cold, age }) => {
                        *linked = true;
                        server.counters.links.add();
                        Some(Input::Linked { cold, age, commands: commands.clone() })
                    }
                    other => other.map(Input::Noticed),
                };
                if let Some(input) = input {
                    let _ = server.inputs.send(input).await;
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
        Parsed::More => return None,
        Parsed::Whole(line, used) => (line, used),
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
        while ring.room() > interpreter::LINE_MAX
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
