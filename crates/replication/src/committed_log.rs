//! What one member holds of the committed log: the content at its end, the last entries for members that lag
//! a little, and two checkpoints for those that lag more.
//!
//! Checkpoints stand at the same numbers on all members, so that a transfer begun from one member continues
//! from another.

use crate::entry::Entry;
use crate::revision::{Position, Revision};
use crate::snapshot::Snapshot;
use crate::state::{KEYS_MAX, State};
use std::collections::VecDeque;

/// The first complete change in each block of so many numbers is a checkpoint.
pub const CHECKPOINT_INTERVAL: u64 = 256;

/// An entry that cannot follow the end of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// It is too long, or one of its changes is out of bounds.
    #[error("entry {number} is out of bounds")]
    OutOfBounds {
        /// The entry's number.
        number: u64,
    },
    /// Epochs never fall along the log.
    #[error("entry {number}: epoch {epoch} is before epoch {last} at the end of the log")]
    EpochFalls {
        /// The entry's number.
        number: u64,
        /// The entry's epoch.
        epoch: u64,
        /// The epoch at the end of the log.
        last: u64,
    },
    /// The content after its changes does not have its hash.
    #[error("entry {number}: the content after its changes does not have its hash")]
    HashMismatch {
        /// The entry's number.
        number: u64,
    },
    /// The content would have more than [`KEYS_MAX`] keys.
    #[error("entry {number}: {keys} keys are more than {KEYS_MAX}")]
    TooManyKeys {
        /// The entry's number.
        number: u64,
        /// Keys of the content after its changes.
        keys: usize,
    },
}

/// What became of a valid entry that was offered to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It is the log's new end.
    Appended,
    /// The log held its number already; nothing changed.
    Known,
    /// Entries before it are missing; nothing changed.
    Gap,
}

/// The committed log as one member holds it. `base` <= `complete` <= `end`, by their numbers.
#[derive(Clone, Debug, Default)]
pub struct CommittedLog {
    /// The content after the last committed entry.
    end: Snapshot,
    /// The content after the last complete change: what may be applied.
    complete: Snapshot,
    /// What the first entry of the tail follows.
    base: Snapshot,
    /// All entries after `base`, without gaps.
    tail: VecDeque<Entry>,
    /// The last two checkpoints, the newer first.
    checkpoints: [Option<Snapshot>; 2],
}

impl CommittedLog {
    /// A log that continues from a snapshot, read from disk or transferred.
    pub fn from_snapshot(snapshot: Snapshot) -> CommittedLog {
        let (end, complete) = (snapshot.clone(), snapshot.clone());
        CommittedLog { end, complete, base: snapshot, ..CommittedLog::default() }
    }

    /// The revision at the end.
    pub fn revision(&self) -> Revision {
        self.end.revision
    }

    /// The number at the end; 0 where nothing is committed.
    pub fn number(&self) -> u64 {
        self.end.number()
    }

    /// The content at the end.
    pub fn state(&self) -> &State {
        &self.end.state
    }

    /// The last complete change and its content.
    pub fn complete(&self) -> &Snapshot {
        &self.complete
    }

    /// The position of the entry with this number, where it is held.
    pub fn position(&self, number: u64) -> Option<Position> {
        if number == self.number() {
            return Some(self.end.revision.position);
        }
        let first = self.tail.front()?.number();
        let index = number.checked_sub(first)?;
        self.tail.get(index as usize).map(Entry::position)
    }

    /// Appends a committed entry. One whose number is known changes nothing, whatever its content.
    ///
    /// # Errors
    /// Where the entry is out of bounds, or its hash or its epoch does not follow the end of the log.
    pub fn append(&mut self, entry: &Entry) -> Result<AppendOutcome, EntryError> {
        let number = entry.number();
        if number <= self.number() {
            return Ok(AppendOutcome::Known);
        }
        if number > self.number() + 1 {
            return Ok(AppendOutcome::Gap);
        }
        let state = self.state_after(entry)?;
        self.end = Snapshot { revision: entry.revision, state };
        self.tail.push_back(entry.clone());
        if !entry.partial {
            self.complete = self.end.clone();
            self.checkpoint_if_due();
        }
        Ok(AppendOutcome::Appended)
    }

    /// The content after an entry that follows the end.
    fn state_after(&self, entry: &Entry) -> Result<State, EntryError> {
        let Position { epoch, number } = entry.position();
        if !entry.is_within_bounds() {
            return Err(EntryError::OutOfBounds { number });
        }
        let last = self.end.revision.position.epoch;
        if epoch < last {
            return Err(EntryError::EpochFalls { number, epoch, last });
        }
        let mut state = self.end.state.clone();
        state.apply(&entry.changes);
        if state.hash() != entry.revision.hash {
            return Err(EntryError::HashMismatch { number });
        }
        if state.len() > KEYS_MAX {
            return Err(EntryError::TooManyKeys { number, keys: state.len() });
        }
        Ok(state)
    }

    /// Depends on numbers alone, so that all members have the same checkpoints.
    fn checkpoint_if_due(&mut self) {
        let last = self.checkpoints[0].as_ref().unwrap_or(&self.base).number();
        if self.number() / CHECKPOINT_INTERVAL > last / CHECKPOINT_INTERVAL {
            self.checkpoints.swap(0, 1);
            self.checkpoints[0] = Some(self.end.clone());
            self.trim();
        }
    }

    /// Drops entries before the older checkpoint: a member that lacks them fetches a checkpoint instead.
    fn trim(&mut self) {
        let [_, Some(older)] = &self.checkpoints else { return };
        if older.number() < self.base.number() {
            return;
        }
        self.base = older.clone();
        let oldest = self.base.number();
        while self.tail.front().is_some_and(|entry| entry.number() <= oldest) {
            self.tail.pop_front();
        }
    }

    /// The content at a number, as far back as entries are held.
    pub fn state_at(&self, number: u64) -> Option<State> {
        if number < self.base.number() || number > self.number() {
            return None;
        }
        let mut state = self.base.state.clone();
        for entry in self.tail.iter().take_while(|entry| entry.number() <= number) {
            state.apply(&entry.changes);
        }
        Some(state)
    }

    /// All entries of the change whose last entry has this number.
    pub fn change_at(&self, number: u64) -> Option<Vec<&Entry>> {
        let end = self.tail.iter().position(|entry| entry.number() == number)?;
        if self.tail[end].partial {
            return None;
        }
        let parts = self.tail.iter().take(end).rev().take_while(|entry| entry.partial).count();
        Some(self.tail.range(end - parts..=end).collect())
    }

    /// The entries after a number, where all of them are still held.
    pub fn entries_after(&self, number: u64) -> Option<impl Iterator<Item = &Entry>> {
        let missing = self.number().checked_sub(number)? as usize;
        (missing <= self.tail.len()).then(|| self.tail.iter().skip(self.tail.len() - missing))
    }

    /// The snapshot for a member that lags more than the entries reach: the newest checkpoint or, where none
    /// came since this member's start, the one that it started from.
    pub fn newest_checkpoint(&self) -> Option<&Snapshot> {
        let base = Some(&self.base).filter(|base| base.number() > 0);
        self.checkpoints[0].as_ref().or(base)
    }

    /// The snapshot with this number, where it is held.
    pub fn snapshot(&self, number: u64) -> Option<&Snapshot> {
        let held = self.checkpoints.iter().flatten().chain([&self.base]);
        held.into_iter().find(|snapshot| snapshot.number() == number && number > 0)
    }

    /// Entries of a change whose last entry has not come yet.
    pub fn incomplete(&self) -> impl Iterator<Item = &Entry> {
        let complete = self.complete.number();
        self.tail.iter().filter(move |entry| entry.number() > complete)
    }

    /// All entries held, in order.
    pub fn tail(&self) -> impl Iterator<Item = &Entry> {
        self.tail.iter()
    }
}
