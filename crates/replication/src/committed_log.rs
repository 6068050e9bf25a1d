//! The part of the committed log that one member holds: the configuration at its end, the last entries for
//! members that lag a little, and two checkpoints for members that lag further.
//!
//! Checkpoints have the same numbers on all members, so that a transfer started from one member can continue
//! from another.

use crate::entry::Entry;
use crate::revision::{Position, Revision};
use crate::snapshot::Snapshot;
use crate::state::{KEYS_MAX, State};
use std::collections::VecDeque;

/// Interval between checkpoints, in entries. The log is divided into blocks of this many entries, and a
/// checkpoint is taken at the first complete change in each block.
pub const CHECKPOINT_INTERVAL: u64 = 256;

/// Reason why an entry cannot be appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The entry is too long, or one of its changes is out of bounds.
    #[error("entry {number} is out of bounds")]
    OutOfBounds {
        /// The entry's number.
        number: u64,
    },
    /// The entry's epoch is lower than that of the last entry. Epochs never decrease along the log.
    #[error("entry {number}: epoch {epoch} is before epoch {last} at the end of the log")]
    EpochFalls {
        /// The entry's number.
        number: u64,
        /// The entry's epoch.
        epoch: u64,
        /// The epoch at the end of the log.
        last: u64,
    },
    /// The content after the entry's changes does not match the entry's hash.
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
        /// Number of keys after the entry's changes.
        keys: usize,
    },
}

/// Result of appending an entry to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The entry was appended.
    Appended,
    /// The log already contains an entry with this number; nothing changed.
    Known,
    /// Entries between the end of the log and this entry are missing; nothing changed.
    Gap,
}

/// The committed log as one member holds it. The numbers satisfy `base` <= `complete` <= `end`.
#[derive(Clone, Debug, Default)]
pub struct CommittedLog {
    /// The configuration after the last committed entry.
    end: Snapshot,
    /// The configuration after the last complete change. The host applies this configuration rather than
    /// `end`, which may contain an incomplete change.
    complete: Snapshot,
    /// The configuration before the first entry of `tail`.
    base: Snapshot,
    /// All entries after `base`, without gaps.
    tail: VecDeque<Entry>,
    /// The last two checkpoints, the newer one first.
    checkpoints: [Option<Snapshot>; 2],
}

impl CommittedLog {
    /// Creates a log that continues from a snapshot, which was read from disk or transferred.
    pub fn from_snapshot(snapshot: Snapshot) -> CommittedLog {
        let (end, complete) = (snapshot.clone(), snapshot.clone());
        CommittedLog { end, complete, base: snapshot, ..CommittedLog::default() }
    }

    /// Revision at the end of the log.
    pub fn revision(&self) -> Revision {
        self.end.revision
    }

    /// Number of the last entry; 0 if nothing is committed.
    pub fn number(&self) -> u64 {
        self.end.number()
    }

    /// Content of the configuration at the end of the log.
    pub fn state(&self) -> &State {
        &self.end.state
    }

    /// Snapshot of the configuration after the last complete change.
    pub fn complete(&self) -> &Snapshot {
        &self.complete
    }

    /// Position of the entry with this number; `None` if this member does not hold the entry.
    pub fn position(&self, number: u64) -> Option<Position> {
        if number == self.number() {
            return Some(self.end.revision.position);
        }
        let first = self.tail.front()?.number();
        let index = number.checked_sub(first)?;
        self.tail.get(index as usize).map(Entry::position)
    }

    /// Appends a committed entry. An entry whose number the log already contains is ignored without comparing
    /// its content.
    ///
    /// # Errors
    /// If the entry is out of bounds, its epoch is lower than that of the last entry, or its hash does not
    /// match the resulting content.
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

    /// Checks an entry that follows the end of the log, and returns the content after it.
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

    /// Takes a checkpoint at the first complete change of a block. The decision depends only on entry
    /// numbers, so that all members have the same checkpoints.
    fn checkpoint_if_due(&mut self) {
        let last = self.checkpoints[0].as_ref().unwrap_or(&self.base).number();
        if self.number() / CHECKPOINT_INTERVAL > last / CHECKPOINT_INTERVAL {
            self.checkpoints.swap(0, 1);
            self.checkpoints[0] = Some(self.end.clone());
            self.trim();
        }
    }

    /// Drops the entries up to the older of the two checkpoints, if there are two. Another member that lacks
    /// these entries fetches a checkpoint instead.
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

    /// Content of the configuration after the entry with this number. `None` if the number is after the end
    /// of the log, or before the first entry that is held.
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

    /// All entries of the change whose last entry has this number; `None` if no complete change ends with
    /// this entry, or the change is not held any more.
    pub fn change_at(&self, number: u64) -> Option<Vec<&Entry>> {
        let end = self.tail.iter().position(|entry| entry.number() == number)?;
        if self.tail[end].partial {
            return None;
        }
        let parts = self.tail.iter().take(end).rev().take_while(|entry| entry.partial).count();
        Some(self.tail.range(end - parts..=end).collect())
    }

    /// The entries whose numbers are above `number`. `None` if some of these entries are not held any more,
    /// or `number` is after the end of the log.
    pub fn entries_after(&self, number: u64) -> Option<impl Iterator<Item = &Entry>> {
        let missing = self.number().checked_sub(number)? as usize;
        (missing <= self.tail.len()).then(|| self.tail.iter().skip(self.tail.len() - missing))
    }

    /// Snapshot to offer to a member that lags behind the oldest entry held here: the newest checkpoint or,
    /// if none was taken since this member started, the snapshot that it started from.
    pub fn newest_checkpoint(&self) -> Option<&Snapshot> {
        let base = Some(&self.base).filter(|base| base.number() > 0);
        self.checkpoints[0].as_ref().or(base)
    }

    /// The checkpoint with this number, or the snapshot from which the log was created if it has this number;
    /// `None` if neither is held.
    pub fn snapshot(&self, number: u64) -> Option<&Snapshot> {
        let held = self.checkpoints.iter().flatten().chain([&self.base]);
        held.into_iter().find(|snapshot| snapshot.number() == number && number > 0)
    }

    /// Entries after the last complete change. They belong to a change whose last entry is not committed yet.
    pub fn incomplete(&self) -> impl Iterator<Item = &Entry> {
        let complete = self.complete.number();
        self.tail.iter().filter(move |entry| entry.number() > complete)
    }

    /// All entries that this member holds, in order of their numbers.
    pub fn tail(&self) -> impl Iterator<Item = &Entry> {
        self.tail.iter()
    }
}
