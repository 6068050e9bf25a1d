//! Batches of event records as read from the input, and functions that read the fields of a record.

use super::{EventError, FrameError};
use meadowstream_overload_control::Nanos;
use std::io::Read;

/// Length of the header of a batch of event records, in bytes.
const HEADER_BYTES: usize = 16;
/// Length of each event record in a batch, in bytes.
pub const RECORD_BYTES: usize = 56;
/// Maximum length of a batch of event records, in bytes. Longer batches are rejected.
const BATCH_BYTES_MAX: usize = 1 << 30;

/// Offsets of the fields in the header of a batch, in bytes.
mod header {
    pub const RECORDS: usize = 0;
    pub const BATCH_BYTES: usize = 4;
    pub const CLOCK: usize = 8;
}

const NS_PER_US: u64 = 1_000;

/// A batch of event records. It consists of a header, the records, and a tail with the texts to which the
/// records refer. The buffer that holds the batch is used again for the next batch.
#[derive(Default)]
pub struct Batch {
    /// Content of the whole batch. The bytes of the header are zero, because the header is decoded
    /// separately.
    frame: Vec<u8>,
    /// Number of event records in the batch.
    pub count: usize,
    /// Simulated time of all events in the batch, in nanoseconds.
    pub clock: Nanos,
}

impl Batch {
    /// Reads the next batch from the input. Returns false if the input has no further batch.
    pub fn read(&mut self, input: &mut impl Read) -> Result<bool, FrameError> {
        let mut header = [0; HEADER_BYTES];
        let mut bytes = 0;
        while bytes < HEADER_BYTES {
            match input.read(&mut header[bytes..]).map_err(FrameError::Read)? {
                0 if bytes == 0 => return Ok(false),
                0 => return Err(FrameError::HeaderTruncated { bytes }),
                read => bytes += read,
            }
        }
        self.decode_header(&header)?;
        let bytes = self.frame.len();
        let body = &mut self.frame[HEADER_BYTES..];
        input.read_exact(body).map_err(|source| FrameError::BodyTruncated { bytes, source })?;
        Ok(true)
    }

    /// Decodes and checks the header of a batch. Sets the length of the buffer to that of the whole batch.
    fn decode_header(&mut self, header: &[u8; HEADER_BYTES]) -> Result<(), FrameError> {
        let header = Record { record: header, tail: &[] };
        let records = header.u32(header::RECORDS) as usize;
        let bytes = header.u32(header::BATCH_BYTES) as usize;
        let micros = header.u64(header::CLOCK);
        self.count = records;
        self.clock = micros.checked_mul(NS_PER_US).ok_or(FrameError::ClockOutOfRange { micros })?;
        if bytes > BATCH_BYTES_MAX {
            return Err(FrameError::TooLong { bytes });
        }
        if bytes < HEADER_BYTES + records * RECORD_BYTES {
            return Err(FrameError::TooShort { bytes, records });
        }
        self.frame.clear();
        self.frame.resize(bytes, 0);
        Ok(())
    }

    /// Returns the event record with the given index. The index must be lower than the number of records.
    pub fn record(&self, index: usize) -> Record<'_> {
        let start = HEADER_BYTES + index * RECORD_BYTES;
        Record {
            record: &self.frame[start..start + RECORD_BYTES],
            tail: &self.frame[HEADER_BYTES + self.count * RECORD_BYTES..],
        }
    }
}

/// An event record, together with the tail of its batch, which contains the texts. Fields are read by their
/// offset.
#[derive(Clone, Copy)]
pub struct Record<'a> {
    record: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Record<'a> {
    /// Returns the `N` bytes of the record that start at `offset`.
    fn bytes<const N: usize>(&self, offset: usize) -> [u8; N] {
        self.record[offset..offset + N].try_into().expect("all offsets are constants within a record")
    }

    /// Returns the code that states the kind of the record. The codes are listed in [`super::code`].
    pub fn code(&self) -> u8 {
        self.u8(0)
    }

    /// Returns the unsigned 8-bit integer at the byte offset `offset` in the record.
    pub fn u8(&self, offset: usize) -> u8 {
        self.record[offset]
    }

    /// Returns the unsigned 16-bit integer at the byte offset `offset` in the record.
    pub fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.bytes(offset))
    }

    /// Returns the unsigned 32-bit integer at the byte offset `offset` in the record.
    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.bytes(offset))
    }

    /// Returns the unsigned 64-bit integer at the byte offset `offset` in the record.
    pub fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.bytes(offset))
    }

    /// Returns the single-precision number at the byte offset `offset` in the record. Returns an error if the
    /// number is infinite or is the value NaN (not a number).
    pub fn number(&self, offset: usize) -> Result<f64, EventError> {
        let number = f32::from_le_bytes(self.bytes(offset));
        if number.is_finite() { Ok(f64::from(number)) } else { Err(EventError::NotFinite { offset, number }) }
    }

    /// Returns the duration at the byte offset `offset` in the record, in nanoseconds. The record contains
    /// the duration in microseconds.
    pub fn duration(&self, offset: usize) -> Nanos {
        u64::from(self.u32(offset)) * NS_PER_US
    }

    /// Returns a text from the tail of the batch. The record contains, at `offset`, the text's offset in the
    /// tail and its length.
    pub fn text(&self, offset: usize) -> Result<&'a str, EventError> {
        let (start, len) = (self.u32(offset) as usize, self.u32(offset + 4) as usize);
        let end = start.checked_add(len).filter(|end| *end <= self.tail.len());
        let end = end.ok_or(EventError::TextOutsideTail { offset: start, len })?;
        std::str::from_utf8(&self.tail[start..end]).map_err(EventError::TextNotUtf8)
    }
}
