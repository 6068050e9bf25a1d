//! Parsers and encoders for the protocols of the server, without I/O. A parser receives the bytes read so far
//! and returns the length of the first message. All parsers limit the length of messages.

pub mod catalog;
pub mod http;
pub mod interpreter;
pub mod resp;
pub mod ring;
pub mod rpc;
#[cfg(test)]
mod tests;

use std::str::FromStr;

/// Result of parsing a message from the bytes received so far.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// The message is incomplete; more bytes are needed.
    Incomplete,
    /// The message is complete: its value, and the number of bytes that it occupies.
    Complete(T, usize),
    /// The bytes cannot become a valid message, even if more bytes are received.
    Malformed(ParseError),
}

/// Reason why the received bytes are not a valid message. The description of each variant starts with the
/// name of its protocol.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ParseError {
    /// RESP: the value has a different type than the parser expects.
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
    /// RESP: a number was expected, but the line contains something else.
    #[error("expected a number")]
    NotANumber,
    /// RESP: the array has no words, or has more words than the server accepts.
    #[error("unsupported array length: {0}")]
    ArrayLength(usize),
    /// RESP: a word is longer than the server accepts.
    #[error("a word is too long: {0} bytes")]
    WordTooLong(usize),
    /// RESP: no line end follows after the stated number of bytes. A word therefore does not have the length
    /// that is stated before the word.
    #[error("a word differs from its announced length of {0} bytes")]
    WordLength(usize),
    /// HTTP: the head is too long.
    #[error("the head is too long")]
    EndlessHead,
    /// HTTP: the interim responses (status 1xx) before the reply are too long in total.
    #[error("interim responses are too long")]
    EndlessInterimHeads,
    /// HTTP: the head of the reply is not valid UTF-8.
    #[error("the head is not UTF-8")]
    HeadNotText,
    /// HTTP: the first line of the reply is not a status line of HTTP/1.1.
    #[error("invalid status line")]
    BadStatusLine,
    /// HTTP: a header line has no colon, or the name of the header is empty or contains a space.
    #[error("invalid header line")]
    BadHeader,
    /// HTTP: the reply has a header Transfer-Encoding, which the server does not support.
    #[error("transfer encodings are not supported")]
    TransferEncoding,
    /// HTTP: the length of the body is missing, ambiguous, not a number, or too large.
    #[error("missing or invalid content length")]
    BadContentLength,
    /// Interpreter: the line is longer than the server accepts.
    #[error("the line is too long")]
    LineTooLong,
}

/// Parses a decimal number. The text may contain digits only; a sign or a space is an error.
pub fn decimal<T: FromStr>(word: &[u8]) -> Option<T> {
    let digits = word.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(word).ok().filter(|_| digits).and_then(|text| text.parse().ok())
}
