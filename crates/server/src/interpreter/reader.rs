//! Parses the notices of the interpreter from the bytes that were received over a link.

use crate::resources::counters::Counters;
use crate::wire::Parsed;
use crate::wire::interpreter;
use crate::wire::interpreter::Notice;
use tracing::warn;

/// Result of parsing the first line of the bytes received from the interpreter.
pub struct ReadLine {
    /// The interpreter's notice, parsed from the line. `None` if the line contains no valid notice, or a
    /// notice that the server has read before.
    pub notice: Option<Notice>,
    /// Number of bytes that the line occupies. The caller removes these bytes from the received bytes.
    pub length: usize,
}

/// Parser for the notices that are received over one link to the interpreter.
#[derive(Default)]
pub struct NoticeReader {
    /// True if the last line exceeded the maximum length and the rest of this line has not been received yet.
    /// The rest is skipped.
    skipping_line: bool,
}

impl NoticeReader {
    /// Parses the next line of `bytes`. Returns `None` if the line is incomplete. A notice whose index is at
    /// most `last_read` was already read on an earlier link and is ignored.
    pub fn read(&mut self, bytes: &[u8], last_read: &mut u64, counters: &Counters) -> Option<ReadLine> {
        let (line, length) = match interpreter::line(bytes) {
            Parsed::Incomplete => return None,
            Parsed::Complete(line, length) => (line, length),
            Parsed::Malformed(_) => {
                counters.bad_notices.add();
                return Some(self.skip(bytes));
            }
        };
        if std::mem::take(&mut self.skipping_line) {
            return Some(ReadLine { notice: None, length });
        }
        counters.notices.add();
        let notice = match interpreter::notice(line) {
            Ok((Some(index), _)) if index <= *last_read => None,
            Ok((index, notice)) => {
                *last_read = index.unwrap_or(*last_read);
                Some(notice)
            }
            Err(error) => {
                counters.bad_notices.add();
                warn!(%error, "notice passed over");
                None
            }
        };
        Some(ReadLine { notice, length })
    }

    /// Skips the received part of a line that exceeds the maximum length.
    fn skip(&mut self, bytes: &[u8]) -> ReadLine {
        let end = bytes.iter().position(|byte| *byte == b'\n').map(|end| end + 1);
        self.skipping_line = end.is_none();
        ReadLine { notice: None, length: end.unwrap_or(bytes.len()) }
    }
}
