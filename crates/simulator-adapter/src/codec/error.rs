//! Errors that occur when batches of events are read and decoded.

use thiserror::Error;

/// Error on reading a batch.
#[derive(Debug, Error)]
pub enum FrameError {
    #[error("cannot read a batch")]
    Read(#[source] std::io::Error),
    #[error("batch header truncated after {bytes} bytes")]
    HeaderTruncated { bytes: usize },
    #[error("batch of {bytes} bytes is truncated")]
    BodyTruncated {
        bytes: usize,
        #[source]
        source: std::io::Error,
    },
    #[error("clock {micros} is out of range")]
    ClockOutOfRange { micros: u64 },
    #[error("batch of {bytes} bytes is too long")]
    TooLong { bytes: usize },
    #[error("batch of {bytes} bytes cannot hold {records} records")]
    TooShort { bytes: usize, records: usize },
}

/// Error that occurs when an event record is decoded.
#[derive(Debug, Error)]
pub enum EventError {
    #[error("unknown event code {code}")]
    UnknownCode { code: u8 },
    #[error("unknown outcome code {code}")]
    UnknownOutcome { code: u16 },
    #[error("field at {offset}: {number} is not a finite number")]
    NotFinite { offset: usize, number: f32 },
    #[error("text at {offset}+{len} lies outside the tail")]
    TextOutsideTail { offset: usize, len: usize },
    #[error("text is not UTF-8")]
    TextNotUtf8(#[source] std::str::Utf8Error),
    #[error("{count} gauges, but at most {max} are allowed")]
    TooManyGauges { count: usize, max: usize },
}
