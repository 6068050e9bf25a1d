//! Encoding and decoding of messages, and the bounds that are checked when a message is decoded.

use crate::message::{BODY_BYTES_MAX, Message, NAME_BYTES_MAX, NEIGHBOURS_MAX, REASON_BYTES_MAX};

impl Message {
    /// Encodes the message as the bytes of a body.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a message holds nothing that postcard cannot encode")
    }

    /// Decodes a body. Returns `None` unless the body is exactly one message within its bounds.
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
            // The lengths of the region and the zone are limited only by the maximum length of the body.
            Message::Report { report, .. } => {
                let rejected = report.rejected.as_ref();
                rejected.is_none_or(|rejection| rejection.reason.len() <= REASON_BYTES_MAX)
            }
            Message::Entries { leader, .. } => leader.as_deref().is_none_or(is_name),
            Message::Submit { request, changes, .. } => {
                is_name(&request.from) && changes.iter().all(|change| change.check().is_ok())
            }
            // The acceptor and the committed log check entries when they append them.
            Message::Promise { .. } | Message::Append { .. } => true,
            // `SnapshotTransfer` checks received key-value pairs when it adds them to its state. The key
            // `after` is only compared with other keys.
            Message::FetchChunk { .. } | Message::SnapshotChunk { .. } => true,
            // These messages contain at most numbers, so there is nothing to check.
            Message::SnapshotOffer { .. }
            | Message::PollReport
            | Message::Prepare { .. }
            | Message::EpochRejected { .. }
            | Message::Appended { .. }
            | Message::AppendRejected { .. } => true,
            // The lengths of names and texts in these messages are limited only by the maximum length of the
            // body.
            Message::Revert { .. }
            | Message::Submitted { .. }
            | Message::NotLeader { .. }
            | Message::PollStatus { .. }
            | Message::Status { .. } => true,
        }
    }
}

/// Whether a text is short enough to be a name.
fn is_name(text: &str) -> bool {
    text.len() <= NAME_BYTES_MAX
}
