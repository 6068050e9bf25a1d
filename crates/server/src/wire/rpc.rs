//! Parser for the commands of balancers, and encoder for the answers to balancers. Commands and answers are
//! RESP arrays. Only this module contains the words of the protocol.

use crate::wire::decimal;
use crate::wire::resp;
use meadowstream_overload_control::Nanos;

/// Maximum length of the body of a call, in bytes.
const BODY_MAX: usize = 2048;
/// Limit on the memory that one call may reserve, in kilobytes. The reserved memory must be less than this
/// value.
const RESERVED_MAX_KB: f64 = 2000.0;

/// Command received from a balancer.
#[derive(Debug, PartialEq)]
pub enum Command<'a> {
    /// A call of an operation.
    Call(Call<'a>),
    /// A health check.
    Health {
        /// Tag of the health check.
        tag: u64,
    },
    /// A cancellation: the caller no longer waits for the answer to an earlier call.
    Cancel {
        /// Tag of the abandoned call.
        tag: u64,
    },
    /// A command that is invalid and cannot be executed. The server answers the command with a failure if the
    /// command has a valid tag.
    Invalid {
        /// Tag of the invalid command; `None` if the tag is missing or not valid.
        tag: Option<u64>,
        /// Reason why the command is invalid.
        error: CommandError,
    },
}

/// Reason why the words of a RESP array are not a valid command.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// The second word of the command must be the tag, but it is not a positive number.
    #[error("no tag")]
    MissingTag,
    /// The first word of the command is not the name of a known command.
    #[error("unknown command {0:?}")]
    UnknownCommand(String),
    /// The command is a call but does not have exactly five words.
    #[error("a call has five words, not {0}")]
    WordCount(usize),
    /// The name of the operation is not valid UTF-8.
    #[error("operation is not UTF-8")]
    OperationNotText,
    /// The word that contains the fields of the call is not valid UTF-8.
    #[error("fields are not UTF-8")]
    FieldsNotText,
    /// The body of the call is longer than the server accepts.
    #[error("body is too long: {0} bytes, {BODY_MAX} at most")]
    BodyTooLong(usize),
    /// A required field is missing, or a field's value is invalid or out of range.
    #[error("bad {field}: {value:?}")]
    BadField {
        /// Name of the field.
        field: &'static str,
        /// Value of the invalid field; `None` if the field is missing.
        value: Option<String>,
    },
}

/// A call of an operation.
#[derive(Debug, PartialEq)]
pub struct Call<'a> {
    /// Tag of the call, chosen by the caller and unique among the open calls of its connection.
    pub tag: u64,
    /// Name of the operation.
    pub operation: &'a str,
    /// Reference of the invocation, chosen by the caller. The caller uses the same reference for all attempts
    /// of the invocation.
    pub reference: u64,
    /// Unix time, in milliseconds, at which the call arrived at this machine.
    pub arrival_unix_ms: u64,
    /// Memory that a run of the operation reserves, in kilobytes, as stated in the call.
    pub held_kb: f64,
    /// Body of the call: the input of the operation.
    pub body: &'a [u8],
    /// Number of the balancer that sent the call; `None` if the call states no number.
    pub sender: Option<u64>,
    /// Ticket for a promise of admission, which the caller received with an earlier rejection. `None` if the
    /// call has no ticket.
    pub ticket: Option<u64>,
    /// All fields of the call in encoded form: pairs `name=value`, separated by commas.
    pub fields: &'a str,
}

impl<'a> Call<'a> {
    /// Returns the value of the field `name`. Returns `None` if the call has no such field.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        field(self.fields, name)
    }
}

fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = fields.split(',').filter_map(|field| field.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Parses a hexadecimal number, which must have exactly 16 digits.
fn hex(text: &str) -> Option<u64> {
    let complete = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| complete)
}

/// Parses a command from the words of a RESP array.
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
        // An invalid ticket is ignored, because other deployments may use the field `ticket` for another
        // purpose.
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

/// Checks that the priority rank in the fields of a call is valid. The server uses the rank for no other
/// purpose.
fn check_rank(fields: &str) -> Result<(), CommandError> {
    let rank = field(fields, "class_rank").map_or(Ok(0.0), str::parse::<f64>);
    let valid = rank.is_ok_and(|rank| (0.0..1.0).contains(&rank));
    if valid { Ok(()) } else { Err(bad_field(fields, "class_rank")) }
}

fn held_kb(text: &str) -> Option<f64> {
    text.parse().ok().filter(|kb| *kb > 0.0 && *kb < RESERVED_MAX_KB)
}

/// Answer that the server sends to a balancer: the final answer to a call, or the answer to a health check.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// The operation succeeded with this result, which the server sends to the caller.
    Succeeded(Vec<u8>),
    /// The call was rejected. A retry is safe: either the operation did not run, or running it again has no
    /// further effect.
    Rejected {
        /// True if the caller must not retry the call on another server.
        no_retry: bool,
        /// Time, in nanoseconds, from the rejection until the caller should retry on this server; 0 if the
        /// server gives no advice. If the answer has a ticket, the server promises to admit a retry that
        /// presents the ticket after this time.
        retry_after: Nanos,
        /// Ticket for a promise of admission; `None` if the server made no promise. The caller presents the
        /// ticket with its retry.
        ticket: Option<u64>,
    },
    /// The call failed. The operation may have had its effect.
    Failed,
    /// Answer to a health check. True if the server is healthy.
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

/// Encodes an answer and appends the bytes to `out`. The answer reports `advertised_load`, the load of the
/// server.
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

/// Encodes a drain request and appends the bytes to `out`. The request asks the peer to send no more calls on
/// this connection.
pub fn put_drain(out: &mut Vec<u8>) {
    resp::put_array(out, &[b"0", b"enough"]);
}
