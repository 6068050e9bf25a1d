//! The session with the interpreter over successive links: sends commands and matches gauge responses to
//! requests.

use crate::wire::interpreter;
use async_channel::Sender;

/// A pending gauge request, made for the controller's timer `timer`.
struct GaugesRequest {
    nonce: u64,
    timer: u32,
}

/// The session with the interpreter. It persists when a link is lost and replaced.
#[derive(Default)]
pub struct InterpreterSession {
    /// Queue of the current link's commands; `None` without a link.
    commands: Option<Sender<Vec<u8>>>,
    /// Number of the most recent link, counted from 1.
    link: u64,
    last_nonce: u64,
    /// Nonce of the gauge request sent at the start of a link. Its response follows all replayed notices, and
    /// so marks the end of the replay.
    replay_fence: Option<u64>,
    gauges_request: Option<GaugesRequest>,
}

impl InterpreterSession {
    /// Switches to a new link; later commands are sent through its queue.
    pub fn set_link(&mut self, commands: Sender<Vec<u8>>) {
        self.commands = Some(commands);
        self.link += 1;
    }

    /// Marks the link as lost. Commands sent before the next link is established are dropped.
    pub fn clear_link(&mut self) {
        self.commands = None;
    }

    /// Number of the most recent link; 0 before the first.
    pub fn link(&self) -> u64 {
        self.link
    }

    /// Sends a command. Returns the number of the link that carries it, or 0 if there is no link.
    pub fn send(&mut self, line: Vec<u8>) -> u64 {
        let sent = self.commands.as_ref().is_some_and(|commands| commands.try_send(line).is_ok());
        if !sent && let Some(commands) = self.commands.take() {
            // The queue is full because the interpreter does not read commands. Closing the queue ends the
            // link, which is then established again.
            commands.close();
        }
        if sent { self.link } else { 0 }
    }

    /// Sends a gauge request whose response shows that the interpreter has replayed all earlier notices.
    pub fn send_replay_fence(&mut self) {
        let nonce = self.next_nonce();
        self.replay_fence = Some(nonce);
        self.send(interpreter::request_gauges(nonce));
    }

    /// Requests the gauges for a timer of the controller. Returns the nonce of the request.
    pub fn request_gauges(&mut self, timer: u32) -> u64 {
        let nonce = self.next_nonce();
        self.gauges_request = Some(GaugesRequest { nonce, timer });
        self.send(interpreter::request_gauges(nonce));
        nonce
    }

    /// Returns true if `nonce` belongs to the replay fence; the replay is then complete.
    pub fn end_replay(&mut self, nonce: u64) -> bool {
        self.replay_fence.take_if(|fence| *fence == nonce).is_some()
    }

    /// Removes the pending gauge request with this nonce and returns its timer; `None` if it is no longer
    /// pending.
    pub fn end_gauges_request(&mut self, nonce: u64) -> Option<u32> {
        let request = self.gauges_request.take_if(|request| request.nonce == nonce);
        request.map(|request| request.timer)
    }

    fn next_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }
}
