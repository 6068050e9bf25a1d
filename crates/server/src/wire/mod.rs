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
