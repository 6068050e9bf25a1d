//! The session with the interpreter, which continues when a new link replaces a lost link. Sends commands to
//! the interpreter, and matches each gauge response of the interpreter with its request.

use crate::wire::interpreter;
use async_channel::Sender;

/// A request for the interpreter's gauges that has not been answered. The controller handles its expired
/// timer with the number `timer` when the response arrives or the request times out.
struct GaugesRequest {
    nonce: u64,
    timer: u32,
}

/// The session with the interpreter. The session continues when a link is lost and a new link is established.
#[derive(Default)]
pub struct InterpreterSession {
    /// Queue of commands to send to the interpreter over the current link; `None` while there is no link.
    commands: Option<Sender<Vec<u8>>>,
    /// Number of the most recent link to the interpreter. The first link has number 1.
    link: u64,
    last_nonce: u64,
    /// Nonce of the gauge request that is sent at the start of a link. The interpreter answers this request
    /// after it has replayed all notices that the server missed. The response therefore marks the end of the
    /// replay.
    replay_fence: Option<u64>,
    gauges_request: Option<GaugesRequest>,
}

impl InterpreterSession {
    /// Starts using a new link to the interpreter. Commands for this link are put into the queue `commands`.
    pub fn set_link(&mut self, commands: Sender<Vec<u8>>) {
        self.commands = Some(commands);
        self.link += 1;
    }

    /// Marks the current link as lost. Until the next link is established, commands are dropped.
    pub fn clear_link(&mut self) {
        self.commands = None;
    }

    /// Returns the number of the most recent link to the interpreter; 0 if there was no link yet.
    pub fn link(&self) -> u64 {
        self.link
    }

    /// Sends a command to the interpreter over the current link. Returns the number of this link. Returns 0
    /// if the command was dropped, because there is no link or the link's queue is full.
    pub fn send(&mut self, line: Vec<u8>) -> u64 {
        let sent = self.commands.as_ref().is_some_and(|commands| commands.try_send(line).is_ok());
        if !sent && let Some(commands) = self.commands.take() {
            // The queue is full because the interpreter does not read commands. Closing the queue ends the
            // link; the link task then establishes a new link.
            commands.close();
        }
        if sent { self.link } else { 0 }
    }

    /// Sends a gauge request at the start of a link. The response shows that the interpreter has replayed all
    /// notices that this server missed.
    pub fn send_replay_fence(&mut self) {
        let nonce = self.next_nonce();
        self.replay_fence = Some(nonce);
        self.send(interpreter::request_gauges(nonce));
    }

    /// Requests the gauges of the interpreter. The controller needs the gauge readings to handle its expired
    /// timer with the number `timer`. Returns the nonce that identifies the request.
    pub fn request_gauges(&mut self, timer: u32) -> u64 {
        let nonce = self.next_nonce();
        self.gauges_request = Some(GaugesRequest { nonce, timer });
        self.send(interpreter::request_gauges(nonce));
        nonce
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

    fn next_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }
}
