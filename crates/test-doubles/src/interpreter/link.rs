//! Link between a server and the interpreter test double. The server sends commands, and the interpreter
//! sends notices. Each command and each notice is one line of JSON.

use super::machine::Machine;
use async_io::{Async, Timer};
use futures_lite::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use futures_lite::{StreamExt, future};
use rustix::net::sockopt;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Period at which the interpreter looks for faults that a test has switched on or off.
const FAULTS_PERIOD: Duration = Duration::from_millis(5);

/// Event that the interpreter handles while it serves a link.
enum Event {
    /// A run has reached its downstream call or its end, or it is time to look for faults.
    Due,
    Line(String),
    Closed,
}

/// Serves one connection from a server until the server closes the connection. Fails if a notice cannot be
/// written or a command is not JSON.
pub async fn serve(machine: &mut Machine, stream: Async<TcpStream>) -> std::io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    let mut lines = BufReader::new(&stream).lines();
    loop {
        let line = async {
            match lines.next().await {
                Some(Ok(line)) => Event::Line(line),
                Some(Err(_)) | None => Event::Closed,
            }
        };
        let due = async {
            let look_for_faults = Instant::now() + FAULTS_PERIOD;
            Timer::at(machine.next_due().map_or(look_for_faults, |due| due.min(look_for_faults))).await;
            Event::Due
        };
        let event = future::or(line, due).await;
        let now = Instant::now();
        let mut notices = Vec::new();
        machine.advance(now, &mut notices);
        machine.retain_notices(&notices);
        let run_notices = notices.len();
        match event {
            Event::Due => {}
            Event::Line(_) if machine.faults().ignores_commands() => {}
            Event::Line(line) => {
                let command = serde_json::from_str(&line).map_err(std::io::Error::other)?;
                machine.execute(&command, now, &mut notices);
            }
            Event::Closed => return Ok(()),
        }
        // Notices with an index are retained, so that the next link can repeat them. A notice about a run has
        // an index, even if a command has halted the run. A direct reply to a command has no index and is not
        // retained.
        machine.retain_notices(&notices[run_notices..]);
        let text: String = notices.iter().map(|notice| format!("{notice}\n")).collect();
        (&stream).write_all(text.as_bytes()).await?;
        if machine.faults().takes_link_reset() {
            // A socket that is closed without lingering sends a reset.
            sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?;
            return Ok(());
        }
    }
}
