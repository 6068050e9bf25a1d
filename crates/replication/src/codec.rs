//! Encoding of messages, and those bounds of a received one that are checked when it is read.

use crate::message::{BODY_BYTES_MAX, Message, NAME_BYTES_MAX, NEIGHBOURS_MAX, REASON_BYTES_MAX};

impl Message {
    /// The bytes of a body.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a message holds nothing that postcard cannot encode")
    }

    /// Reads a body; `None` for anything but exactly one message within its bounds.
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
            // The location is bounded by the body alone.
            Message::Report { report, .. } => {
                let rejected = report.rejected.as_ref();
                rejected.is_none_or(|rejection| rejection.reason.len() <= REASON_BYTES_MAX)
            }
            Message::Entries { leader, .. } => leader.as_deref().is_none_or(is_name),
            Message::Submit { request, changes, .. } => {
                is_name(&request.from) && changes.iter().all(|change| change.check().is_ok())
            }
            // Entries are checked where they are appended: by the acceptor, and by the committed log.
            Message::Promise { .. } | Message::Append { .. } => true,
            // Pairs are checked where they are added to the transfer, keys are only compared.
            Message::FetchChunk { .. } | Message::SnapshotChunk { .. } => true,
            // Numbers alone.
            Message::SnapshotOffer { .. }
            | Message::PollReport
            | Message::Prepare { .. }
            | Message::EpochRejected { .. }
            | Message::Appended { .. }
            | Message::AppendRejected { .. } => true,
            // Names and texts in these are bounded by the body alone.
            Message::Revert { .. }
            | Message::Submitted { .. }
            | Message::NotLeader { .. }
            | Message::PollStatus { .. }
            | Message::Status { .. } => true,
        }
    }
}

/// Whether a text is short enough for a name.
fn is_name(text: &str) -> bool {
    text.len() <= NAME_BYTES_MAX
}
