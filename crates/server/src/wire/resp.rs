//! Parser and encoder for RESP arrays of bulk strings. In this code, a bulk string is also called a word.

use crate::wire::ParseError;
use crate::wire::Parsed;
use crate::wire::decimal;

/// Maximum length of a bulk string that the parser accepts, in bytes.
pub const WORD_MAX: usize = 4096;
/// Maximum number of bulk strings in an array that the parser accepts.
pub const WORDS_MAX: usize = 8;
/// Maximum length of a line that contains a number, in bytes. The length includes the type byte and the line
/// end.
const NUMBER_MAX: usize = 12;
/// Maximum length of an encoded array that the parser accepts, in bytes.
pub const ARRAY_MAX: usize = NUMBER_MAX + WORDS_MAX * (NUMBER_MAX + WORD_MAX + 2);

/// Parses a line that contains a number. The line starts at the offset `at`, and its first byte must be the
/// type byte `mark`. Returns the number and the offset of the first byte after the line.
fn number(bytes: &[u8], at: usize, mark: u8) -> Parsed<usize> {
    let line = &bytes[at..];
    let Some(first) = line.first() else { return Parsed::Incomplete };
    if *first != mark {
        let (found, expected) = (char::from(*first), char::from(mark));
        return Parsed::Malformed(ParseError::UnexpectedType { found, expected });
    }
    let Some(end) = line.iter().take(NUMBER_MAX).position(|byte| *byte == b'\n') else {
        let may_end = line.len() < NUMBER_MAX;
        return if may_end { Parsed::Incomplete } else { Parsed::Malformed(ParseError::EndlessNumber) };
    };
    let digits = line[1..end].strip_suffix(b"\r").unwrap_or(b"");
    match decimal(digits) {
        Some(value) => Parsed::Complete(value, at + end + 1),
        None => Parsed::Malformed(ParseError::NotANumber),
    }
}

/// Parses the bulk string that starts at the offset `at`. Returns the string and the offset of the first byte
/// after the string.
fn word(bytes: &[u8], at: usize) -> Parsed<&[u8]> {
    let (length, start) = match number(bytes, at, b'$') {
        Parsed::Complete(length, start) => (length, start),
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Malformed(error) => return Parsed::Malformed(error),
    };
    if length > WORD_MAX {
        return Parsed::Malformed(ParseError::WordTooLong(length));
    }
    let end = start + length;
    let Some(line_end) = bytes.get(end..end + 2) else { return Parsed::Incomplete };
    if line_end != b"\r\n" {
        return Parsed::Malformed(ParseError::WordLength(length));
    }
    Parsed::Complete(&bytes[start..end], end + 2)
}

/// Parses the first array in `bytes`. Returns the bulk strings of the array.
pub fn array(bytes: &[u8]) -> Parsed<Vec<&[u8]>> {
    let (count, mut at) = match number(bytes, 0, b'*') {
        Parsed::Complete(count, at) => (count, at),
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Malformed(error) => return Parsed::Malformed(error),
    };
    if count == 0 || count > WORDS_MAX {
        return Parsed::Malformed(ParseError::ArrayLength(count));
    }
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        match word(bytes, at) {
            Parsed::Complete(word, end) => {
                words.push(word);
                at = end;
            }
            Parsed::Incomplete => return Parsed::Incomplete,
            Parsed::Malformed(error) => return Parsed::Malformed(error),
        }
    }
    Parsed::Complete(words, at)
}

/// Encodes an array of the bulk strings `words`, and appends the encoded bytes to `out`.
pub fn put_array(out: &mut Vec<u8>, words: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
}
