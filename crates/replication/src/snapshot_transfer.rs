//! The transfer of a checkpoint to a member that lags more than the entries of others reach: chunks in the
//! order of keys, each from any member that holds the checkpoint.

use crate::change::{KEY_BYTES_MAX, VALUE_BYTES_MAX};
use crate::revision::Revision;
use crate::snapshot::Snapshot;
use crate::state::{Chunk, KEYS_MAX, Pair, State, Text};
use crate::time::{Nanos, SECOND_NS};

/// A chunk that has not come after so long is requested again, from another member.
const CHUNK_TIMEOUT_NS: Nanos = SECOND_NS;
/// Unanswered requests after which the transfer is given up; another offer begins a new one.
const ATTEMPTS_MAX: u32 = 16;

/// A request for a chunk that has not been answered.
#[derive(Debug)]
struct PendingRequest {
    /// The member that it was sent to.
    source: String,
    sent_at: Nanos,
}

/// A transfer under way.
#[derive(Debug)]
pub struct SnapshotTransfer {
    target: Revision,
    /// The member to request from: the one that offered or answered last. `None` once it has not answered.
    source: Option<String>,
    /// Requests since the last chunk.
    attempts: u32,
    /// The pairs that have come.
    state: State,
    /// The last key that has come.
    after: Option<Text>,
    pending: Option<PendingRequest>,
}

/// What a chunk did to a transfer.
#[derive(Debug, PartialEq)]
pub enum ChunkOutcome {
    /// It is not the chunk that was requested; nothing changed.
    Ignored,
    /// More chunks follow.
    Continue,
    /// The checkpoint is complete and has its hash.
    Complete(Snapshot),
    /// The content breaks a bound or does not have its hash: the transfer cannot continue.
    Invalid,
}

impl SnapshotTransfer {
    /// A transfer of the checkpoint `target`, which the member `source` has offered.
    pub fn new(target: Revision, source: &str) -> SnapshotTransfer {
        SnapshotTransfer {
            target,
            source: Some(source.to_string()),
            attempts: 0,
            state: State::default(),
            after: None,
            pending: None,
        }
    }

    /// The checkpoint's revision.
    pub fn target(&self) -> Revision {
        self.target
    }

    /// Number of pairs that have come.
    pub fn pairs(&self) -> usize {
        self.state.len()
    }

    /// Whether the next chunk is to be requested now.
    pub fn is_due(&self, now: Nanos) -> bool {
        now >= self.next_due()
    }

    /// When the next chunk is to be requested, in nanoseconds; 0 for at once.
    pub fn next_due(&self) -> Nanos {
        self.pending.as_ref().map_or(0, |pending| pending.sent_at + CHUNK_TIMEOUT_NS)
    }

    /// The member to request the next chunk from; `None` where any may be tried.
    pub fn source(&self) -> Option<&String> {
        self.source.as_ref()
    }

    /// Whether no member seems to hold the checkpoint any more.
    pub fn is_given_up(&self) -> bool {
        self.attempts > ATTEMPTS_MAX
    }

    /// Notes a request to `source`. Returns the key after which the next chunk begins.
    pub fn request_chunk(&mut self, source: &str, now: Nanos) -> Option<Text> {
        if self.pending.is_some() {
            self.source = None;
        }
        self.attempts += 1;
        self.pending = Some(PendingRequest { source: source.to_string(), sent_at: now });
        self.after.clone()
    }

    /// Adds a chunk of the checkpoint with this number that follows the key `after`.
    pub fn on_chunk(&mut self, checkpoint: u64, after: &Option<Text>, chunk: &Chunk) -> ChunkOutcome {
        if checkpoint != self.target.number() || *after != self.after {
            return ChunkOutcome::Ignored;
        }
        for pair in &chunk.pairs {
            if !self.may_add(pair) {
                return ChunkOutcome::Invalid;
            }
            self.state.set(&pair.key, &pair.value);
            self.after = Some(pair.key.clone());
        }
        // The member that answered holds the checkpoint; most neighbours do not.
        self.source = self.pending.take().map(|pending| pending.source);
        self.attempts = 0;
        if chunk.is_last {
            return self.complete();
        }
        if chunk.pairs.is_empty() { ChunkOutcome::Invalid } else { ChunkOutcome::Continue }
    }

    /// Whether a pair follows the last one and is within bounds: those of [`crate::change::Change::check`]
    /// but for the empty key, which no committed content has; a checkpoint with one fails by its hash.
    fn may_add(&self, Pair { key, value }: &Pair) -> bool {
        self.after.as_ref().is_none_or(|before| before < key)
            && key.len() <= KEY_BYTES_MAX
            && value.len() <= VALUE_BYTES_MAX
            && self.state.len() < KEYS_MAX
    }

    /// Checks the hash of the whole content.
    fn complete(&mut self) -> ChunkOutcome {
        if self.state.hash() != self.target.hash {
            return ChunkOutcome::Invalid;
        }
        let state = std::mem::take(&mut self.state);
        ChunkOutcome::Complete(Snapshot { revision: self.target, state })
    }
}
