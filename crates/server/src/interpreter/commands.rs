//! Queue of the commands that wait to be written to a link. Counts the written bytes, so that after the loss
//! of the link it is known which commands the interpreter cannot have received.

use crate::sockets;
use async_channel::{Receiver, Sender, TrySendError};
use async_io::Async;
use std::cell::Cell;
use std::io::Result;
use std::net::TcpStream;
use std::rc::Rc;

/// Size, in bytes, at which a write to the link is full. Queued commands are added to one write until the
/// write has at least this size.
const WRITE_MAX_BYTES: usize = 64 * 1024;

/// Reason why a command was not added to the queue of a link.
#[derive(Debug, thiserror::Error)]
#[error("the link does not take commands")]
pub struct NotQueued;

/// Creates the queue of a link, with space for `capacity` commands. Returns its two ends.
pub fn queue(capacity: usize) -> (CommandSender, CommandWriter) {
    let (lines, queued) = async_channel::bounded(capacity);
    let written_bytes = Rc::new(Cell::new(0));
    let sender = CommandSender { lines, queued_bytes: 0, written_bytes: written_bytes.clone() };
    (sender, CommandWriter { lines: queued, written_bytes })
}

/// End of the queue to which the event loop adds commands.
pub struct CommandSender {
    lines: Sender<Vec<u8>>,
    /// Total length of all commands that were added to the queue.
    queued_bytes: u64,
    /// Number of bytes of the queued commands that were written to the link.
    written_bytes: Rc<Cell<u64>>,
}

impl CommandSender {
    /// Adds a command to the queue. Returns the total length of all commands up to the end of this one. If
    /// the queue is full because the interpreter does not read, closes the queue, which ends the link.
    pub fn send(&mut self, line: Vec<u8>) -> std::result::Result<u64, NotQueued> {
        let length = line.len() as u64;
        match self.lines.try_send(line) {
            Ok(()) => {
                self.queued_bytes += length;
                Ok(self.queued_bytes)
            }
            Err(TrySendError::Full(_)) => {
                self.lines.close();
                Err(NotQueued)
            }
            Err(TrySendError::Closed(_)) => Err(NotQueued),
        }
    }

    /// Returns the number of bytes of the queued commands that were written to the link.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.get()
    }
}

/// End of the queue from which commands are written to the link.
pub struct CommandWriter {
    lines: Receiver<Vec<u8>>,
    written_bytes: Rc<Cell<u64>>,
}

impl CommandWriter {
    /// Writes the queued commands to the link until the queue is closed. Commands that are in the queue at
    /// the same time are combined into one write.
    pub async fn write_to(&self, stream: &Async<TcpStream>) -> Result<()> {
        while let Ok(mut batch) = self.lines.recv().await {
            while batch.len() < WRITE_MAX_BYTES
                && let Ok(line) = self.lines.try_recv()
            {
                batch.extend(line);
            }
            self.write_batch(stream, &batch).await?;
        }
        Ok(())
    }

    async fn write_batch(&self, stream: &Async<TcpStream>, batch: &[u8]) -> Result<()> {
        let mut rest = batch;
        while !rest.is_empty() {
            let written = sockets::send(stream, rest).await?;
            self.written_bytes.set(self.written_bytes.get() + written as u64);
            rest = &rest[written..];
        }
        Ok(())
    }
}
