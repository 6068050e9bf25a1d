//! Table of invocations, from their arrival until they are answered and no longer run.

use crate::connection::table::Connection;
use crate::event::Request;
use async_executor::Task;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// State of one invocation.
pub struct Invocation {
    /// Reference chosen by the caller, which also identifies the run to the interpreter.
    pub reference: u64,
    /// Index of the operation in the settings.
    pub operation: usize,
    /// Name of the tenant, if the fleet counts this tenant separately.
    pub counted_tenant: Option<String>,
    /// Time of arrival at this machine, in Unix milliseconds.
    pub arrival_unix_ms: u64,
    /// Body of the call, the operation's input.
    pub body: Vec<u8>,
    /// Connection on which to send the answer.
    pub connection: Rc<Connection>,
    /// Tag of the call, which its answer carries.
    pub tag: u64,
    /// Id of the original invocation, if this one repeats another.
    pub repeat_of: Option<u64>,
    /// True once the invocation is answered or abandoned by its caller.
    pub is_answered: bool,
    /// True while the run is started and no notice has reported its end.
    pub is_running: bool,
    /// Last command that the run depends on, until a notice confirms its receipt.
    pub unconfirmed: Option<SentCommand>,
    /// True if a command for the run was sent over more than one link.
    pub was_resent: bool,
    /// Number of the link that carried an unconfirmed stop command.
    pub stop_link: Option<u64>,
    /// Body of the downstream call that the run waits for.
    pub call_body: Vec<u8>,
    /// True while the run waits for a downstream call.
    pub awaits_call: bool,
    /// The downstream call in progress.
    pub call: Option<RunningCall>,
    /// Downstream service that received the most recent call of the invocation.
    pub last_service: Option<usize>,
}

impl Invocation {
    /// Creates an invocation for a request that has just arrived.
    pub fn new(request: Request, counted_tenant: Option<String>) -> Self {
        Self {
            reference: request.reference,
            operation: request.operation,
            counted_tenant,
            arrival_unix_ms: request.arrival_unix_ms,
            body: request.body,
            connection: request.connection,
            tag: request.tag,
            repeat_of: None,
            is_answered: false,
            is_running: false,
            unconfirmed: None,
            was_resent: false,
            stop_link: None,
            call_body: Vec::new(),
            awaits_call: false,
            call: None,
            last_service: None,
        }
    }
}

/// A sent command, with the most recent link that carried it.
pub struct SentCommand {
    /// The encoded command.
    pub line: Vec<u8>,
    /// Number of the link; 0 if there was no link.
    pub link: u64,
}

/// A downstream call in progress. Dropping it abandons the call.
pub struct RunningCall {
    /// Number of the downstream call.
    pub number: u64,
    /// The task that makes the call. Dropping the task cancels it.
    pub _task: Task<()>,
}

/// All invocations, keyed by ids that this process assigns. References cannot serve as ids, because peers
/// choose them and may repeat them.
#[derive(Default)]
pub struct Invocations {
    all: BTreeMap<u64, Invocation>,
    by_reference: HashMap<u64, u64>,
    last_id: u64,
}

impl Invocations {
    /// Adds an invocation and returns its id, or `None` if another invocation has the same reference.
    pub fn insert(&mut self, invocation: Invocation) -> Option<u64> {
        if self.by_reference.contains_key(&invocation.reference) {
            return None;
        }
        self.last_id += 1;
        self.by_reference.insert(invocation.reference, self.last_id);
        self.all.insert(self.last_id, invocation);
        Some(self.last_id)
    }

    /// Returns the id of the invocation with a reference.
    pub fn find(&self, reference: u64) -> Option<u64> {
        self.by_reference.get(&reference).copied()
    }

    /// Returns the invocation with an id.
    pub fn get(&mut self, id: u64) -> Option<&mut Invocation> {
        self.all.get_mut(&id)
    }

    /// Iterates over all invocations in the order of their ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Invocation> {
        self.all.values_mut()
    }

    /// Returns the ids of all running invocations.
    pub fn running(&self) -> Vec<u64> {
        let running = self.all.iter().filter(|(_, invocation)| invocation.is_running);
        running.map(|(id, _)| *id).collect()
    }

    /// Returns the ids of a connection's unanswered invocations.
    pub fn open_on(&self, connection: u64) -> Vec<u64> {
        let is_open =
            |invocation: &Invocation| !invocation.is_answered && invocation.connection.id == connection;
        let open = self.all.iter().filter(|(_, invocation)| is_open(invocation));
        open.map(|(id, _)| *id).collect()
    }

    /// Returns the id of a connection's unanswered invocation with a tag.
    pub fn find_open(&self, connection: u64, tag: u64) -> Option<u64> {
        let open = self.open_on(connection);
        open.into_iter().find(|id| self.all[id].tag == tag)
    }

    /// Removes an invocation if it is answered and not running.
    pub fn release(&mut self, id: u64) {
        let is_over = |invocation: &Invocation| invocation.is_answered && !invocation.is_running;
        if self.all.get(&id).is_some_and(is_over)
            && let Some(released) = self.all.remove(&id)
        {
            self.by_reference.remove(&released.reference);
        }
    }
}
