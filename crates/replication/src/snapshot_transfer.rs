//! A checkpoint on its way to a member that lacks more than the entries reach: fetched pair by pair in the
//! order of keys, from whoever holds it, at a pace of its own.

use crate::Nanos;
use crate::committed_log::Snapshot;
use crate::revision::Revision;
use crate::state::{KEY_MAX, KEYS_MAX, State, Text, VALUE_MAX};

/// A chunk that has not come after so long is asked for again, of another member.
const CHUNK_PATIENCE: Nanos = 1_000_000_000;

/// Questions without an answer after which another offer is waited for.
const TRIES_MAX: u32 = 16;

#[derive(Debug)]
pub struct SnapshotTransfer {
    target: Revision,
    /// Who offered it, while it answers; and questions without an answer since the last chunk.
    source: Option<String>,
    tries: u32,
    state: State,
    after: Option<Text>,
    /// Who was asked for the next chunk, and when.
    asked: Option<(String, Nanos)>,
}

/// What a chunk did to a transfer.
#[derive(Debug, PartialEq)]
pub enum ChunkOutcome {
    /// Not the one that was asked for.
    Ignored,
    Continue,
    Complete(Snapshot),
    /// All came, and it is not what was promised; or it breaks a bound.
    Invalid,
}

impl SnapshotTransfer {
    pub fn new(target: Revision, source: &str) -> SnapshotTransfer {
        let source = Some(source.to_string());
        SnapshotTransfer { target, source, tries: 0, state: State::default(), after: None, asked: None }
    }

    pub fn target(&self) -> Revision {
        self.target
    }

    /// Pairs that have come.
    pub fn pairs(&self) -> usize {
        self.state.len()
    }

    /// Whether the next chunk is to be asked for now.
    pub fn is_due(&self, now: Nanos) -> bool {
        self.asked.as_ref().is_none_or(|(_, at)| now >= at + CHUNK_PATIENCE)
    }

    pub fn due(&self) -> Nanos {
        self.asked.as_ref().map_or(0, |(_, at)| at + CHUNK_PATIENCE)
    }

    /// Who is best asked: whoever offered it or answered last, until it does not answer.
    pub fn source(&self) -> Option<&String> {
        self.source.as_ref()
    }

    /// Nobody seems to hold it any more.
    pub fn is_given_up(&self) -> bool {
        self.tries > TRIES_MAX
    }

    /// Notes who is asked, and returns the key after which the next chunk begins.
    pub fn ask(&mut self, of: &str, now: Nanos) -> Option<Text> {
        if self.asked.is_some() {
            self.source = None;
        }
        self.tries += 1;
        self.asked = Some((of.to_string(), now));
        self.after.clone()
    }

    pub fn take(
        &mut self,
        checkpoint: u64,
        after: &Option<Text>,
        pairs: &[(Text, Text)],
        last: bool,
    ) -> ChunkOutcome {
        if checkpoint != self.target.position.number || *after != self.after {
            return ChunkOutcome::Ignored;
        }
        for (key, value) in pairs {
            let rises = self.after.as_ref().is_none_or(|before| before < key);
            if !rises || key.len() > KEY_MAX || value.len() > VALUE_MAX || self.state.len() >= KEYS_MAX {
                return ChunkOutcome::Invalid;
            }
            self.state.set(key, value);
            self.after = Some(key.clone());
        }
        // Whoever answered has it: the next chunk is asked of the same one. Guards against a source that was
        // lost once, after which each chunk was asked of a neighbour at random, most of which lack it too.
        self.source = self.asked.take().map(|(of, _)| of);
        self.tries = 0;
        match last {
            false if pairs.is_empty() => ChunkOutcome::Invalid,
            false => ChunkOutcome::Continue,
            true if self.state.hash() == self.target.hash => {
                let state = std::mem::take(&mut self.state);
                ChunkOutcome::Complete(Snapshot { revision: self.target, state })
            }
            true => ChunkOutcome::Invalid,
        }
    }
}
