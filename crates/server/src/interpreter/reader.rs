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
    /// True if notices are missing before this one. The interpreter keeps a limited number of notices, and
    /// can replay no older ones on a new link.
    pub missed: bool,
    /// Number of bytes that the line occupies. The caller removes these bytes from the received bytes.
    pub length: usize,
}

/// Parser for the notices that are received over one link to the interpreter.
#[derive(Default)]
pub struct NoticeReader {
    /// True if the last line exceeded the maximum length and the rest of this line has not been received yet.
    /// The rest is skipped.
    skipping_line: bool,
    /// True once a notice with an index was read on this link.
    has_index: bool,
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
            return Some(ReadLine { notice: None, missed: false, length });
        }
        counters.notices.add();
        let mut missed = false;
        let notice = match interpreter::notice(line) {
            Ok((Some(index), _)) if index <= *last_read => None,
            Ok((index, notice)) => {
                missed = index.is_some_and(|index| self.is_first_after_gap(index, *last_read));
                *last_read = index.unwrap_or(*last_read);
                Some(notice)
            }
            Err(error) => {
                counters.bad_notices.add();
                warn!(%error, "notice passed over");
                None
            }
        };
        Some(ReadLine { notice, missed, length })
    }

    /// Returns whether the notice with this index is the first one of the link, and does not directly follow
    /// the last notice that was read on earlier links.
    fn is_first_after_gap(&mut self, index: u64, last_read: u64) -> bool {
        let is_first = !std::mem::replace(&mut self.has_index, true);
        is_first && index > last_read + 1
    }

    /// Skips the received part of a line that exceeds the maximum length.
    fn skip(&mut self, bytes: &[u8]) -> ReadLine {
        let end = bytes.iter().position(|byte| *byte == b'\n').map(|end| end + 1);
        self.skipping_line = end.is_none();
        ReadLine { notice: None, missed: false, length: end.unwrap_or(bytes.len()) }
    }
}
