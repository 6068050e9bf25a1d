//! Checkpoints on their way: offered to who lags more than the entries reach, and fetched at the pace of the
//! budget from whoever holds them.

use crate::Nanos;
use crate::committed_log::{CHECKPOINT_EVERY, CommittedLog};
use crate::member::{MILLISECOND, Member};
use crate::message::{BODY_MAX, Message};
use crate::revision::Revision;
use crate::snapshot_transfer::{ChunkOutcome, SnapshotTransfer};
use crate::state::{KEY_MAX, Text};

/// Without room in the budget a chunk is asked for again this much later.
const CHUNK_PAUSE: Nanos = 100 * MILLISECOND;
impl Member {
    /// Asks for the next chunk of a checkpoint, at the pace of the budget.
    pub(crate) fn fetch(&mut self, now: Nanos) {
        self.transfer.take_if(|transfer| transfer.is_given_up());
        let Some(transfer) = &self.transfer else { return };
        if now < self.chunk_due || !transfer.is_due(now) {
            return;
        }
        // What is asked for counts as what is sent does: a chunk in for each chunk out.
        if !self.budget.try_acquire(BODY_MAX as u64, now) {
            self.chunk_due = now + CHUNK_PAUSE;
            return;
        }
        let known = transfer.source().cloned().filter(|name| self.peers.is_alive(name));
        let Some(of) = known.or_else(|| self.neighbour()) else { return };
        let Some(transfer) = &mut self.transfer else { return };
        let checkpoint = transfer.target().position.number;
        let after = transfer.ask(&of, now);
        self.send(&of, &Message::FetchChunk { checkpoint, after }, now);
    }

    pub(crate) fn on_snapshot_offer(&mut self, from: &str, checkpoint: Revision, now: Nanos) {
        let number = checkpoint.position.number;
        // One under way goes on unless it has become far older than what is offered.
        let far =
            |under_way: &SnapshotTransfer| under_way.target().position.number + CHECKPOINT_EVERY < number;
        if number > self.log.number() && self.transfer.as_ref().is_none_or(far) {
            self.counts.transfers += 1;
            self.transfer = Some(SnapshotTransfer::new(checkpoint, from));
            self.fetch(now);
        }
    }

    pub(crate) fn on_fetch_chunk(&mut self, from: &str, number: u64, after: Option<Text>, now: Nanos) {
        let Some(checkpoint) = self.log.snapshot(number) else {
            if let Some(newest) = self.log.to_offer().filter(|one| one.revision.position.number > number) {
                let offer = Message::SnapshotOffer { checkpoint: newest.revision, newest: self.log.number() };
                self.send(from, &offer, now);
            }
            return;
        };
        // The head of the message has a key of its own.
        let (pairs, last) = checkpoint.state.chunk(after.as_ref(), BODY_MAX - 2 * KEY_MAX);
        let chunk = Message::SnapshotChunk { checkpoint: number, after, pairs, last };
        self.send(from, &chunk, now);
    }

    pub(crate) fn on_snapshot_chunk(
        &mut self,
        checkpoint: u64,
        after: &Option<Text>,
        pairs: &[(Text, Text)],
        last: bool,
        now: Nanos,
    ) {
        let Some(transfer) = &mut self.transfer else { return };
        match transfer.take(checkpoint, after, pairs, last) {
            ChunkOutcome::Ignored => {}
            ChunkOutcome::Continue => self.fetch(now),
            ChunkOutcome::Invalid => {
                self.counts.mismatched += 1;
                self.transfer = None;
            }
            ChunkOutcome::Complete(snapshot) => {
                self.transfer = None;
                if snapshot.revision.position.number > self.log.number() {
                    self.log = CommittedLog::from_snapshot(snapshot);
                    if let Some(control) = &mut self.control {
                        control.replica.follow(&self.log);
                    }
                    self.pull(now);
                }
            }
        }
    }
}
