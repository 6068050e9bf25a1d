//! Numbers kept until a time: what has run out is found without looking at the rest.

use crate::Nanos;
use std::collections::{BTreeSet, HashMap};

#[derive(Debug, Default)]
pub struct Table {
    ends: HashMap<u64, Nanos>,
    by_end: BTreeSet<(Nanos, u64)>,
}

impl Table {
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Kept until then; one that is kept already is kept for the new time.
    pub fn keep(&mut self, id: u64, end: Nanos) {
        self.forget(id);
        self.ends.insert(id, end);
        self.by_end.insert((end, id));
    }

    pub fn forget(&mut self, id: u64) {
        if let Some(end) = self.ends.remove(&id) {
            self.by_end.remove(&(end, id));
        }
    }

    /// Lets go of all whose time has come.
    pub fn age(&mut self, now: Nanos) {
        while let Some((_, id)) = self.by_end.first().copied().filter(|(end, _)| *end <= now) {
            self.forget(id);
        }
    }
}
