//! How committed entries spread: pushed to a few members by each that did not hold them, and pulled by all
//! from one member in turn, which repairs what pushes miss (anti-entropy).

use super::{EntrySource, Member};
use crate::entry::Entry;
use crate::message::{BODY_BYTES_MAX, Freshness, Message, NAME_BYTES_MAX, NEIGHBOURS_MAX};
use crate::time::Nanos;
use rand_chacha::rand_core::Rng;

/// Members of each zone that the leader pushes to.
const LEADER_FANOUT: usize = 2;
/// Members of its own zone that any other pushes to.
const ZONE_FANOUT: usize = 3;
/// One pull in so many goes to any member of the fleet, the others to one of the zone.
const PULL_ANYWHERE_EVERY: u64 = 4;
/// Most messages of entries that answer one digest.
const ANSWER_MESSAGES_MAX: usize = 3;
/// A sender whose freshness is older by so much is sent this member's.
const FRESHNESS_LAG_MS: u64 = 1_500;
/// Most bytes of entries in one [`Message::Entries`], whose head has a leader's name and numbers.
const GOSSIP_ENTRIES_BYTES_MAX: usize = BODY_BYTES_MAX - 2 * NAME_BYTES_MAX;

impl Member {
    /// Handles a message by which members spread the log.
    pub(super) fn on_gossip(&mut self, now: Nanos, from: &str, message: Message) {
        match message {
            Message::Digest { number, freshness, location, neighbours, wants_reply } => {
                self.peers.record_location(from, &location);
                for name in &neighbours {
                    self.peers.record_location(name, &location);
                }
                self.applier.on_newest_number(number, now);
                self.on_freshness(freshness);
                self.answer_digest(from, number, freshness, wants_reply, now);
            }
            Message::Entries { entries, leader, pushed, newest } => {
                self.applier.on_newest_number(newest, now);
                self.on_entries(now, from, entries, leader, pushed);
            }
            Message::SnapshotOffer { checkpoint, newest } => {
                self.applier.on_newest_number(newest, now);
                self.on_snapshot_offer(from, checkpoint, now);
            }
            Message::FetchChunk { checkpoint, after } => self.on_fetch_chunk(from, checkpoint, after, now),
            Message::SnapshotChunk { checkpoint, after, pairs, last } => {
                self.on_snapshot_chunk(checkpoint, &after, pairs, last, now);
            }
            _ => {}
        }
    }

    /// The leader's push of newly committed entries.
    pub(super) fn push_to_each_zone(&mut self, entries: &[Entry], now: Nanos) {
        let to = self.peers.sample_each_zone(LEADER_FANOUT, &mut self.rng);
        self.push(&to, entries, now);
    }

    /// The push of a member that did not hold the entries before.
    fn push_in_zone(&mut self, entries: &[Entry], now: Nanos) {
        let to = self.peers.sample_zone(&self.settings.location, ZONE_FANOUT, &mut self.rng);
        self.push(&to, entries, now);
    }

    fn push(&mut self, to: &[String], entries: &[Entry], now: Nanos) {
        for batch in batches(entries) {
            let message = self.entries_message(batch, true);
            for name in to {
                self.send(name, &message, now);
            }
        }
    }

    fn entries_message(&self, entries: Vec<Entry>, pushed: bool) -> Message {
        Message::Entries { entries, leader: self.leader.clone(), pushed, newest: self.log.number() }
    }

    /// A member of the zone or, at times and where none is known, any member, so that zones reach each other.
    pub(super) fn pick_neighbour(&mut self) -> Option<String> {
        let anywhere = self.rng.next_u64().is_multiple_of(PULL_ANYWHERE_EVERY);
        if !anywhere {
            let neighbour = self.peers.sample_zone(&self.settings.location, 1, &mut self.rng).pop();
            if neighbour.is_some() {
                return neighbour;
            }
        }
        self.peers.sample_any(&mut self.rng)
    }

    /// Sends a digest to one member, which answers with the entries that this one lacks.
    pub(super) fn pull(&mut self, now: Nanos) {
        if let Some(name) = self.pick_neighbour() {
            self.send_digest(&name, true, now);
        }
    }

    fn send_digest(&mut self, to: &str, wants_reply: bool, now: Nanos) {
        let location = self.settings.location.clone();
        let neighbours = self.peers.sample_zone(&location, NEIGHBOURS_MAX, &mut self.rng);
        let (number, freshness) = (self.log.number(), self.freshness);
        self.send(to, &Message::Digest { number, freshness, location, neighbours, wants_reply }, now);
    }

    /// A statement about a longer log says nothing about the entries held here.
    fn on_freshness(&mut self, freshness: Freshness) {
        if freshness.number <= self.log.number() && freshness.at_ms > self.freshness.at_ms {
            self.freshness = freshness;
        }
    }

    /// Answers a digest with the entries that its sender lacks, or where this member lags with a digest.
    fn answer_digest(
        &mut self,
        from: &str,
        number: u64,
        freshness: Freshness,
        wants_reply: bool,
        now: Nanos,
    ) {
        if number < self.log.number() {
            return self.send_entries_after(from, number, now);
        }
        let is_behind = number > self.log.number();
        let is_fresher = freshness.at_ms + FRESHNESS_LAG_MS < self.freshness.at_ms;
        if wants_reply && (is_behind || is_fresher) {
            self.send_digest(from, false, now);
        }
    }

    /// Sends a member the entries that it lacks, or offers a checkpoint where they are not held any more.
    fn send_entries_after(&mut self, to: &str, number: u64, now: Nanos) {
        let Some(entries) = self.log.entries_after(number) else {
            if let Some(checkpoint) = self.log.newest_checkpoint() {
                let checkpoint = checkpoint.revision;
                let newest = self.log.number();
                self.send(to, &Message::SnapshotOffer { checkpoint, newest }, now);
            }
            return;
        };
        // Each entry takes a byte at least, so that more do not fit the answers.
        let entries: Vec<Entry> = entries.take(ANSWER_MESSAGES_MAX * BODY_BYTES_MAX).cloned().collect();
        for batch in batches(&entries).into_iter().take(ANSWER_MESSAGES_MAX) {
            let message = self.entries_message(batch, false);
            self.send(to, &message, now);
        }
    }

    /// Appends entries; pushes new ones on where they were pushed, else asks their sender for more.
    fn on_entries(
        &mut self,
        now: Nanos,
        from: &str,
        mut entries: Vec<Entry>,
        leader: Option<String>,
        pushed: bool,
    ) {
        let number_before = self.log.number();
        let has_gap = entries.first().is_some_and(|entry| entry.number() > number_before + 1);
        if !self.append_committed(now, &entries, EntrySource::OtherMember) {
            if has_gap {
                self.send_digest(from, true, now);
            }
            return;
        }
        self.leader = leader.or(self.leader.take());
        if pushed {
            entries.retain(|entry| entry.number() > number_before);
            self.push_in_zone(&entries, now);
        } else {
            // The sender may hold more.
            self.send_digest(from, true, now);
        }
        self.advance_commit(now);
    }
}

/// The entries in as few messages as hold them.
fn batches(entries: &[Entry]) -> Vec<Vec<Entry>> {
    let mut batches = Vec::new();
    let mut batch: Vec<Entry> = Vec::new();
    let mut bytes: usize = 0;
    for entry in entries {
        let size = entry.size();
        if bytes.saturating_add(size) > GOSSIP_ENTRIES_BYTES_MAX && !batch.is_empty() {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
        bytes = size.saturating_add(bytes);
        batch.push(entry.clone());
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
