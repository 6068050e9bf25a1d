//! Messages that members exchange in addition to those of SWIM. With these messages, the members' views agree
//! even in cases in which gossip alone does not suffice:
//!
//! - **Anti-entropy.** Once per announce period each member sends a digest of its view to one other member,
//!   alive or down. If the digests differ, both members send each other the members of the differing buckets.
//!   If the views agree, the comparison costs one datagram.
//! - **Verdicts on a member that is down.** A member may receive a list that contains a member which the
//!   receiver has recorded as down. The receiver then sends a verdict on the listed member to the listed
//!   member itself and to the sender of the list. The listed member takes its next incarnation, and the
//!   sender of the list suspects it.
//! - **Verdicts on a suspect.** The prober, whose probe raised a suspicion, notifies the suspect several
//!   times within the suspicion time. The suspect answers the prober directly, so a refutation does not
//!   depend on gossip.

use crate::MemberId;
use crate::digest::BUCKETS;
use foca::Member;
use serde::{Deserialize, Serialize};

/// Maximum number of datagrams that a member sends in answer to one digest or one request. Each datagram
/// contains a list of members.
pub const ANSWERS_MAX: usize = 64;
/// Additional bytes reserved for the length prefix of a list of members. The prefix of an empty list takes
/// one byte; the prefix of a longer list can take more. The reserve is larger than the longest possible list
/// needs.
const LIST_LENGTH_BYTES: usize = 4;

/// An anti-entropy message together with the identity of its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AntiEntropyMessage {
    /// The sender of the message. Answers are sent to the address in this identity.
    pub from: MemberId,
    /// The content of the message.
    pub payload: AntiEntropyPayload,
}

/// Payload of an anti-entropy message. The order of variants and fields is part of the wire format, because
/// the encoding (postcard) identifies them by position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AntiEntropyPayload {
    /// The digest of the sender's view, for comparison with the receiver's view.
    Digest {
        /// One hash for each of the [`BUCKETS`] buckets.
        bucket_hashes: Vec<u32>,
    },
    /// Members that are alive or suspect in the sender's view. The list covers only buckets in which the
    /// views of sender and receiver differ.
    Members {
        /// Bit set of the buckets whose members the receiver is to send to the sender in return. 0 requests
        /// no members.
        requested_buckets: u64,
        /// The listed members, with their states in the sender's view.
        members: Vec<Member<MemberId>>,
    },
    /// The sender reports that it has recorded a member as suspect or down. The member itself can refute the
    /// verdict. Any other receiver suspects the member if the verdict is down and the receiver's view records
    /// the member as alive.
    Verdict {
        /// The member that the verdict is about, with its state in the sender's view.
        member: Member<MemberId>,
    },
}

impl AntiEntropyMessage {
    /// Encodes the message with postcard.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("postcard can encode every type in a message")
    }

    /// Decodes a message. Returns `None` if the bytes are truncated, invalid or followed by other bytes. Also
    /// returns `None` for a digest with a wrong number of buckets.
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

/// Encodes `members` as [`AntiEntropyPayload::Members`] messages of at most `body_max` bytes each. The first
/// message also carries `requested_buckets`. At most [`ANSWERS_MAX`] messages are returned. Members that do
/// not fit into these messages are omitted. They can be sent in a later exchange.
pub fn encode_members(
    from: &MemberId,
    requested_buckets: u64,
    members: &[Member<MemberId>],
    body_max: usize,
) -> Vec<Vec<u8>> {
    // Size of an encoded list message without its members. Includes the bytes reserved for a longer length
    // prefix. Computed with `u64::MAX`, which has the longest encoding, so any `requested_buckets` fits.
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
