//! The invocations from their arrival until they are answered and no longer run.

use crate::connection::table::Connection;
use crate::event::Request;
use async_executor::Task;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// One invocation.
pub struct Invocation {
    /// The caller's number for it, by which the interpreter knows the run.
    pub reference: u64,
    /// Place of its operation in the settings.
    pub operation: usize,
    /// Its tenant, where the fleet counts that one by name.
    pub counted_tenant: Option<String>,
    /// When it reached the machine, in Unix milliseconds.
    pub arrival_unix_ms: u64,
    /// What the operation is applied to.
    pub body: Vec<u8>,
    /// Where its answer goes.
    pub connection: Rc<Connection>,
    /// The tag of its answer.
    pub tag: u64,
    /// The invocation that it repeats.
    pub repeat_of: Option<u64>,
    /// It has its answer, or nobody waits for one.
    pub is_answered: bool,
    /// Its run was started, and no notice has shown its end.
    pub is_running: bool,
    /// The command that the run depends on, until a notice shows that it was received.
    pub unconfirmed: Option<SentCommand>,
    /// A command for it went out on more than one link.
    pub was_resent: bool,
    /// The link on which a stop that is not confirmed was sent.
    pub stop_link: Option<u64>,
    /// The body of the downstream call that the run waits for.
    pub call_body: Vec<u8>,
    /// The run waits for a downstream call.
    pub awaits_call: bool,
    /// The downstream call under way.
    pub call: Option<RunningCall>,
    /// The service that its last downstream call went to.
    pub last_service: Option<usize>,
}

impl Invocation {
    /// One that has just arrived, with the name of its tenant where the fleet counts that by name.
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

/// A command, and the last link that carried it.
pub struct SentCommand {
    /// The line of the command.
    pub line: Vec<u8>,
    /// Number of the link; 0 where there was none.
    pub link: u64,
}

/// A downstream call under way. Dropped, it is given up.
pub struct RunningCall {
    /// The number of the call.
    pub number: u64,
    /// The task that makes it; a task that is dropped is cancelled.
    pub _task: Task<()>,
}

/// All invocations, by numbers of this process: references are chosen by peers and may repeat.
#[derive(Default)]
pub struct Invocations {
    all: BTreeMap<u64, Invocation>,
    by_reference: HashMap<u64, u64>,
    last_id: u64,
}

impl Invocations {
    /// Adds one; `None` where another of its reference is here.
    pub fn insert(&mut self, invocation: Invocation) -> Option<u64> {
        if self.by_reference.contains_key(&invocation.reference) {
            return None;
        }
        self.last_id += 1;
        self.by_reference.insert(invocation.reference, self.last_id);
        self.all.insert(self.last_id, invocation);
        Some(self.last_id)
    }

    /// The invocation of a reference.
    pub fn find(&self, reference: u64) -> Option<u64> {
        self.by_reference.get(&reference).copied()
    }

    /// The one of this number.
    pub fn get(&mut self, id: u64) -> Option<&mut Invocation> {
        self.all.get_mut(&id)
    }

    /// All of them, by their numbers.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Invocation> {
        self.all.values_mut()
    }

    /// Those that run.
    pub fn running(&self) -> Vec<u64> {
        let running = self.all.iter().filter(|(_, invocation)| invocation.is_running);
        running.map(|(id, _)| *id).collect()
    }

    /// Those of a connection that are not answered.
    pub fn open_on(&self, connection: u64) -> Vec<u64> {
        let is_open =
            |invocation: &Invocation| !invocation.is_answered && invocation.connection.id == connection;
        let open = self.all.iter().filter(|(_, invocation)| is_open(invocation));
        open.map(|(id, _)| *id).collect()
    }

    /// The one of a connection that is not answered and has this tag.
    pub fn find_open(&self, connection: u64, tag: u64) -> Option<u64> {
        let open = self.open_on(connection);
        open.into_iter().find(|id| self.all[id].tag == tag)
    }

    /// Removes one that is answered and does not run.
    pub fn release(&mut self, id: u64) {
        let is_over = |invocation: &Invocation| invocation.is_answered && !invocation.is_running;
        if self.all.get(&id).is_some_and(is_over)
            && let Some(released) = self.all.remove(&id)
        {
            self.by_reference.remove(&released.reference);
        }
    }
}
