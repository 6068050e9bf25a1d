//! Frames on the stream between predecessor and successor: the length of the message, its CRC-32, and the
//! message in postcard. A reader accepts bytes in any pieces, buffers one frame at most, and trusts none of
//! it.

use crate::Nanos;
use serde::{Deserialize, Serialize};

/// Longest message in bytes; longer state is sent in parts, and longer changes not at all.
pub const MESSAGE_BYTES_MAX: usize = 256 * 1024;
/// Length and checksum, little-endian, 4 bytes each.
const HEADER_BYTES: usize = 8;

/// An answer that the successor is about to give, so that the predecessor knows after a crash what callers
/// may have received.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AnnouncedAnswer {
    /// The invocation answered.
    pub invocation: u64,
    /// Bytes that its connection had carried before the answer.
    pub offset: u64,
    /// The bytes of the answer.
    pub bytes: Vec<u8>,
}

impl AnnouncedAnswer {
    /// What is still to be written where the connection has carried `carried` bytes in all. `None` where that
    /// contradicts the announcement; the connection is then to be closed.
    pub fn unwritten(&self, carried: u64) -> Option<&[u8]> {
        let written = usize::try_from(carried.checked_sub(self.offset)?).ok()?;
        self.bytes.get(written..)
    }
}

/// The messages. postcard numbers variants and fields by position: their order is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Frame {
    /// From the predecessor, first.
    Offer {
        /// Versions of the protocol that it speaks.
        versions: Vec<u16>,
        /// Version of its program.
        build: String,
    },
    /// From the successor, in answer to the offer.
    Accept {
        /// Version of the protocol that both speak from now on.
        version: u16,
    },
    /// From the successor, in place of any answer: it does not go on.
    Refuse {
        /// Why not.
        reason: String,
    },
    /// From the predecessor: the configuration to check, and how much state follows.
    Prepare {
        /// Digest of the configuration.
        digest: u64,
        /// Number of parts of the state.
        parts: u32,
    },
    /// From the successor: its configuration is the same and can be used.
    Prepared,
    /// From the predecessor: a part of the state, which may still change.
    State {
        /// Index of the part, from 0.
        part: u32,
        /// The part.
        bytes: Vec<u8>,
    },
    /// From the successor: the state is loaded.
    Loaded,
    /// From the predecessor, which has frozen: what has changed since the state was sent. It is one message,
    /// so the caller must freeze while the changes, with the few bytes around them, fit
    /// [`MESSAGE_BYTES_MAX`].
    Switch {
        /// The changes.
        changes: Vec<u8>,
    },
    /// From the successor: it has taken over the changes.
    Confirmed,
    /// From the predecessor: the successor is active from here on.
    Release,
    /// From the successor during the trial, before each answer.
    Announce(AnnouncedAnswer),
    /// From the successor: the trial is over.
    TrialOver,
    /// From the predecessor: it takes nothing back any more.
    Retired,
    /// From the predecessor after the release: the request to drain is passed on.
    Drain {
        /// Time until the stop, in nanoseconds.
        grace: Nanos,
    },
}

/// Why bytes are no frame, or a message cannot be one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message is longer than allowed.
    #[error("a message of {bytes} bytes, over {MESSAGE_BYTES_MAX}")]
    TooLong {
        /// Length of the message.
        bytes: usize,
    },
    /// The message is not the one that was sent.
    #[error("the checksum of the message is {computed:08x}, not {declared:08x}")]
    Checksum {
        /// The checksum in the frame's header.
        declared: u32,
        /// The checksum of the message received.
        computed: u32,
    },
    /// The message is none that this build knows, or has bytes behind it.
    #[error("the message is none that this build knows")]
    Encoding,
}

/// Appends a frame to `out`, which stays as it is where the message is too long.
pub fn encode(out: &mut Vec<u8>, frame: &Frame) -> Result<(), FrameError> {
    let message = postcard::to_allocvec(frame).map_err(|_| FrameError::Encoding)?;
    if message.len() > MESSAGE_BYTES_MAX {
        return Err(FrameError::TooLong { bytes: message.len() });
    }
    out.extend_from_slice(&(message.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&message).to_le_bytes());
    out.extend_from_slice(&message);
    Ok(())
}

/// Reads frames from the bytes of a stream.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    /// The first error. Nothing is read after it, since the start of the next frame is not known.
    failed: Option<FrameError>,
}

impl FrameReader {
    /// Bytes that can be pushed now: no more than one frame is buffered.
    pub fn capacity(&self) -> usize {
        (HEADER_BYTES + MESSAGE_BYTES_MAX).saturating_sub(self.buffer.len())
    }

    /// Buffers bytes; those beyond [`FrameReader::capacity`] are dropped.
    pub fn push(&mut self, bytes: &[u8]) {
        let count = bytes.len().min(self.capacity());
        self.buffer.extend_from_slice(&bytes[..count]);
    }

    /// The next frame, `None` until it is complete. After an error the same error is returned again.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let read = match self.failed {
            Some(error) => Err(error),
            None => self.read_frame(),
        };
        self.failed = read.as_ref().err().copied();
        read
    }

    fn read_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let (Some(bytes), Some(declared)) = (self.header_word(0), self.header_word(4)) else {
            return Ok(None);
        };
        let bytes = bytes as usize;
        if bytes > MESSAGE_BYTES_MAX {
            return Err(FrameError::TooLong { bytes });
        }
        let frame_bytes = HEADER_BYTES + bytes;
        let Some(message) = self.buffer.get(HEADER_BYTES..frame_bytes) else { return Ok(None) };
        let computed = crc32fast::hash(message);
        if computed != declared {
            return Err(FrameError::Checksum { declared, computed });
        }
        let (frame, rest) = postcard::take_from_bytes(message).map_err(|_| FrameError::Encoding)?;
        if !rest.is_empty() {
            return Err(FrameError::Encoding);
        }
        self.buffer.drain(..frame_bytes);
        Ok(Some(frame))
    }

    /// A number of the header, `None` until its bytes are there.
    fn header_word(&self, offset: usize) -> Option<u32> {
        let bytes = self.buffer.get(offset..offset + 4)?;
        Some(u32::from_le_bytes(bytes.try_into().ok()?))
    }

    /// Whether a frame has begun that is not complete.
    pub fn has_partial_frame(&self) -> bool {
        !self.buffer.is_empty()
    }
}
