//! How what is committed spreads: pushed to a few neighbours by whoever learns it, and pulled by all from one
//! neighbour in turn.

use crate::Nanos;
use crate::member::{Member, SECOND};
use crate::message::{BODY_MAX, Fresh, Message, NAME_MAX, NEIGHBOURS_MAX};
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
        Message::Entries { entries, publisher: self.publisher.clone(), pushed, newest: self.history.number() }
    }

    pub(crate) fn push_in_zone(&mut self, entries: &[Entry], now: Nanos) {
        let to = self.peers.some_of(&self.settings.location, PUSHED_TO, &mut self.rng);
        self.push(&to, entries, now);
    }

    /// A neighbour in the zone, or at times any member, so that zones hear of each other.
    pub(crate) fn neighbour(&mut self) -> Option<String> {
        let anywhere = self.rng.next_u64().is_multiple_of(PULL_ANYWHERE);
        let near = match anywhere {
            true => None,
            false => self.peers.some_of(&self.settings.location, 1, &mut self.rng).pop(),
        };
        near.or_else(|| self.peers.any(&mut self.rng))
    }

    pub(crate) fn pull(&mut self, now: Nanos) {
        if let Some(name) = self.neighbour() {
            self.send_have(&name, true, now);
        }
    }

    pub(crate) fn send_have(&mut self, to: &str, asks: bool, now: Nanos) {
        let location = self.settings.location.clone();
        let neighbours = self.peers.some_of(&location, NEIGHBOURS_MAX, &mut self.rng);
        let (number, fresh) = (self.history.number(), self.fresh);
        let have = Message::Have { number, fresh, location, neighbours, asks };
        self.send(to, &have, now);
    }

    /// The word of a log that goes further than what is held here says nothing of what is held.
    pub(crate) fn heard_fresh(&mut self, fresh: Fresh) {
        if fresh.number <= self.history.number() && fresh.at_ms > self.fresh.at_ms {
            self.fresh = fresh;
        }
    }

    /// What a member without any revision is to reach before it puts one in force. Told of for a moment only:
    /// where revisions keep coming it would never have them all.
    pub(crate) fn heard_of(&mut self, number: u64, now: Nanos) {
        if self.catch_up_until == 0 && number > 0 {
            self.catch_up_until = now + CATCH_UP;
        }
        if now < self.catch_up_until {
            self.catch_up = self.catch_up.max(number);
        }
    }

    pub(crate) fn answer_have(&mut self, from: &str, number: u64, fresh: Fresh, asks: bool, now: Nanos) {
        if number < self.history.number() {
            return self.send_after(from, number, now);
        }
        let ahead = number > self.history.number();
        let staler = fresh.at_ms + FRESHER_MS < self.fresh.at_ms;
        if asks && (ahead || staler) {
            self.send_have(from, false, now);
        }
    }

    pub(crate) fn send_after(&mut self, to: &str, number: u64, now: Nanos) {
        let Some(entries) = self.history.after(number) else {
            if let Some(checkpoint) = self.history.to_offer() {
                let offer = Message::Offer { checkpoint: checkpoint.revision, newest: self.history.number() };
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

    pub(crate) fn heard_entries(
        &mut self,
        now: Nanos,
        from: &str,
        entries: Vec<Entry>,
        publisher: Option<String>,
        pushed: bool,
    ) {
        let before = self.history.number();
        let gap = entries.first().is_some_and(|entry| entry.revision.at.number > before + 1);
        if self.take_committed(now, &entries, false) {
            self.publisher = publisher.or(self.publisher.take());
            let new: Vec<Entry> =
                entries.into_iter().filter(|entry| entry.revision.at.number > before).collect();
            if pushed {
                self.push_in_zone(&new, now);
            } else {
                // There may be more where this came from.
                self.send_have(from, true, now);
            }
            self.settle(now);
        } else if gap {
            self.send_have(from, true, now);
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
