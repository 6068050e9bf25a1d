//! Messages that members exchange in addition to those of SWIM, for cases in which gossip alone does not make
//! the views agree:
//!
//! - **Anti-entropy.** Once per announce period each member sends a digest of its view to one other member,
//!   alive or down. If the digests differ, both members send each other the members of the differing buckets.
//!   If the views agree, the comparison costs one datagram.
//! - **Verdicts on a member that is down.** When the receiver of a list finds a member in it that the
//!   receiver has recorded as down, it sends a verdict on that member to the member itself and to the sender
//!   of the list. The member itself takes its next incarnation, and the sender of the list suspects it.
//! - **Verdicts on a suspect.** The prober notifies its suspect several times within the suspicion time, and
//!   the suspect answers directly, so that a refutation does not depend on gossip.

use crate::MemberId;
use crate::digest::BUCKETS;
use foca::Member;
use serde::{Deserialize, Serialize};

/// Maximum number of datagrams with members that are sent in answer to one digest.
pub const ANSWERS_MAX: usize = 64;
/// Bytes reserved for the encoded length of a list, in addition to the length prefix of an empty list. One
/// byte more than needed.
const LIST_LENGTH_BYTES: usize = 4;

/// An anti-entropy message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AntiEntropyMessage {
    /// The sender; answers go to its address.
    pub from: MemberId,
    /// The content of the message.
    pub payload: AntiEntropyPayload,
}

/// Payload of an anti-entropy message. postcard identifies variants and fields by their position, so their
/// order is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AntiEntropyPayload {
    /// The digest of the sender's view.
    Digest {
        /// One hash for each of the [`BUCKETS`] buckets.
        bucket_hashes: Vec<u32>,
    },
    /// Alive and suspect members in the sender's view, from buckets in which the views differ.
    Members {
        /// Bit set of the buckets whose members the receiver is requested to send.
        requested_buckets: u64,
        /// The members in the sender's view.
        members: Vec<Member<MemberId>>,
    },
    /// A member that the sender has recorded as suspect or down. The member itself can refute the verdict. If
    /// the member is down, any other receiver that has recorded it as alive suspects it.
    Verdict {
        /// The member with its state in the sender's view.
        member: Member<MemberId>,
    },
}

impl AntiEntropyMessage {
    /// Encodes the message with postcard.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("postcard can encode every type in a message")
    }

    /// Decodes a message. Returns `None` if the bytes are truncated, invalid or followed by other bytes, or
    /// contain a digest with a wrong number of buckets.
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

/// Encodes `members` as [`AntiEntropyPayload::Members`] messages, filling each body up to `body_max` bytes.
/// The first message carries `requested_buckets`. At most [`ANSWERS_MAX`] messages are returned; members that
/// do not fit into them are left to a later exchange.
pub fn encode_members(
    from: &MemberId,
    requested_buckets: u64,
    members: &[Member<MemberId>],
    body_max: usize,
) -> Vec<Vec<u8>> {
    // The longest possible header, so that any value of `requested_buckets` fits.
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
    postcard::to_allocvec(member).expect("postcard can encode every type in a member").len()
}
