//! Why what comes in cannot be decoded.

use thiserror::Error;

/// Why a batch cannot be read.
#[derive(Debug, Error)]
pub enum FrameError {
    #[error("reading a batch")]
    Read(#[source] std::io::Error),
    #[error("batch header cut off after {bytes} bytes")]
    HeaderCutOff { bytes: usize },
    #[error("batch of {bytes} bytes cut off")]
    BodyCutOff {
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

/// Why an event record cannot be decoded.
#[derive(Debug, Error)]
pub enum EventError {
    #[error("unknown event code {code}")]
    UnknownCode { code: u8 },
    #[error("unknown outcome {code}")]
    UnknownOutcome { code: u16 },
    #[error("field at {offset}: {number} is no number")]
    NoNumber { offset: usize, number: f32 },
    #[error("text at {offset}+{len} lies outside the tail")]
    TextOutsideTail { offset: usize, len: usize },
    #[error("text is not UTF-8")]
    TextNotUtf8(#[source] std::str::Utf8Error),
    #[error("{count} gauges where {max} fit")]
    TooManyGauges { count: usize, max: usize },
}
