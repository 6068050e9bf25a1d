//! Parses the interpreter's notices from the bytes received on a link.

use crate::resources::counters::Counters;
use crate::wire::Parsed;
use crate::wire::interpreter;
use crate::wire::interpreter::Notice;
use tracing::warn;

/// The first line of the received bytes.
pub struct ReadLine {
    /// The notice, if the line holds a valid one that was not read before.
    pub notice: Option<Notice>,
    /// Number of bytes that the line occupies, which the caller removes.
    pub length: usize,
}

/// Parser for the lines of one link.
#[derive(Default)]
pub struct NoticeReader {
    /// True while the rest of a line that is too long is being skipped.
    skipping_line: bool,
}

impl NoticeReader {
    /// Parses the next line, or returns `None` if more bytes are needed. Notices with an index up to
    /// `last_read` were read on an earlier link and are ignored.
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

    /// Skips the available bytes of a line that is too long.
    fn skip(&mut self, bytes: &[u8]) -> ReadLine {
        let end = bytes.iter().position(|byte| *byte == b'\n').map(|end| end + 1);
        self.skipping_line = end.is_none();
        ReadLine { notice: None, length: end.unwrap_or(bytes.len()) }
    }
}
