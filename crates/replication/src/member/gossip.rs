//! Gossip of committed entries between members. A member that receives a new entry by a push pushes the entry
//! on to a few other members. In addition, every member regularly requests missing entries from a random
//! member (a pull). Pulls repair missed pushes (anti-entropy).

use super::{EntrySource, Member};
use crate::entry::Entry;
use crate::message::{BODY_BYTES_MAX, Freshness, Message, NAME_BYTES_MAX, NEIGHBOURS_MAX};
use crate::time::Nanos;
use rand_chacha::rand_core::Rng;

/// Number of members per zone to which the leader pushes newly committed entries.
const LEADER_FANOUT: usize = 2;
/// Number of members to which a member pushes new entries within its own zone. The leader instead pushes
/// newly committed entries to [`LEADER_FANOUT`] members of each zone.
const ZONE_FANOUT: usize = 3;
/// A member's pulls usually go to a member of its own zone. On average, one in this many pulls goes to a
/// random member of the whole fleet instead.
const PULL_ANYWHERE_EVERY: u64 = 4;
/// Maximum number of [`Message::Entries`] that a member sends in answer to one digest.
const ANSWER_MESSAGES_MAX: usize = 3;
/// Tolerated age difference between two [`Freshness`] statements, in milliseconds. Such a statement tells
/// where the leader's log ended at a given time. If the statement in a received digest is older than the
/// receiver's own by more than this difference, the receiver answers with its own digest, which contains the
/// newer statement.
const FRESHNESS_LAG_MS: u64 = 1_500;
/// Maximum total size of the entries in one [`Message::Entries`], in bytes. The rest of the message is left
/// for its other fields: the leader's name, a flag and a number.
const GOSSIP_ENTRIES_BYTES_MAX: usize = BODY_BYTES_MAX - 2 * NAME_BYTES_MAX;

impl Member {
    /// Handles a gossip message.
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

    /// Pushes newly committed entries to some members of every zone. Called on the leader.
    pub(super) fn push_to_each_zone(&mut self, entries: &[Entry], now: Nanos) {
        let to = self.peers.sample_each_zone(LEADER_FANOUT, &mut self.rng);
        self.push(&to, entries, now);
    }

    /// Pushes entries that are new to this member to some other members of its zone.
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

    /// Picks a random member for a pull or a transfer. Usually, the member is in this member's zone.
    /// Sometimes, or if no other member of the zone is known, the member is picked from the whole fleet.
    /// Without such picks, entries would not spread between zones by pulls.
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

    /// Requests missing entries from a random member by sending it a digest of this member's log.
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

    /// Adopts a received freshness statement if it is newer than this member's own, and if this member holds
    /// all entries up to the number in the statement. Without these entries, the statement would not prove
    /// that this member has the newest entries.
    fn on_freshness(&mut self, freshness: Freshness) {
        if freshness.number <= self.log.number() && freshness.at_ms > self.freshness.at_ms {
            self.freshness = freshness;
        }
    }

    /// Answers a digest from another member. A sender that lacks entries receives these entries. A sender
    /// that lacks no entries, but wants a reply, receives this member's own digest in two cases: this member
    /// lacks entries, or its freshness statement is newer than the sender's by more than
    /// [`FRESHNESS_LAG_MS`].
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

    /// Sends a member all entries after `number`. If this member no longer holds all of these entries, offers
    /// a checkpoint instead.
    fn send_entries_after(&mut self, to: &str, number: u64, now: Nanos) {
        let Some(entries) = self.log.entries_after(number) else {
            if let Some(checkpoint) = self.log.newest_checkpoint() {
                let checkpoint = checkpoint.revision;
                let newest = self.log.number();
                self.send(to, &Message::SnapshotOffer { checkpoint, newest }, now);
            }
            return;
        };
        // Clone only as many entries as the answer can hold. Every entry takes at least one byte, so the
        // maximum number of bytes is also a maximum number of entries.
        let entries: Vec<Entry> = entries.take(ANSWER_MESSAGES_MAX * BODY_BYTES_MAX).cloned().collect();
        for batch in batches(&entries).into_iter().take(ANSWER_MESSAGES_MAX) {
            let message = self.entries_message(batch, false);
            self.send(to, &message, now);
        }
    }

    /// Appends received entries to the log. If some entries were new and the sender pushed them, pushes the
    /// new entries on to other members of the zone. If some were new but not pushed, requests further entries
    /// from the sender. If no entry could be appended because earlier entries are missing, requests the
    /// missing entries from the sender.
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
            // The sender may hold more entries, so request them with a digest.
            self.send_digest(from, true, now);
        }
        self.advance_commit(now);
    }
}

/// Groups entries into batches that each fit into one message. Keeps the order of the entries.
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
