//! What one member holds of the committed log: the content at its end, the last entries for those who lag a
//! little, and two checkpoints for those who lag more. Checkpoints stand at the same numbers everywhere, so
//! that a transfer begun from one member goes on from another.

use crate::revision::{Entry, Position, Revision};
use crate::state::{KEYS_MAX, State};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A checkpoint is taken at the first whole change in each block of so many numbers.
pub const CHECKPOINT_EVERY: u64 = 256;

/// The content of one revision, at the end of a whole change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub revision: Revision,
    pub state: State,
}

/// Why an entry was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryError {
    /// Its content is not what its hash says, or it breaks a bound.
    Content,
}

/// What became of an entry that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    New,
    Known,
    /// Entries before it are missing.
    Gap,
}

#[derive(Clone, Debug, Default)]
pub struct CommittedLog {
    end: Snapshot,
    /// The last revision that is no part of a change: what may be in force.
    complete: Snapshot,
    /// What the first entry of the tail was applied to.
    base: Snapshot,
    tail: VecDeque<Entry>,
    /// The newer first.
    checkpoints: [Option<Snapshot>; 2],
}

impl CommittedLog {
    /// Goes on from a snapshot, of a disk or of a transfer.
    pub fn from_snapshot(snapshot: Snapshot) -> CommittedLog {
        let (end, complete) = (snapshot.clone(), snapshot.clone());
        CommittedLog { end, complete, base: snapshot, ..CommittedLog::default() }
    }

    pub fn revision(&self) -> Revision {
        self.end.revision
    }

    pub fn number(&self) -> u64 {
        self.end.revision.position.number
    }

    pub fn state(&self) -> &State {
        &self.end.state
    }

    pub fn end(&self) -> &Snapshot {
        &self.end
    }

    pub fn complete(&self) -> &Snapshot {
        &self.complete
    }

    /// The position of the entry with this number, as far as it is known.
    pub fn position(&self, number: u64) -> Option<Position> {
        if number == self.number() {
            return Some(self.end.revision.position);
        }
        let first = self.tail.front()?.revision.position.number;
        self.tail.get(number.checked_sub(first)? as usize).map(|entry| entry.revision.position)
    }

    /// Takes a committed entry. One with a number that is known changes nothing, whatever it says.
    pub fn take(&mut self, entry: &Entry) -> Result<AppendOutcome, EntryError> {
        let number = entry.revision.position.number;
        if number <= self.number() {
            return Ok(AppendOutcome::Known);
        }
        if number > self.number() + 1 {
            return Ok(AppendOutcome::Gap);
        }
        if !entry.is_within_bounds() || entry.revision.position.epoch < self.end.revision.position.epoch {
            return Err(EntryError::Content);
        }
        let mut state = self.end.state.clone();
        state.apply(&entry.changes);
        if state.hash() != entry.revision.hash || state.len() > KEYS_MAX {
            return Err(EntryError::Content);
        }
        self.end = Snapshot { revision: entry.revision, state };
        self.tail.push_back(entry.clone());
        if !entry.partial {
            self.complete = self.end.clone();
            self.take_checkpoint();
        }
        Ok(AppendOutcome::New)
    }

    /// The same numbers are checkpoints wherever the log was followed from.
    fn take_checkpoint(&mut self) {
        let last = self.checkpoints[0].as_ref().unwrap_or(&self.base).revision.position.number;
        if self.number() / CHECKPOINT_EVERY > last / CHECKPOINT_EVERY {
            self.checkpoints.swap(0, 1);
            self.checkpoints[0] = Some(self.end.clone());
            self.trim();
        }
    }

    /// Entries before the older checkpoint are of no use: who needs them needs the checkpoint.
    fn trim(&mut self) {
        let [_, Some(older)] = &self.checkpoints else { return };
        if older.revision.position.number < self.base.revision.position.number {
            return;
        }
        self.base = older.clone();
        let oldest = self.base.revision.position.number;
        while self.tail.front().is_some_and(|entry| entry.revision.position.number <= oldest) {
            self.tail.pop_front();
        }
    }

    /// The content at a number, as far back as entries are held.
    pub fn state_at(&self, number: u64) -> Option<State> {
        if number < self.base.revision.position.number || number > self.number() {
            return None;
        }
        let mut state = self.base.state.clone();
        let upto = self.tail.iter().take_while(|entry| entry.revision.position.number <= number);
        upto.for_each(|entry| state.apply(&entry.changes));
        Some(state)
    }

    /// The entries of the change that ends at a number: those partial before it, and itself.
    pub fn change_at(&self, number: u64) -> Option<Vec<&Entry>> {
        let end = self.tail.iter().position(|entry| entry.revision.position.number == number)?;
        if self.tail[end].partial {
            return None;
        }
        let parts = self.tail.iter().take(end).rev().take_while(|entry| entry.partial).count();
        Some(self.tail.range(end - parts..=end).collect())
    }

    /// The entries after a number, where all of them are still held.
    pub fn after(&self, number: u64) -> Option<impl Iterator<Item = &Entry>> {
        let missing = self.number().checked_sub(number)? as usize;
        (missing <= self.tail.len()).then(|| self.tail.iter().skip(self.tail.len() - missing))
    }

    /// What one that lags more than the entries reach is offered: the newest checkpoint or, where none came
    /// since this member's start, what it started from.
    pub fn to_offer(&self) -> Option<&Snapshot> {
        let base = Some(&self.base).filter(|base| base.revision.position.number > 0);
        self.checkpoints[0].as_ref().or(base)
    }

    /// A snapshot that is held with this number.
    pub fn snapshot(&self, number: u64) -> Option<&Snapshot> {
        let all = self.checkpoints.iter().flatten().chain([&self.base]);
        all.into_iter().find(|one| one.revision.position.number == number && number > 0)
    }

    /// Entries of a change whose end has not come yet.
    pub fn open(&self) -> impl Iterator<Item = &Entry> {
        let complete = self.complete.revision.position.number;
        self.tail.iter().filter(move |entry| entry.revision.position.number > complete)
    }

    /// The entries held, for the replica's log.
    pub fn tail(&self) -> impl Iterator<Item = &Entry> {
        self.tail.iter()
    }
}
