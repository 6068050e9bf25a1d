//! Parsers and encoders of the protocols, without I/O. A parser receives the bytes read so far, returns the
//! number of bytes that a message occupies, and limits the length of messages.

pub mod catalog;
pub mod http;
pub mod interpreter;
pub mod resp;
pub mod ring;
pub mod rpc;
#[cfg(test)]
mod tests;

use std::str::FromStr;

/// Result of parsing the bytes received so far.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// The message is incomplete; more bytes are needed.
    Incomplete,
    /// A complete message, and the number of bytes that the message occupies.
    Complete(T, usize),
    /// The bytes are not the start of a valid message.
    Malformed(ParseError),
}

/// Reason why bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ParseError {
    /// RESP: the value has a different type than expected.
    #[error("unexpected type byte {found:?}, expected {expected:?}")]
    UnexpectedType {
        /// The type byte that was found.
        found: char,
        /// The expected type byte.
        expected: char,
    },
    /// RESP: a line that holds a number is too long.
    #[error("a number is too long")]
    EndlessNumber,
    /// RESP: a line that should hold a number holds something else.
    #[error("expected a number")]
    NotANumber,
    /// RESP: the array has no words, or more than are accepted.
    #[error("unsupported array length: {0}")]
    ArrayLength(usize),
    /// RESP: a word is longer than accepted.
    #[error("a word is too long: {0} bytes")]
    WordTooLong(usize),
    /// RESP: no line end follows a word after as many bytes as the length before the word states, so that
    /// length is wrong.
    #[error("a word differs from its announced length of {0} bytes")]
    WordLength(usize),
    /// HTTP: the head is too long.
    #[error("the head is too long")]
    EndlessHead,
    /// HTTP: the interim responses before the reply are too long.
    #[error("interim responses are too long")]
    EndlessInterimHeads,
    /// HTTP: the head is not valid UTF-8.
    #[error("the head is not UTF-8")]
    HeadNotText,
    /// HTTP: the first line is not a status line of HTTP/1.1.
    #[error("invalid status line")]
    BadStatusLine,
    /// HTTP: a header line has no name or no colon.
    #[error("invalid header line")]
    BadHeader,
    /// HTTP: the body has a transfer encoding instead of a length.
    #[error("transfer encodings are not supported")]
    TransferEncoding,
    /// HTTP: the length of the body is missing, ambiguous, not a number or too large.
    #[error("missing or invalid content length")]
    BadContentLength,
    /// Interpreter: the line is longer than accepted.
    #[error("the line is too long")]
    LineTooLong,
}

/// Parses a decimal number that consists of digits only, without sign or spaces.
pub fn decimal<T: FromStr>(word: &[u8]) -> Option<T> {
    let digits = word.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(word).ok().filter(|_| digits).and_then(|text| text.parse().ok())
}
