//! Frames on the stream between predecessor and successor. A frame consists of the length of the message, its
//! CRC-32, and the message encoded with postcard. The reader accepts bytes in pieces of any size, buffers at
//! most one frame, and checks everything it reads.

use crate::Nanos;
use serde::{Deserialize, Serialize};

/// Maximum length of a message, in bytes. Larger state is sent in parts. Changes since the state was sent
/// must fit into one message.
pub const MESSAGE_BYTES_MAX: usize = 256 * 1024;
/// Length of a frame's header, in bytes: message length and checksum, 4 bytes each, little-endian.
const HEADER_BYTES: usize = 8;

/// An answer announced by the successor before sending it. If the successor crashes, the predecessor learns
/// from the announcements which answers callers may have received.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AnnouncedAnswer {
    /// Identifier of the answered invocation.
    pub invocation: u64,
    /// Number of bytes written to the invocation's connection before the answer.
    pub offset: u64,
    /// Content of the answer.
    pub bytes: Vec<u8>,
}

impl AnnouncedAnswer {
    /// Returns the part of the answer that remains to be written if `written_total` bytes have been written
    /// to the connection in all. Returns `None` if that number contradicts the announcement; the connection
    /// must then be closed.
    pub fn unwritten(&self, written_total: u64) -> Option<&[u8]> {
        let written = usize::try_from(written_total.checked_sub(self.offset)?).ok()?;
        self.bytes.get(written..)
    }
}

/// Messages between predecessor and successor. postcard encodes variants and fields by position, so their
/// order is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Frame {
    /// Sent first, by the predecessor.
    Offer {
        /// Protocol versions that the predecessor supports.
        versions: Vec<u16>,
        /// Version of the predecessor's program.
        build: String,
    },
    /// Sent by the successor to accept the offer.
    Accept {
        /// Protocol version to use from now on.
        version: u16,
    },
    /// Sent by the successor to abandon the upgrade, in place of any expected message.
    Refuse {
        /// Reason for the refusal.
        reason: String,
    },
    /// Sent by the predecessor, with the digest of the configuration to check and the number of parts of the
    /// state that follow.
    Prepare {
        /// Digest of the configuration.
        digest: u64,
        /// Number of parts of the state.
        parts: u32,
    },
    /// Sent by the successor if its configuration is valid and equals the predecessor's.
    Prepared,
    /// Sent by the predecessor: a part of the state, which may still change after it is sent.
    State {
        /// Index of the part, from 0.
        part: u32,
        /// Content of the part.
        bytes: Vec<u8>,
    },
    /// Sent by the successor once the state is loaded.
    Loaded,
    /// Sent by the predecessor after freezing: the changes since the state was sent. The changes form a
    /// single message, so the caller must freeze while they still fit into [`MESSAGE_BYTES_MAX`] with a few
    /// bytes of overhead.
    Switch {
        /// Content of the changes.
        changes: Vec<u8>,
    },
    /// Sent by the successor once the changes are applied.
    Confirmed,
    /// Sent by the predecessor to make the successor active.
    Release,
    /// Sent by the successor before each answer during the trial.
    Announce(AnnouncedAnswer),
    /// Sent by the successor at the end of the trial.
    TrialOver,
    /// Sent by the predecessor once it can no longer resume.
    Retired,
    /// Sent by the predecessor to forward a request to drain, after the release.
    Drain {
        /// Time until the process is stopped, in nanoseconds.
        grace: Nanos,
    },
}

/// Error on encoding or decoding a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message is longer than [`MESSAGE_BYTES_MAX`].
    #[error("the message has {bytes} bytes, more than {MESSAGE_BYTES_MAX}")]
    TooLong {
        /// Length of the message, in bytes.
        bytes: usize,
    },
    /// The checksum does not match, so the message was damaged.
    #[error("the checksum of the message is {computed:08x}, but the header says {declared:08x}")]
    Checksum {
        /// Checksum in the frame's header.
        declared: u32,
        /// Checksum computed over the received message.
        computed: u32,
    },
    /// The message cannot be decoded by this build, or has bytes left over.
    #[error("the message cannot be decoded by this build")]
    Encoding,
}

/// Encodes a frame and appends it to `out`. If the message is too long, `out` is not changed.
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

/// Decodes frames from the bytes of a stream.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    /// The first error. No frame is decoded after an error, since the start of the next frame is unknown.
    first_error: Option<FrameError>,
}

impl FrameReader {
    /// Number of bytes that [`FrameReader::push`] accepts now, so that at most one frame is buffered.
    pub fn capacity(&self) -> usize {
        (HEADER_BYTES + MESSAGE_BYTES_MAX).saturating_sub(self.buffer.len())
    }

    /// Buffers received bytes. Bytes beyond [`FrameReader::capacity`] are discarded.
    pub fn push(&mut self, bytes: &[u8]) {
        let count = bytes.len().min(self.capacity());
        self.buffer.extend_from_slice(&bytes[..count]);
    }

    /// Returns the next frame, or `None` if the frame has not been received completely. After an error, every
    /// call returns the same error.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let result = match self.first_error {
            Some(error) => Err(error),
            None => self.read_frame(),
        };
        self.first_error = result.as_ref().err().copied();
        result
    }

    /// Decodes the frame at the start of the buffer, and removes the frame from the buffer.
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

    /// Returns the 4-byte integer at an offset in the frame's header, or `None` if its bytes have not been
    /// received.
    fn header_word(&self, offset: usize) -> Option<u32> {
        let bytes = self.buffer.get(offset..offset + 4)?;
        Some(u32::from_le_bytes(bytes.try_into().ok()?))
    }

    /// Whether the buffer contains the beginning of an incomplete frame.
    pub fn has_partial_frame(&self) -> bool {
        !self.buffer.is_empty()
    }
}
