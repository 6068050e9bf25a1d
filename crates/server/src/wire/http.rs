//! Calls to the records service: HTTP/1.1, one at a time on a connection.

use super::Parsed;
use meadowstream::{Ending, Nanos};

/// Longest head and longest body of a reply.
pub const HEAD_MAX: usize = 4096;
pub const BODY_MAX: usize = 16 * 1024;

pub fn call(host: &str, reference: u64, timeout: Nanos, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /records/op HTTP/1.1\r\nHost: {host}\r\nOp-Of: {reference:016x}\r\nOp-Wait-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n",
        timeout.div_ceil(1_000_000),
        body.len()
    );
    [head.as_bytes(), body].concat()
}

#[derive(Debug, PartialEq)]
pub struct Reply {
    pub ending: Ending,
    pub body: Vec<u8>,
    /// The connection may carry another call.
    pub stays: bool,
}

pub fn reply(bytes: &[u8]) -> Parsed<Reply> {
    let head_end = bytes.windows(4).take(HEAD_MAX).position(|four| four == b"\r\n\r\n");
    let Some(head_end) = head_end else {
        return if bytes.len() < HEAD_MAX + 4 { Parsed::More } else { Parsed::Malformed("an endless head") };
    };
    let Ok(head) = std::str::from_utf8(&bytes[..head_end]) else {
        return Parsed::Malformed("a head that is no text");
    };
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.strip_prefix("HTTP/1.1 ")).and_then(|rest| rest.get(..3));
    let Some(status) = status.and_then(|digits| digits.parse::<u16>().ok()) else {
        return Parsed::Malformed("no status line of HTTP/1.1");
    };
    let headers = || lines.clone().filter_map(|line| line.split_once(':'));
    let header = |name: &str| headers().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|x| x.1.trim());
    let stays = !header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if header("Transfer-Encoding").is_some() {
        return Parsed::Malformed("a body of no stated length");
    }
    let len = header("Content-Length").unwrap_or("0").parse::<usize>();
    let Some(len) = len.ok().filter(|len| *len <= BODY_MAX) else {
        return Parsed::Malformed("a body of no good length");
    };
    let start = head_end + 4;
    let Some(body) = bytes.get(start..start + len) else { return Parsed::More };
    // Only these prove that nothing ran; whatever else came of it may have had its effect.
    let not_begun = matches!(status, 503 | 409) && header("Op-Not-Begun") == Some("1");
    let ending = match status {
        200 => Ending::Succeeded,
        500 => Ending::Errored,
        _ if not_begun => Ending::NeverRan,
        _ => Ending::Unknown,
    };
    Parsed::Whole(Reply { ending, body: body.to_vec(), stays }, start + len)
}
