//! What is sent to the interpreter over successive links, and the requests that wait for its answer.

use crate::wire::interpreter;
use async_channel::Sender;

/// The gauges were requested for a timer of the controller.
struct GaugesRequest {
    nonce: u64,
    timer: u32,
}

/// The session with the interpreter, which outlives its links.
#[derive(Default)]
pub struct InterpreterSession {
    /// Where commands go while there is a link.
    commands: Option<Sender<Vec<u8>>>,
    /// Number of the link, counted from 1.
    link: u64,
    last_nonce: u64,
    /// The request whose answer comes after everything that a new link replays.
    replay_fence: Option<u64>,
    gauges_request: Option<GaugesRequest>,
}

impl InterpreterSession {
    /// Commands go out on a new link.
    pub fn set_link(&mut self, commands: Sender<Vec<u8>>) {
        self.commands = Some(commands);
        self.link += 1;
    }

    /// The link has ended; what is sent until the next one is lost.
    pub fn clear_link(&mut self) {
        self.commands = None;
    }

    /// Number of the last link; 0 before the first.
    pub fn link(&self) -> u64 {
        self.link
    }

    /// Sends a command. Returns the link that it went out on; 0 where there is none.
    pub fn send(&mut self, line: Vec<u8>) -> u64 {
        let sent = self.commands.as_ref().is_some_and(|commands| commands.try_send(line).is_ok());
        if !sent && let Some(commands) = self.commands.take() {
            // The interpreter reads nothing: the link ends with its queue and is made again.
            commands.close();
        }
        if sent { self.link } else { 0 }
    }

    /// Sends a request whose answer shows that the interpreter has replayed its notices.
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

    /// True where the answer of this nonce is the one to the fence.
    pub fn end_replay(&mut self, nonce: u64) -> bool {
        self.replay_fence.take_if(|fence| *fence == nonce).is_some()
    }

    /// The timer that the gauges of this nonce were requested for, if they are still awaited.
    pub fn end_gauges_request(&mut self, nonce: u64) -> Option<u32> {
        let request = self.gauges_request.take_if(|request| request.nonce == nonce);
        request.map(|request| request.timer)
    }

    fn next_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }
}
