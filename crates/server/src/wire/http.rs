//! Encoder for calls to a downstream service, and parser for the replies. A call is an HTTP/1.1 request, sent
//! without pipelining.

use crate::wire::ParseError;
use crate::wire::Parsed;
use crate::wire::decimal;
use meadowstream_overload_control::{Nanos, Outcome};

/// Maximum length of the head of an HTTP reply, in bytes. The head consists of the status line and the
/// headers.
const HEAD_MAX: usize = 4096;
/// Maximum length of the body of an HTTP reply, in bytes.
const BODY_MAX: usize = 16 * 1024;
/// Maximum length of a complete HTTP reply, in bytes: interim responses (status 1xx), head and body.
pub const REPLY_MAX: usize = 2 * (HEAD_MAX + 4) + BODY_MAX;

/// Encodes the HTTP request of a downstream call.
pub fn call(host: &str, reference: u64, timeout: Nanos, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /records/op HTTP/1.1\r\nHost: {host}\r\nOp-Of: {reference:016x}\r\nOp-Wait-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n",
        timeout.div_ceil(1_000_000),
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Reply to a downstream call.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// Outcome of the downstream call, derived from the reply's status and headers. The outcome is unknown if
    /// the status and headers do not prove another outcome.
    pub outcome: Outcome,
    /// Body of the reply.
    pub body: Vec<u8>,
    /// True if the reply does not ask to close the connection. Another downstream call may then use the
    /// connection.
    pub is_reusable: bool,
}

/// The parsed head of an HTTP reply, and the offset at which the body starts.
struct Head<'a> {
    status: u16,
    headers: Headers<'a>,
    body_start: usize,
}

impl<'a> Head<'a> {
    fn values<'b>(&'b self, name: &'b str) -> impl Iterator<Item = &'a str> + 'b {
        let named = self.headers.iter().filter(move |(key, _)| key.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.trim())
    }

    fn first(&self, name: &str) -> Option<&'a str> {
        self.values(name).next()
    }

    /// Returns the length of the reply's body. The header Content-Length may be missing only if the status is
    /// not 200.
    ///
    /// If the header occurs several times, all values must be equal. Otherwise the end of the reply would be
    /// ambiguous. Bytes of another message could then be taken for a part of this reply.
    fn content_length(&self) -> Result<usize, ParseError> {
        if self.first("Transfer-Encoding").is_some() {
            return Err(ParseError::TransferEncoding);
        }
        let stated = self.first("Content-Length").or((self.status != 200).then_some("0"));
        let agreed = stated.filter(|stated| self.values("Content-Length").all(|other| other == *stated));
        let length = agreed.and_then(|text| decimal::<usize>(text.as_bytes()));
        length.filter(|length| *length <= BODY_MAX).ok_or(ParseError::BadContentLength)
    }

    /// Derives the outcome of the downstream call from the reply's status and headers. A status of 503 or 409
    /// with the header `Op-Not-Begun: 1` proves that the call did not run. After any other error, including
    /// status 500, the call may have had its effect.
    fn outcome(&self) -> Outcome {
        let not_begun = matches!(self.status, 503 | 409) && self.first("Op-Not-Begun") == Some("1");
        match self.status {
            200 => Outcome::Succeeded,
            500 => Outcome::Failed,
            _ if not_begun => Outcome::NeverRan,
            _ => Outcome::Unknown,
        }
    }
}

/// Parses the first HTTP reply in `bytes`. Interim responses (status 1xx) before the reply are skipped.
pub fn reply(bytes: &[u8]) -> Parsed<Reply> {
    let mut at = 0;
    loop {
        let head = match head(&bytes[at..]) {
            Parsed::Complete(head, _) => head,
            Parsed::Incomplete => return Parsed::Incomplete,
            Parsed::Malformed(error) => return Parsed::Malformed(error),
        };
        if !(100..200).contains(&head.status) {
            return reply_after_head(&head, bytes, at + head.body_start);
        }
        at += head.body_start;
        if at > HEAD_MAX {
            return Parsed::Malformed(ParseError::EndlessInterimHeads);
        }
    }
}

fn reply_after_head(head: &Head, bytes: &[u8], start: usize) -> Parsed<Reply> {
    let length = match head.content_length() {
        Ok(length) => length,
        Err(error) => return Parsed::Malformed(error),
    };
    let Some(body) = bytes.get(start..start + length) else { return Parsed::Incomplete };
    let closes = head.first("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let reply = Reply { outcome: head.outcome(), body: body.to_vec(), is_reusable: !closes };
    Parsed::Complete(reply, start + length)
}

fn head(bytes: &[u8]) -> Parsed<Head<'_>> {
    let end = bytes.windows(4).take(HEAD_MAX).position(|four| four == b"\r\n\r\n");
    let Some(end) = end else {
        let may_end = bytes.len() < HEAD_MAX + 4;
        return if may_end { Parsed::Incomplete } else { Parsed::Malformed(ParseError::EndlessHead) };
    };
    match head_lines(&bytes[..end]) {
        Ok((status, headers)) => {
            let body_start = end + 4;
            Parsed::Complete(Head { status, headers, body_start }, body_start)
        }
        Err(error) => Parsed::Malformed(error),
    }
}

type Headers<'a> = Vec<(&'a str, &'a str)>;

fn head_lines(head: &[u8]) -> Result<(u16, Headers<'_>), ParseError> {
    let head = std::str::from_utf8(head).map_err(|_| ParseError::HeadNotText)?;
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(status_of).ok_or(ParseError::BadStatusLine)?;
    let headers = lines.map(header).collect::<Option<Headers>>();
    Ok((status, headers.ok_or(ParseError::BadHeader)?))
}

fn status_of(line: &str) -> Option<u16> {
    let rest = line.strip_prefix("HTTP/1.1 ")?;
    let digits = rest.split_once(' ').map_or(rest, |(digits, _)| digits);
    if digits.len() == 3 { decimal(digits.as_bytes()) } else { None }
}

fn header(line: &str) -> Option<(&str, &str)> {
    let (key, value) = line.split_once(':')?;
    let is_name = !key.is_empty() && !key.contains(' ');
    is_name.then_some((key, value))
}
