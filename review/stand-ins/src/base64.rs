//! Base64 as the interpreter's protocol uses it: the standard alphabet, with padding.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes.
pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0u32, |word, byte| (word << 8) | u32::from(*byte)) << (8 * (3 - group.len()));
        for index in 0..4 {
            let six = (word >> (18 - 6 * index)) & 63;
            out.push(if index <= group.len() { ALPHABET[six as usize] as char } else { '=' });
        }
    }
    out
}

/// Decodes a text. Returns `None` if the text contains a character outside the alphabet.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let six = ALPHABET.iter().position(|letter| *letter == byte)? as u32;
        word = (word << 6) | six;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    Some(out)
}
