//! Messages that members exchange beside SWIM's, where gossip alone does not make views agree:
//!
//! - **Anti-entropy.** Once an announce period each member sends one other (alive or down) the digest of its
//!   view. Where the digests differ, both send the members of the differing buckets. Two views that agree
//!   cost one datagram.
//! - **Verdicts on a member that is down.** A member that holds another down, and receives it as alive in a
//!   list of members, notifies both: the one that is down takes its next incarnation, the one that sent
//!   the list suspects it.
//! - **Verdicts on a suspect.** The prober notifies its suspect several times within the suspicion, and the
//!   suspect answers, so that a refutation does not depend on gossip.

use crate::MemberId;
use crate::digest::BUCKETS;
use foca::Member;
use serde::{Deserialize, Serialize};

/// Datagrams of members that one digest is answered with, at most.
pub const ANSWERS_MAX: usize = 64;
/// Bytes of a list's length in postcard beyond that of an empty list, with a byte to spare.
const LIST_LENGTH_BYTES: usize = 4;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AntiEntropyMessage {
    /// The sender; answers go to its address.
    pub from: MemberId,
    /// What it sends.
    pub payload: AntiEntropyPayload,
}

/// The messages. postcard numbers variants and fields by position: their order is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AntiEntropyPayload {
    /// The digest of the sender's view.
    Digest {
        /// A hash for each of [`BUCKETS`] buckets.
        bucket_hashes: Vec<u32>,
    },
    /// Members alive or suspect in the sender's view, of buckets that differ.
    Members {
        /// A bit for each bucket of which the receiver is to send its own members.
        requested_buckets: u64,
        /// The sender's members.
        members: Vec<Member<MemberId>>,
    },
    /// The sender holds this member suspect or down. The member itself may refute it; another member that
    /// holds it alive suspects it where it is down.
    Verdict {
        /// The member in the state that the sender holds it in.
        member: Member<MemberId>,
    },
}

impl AntiEntropyMessage {
    /// The message in postcard.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("every type of a message is one that postcard writes")
    }

    /// Reads a message; `None` where the bytes are truncated, have a rest behind the message, or are a digest
    /// of another size.
    pub fn decode(bytes: &[u8]) -> Option<AntiEntropyMessage> {
        let (message, rest) = postcard::take_from_bytes::<AntiEntropyMessage>(bytes).ok()?;
        if !rest.is_empty() {
            return None;
        }
        match &message.payload {
            AntiEntropyPayload::Digest { bucket_hashes } if bucket_hashes.len() != BUCKETS => None,
            _ => Some(message),
        }
    }
}

/// Encoded messages that hold the members in as few datagrams as possible, each body within `body_max` bytes.
/// The first one carries the requested buckets. At most [`ANSWERS_MAX`] are made; members beyond them wait
/// for a later exchange.
pub fn encode_members(
    from: &MemberId,
    requested_buckets: u64,
    members: &[Member<MemberId>],
    body_max: usize,
) -> Vec<Vec<u8>> {
    // The head of the longest encoding, whatever the first one requests.
    let head_bytes = encode_list(from, u64::MAX, Vec::new()).len() + LIST_LENGTH_BYTES;
    let list_bytes_max = body_max.saturating_sub(head_bytes);
    let mut bodies = Vec::new();
    let mut list = Vec::new();
    let mut list_bytes = 0;
    let mut request = requested_buckets;
    for member in members {
        let member_bytes = encoded_len(member);
        if list_bytes + member_bytes > list_bytes_max && !list.is_empty() {
            bodies.push(encode_list(from, std::mem::take(&mut request), std::mem::take(&mut list)));
            list_bytes = 0;
            if bodies.len() == ANSWERS_MAX {
                return bodies;
            }
        }
        list_bytes += member_bytes;
        list.push(member.clone());
    }
    if !list.is_empty() || request != 0 {
        bodies.push(encode_list(from, request, list));
    }
    bodies
}

fn encode_list(from: &MemberId, requested_buckets: u64, members: Vec<Member<MemberId>>) -> Vec<u8> {
    let payload = AntiEntropyPayload::Members { requested_buckets, members };
    AntiEntropyMessage { from: from.clone(), payload }.encode()
}

fn encoded_len(member: &Member<MemberId>) -> usize {
    postcard::to_allocvec(member).expect("every type of a member is one that postcard writes").len()
}
