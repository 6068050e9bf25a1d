//! Transfer of a checkpoint to a member that needs entries that the others no longer hold. The checkpoint is
//! fetched in chunks ordered by key; each chunk may come from any member that holds the checkpoint.

use crate::change::{KEY_BYTES_MAX, VALUE_BYTES_MAX};
use crate::revision::Revision;
use crate::snapshot::Snapshot;
use crate::state::{Chunk, KEYS_MAX, Pair, State, Text};
use crate::time::{Nanos, SECOND_NS};

/// Time after which an unanswered request for a chunk is repeated to another member.
const CHUNK_TIMEOUT_NS: Nanos = SECOND_NS;
/// Maximum number of consecutive unanswered requests. After more, the transfer is abandoned; the next offer
/// starts a new one.
const ATTEMPTS_MAX: u32 = 16;

/// A request for a chunk that has not been answered yet.
#[derive(Debug)]
struct PendingRequest {
    /// The member that the request was sent to.
    source: String,
    sent_at: Nanos,
}

/// A checkpoint transfer in progress.
#[derive(Debug)]
pub struct SnapshotTransfer {
    /// Revision of the checkpoint.
    target: Revision,
    /// The member to send the next request to, which is the last member that offered the checkpoint or sent a
    /// chunk. `None` after that member has left a request unanswered.
    source: Option<String>,
    /// Number of requests since the last chunk was received.
    attempts: u32,
    /// The key-value pairs received so far.
    state: State,
    /// The last key received.
    after: Option<Text>,
    pending: Option<PendingRequest>,
}

/// Result of adding a chunk to a transfer.
#[derive(Debug, PartialEq)]
pub enum ChunkOutcome {
    /// The chunk is not the requested one; the transfer is unchanged.
    Ignored,
    /// The chunk was added, and more chunks follow.
    Continue,
    /// The checkpoint is complete and matches its hash.
    Complete(Snapshot),
    /// The transfer cannot continue: a pair is out of order or out of bounds, the chunk is empty although
    /// more follow, or the complete content does not match its hash.
    Invalid,
}

impl SnapshotTransfer {
    /// Starts a transfer of the checkpoint `target`, which the member `source` has offered.
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

    /// Revision of the checkpoint.
    pub fn target(&self) -> Revision {
        self.target
    }

    /// Number of key-value pairs received so far.
    pub fn pairs(&self) -> usize {
        self.state.len()
    }

    /// Whether the next request for a chunk is due.
    pub fn is_due(&self, now: Nanos) -> bool {
        now >= self.next_due()
    }

    /// When the next request for a chunk is due, in nanoseconds; 0 means now.
    pub fn next_due(&self) -> Nanos {
        self.pending.as_ref().map_or(0, |pending| pending.sent_at + CHUNK_TIMEOUT_NS)
    }

    /// The member to request the next chunk from; `None` if the caller may choose any member.
    pub fn source(&self) -> Option<&String> {
        self.source.as_ref()
    }

    /// Whether the transfer is abandoned: so many requests were unanswered that probably no member holds the
    /// checkpoint any more.
    pub fn is_abandoned(&self) -> bool {
        self.attempts > ATTEMPTS_MAX
    }

    /// Records that a request is sent to `source`. Returns the key after which the requested chunk begins.
    pub fn request_chunk(&mut self, source: &str, now: Nanos) -> Option<Text> {
        if self.pending.is_some() {
            self.source = None;
        }
        self.attempts += 1;
        self.pending = Some(PendingRequest { source: source.to_string(), sent_at: now });
        self.after.clone()
    }

    /// Adds a chunk that begins after the key `after`. `checkpoint` is the number of the chunk's checkpoint.
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
        // Keep requesting from the member that answered: it holds the checkpoint, while most others do not.
        self.source = self.pending.take().map(|pending| pending.source);
        self.attempts = 0;
        if chunk.is_last {
            return self.complete();
        }
        if chunk.pairs.is_empty() { ChunkOutcome::Invalid } else { ChunkOutcome::Continue }
    }

    /// Whether a pair follows the last one and is within bounds. The bounds are those of
    /// [`crate::change::Change::check`], except that an empty key is accepted here: no committed content has
    /// one, so a checkpoint with an empty key fails the comparison of its hash.
    fn may_add(&self, Pair { key, value }: &Pair) -> bool {
        self.after.as_ref().is_none_or(|before| before < key)
            && key.len() <= KEY_BYTES_MAX
            && value.len() <= VALUE_BYTES_MAX
            && self.state.len() < KEYS_MAX
    }

    /// Completes the transfer if the received content matches the checkpoint's hash.
    fn complete(&mut self) -> ChunkOutcome {
        if self.state.hash() != self.target.hash {
            return ChunkOutcome::Invalid;
        }
        let state = std::mem::take(&mut self.state);
        ChunkOutcome::Complete(Snapshot { revision: self.target, state })
    }
}
