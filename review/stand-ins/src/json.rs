//! A small JSON parser. It reads the commands of the server, which are one JSON object on each line.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Returns the text of the member `name` of an object.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self {
            Json::Object(members) => match members.get(name) {
                Some(Json::Text(text)) => Some(text),
                _ => None,
            },
            _ => None,
        }
    }

    /// Returns the number of the member `name` of an object.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self {
            Json::Object(members) => match members.get(name) {
                Some(Json::Number(number)) => Some(*number),
                _ => None,
            },
            _ => None,
        }
    }
}

/// Parses one JSON value. Returns `None` if the text is not valid.
pub fn parse(text: &str) -> Option<Json> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    skip_space(bytes, &mut at);
    (at == bytes.len()).then_some(value)
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|byte| byte.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn expect(bytes: &[u8], at: &mut usize, word: &[u8]) -> Option<()> {
    bytes[*at..].starts_with(word).then(|| *at += word.len())
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => object(bytes, at),
        b'[' => list(bytes, at),
        b'"' => text(bytes, at).map(Json::Text),
        b't' => expect(bytes, at, b"true").map(|()| Json::Bool(true)),
        b'f' => expect(bytes, at, b"false").map(|()| Json::Bool(false)),
        b'n' => expect(bytes, at, b"null").map(|()| Json::Null),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn object(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let mut members = BTreeMap::new();
    *at += 1;
    skip_space(bytes, at);
    if expect(bytes, at, b"}").is_some() {
        return Some(Json::Object(members));
    }
    loop {
        skip_space(bytes, at);
        let name = text(bytes, at)?;
        skip_space(bytes, at);
        expect(bytes, at, b":")?;
        members.insert(name, value(bytes, at)?);
        skip_space(bytes, at);
        if expect(bytes, at, b"}").is_some() {
            return Some(Json::Object(members));
        }
        expect(bytes, at, b",")?;
    }
}

fn list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let mut items = Vec::new();
    *at += 1;
    skip_space(bytes, at);
    if expect(bytes, at, b"]").is_some() {
        return Some(Json::List(items));
    }
    loop {
        items.push(value(bytes, at)?);
        skip_space(bytes, at);
        if expect(bytes, at, b"]").is_some() {
            return Some(Json::List(items));
        }
        expect(bytes, at, b",")?;
    }
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    expect(bytes, at, b"\"")?;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                        out.extend(code.to_string().bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}
