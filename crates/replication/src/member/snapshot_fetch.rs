//! Transfer of checkpoints between members. A member fetches a checkpoint if it needs entries that the other
//! members no longer hold. The other members serve the checkpoint in chunks.

use super::Member;
use crate::change::KEY_BYTES_MAX;
use crate::committed_log::{CHECKPOINT_INTERVAL, CommittedLog};
use crate::message::{BODY_BYTES_MAX, Message};
use crate::revision::Revision;
use crate::snapshot::Snapshot;
use crate::snapshot_transfer::{ChunkOutcome, SnapshotTransfer};
use crate::state::{Chunk, Pair, Text};
use crate::time::{MILLISECOND_NS, Nanos};

/// If the byte budget is used up, a member waits for this time before it next tries to request a chunk of a
/// checkpoint.
const CHUNK_RETRY_NS: Nanos = 100 * MILLISECOND_NS;
/// Maximum total size of the key-value pairs in one chunk of a checkpoint, in bytes. The rest of the message
/// is left for the other fields, which include a key.
const CHUNK_BYTES_MAX: usize = BODY_BYTES_MAX - 2 * KEY_BYTES_MAX;

impl Member {
    /// Requests the next chunk of the checkpoint that is being transferred. Does nothing if no transfer is in
    /// progress, the request is not due, or the byte budget is used up.
    pub(super) fn fetch_chunk(&mut self, now: Nanos) {
        self.transfer.take_if(|transfer| transfer.is_abandoned());
        let Some(transfer) = &self.transfer else { return };
        if now < self.chunk_due || !transfer.is_due(now) {
            return;
        }
        // The requested chunk counts against the byte budget of this member, which receives it. This limits
        // the rate at which the member fetches chunks.
        if !self.budget.try_acquire(BODY_BYTES_MAX as u64, now) {
            self.chunk_due = now + CHUNK_RETRY_NS;
            return;
        }
        let source = transfer.source().cloned().filter(|name| self.peers.is_alive(name));
        let Some(source) = source.or_else(|| self.pick_neighbour()) else { return };
        let Some(transfer) = &mut self.transfer else { return };
        let checkpoint = transfer.target().number();
        let after = transfer.request_chunk(&source, now);
        self.send(&source, &Message::FetchChunk { checkpoint, after }, now);
    }

    /// Starts a transfer of the offered checkpoint if the checkpoint is newer than this member's log. If
    /// another transfer is in progress, the offered checkpoint must also be newer than the checkpoint of that
    /// transfer, by more than one checkpoint interval.
    pub(super) fn on_snapshot_offer(&mut self, from: &str, checkpoint: Revision, now: Nanos) {
        let number = checkpoint.number();
        let is_outdated =
            |transfer: &SnapshotTransfer| transfer.target().number() + CHECKPOINT_INTERVAL < number;
        if number > self.log.number() && self.transfer.as_ref().is_none_or(is_outdated) {
            self.counts.transfers += 1;
            self.transfer = Some(SnapshotTransfer::new(checkpoint, from));
            self.fetch_chunk(now);
        }
    }

    /// Sends the requested chunk of a checkpoint. If this member does not hold the checkpoint, offers its
    /// newest checkpoint instead, if that one is newer.
    pub(super) fn on_fetch_chunk(&mut self, from: &str, number: u64, after: Option<Text>, now: Nanos) {
        let Some(checkpoint) = self.log.snapshot(number) else {
            let newer = self.log.newest_checkpoint().filter(|newest| newest.number() > number);
            if let Some(newer) = newer {
                let checkpoint = newer.revision;
                let newest = self.log.number();
                self.send(from, &Message::SnapshotOffer { checkpoint, newest }, now);
            }
            return;
        };
        let Chunk { pairs, is_last } = checkpoint.state.chunk(after.as_ref(), CHUNK_BYTES_MAX);
        self.send(from, &Message::SnapshotChunk { checkpoint: number, after, pairs, last: is_last }, now);
    }

    /// Adds a received chunk to the checkpoint transfer in progress.
    pub(super) fn on_snapshot_chunk(
        &mut self,
        checkpoint: u64,
        after: &Option<Text>,
        pairs: Vec<Pair>,
        last: bool,
        now: Nanos,
    ) {
        let Some(transfer) = &mut self.transfer else { return };
        match transfer.on_chunk(checkpoint, after, &Chunk { pairs, is_last: last }) {
            ChunkOutcome::Ignored => {}
            ChunkOutcome::Continue => self.fetch_chunk(now),
            ChunkOutcome::Invalid => {
                self.counts.mismatched += 1;
                self.transfer = None;
            }
            ChunkOutcome::Complete(snapshot) => {
                self.transfer = None;
                self.install_snapshot(snapshot, now);
            }
        }
    }

    /// Replaces the log with a log that starts at the transferred snapshot. Does nothing if the log has
    /// already reached the snapshot's revision.
    fn install_snapshot(&mut self, snapshot: Snapshot, now: Nanos) {
        if snapshot.number() <= self.log.number() {
            return;
        }
        self.log = CommittedLog::from_snapshot(snapshot);
        if let Some(control) = &mut self.control {
            control.replica.follow(&self.log);
        }
        self.pull(now);
    }
}
