//! Parsers and writers of the protocols, which know bytes alone. Each parser is given what has come so far,
//! reports how much of it one message took, and is bounded.

pub mod catalog;
pub mod http;
pub mod interpreter;
pub mod resp;
pub mod ring;
pub mod rpc;
#[cfg(test)]
mod tests;

use std::str::FromStr;

/// What a parser makes of the bytes that have come so far.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Incomplete,
    /// A complete message and the number of bytes it took.
    Complete(T, usize),
    /// No continuation can make a message of this.
    Malformed(ParseError),
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ParseError {
    /// RESP: the value is of another type than the one expected.
    #[error("an unexpected type of value: {found:?}, not {expected:?}")]
    UnexpectedType {
        /// The byte that marks its type.
        found: char,
        /// The mark of the expected type.
        expected: char,
    },
    /// RESP: a line that gives a number has no end in sight.
    #[error("an endless number")]
    EndlessNumber,
    /// RESP: a line that gives a number holds something else.
    #[error("no number where one is due")]
    NotANumber,
    /// RESP: the array has no words or more than are accepted.
    #[error("an array of no or too many words: {0}")]
    ArrayLength(usize),
    /// RESP: a word is longer than any that is accepted.
    #[error("a word that is too long: {0} bytes")]
    WordTooLong(usize),
    /// RESP: a word is not followed by a line end.
    #[error("a word of another length than announced: {0}")]
    WordLength(usize),
    /// HTTP: the head has no end in sight.
    #[error("an endless head")]
    EndlessHead,
    /// HTTP: interim heads do not end.
    #[error("endless heads before the reply")]
    EndlessInterimHeads,
    /// HTTP: the head is not UTF-8.
    #[error("a head that is no text")]
    HeadNotText,
    /// HTTP: the first line is no status line.
    #[error("no status line of HTTP/1.1")]
    BadStatusLine,
    /// HTTP: a line of the head has no name and colon.
    #[error("a header that is none")]
    BadHeader,
    /// HTTP: the body has a transfer encoding in place of a length.
    #[error("a body of no stated length")]
    TransferEncoding,
    /// HTTP: the length of the body is missing, ambiguous, no number, or too large.
    #[error("a body of no good length")]
    BadContentLength,
    /// Interpreter: the line is longer than any that is accepted.
    #[error("a line that is too long")]
    LineTooLong,
}

/// Digits alone: no sign, nothing before or behind them.
pub fn decimal<T: FromStr>(word: &[u8]) -> Option<T> {
    let digits = word.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(word).ok().filter(|_| digits).and_then(|text| text.parse().ok())
}
