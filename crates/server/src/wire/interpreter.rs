//! Encoder for commands to the interpreter, and parser for the interpreter's notices. Each command and each
//! notice is a JSON object on one line, with bodies in base64. Only this module contains the words of the
//! protocol.

use crate::wire::ParseError;
use crate::wire::Parsed;
use base64::{Engine, engine::general_purpose::STANDARD};
use meadowstream_overload_control::{Nanos, Outcome};
use serde_json::{Value, json};

/// Maximum length of a line from the interpreter, in bytes. The server ignores longer lines.
pub const LINE_MAX: usize = 16 * 1024;

/// Notice that the interpreter has sent to the server.
#[derive(Debug, PartialEq)]
pub enum Notice {
    /// The banner, which is the first notice on each link. The banner shows that the interpreter has accepted
    /// the link.
    Banner {
        /// True if the interpreter is still warming up. During the warm-up, the interpreter runs operations
        /// more slowly.
        cold: bool,
        /// Time since the interpreter process started, in nanoseconds.
        age: Nanos,
    },
    /// The run of an invocation has ended.
    Ended {
        /// Reference of the invocation.
        task: u64,
        /// Outcome of the run.
        outcome: Outcome,
        /// Result of the run; empty if the run did not succeed.
        result: Vec<u8>,
    },
    /// The run of an invocation needs a downstream call and waits for the reply.
    AwaitsCall {
        /// Reference of the invocation.
        task: u64,
        /// Body of the downstream call.
        body: Vec<u8>,
    },
    /// Response to a gauge request.
    Gauges {
        /// Nonce of the gauge request.
        nonce: u64,
        /// Readings of the interpreter's gauges. The settings list the gauges in the same order.
        readings: Vec<f64>,
    },
    /// The interpreter could not execute a command.
    CommandFailed {
        /// Verb of the command.
        command: String,
        /// Reference of the invocation to which the command applied; `None` if the command named no
        /// invocation.
        task: Option<u64>,
    },
    /// A trace message. The server ignores trace messages.
    Trace,
}

/// Reason why a line from the interpreter is not a valid notice.
#[derive(Debug, thiserror::Error)]
pub enum NoticeError {
    /// The line is not valid JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A required field of the notice is missing or is not a string.
    #[error("{0} is missing or not a string")]
    NotText(&'static str),
    /// The encoded body in the notice is not valid base64.
    #[error("invalid base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// The state in the interpreter's banner is unknown. The known states are cold and warm.
    #[error("unknown state {0:?}")]
    UnknownState(String),
    /// The notice states an outcome of the run that the server does not know.
    #[error("unknown outcome {0:?}")]
    UnknownEnd(String),
    /// The notice has a verb that the server does not know. The verb states the type of the notice.
    #[error("unknown verb {0:?}")]
    UnknownVerb(String),
    /// The gauge readings in the notice are not a list.
    #[error("readings are not a list")]
    ReadingsNotList,
    /// A gauge reading is not a number.
    #[error("a reading is not a number")]
    ReadingNotNumber,
    /// The nonce in the notice is not a number.
    #[error("nonce {0:?} is not a number")]
    UnknownNonce(String),
    /// The invocation's reference in the notice does not have exactly 16 hexadecimal digits.
    #[error("task {0:?} is not 16 hexadecimal digits")]
    BadTask(String),
}

/// Returns the first line of `bytes` without the line end.
pub fn line(bytes: &[u8]) -> Parsed<&[u8]> {
    match bytes.iter().position(|byte| *byte == b'\n') {
        Some(end) if end <= LINE_MAX => Parsed::Complete(&bytes[..end], end + 1),
        None if bytes.len() <= LINE_MAX => Parsed::Incomplete,
        _ => Parsed::Malformed(ParseError::LineTooLong),
    }
}

/// Parses a notice from a line. Returns the notice and its index; the index is `None` if the line contains no
/// index.
pub fn notice(line: &[u8]) -> Result<(Option<u64>, Notice), NoticeError> {
    let object: Value = serde_json::from_slice(line)?;
    let notice = match text(&object, "verb")? {
        "BANNER" => banner(&object)?,
        "VALUE" => ended(&object)?,
        "AWAIT" => Notice::AwaitsCall { task: task(&object)?, body: body(&object)? },
        "TOPS" => gauges(&object)?,
        "ERROR" => {
            let command = text(&object, "outcome").unwrap_or("").to_string();
            Notice::CommandFailed { command, task: task(&object).ok() }
        }
        "TRACE" => Notice::Trace,
        other => return Err(NoticeError::UnknownVerb(other.to_string())),
    };
    Ok((object["index"].as_u64(), notice))
}

fn banner(object: &Value) -> Result<Notice, NoticeError> {
    let cold = match text(object, "outcome")? {
        "cold" => true,
        "warm" => false,
        other => return Err(NoticeError::UnknownState(other.to_string())),
    };
    let age_ms = object["spent"].as_f64().unwrap_or(0.0).max(0.0);
    Ok(Notice::Banner { cold, age: (age_ms * 1e6) as Nanos })
}

fn ended(object: &Value) -> Result<Notice, NoticeError> {
    let outcome = match text(object, "outcome")? {
        "ok" => Outcome::Succeeded,
        "failed" => Outcome::Failed,
        "halted" => Outcome::Cancelled,
        "void" => Outcome::NeverRan,
        other => return Err(NoticeError::UnknownEnd(other.to_string())),
    };
    let result = if outcome == Outcome::Succeeded { body(object)? } else { Vec::new() };
    Ok(Notice::Ended { task: task(object)?, outcome, result })
}

fn gauges(object: &Value) -> Result<Notice, NoticeError> {
    let readings = object["readings"].as_array().ok_or(NoticeError::ReadingsNotList)?;
    let readings: Option<Vec<f64>> = readings.iter().map(Value::as_f64).collect();
    let nonce = text(object, "nonce")?;
    let nonce = nonce.parse().map_err(|_| NoticeError::UnknownNonce(nonce.to_string()))?;
    Ok(Notice::Gauges { nonce, readings: readings.ok_or(NoticeError::ReadingNotNumber)? })
}

fn text<'a>(object: &'a Value, name: &'static str) -> Result<&'a str, NoticeError> {
    object[name].as_str().ok_or(NoticeError::NotText(name))
}

fn body(object: &Value) -> Result<Vec<u8>, NoticeError> {
    Ok(STANDARD.decode(text(object, "bytes")?)?)
}

fn task(object: &Value) -> Result<u64, NoticeError> {
    let text = text(object, "task")?;
    let id = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16);
    id.ok_or_else(|| NoticeError::BadTask(text.to_string()))
}

fn command(object: &Value) -> Vec<u8> {
    let mut line = object.to_string().into_bytes();
    line.push(b'\n');
    line
}

/// Encodes the command that opens a link. In response, the interpreter sends all notices whose index is
/// greater than `last_read`. The server thus receives notices that were lost with an earlier link.
pub fn connect(last_read: u64) -> Vec<u8> {
    command(&json!({"verb": "CONNECT", "index": last_read}))
}

/// Encodes the command that starts the run of an invocation. If the run was stopped, the command resumes the
/// run.
pub fn apply(task: u64, operation: &str, body: &[u8]) -> Vec<u8> {
    let (task, bytes) = (format!("{task:016x}"), STANDARD.encode(body));
    command(&json!({"verb": "APPLY", "task": task, "handler": operation, "bytes": bytes}))
}

/// Encodes the command that stops the run of an invocation.
pub fn stop(task: u64) -> Vec<u8> {
    command(&json!({"verb": "BREAK", "task": format!("{task:016x}")}))
}

/// Encodes the command that resumes a run which waits for a downstream call. The command contains the reply
/// to this call.
pub fn resolve(task: u64, reply: &[u8]) -> Vec<u8> {
    let (task, bytes) = (format!("{task:016x}"), STANDARD.encode(reply));
    command(&json!({"verb": "RESOLVE", "task": task, "bytes": bytes}))
}

/// Encodes a request for the interpreter's gauges. The response contains the same `nonce`.
pub fn request_gauges(nonce: u64) -> Vec<u8> {
    command(&json!({"verb": "TOP", "nonce": nonce.to_string()}))
}
