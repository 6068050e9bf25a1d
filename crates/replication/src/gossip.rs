//! How what is committed spreads: pushed to a few neighbours by whoever learns it, and pulled by all from one
//! neighbour in turn.

use crate::Nanos;
use crate::member::{Member, SECOND};
use crate::message::{BODY_MAX, Freshness, Message, NAME_MAX, NEIGHBOURS_MAX};
use crate::revision::Entry;
use rand_chacha::rand_core::Rng;

/// Neighbours in the zone that a new entry is pushed to; three reach 19 in 20, pulls the rest.
const PUSHED_TO: usize = 3;
/// One pull in so many goes to any member of the fleet, the others within the zone.
const PULL_ANYWHERE: u64 = 4;
/// Messages of entries that one question is answered with.
const ANSWERS_MAX: usize = 3;
/// One whose word is older by so much is told a fresher one.
const FRESHER_MS: u64 = 1_500;
/// For so long a member hears from others how far the log goes.
const CATCH_UP: Nanos = 2 * SECOND;
impl Member {
    /// Sends what has just become known on, to be sent on by those who did not know it.
    pub(crate) fn push(&mut self, to: &[String], entries: &[Entry], now: Nanos) {
        for part in messages_of(entries) {
            let message = self.entries_message(part, true);
            to.iter().for_each(|name| self.send(name, &message, now));
        }
    }

    pub(crate) fn entries_message(&self, entries: Vec<Entry>, pushed: bool) -> Message {
        Message::Entries { entries, leader: self.leader.clone(), pushed, newest: self.log.number() }
    }

    pub(crate) fn push_in_zone(&mut self, entries: &[Entry], now: Nanos) {
        let to = self.peers.sample_zone(&self.settings.location, PUSHED_TO, &mut self.rng);
        self.push(&to, entries, now);
    }

    /// A neighbour in the zone, or at times any member, so that zones hear of each other.
    pub(crate) fn neighbour(&mut self) -> Option<String> {
        let anywhere = self.rng.next_u64().is_multiple_of(PULL_ANYWHERE);
        let near = match anywhere {
            true => None,
            false => self.peers.sample_zone(&self.settings.location, 1, &mut self.rng).pop(),
        };
        near.or_else(|| self.peers.sample_any(&mut self.rng))
    }

    pub(crate) fn pull(&mut self, now: Nanos) {
        if let Some(name) = self.neighbour() {
            self.send_digest(&name, true, now);
        }
    }

    pub(crate) fn send_digest(&mut self, to: &str, wants_reply: bool, now: Nanos) {
        let location = self.settings.location.clone();
        let neighbours = self.peers.sample_zone(&location, NEIGHBOURS_MAX, &mut self.rng);
        let (number, freshness) = (self.log.number(), self.freshness);
        let have = Message::Digest { number, freshness, location, neighbours, wants_reply };
        self.send(to, &have, now);
    }

    /// The word of a log that goes further than what is held here says nothing of what is held.
    pub(crate) fn on_freshness(&mut self, freshness: Freshness) {
        if freshness.number <= self.log.number() && freshness.at_ms > self.freshness.at_ms {
            self.freshness = freshness;
        }
    }

    /// What a member without any revision is to reach before it puts one in force. Told of for a moment only:
    /// where revisions keep coming it would never have them all.
    pub(crate) fn on_newest_number(&mut self, number: u64, now: Nanos) {
        if self.catch_up_until == 0 && number > 0 {
            self.catch_up_until = now + CATCH_UP;
        }
        if now < self.catch_up_until {
            self.catch_up = self.catch_up.max(number);
        }
    }

    pub(crate) fn on_digest(
        &mut self,
        from: &str,
        number: u64,
        freshness: Freshness,
        wants_reply: bool,
        now: Nanos,
    ) {
        if number < self.log.number() {
            return self.send_after(from, number, now);
        }
        let ahead = number > self.log.number();
        let staler = freshness.at_ms + FRESHER_MS < self.freshness.at_ms;
        if wants_reply && (ahead || staler) {
            self.send_digest(from, false, now);
        }
    }

    pub(crate) fn send_after(&mut self, to: &str, number: u64, now: Nanos) {
        let Some(entries) = self.log.after(number) else {
            if let Some(checkpoint) = self.log.to_offer() {
                let offer =
                    Message::SnapshotOffer { checkpoint: checkpoint.revision, newest: self.log.number() };
                self.send(to, &offer, now);
            }
            return;
        };
        // No more than the answers hold is looked at.
        let entries: Vec<Entry> = entries.take(ANSWERS_MAX * BODY_MAX).cloned().collect();
        for part in messages_of(&entries).into_iter().take(ANSWERS_MAX) {
            let message = self.entries_message(part, false);
            self.send(to, &message, now);
        }
    }

    pub(crate) fn on_entries(
        &mut self,
        now: Nanos,
        from: &str,
        entries: Vec<Entry>,
        leader: Option<String>,
        pushed: bool,
    ) {
        let before = self.log.number();
        let gap = entries.first().is_some_and(|entry| entry.revision.position.number > before + 1);
        if self.append_committed(now, &entries, false) {
            self.leader = leader.or(self.leader.take());
            let new: Vec<Entry> =
                entries.into_iter().filter(|entry| entry.revision.position.number > before).collect();
            if pushed {
                self.push_in_zone(&new, now);
            } else {
                // There may be more where this came from.
                self.send_digest(from, true, now);
            }
            self.settle(now);
        } else if gap {
            self.send_digest(from, true, now);
        }
    }
}

/// The entries in as few messages as hold them.
fn messages_of(entries: &[Entry]) -> Vec<Vec<Entry>> {
    const ROOM: usize = BODY_MAX - 2 * NAME_MAX;
    let mut parts: Vec<Vec<Entry>> = Vec::new();
    let mut held = usize::MAX;
    for entry in entries {
        let size = entry.size();
        if held.saturating_add(size) > ROOM {
            parts.push(Vec::new());
            held = 0;
        }
        held += size;
        parts.last_mut().expect("pushed before").push(entry.clone());
    }
    parts
}
