//! The session with the interpreter, which continues when a new link replaces a lost link. Sends commands to
//! the interpreter, and matches each gauge response of the interpreter with its request.
//!
//! The interpreter carries out the commands of a link in order. The response to a gauge request therefore
//! shows that the interpreter has received all commands that were sent before the request on the same link.

use crate::interpreter::commands::{CommandSender, NotQueued};
use crate::wire::interpreter;
use std::collections::VecDeque;

/// Maximum number of gauge requests whose responses can show the receipt of commands. When there are more
/// unanswered requests, the oldest are forgotten. The response to a later request shows as much.
const PROBES_MAX: usize = 64;

/// A request for the interpreter's gauges that has not been answered. The controller handles its expired
/// timer with the number `timer` when the response arrives or the request times out.
struct GaugesRequest {
    nonce: u64,
    timer: u32,
}

/// A gauge request whose response shows the receipt of all commands before it.
struct Probe {
    nonce: u64,
    /// Place of the gauge request among the commands of the current link.
    position: CommandPosition,
}

/// Place of a command among the commands that were sent over one link: the total length of the link's
/// commands up to the end of this command. The default is the place before the first command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CommandPosition(u64);

/// Whether a command was received that was sent over a link which is now lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The interpreter has received the command.
    Received,
    /// The interpreter cannot have received the command, because not all of it was written to the link.
    NotReceived,
    /// The command was written to the link. Whether it was received is unknown.
    Unknown,
}

/// What is known about the commands of a link when the link is lost.
#[derive(Clone, Copy, Debug)]
pub struct LostLink {
    /// Place of the last command whose receipt a gauge response has shown.
    received: CommandPosition,
    /// Number of bytes of the link's commands that were written to the link.
    written_bytes: u64,
}

impl LostLink {
    /// Returns whether the command at `position` was received.
    pub fn receipt(&self, position: CommandPosition) -> Receipt {
        // The last byte of a command ends its line. A reader may take a line as whole without this byte.
        let needed_bytes = position.0.saturating_sub(1);
        if position <= self.received {
            Receipt::Received
        } else if self.written_bytes < needed_bytes {
            Receipt::NotReceived
        } else {
            Receipt::Unknown
        }
    }
}

/// The session with the interpreter. The session continues when a link is lost and a new link is established.
#[derive(Default)]
pub struct InterpreterSession {
    /// Queue of commands to send to the interpreter over the current link; `None` while there is no link.
    commands: Option<CommandSender>,
    /// Number of links that were established so far.
    links: u64,
    last_nonce: u64,
    /// Nonce of the gauge request that is sent at the start of a link. The interpreter answers this request
    /// after it has replayed all notices that the server missed. The response therefore marks the end of the
    /// replay.
    replay_fence: Option<u64>,
    gauges_request: Option<GaugesRequest>,
    /// Unanswered gauge requests of the current link, the oldest first.
    probes: VecDeque<Probe>,
    /// Place of the last command of the current link whose receipt a gauge response has shown.
    received: CommandPosition,
}

impl InterpreterSession {
    /// Starts using a new link to the interpreter. Commands for this link are put into the queue `commands`.
    pub fn set_link(&mut self, commands: CommandSender) {
        self.commands = Some(commands);
        self.links += 1;
        self.received = CommandPosition::default();
    }

    /// Marks the current link as lost. Until the next link is established, commands are dropped. Returns what
    /// is known about the commands of the lost link; `None` if there is no link.
    pub fn clear_link(&mut self) -> Option<LostLink> {
        self.probes.clear();
        let commands = self.commands.take()?;
        Some(LostLink { received: self.received, written_bytes: commands.written_bytes() })
    }

    /// Returns the number of links to the interpreter that were established so far.
    pub fn links(&self) -> u64 {
        self.links
    }

    /// Sends a command to the interpreter over the current link. Returns the command's place on this link.
    /// Returns an error if the command was dropped, because there is no link or the link's queue is full.
    pub fn send(&mut self, line: Vec<u8>) -> Result<CommandPosition, NotQueued> {
        let commands = self.commands.as_mut().ok_or(NotQueued)?;
        commands.send(line).map(CommandPosition)
    }

    /// Sends a gauge request at the start of a link. The response shows that the interpreter has replayed all
    /// notices that this server missed.
    pub fn send_replay_fence(&mut self) {
        self.replay_fence = Some(self.send_gauges_request());
    }

    /// Requests the gauges of the interpreter. The controller needs the gauge readings to handle its expired
    /// timer with the number `timer`. Returns the nonce that identifies the request.
    pub fn request_gauges(&mut self, timer: u32) -> u64 {
        let nonce = self.send_gauges_request();
        self.gauges_request = Some(GaugesRequest { nonce, timer });
        nonce
    }

    fn send_gauges_request(&mut self) -> u64 {
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        if let Ok(position) = self.send(interpreter::request_gauges(nonce)) {
            if self.probes.len() == PROBES_MAX {
                self.probes.pop_front();
            }
            self.probes.push_back(Probe { nonce, position });
        }
        nonce
    }

    /// Records that the interpreter has answered the gauge request with the nonce `nonce`, and has therefore
    /// received all earlier commands of the link.
    pub fn record_receipt(&mut self, nonce: u64) {
        let answered = self.probes.iter().position(|probe| probe.nonce == nonce);
        let Some(answered) = answered else { return };
        self.received = self.probes[answered].position;
        self.probes.drain(..=answered);
    }

    /// Returns whether a gauge response has shown the receipt of the command at `position` on the current
    /// link.
    pub fn is_received(&self, position: CommandPosition) -> bool {
        position <= self.received
    }

    /// Handles the interpreter's response to the gauge request with the nonce `nonce`. Returns true if this
    /// request was sent at the start of the link. The interpreter has then replayed all missed notices.
    pub fn end_replay(&mut self, nonce: u64) -> bool {
        self.replay_fence.take_if(|fence| *fence == nonce).is_some()
    }

    /// Removes the pending gauge request with this nonce. Returns the number of the controller's timer for
    /// which the gauges were requested. Returns `None` if no such request is pending.
    pub fn end_gauges_request(&mut self, nonce: u64) -> Option<u32> {
        let request = self.gauges_request.take_if(|request| request.nonce == nonce);
        request.map(|request| request.timer)
    }
}

#[cfg(test)]
mod tests;
