//! The calls that balancers make and the answers to them, as words of RESP arrays. The protocol's own words
//! stand in this module alone.

use crate::wire::decimal;
use crate::wire::resp;
use meadowstream_overload_control::Nanos;

/// Longest body of a call, in bytes.
const BODY_MAX: usize = 2048;
/// The memory reserved for one call is less than this, in kilobytes.
const HELD_MAX_KB: f64 = 2000.0;

/// What a balancer sends.
#[derive(Debug, PartialEq)]
pub enum Command<'a> {
    /// An operation is to be run.
    Call(Call<'a>),
    /// A health check.
    Health {
        /// Its tag.
        tag: u64,
    },
    /// The caller has given up on the call of this tag.
    Cancel {
        /// The tag of the call.
        tag: u64,
    },
    /// Not to be carried out; it is answered where its tag is known.
    Invalid {
        /// Its tag, where it has one.
        tag: Option<u64>,
        /// What is wrong with it.
        error: CommandError,
    },
}

/// Why words make no command.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// The second word is no number above 0.
    #[error("no tag")]
    MissingTag,
    /// The first word names no command.
    #[error("unknown command {0:?}")]
    UnknownCommand(String),
    /// A call has more or fewer words.
    #[error("a call has five words, not {0}")]
    WordCount(usize),
    /// The name of the operation is not UTF-8.
    #[error("operation is no text")]
    OperationNotText,
    /// The fields are not UTF-8.
    #[error("fields are no text")]
    FieldsNotText,
    /// The body is longer than any that is accepted.
    #[error("body is too long: {0} bytes, {BODY_MAX} at most")]
    BodyTooLong(usize),
    /// A field is missing where it must be given, or its value is none of its range.
    #[error("bad {field}: {value:?}")]
    BadField {
        /// The name of the field.
        field: &'static str,
        /// Its value, where it is given.
        value: Option<String>,
    },
}

/// An operation to be run.
#[derive(Debug, PartialEq)]
pub struct Call<'a> {
    /// The caller's number for it, unique among those open on its connection.
    pub tag: u64,
    /// The name of the operation.
    pub operation: &'a str,
    /// The caller's number for the invocation over all its attempts.
    pub reference: u64,
    /// When it reached the machine, in Unix milliseconds.
    pub arrival_unix_ms: u64,
    /// Memory reserved for it, in kilobytes.
    pub held_kb: f64,
    /// What the operation is applied to.
    pub body: &'a [u8],
    /// The number of the balancer.
    pub sender: Option<u64>,
    /// Names a promise that was given with a Retry-After.
    pub ticket: Option<u64>,
    /// All its fields as they came.
    pub fields: &'a str,
}

impl<'a> Call<'a> {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        field(self.fields, name)
    }
}

fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = fields.split(',').filter_map(|field| field.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Sixteen hexadecimal digits.
fn hex(text: &str) -> Option<u64> {
    let complete = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| complete)
}

/// The command that the words of an array make.
pub fn command<'a>(words: &[&'a [u8]]) -> Command<'a> {
    let tag = words.get(1).and_then(|word| decimal::<u64>(word)).filter(|tag| *tag > 0);
    let invalid = |error| Command::Invalid { tag, error };
    match (words[0], tag) {
        (_, None) => invalid(CommandError::MissingTag),
        (b"RPC.HEALTH", Some(tag)) => Command::Health { tag },
        (b"RPC.CANCEL", Some(tag)) => Command::Cancel { tag },
        (b"RPC.CALL", Some(tag)) => call(tag, &words[2..]).map_or_else(invalid, Command::Call),
        (other, Some(_)) => {
            invalid(CommandError::UnknownCommand(String::from_utf8_lossy(other).into_owned()))
        }
    }
}

fn call<'a>(tag: u64, words: &[&'a [u8]]) -> Result<Call<'a>, CommandError> {
    let [operation, fields, body] = words else { return Err(CommandError::WordCount(words.len() + 2)) };
    let operation = std::str::from_utf8(operation).map_err(|_| CommandError::OperationNotText)?;
    let fields = std::str::from_utf8(fields).map_err(|_| CommandError::FieldsNotText)?;
    if body.len() > BODY_MAX {
        return Err(CommandError::BodyTooLong(body.len()));
    }
    check_rank(fields)?;
    let sender = field(fields, "sender");
    let number = sender.and_then(|text| decimal(text.as_bytes()));
    if sender.is_some() && number.is_none() {
        return Err(bad_field(fields, "sender"));
    }
    Ok(Call {
        tag,
        operation,
        reference: required(fields, "ref", hex)?,
        arrival_unix_ms: required(fields, "since", |text| decimal(text.as_bytes()))?,
        held_kb: required(fields, "room", held_kb)?,
        body,
        sender: number,
        // Another installation may mean something else by this word: then it is no ticket.
        ticket: field(fields, "ticket").and_then(hex),
        fields,
    })
}

fn bad_field(fields: &str, name: &'static str) -> CommandError {
    CommandError::BadField { field: name, value: field(fields, name).map(str::to_string) }
}

fn required<T>(
    fields: &str,
    name: &'static str,
    read: impl Fn(&str) -> Option<T>,
) -> Result<T, CommandError> {
    field(fields, name).and_then(read).ok_or_else(|| bad_field(fields, name))
}

/// The caller's own priority is not used, but has to be one.
fn check_rank(fields: &str) -> Result<(), CommandError> {
    let rank = field(fields, "class_rank").map_or(Ok(0.0), str::parse::<f64>);
    let valid = rank.is_ok_and(|rank| (0.0..1.0).contains(&rank));
    if valid { Ok(()) } else { Err(bad_field(fields, "class_rank")) }
}

fn held_kb(text: &str) -> Option<f64> {
    text.parse().ok().filter(|kb| *kb > 0.0 && *kb < HELD_MAX_KB)
}

/// A final answer to a call, or the answer to a health check.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// The result of the run.
    Succeeded(Vec<u8>),
    /// Nothing was done.
    Rejected {
        /// No other server would accept it.
        no_retry: bool,
        /// How long the caller is asked to wait; a promise, where there is a ticket. 0 for none.
        retry_after: Nanos,
        /// Names the promise when the caller comes back.
        ticket: Option<u64>,
    },
    /// It failed, perhaps after it had its effect.
    Failed,
    /// Whether the server is healthy.
    Health(bool),
}

impl Answer {
    fn word(&self) -> &'static str {
        match self {
            Self::Succeeded(_) => "good",
            Self::Rejected { .. } => "refused",
            Self::Failed => "broken",
            Self::Health(true) => "fit",
            Self::Health(false) => "unfit",
        }
    }
}

/// Appends an answer with the advertised load that is in force.
pub fn put_answer(out: &mut Vec<u8>, tag: u64, answer: &Answer, advertised_load: Option<f64>) {
    let mut fields = Vec::new();
    if let Some(load) = advertised_load {
        fields.push(format!("pressure={load}"));
    }
    if let Answer::Rejected { no_retry, retry_after, ticket } = answer {
        if *retry_after > 0 {
            fields.push(format!("cooldown={}", retry_after.div_ceil(1_000_000)));
        }
        if *no_retry {
            fields.push("nowhere=1".to_string());
        }
        if let Some(ticket) = ticket {
            fields.push(format!("ticket={ticket:016x}"));
        }
    }
    let body: &[u8] = if let Answer::Succeeded(result) = answer { result } else { b"" };
    let (tag, fields) = (tag.to_string(), fields.join(","));
    resp::put_array(out, &[tag.as_bytes(), answer.word().as_bytes(), fields.as_bytes(), body]);
}

/// Appends the request that no new call come on this connection.
pub fn put_drain(out: &mut Vec<u8>) {
    resp::put_array(out, &[b"0", b"enough"]);
}
