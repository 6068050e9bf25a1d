//! The part of the committed log that one member holds. It consists of the configuration at the end of the
//! log, the latest entries, and two checkpoints. A member that lags a little receives the missing entries
//! from another member. If the other member no longer holds these entries, it offers a checkpoint instead.
//!
//! A checkpoint has the same entry number on all members, so a transfer that was started from one member can
//! continue from another.

use crate::entry::Entry;
use crate::revision::{Position, Revision};
use crate::snapshot::Snapshot;
use crate::state::{KEYS_MAX, State};
use std::collections::VecDeque;

/// Interval between checkpoints, in log entries. The log is divided into blocks of this many entries. In each
/// block after the first, a checkpoint is taken at the first entry that ends a change of the configuration.
pub const CHECKPOINT_INTERVAL: u64 = 256;

/// Reason why an entry cannot be appended to the committed log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The encoded entry is too long, or the key or value of one of its changes has an invalid length.
    #[error("entry {number} is out of bounds")]
    OutOfBounds {
        /// The entry's number.
        number: u64,
    },
    /// The entry's epoch (the term of its leader) is lower than that of the last entry in the log. Epochs
    /// never decrease along the log.
    #[error("entry {number}: epoch {epoch} is before epoch {last} at the end of the log")]
    EpochFalls {
        /// The entry's number.
        number: u64,
        /// The entry's epoch.
        epoch: u64,
        /// Epoch of the last entry in the log.
        last: u64,
    },
    /// The configuration that results from the entry's changes does not match the hash in the entry.
    #[error("entry {number}: the content after its changes does not have its hash")]
    HashMismatch {
        /// The entry's number.
        number: u64,
    },
    /// The configuration would have more than [`KEYS_MAX`] keys after the entry.
    #[error("entry {number}: {keys} keys are more than {KEYS_MAX}")]
    TooManyKeys {
        /// The entry's number.
        number: u64,
        /// Number of keys that the configuration would have after the entry.
        keys: usize,
    },
}

/// Result of an attempt to append an entry to the committed log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The entry was appended.
    Appended,
    /// The log already contains an entry with this number. The log was not changed.
    Known,
    /// Entries between the end of the log and this entry are missing. The log was not changed.
    Gap,
}

/// The committed log as one member holds it. The entry numbers of its three snapshots satisfy `base` <=
/// `complete` <= `end`.
#[derive(Clone, Debug, Default)]
pub struct CommittedLog {
    /// The configuration after the last entry of the log.
    end: Snapshot,
    /// The configuration after the last complete change. A change can consist of several entries, and `end`
    /// may contain only some of them. The host therefore applies `complete`, not `end`.
    complete: Snapshot,
    /// The configuration before the first of the entries that this member still holds (`tail`).
    base: Snapshot,
    /// The entries that this member still holds: all entries after the snapshot `base`, in order and without
    /// gaps.
    tail: VecDeque<Entry>,
    /// The two latest checkpoints, the newer first.
    checkpoints: [Option<Snapshot>; 2],
}

impl CommittedLog {
    /// Creates a log that starts with a snapshot, which was read from disk or received from another member.
    pub fn from_snapshot(snapshot: Snapshot) -> CommittedLog {
        let (end, complete) = (snapshot.clone(), snapshot.clone());
        CommittedLog { end, complete, base: snapshot, ..CommittedLog::default() }
    }

    /// Returns the revision (position and configuration hash) at the end of the log.
    pub fn revision(&self) -> Revision {
        self.end.revision
    }

    /// Returns the number of the last entry in the log; 0 if the log is empty.
    pub fn number(&self) -> u64 {
        self.end.number()
    }

    /// Returns the content of the configuration at the end of the log.
    pub fn state(&self) -> &State {
        &self.end.state
    }

    /// Returns the configuration after the last complete change. A change is complete if all its entries are
    /// in the log.
    pub fn complete(&self) -> &Snapshot {
        &self.complete
    }

    /// Returns the position (epoch and number) of the entry with this number. The position of the log's last
    /// entry is always known. For any other entry, returns `None` if this member does not hold the entry.
    pub fn position(&self, number: u64) -> Option<Position> {
        if number == self.number() {
            return Some(self.end.revision.position);
        }
        let first = self.tail.front()?.number();
        let index = number.checked_sub(first)?;
        self.tail.get(index as usize).map(Entry::position)
    }

    /// Appends a committed entry to the log. If the log already contains an entry with this number, the entry
    /// is ignored, and its content is not compared.
    ///
    /// # Errors
    /// Returns an error if the entry exceeds a limit, if its epoch is lower than that of the last entry, or
    /// if its hash does not match the resulting configuration.
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

    /// Checks an entry that directly follows the end of the log. Returns the content of the configuration
    /// after the entry.
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

    /// Takes a checkpoint if the last entry of the log completes the first change in its block of
    /// [`CHECKPOINT_INTERVAL`] entries. The decision depends only on entry numbers, so all members take the
    /// same checkpoints.
    fn checkpoint_if_due(&mut self) {
        let last = self.checkpoints[0].as_ref().unwrap_or(&self.base).number();
        if self.number() / CHECKPOINT_INTERVAL > last / CHECKPOINT_INTERVAL {
            self.checkpoints.swap(0, 1);
            self.checkpoints[0] = Some(self.end.clone());
            self.trim();
        }
    }

    /// Drops all entries up to the older of the two checkpoints. Does nothing if there are not yet two
    /// checkpoints. A member that lacks the dropped entries fetches a checkpoint instead.
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

    /// Returns the content of the configuration after the entry with this number. Returns `None` if the entry
    /// is not in the log yet, or if this member no longer holds the entries that are needed to compute the
    /// content.
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

    /// Returns all entries of the change that ends with entry `number`. Returns `None` if no complete change
    /// ends with this entry, or if this member does not hold the entry any more.
    pub fn change_at(&self, number: u64) -> Option<Vec<&Entry>> {
        let end = self.tail.iter().position(|entry| entry.number() == number)?;
        if self.tail[end].partial {
            return None;
        }
        let parts = self.tail.iter().take(end).rev().take_while(|entry| entry.partial).count();
        Some(self.tail.range(end - parts..=end).collect())
    }

    /// Returns all entries with a higher number than `number`. Returns `None` if this member no longer holds
    /// some of them, or if `number` is higher than the end of the log.
    pub fn entries_after(&self, number: u64) -> Option<impl Iterator<Item = &Entry>> {
        let missing = self.number().checked_sub(number)? as usize;
        (missing <= self.tail.len()).then(|| self.tail.iter().skip(self.tail.len() - missing))
    }

    /// Returns the newest checkpoint. If another member lacks entries that this member no longer holds, the
    /// checkpoint is offered to that member. If no checkpoint was taken since the start, returns the snapshot
    /// with which this member's log started, or `None` if the log started empty.
    pub fn newest_checkpoint(&self) -> Option<&Snapshot> {
        let base = Some(&self.base).filter(|base| base.number() > 0);
        self.checkpoints[0].as_ref().or(base)
    }

    /// Returns the snapshot with this entry number. Returns `None` if this member holds no snapshot with this
    /// number. A member holds its checkpoints and the snapshot before the first entry that it still holds.
    pub fn snapshot(&self, number: u64) -> Option<&Snapshot> {
        let held = self.checkpoints.iter().flatten().chain([&self.base]);
        held.into_iter().find(|snapshot| snapshot.number() == number && number > 0)
    }

    /// Returns the entries after the last complete change. They are the first entries of a change whose last
    /// entry is not in the log yet.
    pub fn incomplete(&self) -> impl Iterator<Item = &Entry> {
        let complete = self.complete.number();
        self.tail.iter().filter(move |entry| entry.number() > complete)
    }

    /// Returns all entries that this member holds, in ascending order of their numbers.
    pub fn tail(&self) -> impl Iterator<Item = &Entry> {
        self.tail.iter()
    }
}
