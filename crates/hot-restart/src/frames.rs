//! Frames on the stream between both: a length, a checksum, and the message in a serialization library's
//! encoding. A reader takes bytes as they come, holds no more than one frame, and trusts none of them.

use serde::{Deserialize, Serialize};

/// Longest message; state comes in parts.
pub const FRAME_MAX: usize = 256 * 1024;
const HEAD: usize = 8;

/// One answer that the new one is about to give: for a taker-back to know what may have been said.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Act {
    pub invocation: u64,
    /// Bytes that its connection had carried before, and those that follow.
    pub offset: u64,
    pub bytes: Vec<u8>,
}

impl Act {
    /// What is still to be written, where the connection has carried so many bytes in all; `None` where that
    /// cannot be: the connection is then to be closed.
    pub fn rest(&self, carried: u64) -> Option<&[u8]> {
        let done = usize::try_from(carried.checked_sub(self.offset)?).ok()?;
        self.bytes.get(done..)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Frame {
    /// From the old one: what it speaks, and which build it is.
    Offer {
        versions: Vec<u16>,
        build: String,
    },
    /// From the new one: what both will speak.
    Accept {
        version: u16,
    },
    /// From the new one, in place of any answer: it will not go on.
    Refuse {
        why: String,
    },
    /// The configuration to check, and how much state will come.
    Prepare {
        digest: u64,
        parts: u32,
    },
    Prepared,
    /// A part of the state, which may still change.
    State {
        part: u32,
        bytes: Vec<u8>,
    },
    Warmed,
    /// What has changed since; the old one has frozen.
    Switch {
        bytes: Vec<u8>,
    },
    Confirmed,
    /// All is the new one's from here on.
    Release,
    /// Said ahead of each answer during the trial.
    Done(Act),
    /// The trial is over, as the new one sees it.
    Settled,
    /// The old one takes nothing back any more.
    Bye,
    /// The notice to leave, passed on.
    Leave {
        grace: u64,
    },
}

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    TooLong,
    Checksum,
    Encoding,
}

/// The frame as it goes over the stream; a message that is too long is a fault of its sender.
pub fn put(out: &mut Vec<u8>, frame: &Frame) -> Result<(), Fault> {
    let message = postcard::to_allocvec(frame).map_err(|_| Fault::Encoding)?;
    if message.len() > FRAME_MAX {
        return Err(Fault::TooLong);
    }
    out.extend_from_slice(&(message.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&message).to_le_bytes());
    out.extend_from_slice(&message);
    Ok(())
}

#[derive(Debug, Default)]
pub struct Reader {
    held: Vec<u8>,
    broken: Option<Fault>,
}

impl Reader {
    /// Bytes that may be given now: no more than a frame needs.
    pub fn room(&self) -> usize {
        (HEAD + FRAME_MAX).saturating_sub(self.held.len())
    }

    pub fn give(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(&bytes[..bytes.len().min(self.room())]);
    }

    /// The next whole frame; after a fault nothing is read any more, since no place is known to go on from.
    pub fn frame(&mut self) -> Result<Option<Frame>, Fault> {
        let read = match self.broken {
            Some(fault) => Err(fault),
            None => self.read(),
        };
        self.broken = read.as_ref().err().copied();
        read
    }

    fn read(&mut self) -> Result<Option<Frame>, Fault> {
        let word = |at: usize| Some(u32::from_le_bytes(self.held.get(at..at + 4)?.try_into().ok()?));
        let Some((len, sum)) = word(0).zip(word(4)) else { return Ok(None) };
        let len = len as usize;
        if len > FRAME_MAX {
            return Err(Fault::TooLong);
        }
        let Some(message) = self.held.get(HEAD..HEAD + len) else { return Ok(None) };
        if crc32fast::hash(message) != sum {
            return Err(Fault::Checksum);
        }
        let (frame, rest) = postcard::take_from_bytes(message).map_err(|_| Fault::Encoding)?;
        if !rest.is_empty() {
            return Err(Fault::Encoding);
        }
        self.held.drain(..HEAD + len);
        Ok(Some(frame))
    }

    /// A frame has begun that is not whole.
    pub fn is_half(&self) -> bool {
        !self.held.is_empty()
    }
}
