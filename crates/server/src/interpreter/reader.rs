//! Reads the interpreter's notices from the bytes of a link.

use crate::resources::counters::Counters;
use crate::wire::Parsed;
use crate::wire::interpreter;
use crate::wire::interpreter::Notice;
use tracing::warn;

/// What the first bytes are.
pub struct ReadLine {
    /// The notice, where it is new and one that is known.
    pub notice: Option<Notice>,
    /// Bytes that are done with.
    pub length: usize,
}

/// Reads the lines of one link.
#[derive(Default)]
pub struct NoticeReader {
    /// The bytes up to the next line end belong to a line that is too long.
    skipping_line: bool,
}

impl NoticeReader {
    /// The next line; `None` where more bytes are needed. Notices up to `last_read` were read on an earlier
    /// link.
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

    /// Drops what is here of a line that is too long.
    fn skip(&mut self, bytes: &[u8]) -> ReadLine {
        let end = bytes.iter().position(|byte| *byte == b'\n').map(|end| end + 1);
        self.skipping_line = end.is_none();
        ReadLine { notice: None, length: end.unwrap_or(bytes.len()) }
    }
}
