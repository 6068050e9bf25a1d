//! Table of the invocations of this server. An invocation is removed from the table once it is answered and
//! its run has ended.

use crate::connection::table::Connection;
use crate::event::Request;
use crate::event_loop::interpreter_session::{CommandPosition, LostLink, Receipt};
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
    /// Last command that started or resumed the run. `None` once the interpreter is known to have received
    /// the command, and while `may_be_lost` is true.
    ///
    /// Invariant: of the commands for a run that is not idempotent, at most one copy each can have reached
    /// the interpreter.
    pub unconfirmed: Option<SentCommand>,
    /// True if the last command that started or resumed the run may have been lost and is not sent again. No
    /// notice of the run may ever come.
    pub may_be_lost: bool,
    /// Delivery of the command to stop the run. `None` if no such command was sent, and once its receipt was
    /// reported to the controller.
    pub stop: Option<Delivery>,
    /// True if the invocation was answered and nothing will report the end of its run. The run may still
    /// be on the cores.
    pub lingers: bool,
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
            may_be_lost: false,
            stop: None,
            lingers: false,
            call_body: Vec::new(),
            awaits_call: false,
            call: None,
            last_service: None,
        }
    }
}

impl Invocation {
    /// Updates the delivery of the invocation's commands after the link was lost.
    pub fn on_link_lost(&mut self, lost: &LostLink) {
        self.unconfirmed = self.unconfirmed.take().and_then(|sent| {
            let delivery = sent.delivery.after_loss(lost)?;
            Some(SentCommand { delivery, ..sent })
        });
        // A received command is also sent again: the end of the run may not have been read.
        self.stop = self.stop.map(|stop| stop.after_loss(lost).unwrap_or(Delivery::Unknown));
    }
}

/// How far a command has come on its way to the interpreter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delivery {
    /// The command was sent at this place over the current link.
    Sent(CommandPosition),
    /// The interpreter cannot have received the command.
    NotReceived,
    /// The link was lost after the command was written. Whether the command was received is unknown.
    Unknown,
}

impl Delivery {
    /// Returns the delivery of a command after the link was lost. Returns `None` if the command was received.
    fn after_loss(self, lost: &LostLink) -> Option<Self> {
        let Self::Sent(position) = self else { return Some(self) };
        match lost.receipt(position) {
            Receipt::Received => None,
            Receipt::NotReceived => Some(Self::NotReceived),
            Receipt::Unknown => Some(Self::Unknown),
        }
    }
}

/// Effect of a command on a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunCommand {
    /// The command starts the run.
    Start,
    /// The command resumes the run with the reply to its downstream call.
    Resume,
}

/// A command for the interpreter that starts or resumes a run.
pub struct SentCommand {
    /// Effect of the command.
    pub command: RunCommand,
    /// The encoded command.
    pub line: Vec<u8>,
    /// How far the command has come.
    pub delivery: Delivery,
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

    /// Returns the ids of all running invocations whose command to stop the run satisfies `condition`.
    /// Lingering runs are included.
    pub fn stopping(&self, condition: impl Fn(Delivery) -> bool) -> Vec<u64> {
        let is_stopping =
            |invocation: &Invocation| invocation.is_running && invocation.stop.is_some_and(&condition);
        let stopping = self.all.iter().filter(|(_, invocation)| is_stopping(invocation));
        stopping.map(|(id, _)| *id).collect()
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
