//! The invocations in hand: from the moment one is read until it is answered and runs no more.

use crate::connection::table::Connection;
use crate::event::Request;
use async_executor::Task;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

pub struct Invocation {
    pub reference: u64,
    pub operation: usize,
    /// Its tenant, where the fleet counts that one by name.
    pub tenant: Option<String>,
    /// When its caller sent it, in milliseconds since the epoch.
    pub arrived: u64,
    pub body: Vec<u8>,
    pub connection: Rc<Connection>,
    pub tag: u64,
    /// The invocation of which this is a repeat.
    pub repeats: Option<u64>,
    pub answered: bool,
    /// A run was asked for and has not been heard to end.
    pub runs: bool,
    /// The command that the run goes on by, until a notice shows that it was taken.
    pub unconfirmed: Option<Sent>,
    /// Its command went out on more than one link.
    pub sent_again: bool,
    /// A stop that is not confirmed yet, and the link it was sent on.
    pub stopping: Option<u64>,
    /// The body of the call at which the run waits.
    pub asked: Vec<u8>,
    /// Whether the run waits at a call.
    pub waits: bool,
    /// The call under way and its number; dropped, it is given up.
    pub call: Option<(u64, Task<()>)>,
    /// The service of the tier below that its last call went to.
    pub called: Option<usize>,
}

impl Invocation {
    /// One that has just arrived, with the name of its tenant where the fleet counts that by name.
    pub fn new(request: Request, tenant: Option<String>) -> Self {
        Self {
            reference: request.reference,
            operation: request.operation,
            tenant,
            arrived: request.since_unix_ms,
            body: request.body,
            connection: request.connection,
            tag: request.tag,
            repeats: None,
            answered: false,
            runs: false,
            unconfirmed: None,
            sent_again: false,
            stopping: None,
            asked: Vec::new(),
            waits: false,
            call: None,
            called: None,
        }
    }
}

pub struct Sent {
    pub line: Vec<u8>,
    pub link: u64,
}

/// Numbers of the module's own name them here, since references are the peers' and may repeat.
#[derive(Default)]
pub struct Invocations {
    all: BTreeMap<u64, Invocation>,
    by_reference: HashMap<u64, u64>,
    last: u64,
}

impl Invocations {
    /// `None` where one of this reference is in hand.
    pub fn take_in(&mut self, invocation: Invocation) -> Option<u64> {
        if self.by_reference.contains_key(&invocation.reference) {
            return None;
        }
        self.last += 1;
        self.by_reference.insert(invocation.reference, self.last);
        self.all.insert(self.last, invocation);
        Some(self.last)
    }

    pub fn find(&self, reference: u64) -> Option<u64> {
        self.by_reference.get(&reference).copied()
    }

    pub fn get(&mut self, id: u64) -> Option<&mut Invocation> {
        self.all.get_mut(&id)
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Invocation> {
        self.all.values_mut()
    }

    pub fn running(&self) -> Vec<u64> {
        self.all.iter().filter(|(_, inv)| inv.runs).map(|(id, _)| *id).collect()
    }

    pub fn open_on(&self, connection: u64) -> Vec<u64> {
        let open = |inv: &Invocation| !inv.answered && inv.connection.id == connection;
        self.all.iter().filter(|(_, inv)| open(inv)).map(|(id, _)| *id).collect()
    }

    /// Gives back what is needed no more.
    pub fn release(&mut self, id: u64) {
        if self.all.get(&id).is_some_and(|inv| inv.answered && !inv.runs) {
            let gone = self.all.remove(&id);
            gone.and_then(|inv| self.by_reference.remove(&inv.reference));
        }
    }
}
