//! Table of the invocations of this server. An invocation is removed from the table once it is answered and
//! its run has ended.

use crate::connection::table::Connection;
use crate::event::Request;
use async_executor::Task;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// State of one invocation.
pub struct Invocation {
    /// Reference of the invocation, chosen by the caller. Commands to the interpreter use the reference to
    /// identify the run.
    pub reference: u64,
    /// Index of the invocation's operation in the deployment's settings.
    pub operation: usize,
    /// Name of the tenant, if the fleet keeps separate counts for this tenant; `None` otherwise.
    pub counted_tenant: Option<String>,
    /// Unix time, in milliseconds, at which the call arrived at this machine.
    pub arrival_unix_ms: u64,
    /// Body of the call: the input of the operation.
    pub body: Vec<u8>,
    /// Connection on which the call was received, and on which it is answered.
    pub connection: Rc<Connection>,
    /// Tag of the call that requested the invocation. The answer must carry the same tag.
    pub tag: u64,
    /// Id of the original invocation, if this invocation is a repeat with the same idempotency key.
    pub repeat_of: Option<u64>,
    /// True if the invocation needs no further answer: it was answered, or its caller has abandoned it.
    pub is_answered: bool,
    /// True from the start of the run until the interpreter reports that the run has ended.
    pub is_running: bool,
    /// Last command that started or resumed the run. `None` once a notice has shown that the interpreter
    /// received the command.
    pub unconfirmed: Option<SentCommand>,
    /// True if a command for this run was sent again over a new link to the interpreter. The first copy of
    /// the command may have been lost with the earlier link.
    pub was_resent: bool,
    /// Number of the link over which the server last sent a command to stop the run. `None` if no such
    /// command was sent.
    pub stop_link: Option<u64>,
    /// Body of the downstream call for which the run waits. Emptied when the run resumes.
    pub call_body: Vec<u8>,
    /// True while the run of the invocation waits for the reply to a downstream call.
    pub awaits_call: bool,
    /// Downstream call that is in progress for the run; `None` if no call is in progress.
    pub call: Option<RunningCall>,
    /// Index of the downstream service that received the invocation's most recent downstream call.
    pub last_service: Option<usize>,
}

impl Invocation {
    /// Creates an invocation for a request that has just been received.
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

/// A command for the interpreter, and the link over which the command was last sent.
pub struct SentCommand {
    /// The encoded command.
    pub line: Vec<u8>,
    /// Number of the link to the interpreter over which the command was last sent. The number is 0 if the
    /// first attempt to send the command failed and no second attempt was made.
    pub link: u64,
}

/// A downstream call in progress. The call is abandoned when this value is dropped.
pub struct RunningCall {
    /// Number of the downstream call.
    pub number: u64,
    /// The task that makes the downstream call. The task is cancelled when this value is dropped.
    pub _task: Task<()>,
}

/// All invocations of the server, by id. This process assigns the ids. The references of invocations cannot
/// serve as ids: callers choose the references, and may choose the same reference twice.
#[derive(Default)]
pub struct Invocations {
    all: BTreeMap<u64, Invocation>,
    by_reference: HashMap<u64, u64>,
    last_id: u64,
}

impl Invocations {
    /// Adds an invocation to the table and returns the invocation's id. Returns `None` if the table contains
    /// an invocation with the same reference.
    pub fn insert(&mut self, invocation: Invocation) -> Option<u64> {
        if self.by_reference.contains_key(&invocation.reference) {
            return None;
        }
        self.last_id += 1;
        self.by_reference.insert(invocation.reference, self.last_id);
        self.all.insert(self.last_id, invocation);
        Some(self.last_id)
    }

    /// Returns the id of the invocation with this reference. Returns `None` if the table contains no such
    /// invocation.
    pub fn find(&self, reference: u64) -> Option<u64> {
        self.by_reference.get(&reference).copied()
    }

    /// Returns the invocation with this id. Returns `None` if the table contains no such invocation.
    pub fn get(&mut self, id: u64) -> Option<&mut Invocation> {
        self.all.get_mut(&id)
    }

    /// Iterates over all invocations in the order of their ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Invocation> {
        self.all.values_mut()
    }

    /// Returns the ids of all invocations whose run has started and not ended.
    pub fn running(&self) -> Vec<u64> {
        let running = self.all.iter().filter(|(_, invocation)| invocation.is_running);
        running.map(|(id, _)| *id).collect()
    }

    /// Returns the ids of all unanswered invocations that were received on the connection with this id.
    pub fn open_on(&self, connection: u64) -> Vec<u64> {
        let is_open =
            |invocation: &Invocation| !invocation.is_answered && invocation.connection.id == connection;
        let open = self.all.iter().filter(|(_, invocation)| is_open(invocation));
        open.map(|(id, _)| *id).collect()
    }

    /// Returns the id of the unanswered invocation whose call has this tag and was received on the connection
    /// with the id `connection`.
    pub fn find_open(&self, connection: u64, tag: u64) -> Option<u64> {
        let open = self.open_on(connection);
        open.into_iter().find(|id| self.all[id].tag == tag)
    }

    /// Removes an invocation from the table if the invocation is answered and its run is not in progress.
    pub fn release(&mut self, id: u64) {
        let is_over = |invocation: &Invocation| invocation.is_answered && !invocation.is_running;
        if self.all.get(&id).is_some_and(is_over)
            && let Some(released) = self.all.remove(&id)
        {
            self.by_reference.remove(&released.reference);
        }
    }
}
