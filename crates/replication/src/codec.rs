//! Encoding and decoding of messages. Decoding also checks limits on the content of a message, such as the
//! length of names.

use crate::message::{BODY_BYTES_MAX, Message, NAME_BYTES_MAX, NEIGHBOURS_MAX, REASON_BYTES_MAX};

impl Message {
    /// Encodes the message as the body of a datagram.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a message holds nothing that postcard cannot encode")
    }

    /// Decodes the body of a datagram. Returns `None` if the body is not exactly one message, or if the
    /// content of the message exceeds a limit.
    pub fn decode(body: &[u8]) -> Option<Message> {
        if body.len() > BODY_BYTES_MAX {
            return None;
        }
        let (message, rest) = postcard::take_from_bytes::<Message>(body).ok()?;
        (rest.is_empty() && message.is_within_bounds()).then_some(message)
    }

    fn is_within_bounds(&self) -> bool {
        match self {
            Message::Digest { location, neighbours, .. } => {
                neighbours.len() <= NEIGHBOURS_MAX
                    && neighbours.iter().all(|name| is_name(name))
                    && is_name(&location.region)
                    && is_name(&location.zone)
            }
            // The lengths of the region and the zone in a report need no check here: they are limited by the
            // maximum length of the body.
            Message::Report { report, .. } => {
                let rejected = report.rejected.as_ref();
                rejected.is_none_or(|rejection| rejection.reason.len() <= REASON_BYTES_MAX)
            }
            Message::Entries { leader, .. } => leader.as_deref().is_none_or(is_name),
            Message::Submit { request, changes, .. } => {
                is_name(&request.from) && changes.iter().all(|change| change.check().is_ok())
            }
            // Entries need no check here: the acceptor and the committed log check each entry when they
            // append it.
            Message::Promise { .. } | Message::Append { .. } => true,
            // Key-value pairs need no check here: `SnapshotTransfer` checks them when it adds them to its
            // state. The key `after` needs no check either, since it is only compared with other keys.
            Message::FetchChunk { .. } | Message::SnapshotChunk { .. } => true,
            // These messages contain only numbers, or nothing at all, so there is nothing to check.
            Message::SnapshotOffer { .. }
            | Message::PollReport
            | Message::Prepare { .. }
            | Message::EpochRejected { .. }
            | Message::Appended { .. }
            | Message::AppendRejected { .. } => true,
            // Names and texts need no check here: their lengths are limited by the maximum length of the
            // body.
            Message::Revert { .. }
            | Message::Submitted { .. }
            | Message::NotLeader { .. }
            | Message::PollStatus { .. }
            | Message::Status { .. } => true,
        }
    }
}

/// Returns true if a text is short enough to be the name of a member, a region or a zone.
fn is_name(text: &str) -> bool {
    text.len() <= NAME_BYTES_MAX
}
