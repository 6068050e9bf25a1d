//! Checkpoints on their way: offered to who lags more than the entries reach, and fetched at the pace of the
//! budget from whoever holds them.

use crate::Nanos;
use crate::history::{CHECKPOINT_EVERY, History};
use crate::member::{MILLISECOND, Member};
use crate::message::{BODY_MAX, Message};
use crate::revision::Revision;
use crate::state::{KEY_MAX, Text};
use crate::transfer::{Step, Transfer};

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
        let checkpoint = transfer.target().at.number;
        let after = transfer.ask(&of, now);
        self.send(&of, &Message::Fetch { checkpoint, after }, now);
    }

    pub(crate) fn heard_offer(&mut self, from: &str, checkpoint: Revision, now: Nanos) {
        let number = checkpoint.at.number;
        // One under way goes on unless it has become far older than what is offered.
        let far = |under_way: &Transfer| under_way.target().at.number + CHECKPOINT_EVERY < number;
        if number > self.history.number() && self.transfer.as_ref().is_none_or(far) {
            self.counts.transfers += 1;
            self.transfer = Some(Transfer::new(checkpoint, from));
            self.fetch(now);
        }
    }

    pub(crate) fn answer_fetch(&mut self, from: &str, number: u64, after: Option<Text>, now: Nanos) {
        let Some(checkpoint) = self.history.snapshot(number) else {
            if let Some(newest) = self.history.to_offer().filter(|one| one.revision.at.number > number) {
                let offer = Message::Offer { checkpoint: newest.revision, newest: self.history.number() };
                self.send(from, &offer, now);
            }
            return;
        };
        // The head of the message has a key of its own.
        let (pairs, last) = checkpoint.state.chunk(after.as_ref(), BODY_MAX - 2 * KEY_MAX);
        let chunk = Message::Chunk { checkpoint: number, after, pairs, last };
        self.send(from, &chunk, now);
    }

    pub(crate) fn heard_chunk(
        &mut self,
        checkpoint: u64,
        after: &Option<Text>,
        pairs: &[(Text, Text)],
        last: bool,
        now: Nanos,
    ) {
        let Some(transfer) = &mut self.transfer else { return };
        match transfer.take(checkpoint, after, pairs, last) {
            Step::Ignored => {}
            Step::Next => self.fetch(now),
            Step::Bad => {
                self.counts.mismatched += 1;
                self.transfer = None;
            }
            Step::Done(snapshot) => {
                self.transfer = None;
                if snapshot.revision.at.number > self.history.number() {
                    self.history = History::from_snapshot(snapshot);
                    if let Some(control) = &mut self.control {
                        control.replica.follow(&self.history);
                    }
                    self.pull(now);
                }
            }
        }
    }
}
