//! Calls to the records service: HTTP/1.1, one at a time on a connection.

use crate::wire::ParseError;
use crate::wire::Parsed;
use crate::wire::decimal;
use meadowstream_overload_control::{Nanos, Outcome};

/// Longest head and longest body of a reply.
const HEAD_MAX: usize = 4096;
const BODY_MAX: usize = 16 * 1024;
/// All that may come before a reply is whole: heads that announce it, its own, its body.
pub const REPLY_MAX: usize = 2 * (HEAD_MAX + 4) + BODY_MAX;

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
    pub outcome: Outcome,
    pub body: Vec<u8>,
    /// The connection may carry another call.
    pub stays: bool,
}

/// The reply, after any heads of 1xx that announce it. Strict: what could be read in two ways may carry what
/// no call returned.
pub fn reply(bytes: &[u8]) -> Parsed<Reply> {
    let mut at = 0;
    loop {
        match reply_or_interim(&bytes[at..]) {
            Parsed::Complete(Some(reply), used) => return Parsed::Complete(reply, at + used),
            Parsed::Complete(None, used) => at += used,
            Parsed::Incomplete => return Parsed::Incomplete,
            Parsed::Malformed(why) => return Parsed::Malformed(why),
        }
        if at > HEAD_MAX {
            return Parsed::Malformed(ParseError::EndlessInterimHeads);
        }
    }
}

/// `None` for a head that only announces.
fn reply_or_interim(bytes: &[u8]) -> Parsed<Option<Reply>> {
    let head_end = bytes.windows(4).take(HEAD_MAX).position(|four| four == b"\r\n\r\n");
    let Some(head_end) = head_end else {
        return if bytes.len() < HEAD_MAX + 4 {
            Parsed::Incomplete
        } else {
            Parsed::Malformed(ParseError::EndlessHead)
        };
    };
    let Ok(head) = std::str::from_utf8(&bytes[..head_end]) else {
        return Parsed::Malformed(ParseError::HeadNotText);
    };
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.strip_prefix("HTTP/1.1 "));
    let status = status.map(|rest| rest.split_once(' ').map_or(rest, |(digits, _)| digits));
    let Some(status) =
        status.filter(|digits| digits.len() == 3).and_then(|digits| decimal::<u16>(digits.as_bytes()))
    else {
        return Parsed::Malformed(ParseError::BadStatusLine);
    };
    let split = lines.map(|line| line.split_once(':'));
    let named = split.map(|pair| pair.filter(|(key, _)| !key.is_empty() && !key.contains(' ')));
    let Some(headers) = named.collect::<Option<Vec<_>>>() else {
        return Parsed::Malformed(ParseError::BadHeader);
    };
    let all = |name: &'static str| {
        headers.iter().filter(move |(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    };
    let header = |name| all(name).next();
    let start = head_end + 4;
    if (100..200).contains(&status) {
        return Parsed::Complete(None, start);
    }
    let stays = !header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if header("Transfer-Encoding").is_some() {
        return Parsed::Malformed(ParseError::TransferEncoding);
    }
    // One that bears no result may leave its length out, one with a result may not.
    let stated = header("Content-Length").or((status != 200).then_some("0"));
    let agreed = stated.filter(|stated| all("Content-Length").all(|other| other == *stated));
    let Some(len) = agreed.and_then(|text| decimal::<usize>(text.as_bytes())).filter(|len| *len <= BODY_MAX)
    else {
        return Parsed::Malformed(ParseError::BadContentLength);
    };
    let Some(body) = bytes.get(start..start + len) else { return Parsed::Incomplete };
    // Only these prove that nothing ran; whatever else came of it may have had its effect.
    let not_begun = matches!(status, 503 | 409) && header("Op-Not-Begun") == Some("1");
    let outcome = match status {
        200 => Outcome::Succeeded,
        500 => Outcome::Failed,
        _ if not_begun => Outcome::NeverRan,
        _ => Outcome::Unknown,
    };
    Parsed::Complete(Some(Reply { outcome, body: body.to_vec(), stays }), start + len)
}
