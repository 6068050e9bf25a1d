//! Test double of a load balancer that is connected to the server, and the encoding of the balancer protocol.

use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::net::TcpStream;
use std::time::{SystemTime, UNIX_EPOCH};

/// A client connection to the server, like the connections that a load balancer opens.
pub struct Balancer {
    pub stream: BufReader<TcpStream>,
    /// Replies that arrived while the test waited for the reply to another call.
    pub replies: Vec<Vec<String>>,
}

/// Returns the reference that identifies an invocation on the wire, derived from the invocation's tag in the
/// scenario file.
pub fn reference(tag: &str) -> String {
    format!("{:016x}", 0xabc0_0000_0000 + tag.parse::<u64>().expect("a tag"))
}

/// Replaces the escape sequences `\r` and `\n` in the text of a step by carriage return and line feed.
pub fn unescape(text: &str) -> Vec<u8> {
    text.replace("\\r", "\r").replace("\\n", "\n").into_bytes()
}

/// Encodes a message of the balancer protocol as an array of `words`.
pub fn encode_array(words: &[&str]) -> Vec<u8> {
    let words: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*{}\r\n{words}", words.matches("\r\n$").count() + 1).into_bytes()
}

impl Balancer {
    /// Reads the next message from the server, which is an array of strings. Returns `None` at the end of the
    /// connection.
    pub fn read_array(&mut self) -> Option<Vec<String>> {
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(0) => return None,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
            result => result.expect("a reply in time"),
        };
        let count: usize = line.trim().strip_prefix('*').expect("an array").parse().unwrap();
        let words = (0..count).map(|_| {
            let mut head = String::new();
            self.stream.read_line(&mut head).unwrap();
            let mut word =
                vec![0; head.trim().strip_prefix('$').expect("a word").parse::<usize>().unwrap() + 2];
            self.stream.read_exact(&mut word).unwrap();
            String::from_utf8(word).unwrap().trim_end_matches("\r\n").to_string()
        });
        Some(words.collect())
    }

    /// Waits for the reply to the call with this tag. Replies to other calls that arrive earlier are stored
    /// in `replies`.
    pub fn wait_for_reply(&mut self, tag: &str) -> Vec<String> {
        loop {
            if let Some(i) = self.replies.iter().position(|words| words[0] == tag) {
                return self.replies.remove(i);
            }
            let words = self.read_array().unwrap_or_else(|| panic!("the connection ended before tag {tag}"));
            self.replies.push(words);
        }
    }
}

/// Encodes a call with the given `fields`, or with default fields if `fields` is `None`. The word `NOW` in
/// the fields is replaced by the current time, and `LATE` by a time two seconds ago.
pub fn encode_call(tag: &str, operation: &str, body: &str, fields: Option<&str>) -> Vec<u8> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let defaults = format!("other=1,ref={},since={since},sender=4,room=2.5,class_rank=0.5", reference(tag));
    let fields = fields
        .map(|fields| fields.replace("NOW", &since.to_string()).replace("LATE", &(since - 2000).to_string()));
    encode_array(&["RPC.CALL", tag, operation, fields.as_deref().unwrap_or(&defaults), body])
}
