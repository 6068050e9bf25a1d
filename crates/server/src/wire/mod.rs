//! What is spoken: parsers and writers that know bytes alone. Each parser is given what has come so far,
//! says how much of it it used, and is bounded. Sockets are read and written by the tasks in `lifecycle`.

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
    /// Not whole yet.
    More,
    /// A whole message and the number of bytes it took.
    Whole(T, usize),
    /// No continuation can make a message of this.
    Malformed(&'static str),
}

/// Digits alone: no sign, nothing before or behind them.
pub fn decimal<T: FromStr>(word: &[u8]) -> Option<T> {
    let digits = word.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(word).ok().filter(|_| digits).and_then(|text| text.parse().ok())
}
