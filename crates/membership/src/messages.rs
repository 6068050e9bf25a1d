//! What members say to each other beside SWIM, to settle again after what gossip alone does not mend:
//!
//! - **Anti-entropy.** Once an announce period each member sends one other (alive or held down) a digest of
//!   its view: a mark for each of 64 buckets of members. Where marks differ both send the members of those
//!   buckets alone. Two views that agree cost one datagram. Guards against halves that find each other by
//!   single announces only: at 1,000 members no one view came within 600 s of a cut.
//! - **Verdicts.** Whoever holds a member down that another still hears tells that member itself, so that
//!   it takes its next incarnation at once, and tells the other, which suspects it; one is told for each
//!   datagram of members.
//! - **Doubts.** The member whose probe failed tells the suspect itself, several times within the suspicion,
//!   and the suspect answers. Guards against a suspicion or its refutation that gossip loses: each update is
//!   sent a fixed number of times, so under loss a share of suspicions ended in a false death however long
//!   the suspicion was.

use crate::MemberId;
use foca::Member;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Buckets of a digest; one bit of a `u64` stands for each.
pub const BUCKETS: usize = 64;
/// Datagrams of members that one digest is answered with, at most.
pub const ANSWERS_MAX: usize = 64;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AntiEntropyMessage {
    /// Who says so; answers go to its address.
    pub from: MemberId,
    pub what: AntiEntropyPayload,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AntiEntropyPayload {
    /// The marks of the sender's view, [`BUCKETS`] of them.
    Digest(Vec<u32>),
    /// Members alive or suspect in the sender's view, of buckets whose marks differed; the receiver's own
    /// members of the buckets in `want` (a bit each) are wanted back.
    Members { want: u64, members: Vec<Member<MemberId>> },
    /// The sender holds this member in this state (suspect or down). The member itself may refute it; whoever
    /// else holds it alive suspects it where it is down.
    Verdict(Member<MemberId>),
}

impl AntiEntropyMessage {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("no part of it refuses")
    }

    /// `None` for anything that is not exactly one message of ours: truncated, with bytes left over, or with
    /// a digest of another size.
    pub fn decode(bytes: &[u8]) -> Option<AntiEntropyMessage> {
        let (read, rest) = postcard::take_from_bytes::<AntiEntropyMessage>(bytes).ok()?;
        let sized = match &read.what {
            AntiEntropyPayload::Digest(marks) => marks.len() == BUCKETS,
            AntiEntropyPayload::Members { .. } | AntiEntropyPayload::Verdict(_) => true,
        };
        (rest.is_empty() && sized).then_some(read)
    }
}

/// A mark of one member in one incarnation, and its bucket, by address alone: two incarnations of a member
/// lie in the same bucket.
fn mark(id: &MemberId) -> (usize, u32) {
    let mut of_address = SipHasher13::new();
    id.addr.hash(&mut of_address);
    let bucket = (of_address.finish() % BUCKETS as u64) as usize;
    let mut of_both = SipHasher13::new();
    (id.addr, id.incarnation).hash(&mut of_both);
    (bucket, of_both.finish() as u32)
}

pub fn bucket(id: &MemberId) -> usize {
    mark(id).0
}

/// The marks of a view: for each bucket the exclusive or of its members' marks, whatever their order.
pub fn digest<'a>(members: impl Iterator<Item = &'a MemberId>) -> Vec<u32> {
    let mut marks = vec![0; BUCKETS];
    for id in members {
        let (bucket, of_it) = mark(id);
        marks[bucket] ^= of_it;
    }
    marks
}

/// A bit for each bucket in which two views differ.
pub fn differing(ours: &[u32], theirs: &[u32]) -> u64 {
    let differ = |i: &usize| ours.get(*i) != theirs.get(*i);
    (0..BUCKETS).filter(differ).fold(0, |bits, i| bits | 1 << i)
}

/// The members split over as few datagrams as hold them, each body within `body_max` bytes; at most
/// [`ANSWERS_MAX`], the rest waits for a later exchange. The first one carries `want`.
pub fn answers(from: &MemberId, want: u64, members: &[Member<MemberId>], body_max: usize) -> Vec<Vec<u8>> {
    let whole = |want, members: Vec<Member<MemberId>>| {
        AntiEntropyMessage { from: from.clone(), what: AntiEntropyPayload::Members { want, members } }
            .encode()
    };
    // The head, with room for the count and for a longer `want` than the first one's.
    let room = body_max.saturating_sub(whole(u64::MAX, Vec::new()).len() + 4);
    let mut bodies = Vec::new();
    let (mut part, mut held) = (Vec::new(), 0);
    for member in members {
        let size = postcard::to_allocvec(member).expect("no part of it refuses").len();
        if held + size > room && !part.is_empty() {
            bodies.push(whole(if bodies.is_empty() { want } else { 0 }, std::mem::take(&mut part)));
            held = 0;
            if bodies.len() == ANSWERS_MAX {
                return bodies;
            }
        }
        held += size;
        part.push(member.clone());
    }
    if !part.is_empty() || (bodies.is_empty() && want != 0) {
        bodies.push(whole(if bodies.is_empty() { want } else { 0 }, part));
    }
    bodies
}
