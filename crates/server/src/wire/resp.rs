//! RESP arrays of bulk strings.

use crate::wire::Parsed;
use crate::wire::decimal;

/// Longest bulk string and most of them in an array.
pub const WORD_MAX: usize = 4096;
pub const WORDS_MAX: usize = 8;
/// Longest line that gives a number, its end included.
const NUMBER_MAX: usize = 12;
/// No array that is taken is longer than this.
pub const ARRAY_MAX: usize = NUMBER_MAX + WORDS_MAX * (NUMBER_MAX + WORD_MAX + 2);

/// The number on a line that starts with `mark`, and where the line ends.
fn number(bytes: &[u8], at: usize, mark: u8) -> Parsed<usize> {
    let line = &bytes[at..];
    match line.first() {
        None => return Parsed::More,
        Some(first) if *first != mark => return Parsed::Malformed("an unexpected type of value"),
        Some(_) => {}
    }
    let Some(end) = line.iter().take(NUMBER_MAX).position(|byte| *byte == b'\n') else {
        return if line.len() < NUMBER_MAX { Parsed::More } else { Parsed::Malformed("an endless number") };
    };
    let digits = line[1..end].strip_suffix(b"\r").unwrap_or(b"");
    decimal(digits)
        .map_or(Parsed::Malformed("no number where one is due"), |value| Parsed::Whole(value, at + end + 1))
}

/// The words of the first array.
pub fn array(bytes: &[u8]) -> Parsed<Vec<&[u8]>> {
    let (count, mut at) = match number(bytes, 0, b'*') {
        Parsed::Whole(count, at) => (count, at),
        Parsed::More => return Parsed::More,
        Parsed::Malformed(why) => return Parsed::Malformed(why),
    };
    if count == 0 || count > WORDS_MAX {
        return Parsed::Malformed("an array of no or too many words");
    }
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let (len, start) = match number(bytes, at, b'$') {
            Parsed::Whole(len, start) => (len, start),
            Parsed::More => return Parsed::More,
            Parsed::Malformed(why) => return Parsed::Malformed(why),
        };
        if len > WORD_MAX {
            return Parsed::Malformed("a word that is too long");
        }
        let Some(end) = bytes.get(start + len..start + len + 2) else { return Parsed::More };
        if end != b"\r\n" {
            return Parsed::Malformed("a word of another length than announced");
        }
        words.push(&bytes[start..start + len]);
        at = start + len + 2;
    }
    Parsed::Whole(words, at)
}

pub fn put_array(out: &mut Vec<u8>, words: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
}
