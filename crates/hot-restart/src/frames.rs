//! Format of the messages between predecessor (the old server process) and successor (the new process). A
//! frame on the stream consists of the length of the message, its CRC-32, and the message encoded with
//! postcard. The reader accepts bytes in pieces of any size, buffers at most one frame, and checks everything
//! it reads.

use crate::Nanos;
use serde::{Deserialize, Serialize};

/// Maximum length of a message, in bytes. A larger state is sent in several parts. The changes that are made
/// after the state was sent must fit into one message.
pub const MESSAGE_BYTES_MAX: usize = 256 * 1024;
/// Length of a frame's header, in bytes. The header contains the message length and the checksum, 4 bytes
/// each, little-endian.
const HEADER_BYTES: usize = 8;

/// Announcement of an answer, which the successor sends to the predecessor before it sends the answer to the
/// caller. If the successor crashes, the announcements show the predecessor which answers callers may have
/// received.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AnnouncedAnswer {
    /// Identifier of the answered invocation.
    pub invocation: u64,
    /// Number of bytes that had been written to the invocation's connection before this answer. A predecessor
    /// that resumes uses this number to determine which part of the answer is still missing.
    pub offset: u64,
    /// Content of the answer.
    pub bytes: Vec<u8>,
}

impl AnnouncedAnswer {
    /// Returns the part of the answer that must still be written to the connection. `written_total` is the
    /// number of bytes written to the connection in all. Returns `None` if `written_total` contradicts the
    /// announcement; the caller must then close the connection.
    pub fn unwritten(&self, written_total: u64) -> Option<&[u8]> {
        let written = usize::try_from(written_total.checked_sub(self.offset)?).ok()?;
        self.bytes.get(written..)
    }
}

/// Messages between predecessor and successor. postcard encodes variants and fields by position, so the order
/// of variants and fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Frame {
    /// First message: the predecessor offers an upgrade to the successor.
    Offer {
        /// Protocol versions that the predecessor supports.
        versions: Vec<u16>,
        /// Version of the predecessor's program.
        build: String,
    },
    /// The successor accepts the predecessor's offer.
    Accept {
        /// Protocol version that the successor selects from the offered versions.
        version: u16,
    },
    /// The successor abandons the upgrade. Until its release, the successor may send this message in place of
    /// any other message.
    Refuse {
        /// Reason for the refusal.
        reason: String,
    },
    /// The predecessor announces the state that it will send. The message contains the digest of the
    /// predecessor's configuration, which the successor checks, and the number of parts of the state.
    Prepare {
        /// Digest of the configuration.
        digest: u64,
        /// Number of parts of the state.
        parts: u32,
    },
    /// The successor reports that its configuration is valid and equals the predecessor's configuration.
    Prepared,
    /// The predecessor sends one part of its state. The state may still change after it is sent.
    State {
        /// Index of the part, from 0.
        part: u32,
        /// Content of the part.
        bytes: Vec<u8>,
    },
    /// The successor reports that it has loaded the state.
    Loaded,
    /// The predecessor has frozen (stopped all activity) and sends the changes that it made after it sent the
    /// state. The changes form a single message. The predecessor must therefore freeze while the changes
    /// still fit into [`MESSAGE_BYTES_MAX`] with a few bytes of overhead.
    Switch {
        /// Content of the changes.
        changes: Vec<u8>,
    },
    /// The successor reports that it has applied the changes.
    Confirmed,
    /// The predecessor releases the successor, that is, makes it the active process.
    Release,
    /// The successor announces an answer before it sends the answer to the caller. Announcements are sent as
    /// long as the predecessor can still resume service.
    Announce(AnnouncedAnswer),
    /// The successor reports the end of the trial. During the trial, the successor is active, but the
    /// predecessor can still resume service.
    TrialOver,
    /// The predecessor reports that it has retired and can no longer resume service.
    Retired,
    /// The predecessor forwards a drain request. After the release, the successor is active and must drain.
    Drain {
        /// Time from the drain request until the process is stopped, in nanoseconds.
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
        /// Checksum that the header of the frame contains.
        declared: u32,
        /// Checksum computed over the received message.
        computed: u32,
    },
    /// This build cannot decode the message, or the message has extra bytes after the decoded value.
    #[error("the message cannot be decoded by this build")]
    Encoding,
}

/// Encodes a message as a frame and appends the frame to `out`. If the message is too long, `out` is not
/// changed.
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

/// Decodes frames from the received bytes of a stream.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    /// First error that the reader found. No frame is decoded after an error, since the start of the next
    /// frame is unknown.
    first_error: Option<FrameError>,
}

impl FrameReader {
    /// Returns the number of bytes that [`FrameReader::push`] accepts now. The limit makes sure that at most
    /// one frame is buffered.
    pub fn capacity(&self) -> usize {
        (HEADER_BYTES + MESSAGE_BYTES_MAX).saturating_sub(self.buffer.len())
    }

    /// Buffers received bytes. Bytes beyond [`FrameReader::capacity`] are discarded.
    pub fn push(&mut self, bytes: &[u8]) {
        let count = bytes.len().min(self.capacity());
        self.buffer.extend_from_slice(&bytes[..count]);
    }

    /// Returns the next frame, or `None` if the reader has not received a complete frame yet. After an error,
    /// every call returns the same error.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let result = match self.first_error {
            Some(error) => Err(error),
            None => self.read_frame(),
        };
        self.first_error = result.as_ref().err().copied();
        result
    }

    /// Decodes the frame at the start of the buffer and removes it from the buffer. Returns `None` if the
    /// frame is incomplete.
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

    /// Returns the 4-byte integer at `offset` in the header of the frame. Returns `None` if these bytes have
    /// not been received yet.
    fn header_word(&self, offset: usize) -> Option<u32> {
        let bytes = self.buffer.get(offset..offset + 4)?;
        Some(u32::from_le_bytes(bytes.try_into().ok()?))
    }

    /// Returns whether the buffer contains bytes of a frame that is not complete or not decoded yet.
    pub fn has_partial_frame(&self) -> bool {
        !self.buffer.is_empty()
    }
}
