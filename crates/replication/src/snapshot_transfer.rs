//! Transfer of a checkpoint to a member. The member lacks entries that the other members no longer hold. It
//! requests the checkpoint in chunks, in the order of the keys. Any member that holds the checkpoint can
//! answer a request.

use crate::change::{KEY_BYTES_MAX, VALUE_BYTES_MAX};
use crate::revision::Revision;
use crate::snapshot::Snapshot;
use crate::state::{Chunk, KEYS_MAX, Pair, State, Text};
use crate::time::{Nanos, SECOND_NS};

/// Time after which an unanswered request for a chunk of the checkpoint is repeated. The repetition may be
/// sent to another member.
const CHUNK_TIMEOUT_NS: Nanos = SECOND_NS;
/// Maximum number of requests in a row that may remain unanswered. If more remain unanswered, the transfer is
/// abandoned. The next offer of a checkpoint then starts a new transfer.
const ATTEMPTS_MAX: u32 = 16;

/// An unanswered request for a chunk of the checkpoint.
#[derive(Debug)]
struct PendingRequest {
    /// Name of the member to which the request was sent.
    source: String,
    sent_at: Nanos,
}

/// An incomplete transfer of a checkpoint to this member.
#[derive(Debug)]
pub struct SnapshotTransfer {
    /// Revision of the checkpoint.
    target: Revision,
    /// The member to which the next request is sent. This is the member that sent the last chunk or, before
    /// the first chunk, the member that offered the checkpoint. If this member does not answer, the request
    /// is repeated, and this field becomes `None`. While the field is `None`, the caller may choose any
    /// member.
    source: Option<String>,
    /// Number of requests sent since the last chunk was received.
    attempts: u32,
    /// The key-value pairs of the checkpoint that have been received so far.
    state: State,
    /// The last key received so far; `None` before the first chunk.
    after: Option<Text>,
    pending: Option<PendingRequest>,
}

/// Result of adding a received chunk to a transfer.
#[derive(Debug, PartialEq)]
pub enum ChunkOutcome {
    /// The chunk is not the one that was requested, so the transfer was not changed.
    Ignored,
    /// The chunk was added. Further chunks are to be requested.
    Continue,
    /// The last chunk was added, and the complete content matches the checkpoint's hash.
    Complete(Snapshot),
    /// The transfer cannot continue, because the received data is invalid. A chunk is invalid if a pair is
    /// out of order or exceeds a limit, or if the chunk is empty although more chunks follow. The complete
    /// content is invalid if it does not match the checkpoint's hash.
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

    /// Returns the number of key-value pairs received so far.
    pub fn pairs(&self) -> usize {
        self.state.len()
    }

    /// Returns whether the next request for a chunk is due at the time `now`.
    pub fn is_due(&self, now: Nanos) -> bool {
        now >= self.next_due()
    }

    /// Returns the time at which the next request for a chunk is due, in nanoseconds; 0 means now.
    pub fn next_due(&self) -> Nanos {
        self.pending.as_ref().map_or(0, |pending| pending.sent_at + CHUNK_TIMEOUT_NS)
    }

    /// Returns the member to which the next request is to be sent; `None` if the caller may choose any
    /// member.
    pub fn source(&self) -> Option<&String> {
        self.source.as_ref()
    }

    /// Returns whether the transfer is abandoned, because too many requests in a row were not answered.
    /// Probably no member holds the checkpoint any more.
    pub fn is_abandoned(&self) -> bool {
        self.attempts > ATTEMPTS_MAX
    }

    /// Records that a request for the next chunk is sent to the member `source`. Returns the key to put into
    /// the request: the requested chunk begins after this key.
    pub fn request_chunk(&mut self, source: &str, now: Nanos) -> Option<Text> {
        if self.pending.is_some() {
            self.source = None;
        }
        self.attempts += 1;
        self.pending = Some(PendingRequest { source: source.to_string(), sent_at: now });
        self.after.clone()
    }

    /// Adds a received chunk to the transfer. `checkpoint` is the number of the checkpoint that the chunk
    /// belongs to. The chunk begins after the key `after`.
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
        // Send the next request to the member that answered the last one. That member holds the checkpoint,
        // and most other members do not.
        self.source = self.pending.take().map(|pending| pending.source);
        self.attempts = 0;
        if chunk.is_last {
            return self.complete();
        }
        if chunk.pairs.is_empty() { ChunkOutcome::Invalid } else { ChunkOutcome::Continue }
    }

    /// Returns whether a pair may be added: its key follows the last received key, and no limit on keys and
    /// values is exceeded. Unlike [`crate::change::Change::check`], this method accepts an empty key. No
    /// committed configuration has an empty key, so a checkpoint with an empty key fails the comparison of
    /// its hash.
    fn may_add(&self, Pair { key, value }: &Pair) -> bool {
        self.after.as_ref().is_none_or(|before| before < key)
            && key.len() <= KEY_BYTES_MAX
            && value.len() <= VALUE_BYTES_MAX
            && self.state.len() < KEYS_MAX
    }

    /// Completes the transfer, if the received content matches the checkpoint's hash. Otherwise, the transfer
    /// is invalid.
    fn complete(&mut self) -> ChunkOutcome {
        if self.state.hash() != self.target.hash {
            return ChunkOutcome::Invalid;
        }
        let state = std::mem::take(&mut self.state);
        ChunkOutcome::Complete(Snapshot { revision: self.target, state })
    }
}
