//! RESP arrays of bulk strings, as balancers speak them.

/// Encodes an array of words.
pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).into_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Takes the first whole array out of `bytes`. Returns `Ok(None)` while the array is incomplete, and an error
/// if the bytes are no array.
pub fn take(bytes: &mut Vec<u8>) -> Result<Option<Vec<Vec<u8>>>, String> {
    let mut at = 0;
    let Some(count) = number(bytes, &mut at, b'*')? else { return Ok(None) };
    let mut words = Vec::new();
    for _ in 0..count {
        let Some(length) = number(bytes, &mut at, b'$')? else { return Ok(None) };
        if bytes.len() < at + length + 2 {
            return Ok(None);
        }
        words.push(bytes[at..at + length].to_vec());
        at += length + 2;
    }
    bytes.drain(..at);
    Ok(Some(words))
}

fn number(bytes: &[u8], at: &mut usize, mark: u8) -> Result<Option<usize>, String> {
    let rest = &bytes[*at..];
    match rest.first() {
        None => return Ok(None),
        Some(first) if *first != mark => return Err(format!("byte {first} instead of {mark}")),
        Some(_) => {}
    }
    let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") else { return Ok(None) };
    let digits = std::str::from_utf8(&rest[1..end]).map_err(|error| error.to_string())?;
    *at += end + 2;
    digits.parse().map(Some).map_err(|error| format!("{digits:?}: {error}"))
}
