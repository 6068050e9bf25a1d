//! The interpreter's lines: commands out and notices in, JSON objects with bodies in base64. The
//! interpreter's own words stand in this module alone.

use crate::wire::ParseError;
use crate::wire::Parsed;
use base64::{Engine, engine::general_purpose::STANDARD};
use meadowstream_overload_control::{Nanos, Outcome};
use serde_json::{Value, json};

/// A longer line is ignored, in bytes.
pub const LINE_MAX: usize = 16 * 1024;

/// What the interpreter sends.
#[derive(Debug, PartialEq)]
pub enum Notice {
    /// The first line on a link.
    Banner {
        /// It is still warming up.
        cold: bool,
        /// Time since its start.
        age: Nanos,
    },
    /// A run has ended.
    Ended {
        /// The reference of the invocation.
        task: u64,
        /// How it ended.
        outcome: Outcome,
        /// Its result, where it succeeded.
        result: Vec<u8>,
    },
    /// A run waits for a downstream call.
    AwaitsCall {
        /// The reference of the invocation.
        task: u64,
        /// The body of the call.
        body: Vec<u8>,
    },
    /// The gauges, as requested.
    Gauges {
        /// The nonce of the request.
        nonce: u64,
        /// One value for each gauge that the settings name.
        readings: Vec<f64>,
    },
    /// A command was not carried out.
    CommandFailed {
        /// Its verb.
        command: String,
        /// The reference of its invocation, where it has one.
        task: Option<u64>,
    },
    /// A remark for its own log.
    Trace,
}

/// Why a line is no notice.
#[derive(Debug, thiserror::Error)]
pub enum NoticeError {
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field is missing or no string.
    #[error("{0} is no text")]
    NotText(&'static str),
    /// The body is not base64.
    #[error("bytes are not base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// The interpreter is neither cold nor warm.
    #[error("unknown state {0:?}")]
    UnknownState(String),
    /// A run ended in no known way.
    #[error("unknown end {0:?}")]
    UnknownEnd(String),
    /// The verb is none that is known.
    #[error("unknown verb {0:?}")]
    UnknownVerb(String),
    /// The gauges are no list.
    #[error("readings are no list")]
    ReadingsNotList,
    /// A gauge is no number.
    #[error("a reading is no number")]
    ReadingNotNumber,
    /// The nonce is no number.
    #[error("an unknown nonce {0:?}")]
    UnknownNonce(String),
    /// A reference is not 16 hexadecimal digits.
    #[error("task {0:?} is no id")]
    BadTask(String),
}

/// The first line, without its end.
pub fn line(bytes: &[u8]) -> Parsed<&[u8]> {
    match bytes.iter().position(|byte| *byte == b'\n') {
        Some(end) if end <= LINE_MAX => Parsed::Complete(&bytes[..end], end + 1),
        None if bytes.len() <= LINE_MAX => Parsed::Incomplete,
        _ => Parsed::Malformed(ParseError::LineTooLong),
    }
}

/// A notice, and its number where it has one.
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

/// Opens a link; notices up to this number were read before.
pub fn connect(last_read: u64) -> Vec<u8> {
    command(&json!({"verb": "CONNECT", "index": last_read}))
}

/// Starts a run, or resumes one that was stopped.
pub fn apply(task: u64, operation: &str, body: &[u8]) -> Vec<u8> {
    let (task, bytes) = (format!("{task:016x}"), STANDARD.encode(body));
    command(&json!({"verb": "APPLY", "task": task, "handler": operation, "bytes": bytes}))
}

/// Stops a run.
pub fn stop(task: u64) -> Vec<u8> {
    command(&json!({"verb": "BREAK", "task": format!("{task:016x}")}))
}

/// Resumes a run with the reply to its downstream call.
pub fn resolve(task: u64, reply: &[u8]) -> Vec<u8> {
    let (task, bytes) = (format!("{task:016x}"), STANDARD.encode(reply));
    command(&json!({"verb": "RESOLVE", "task": task, "bytes": bytes}))
}

/// Requests the gauges.
pub fn request_gauges(nonce: u64) -> Vec<u8> {
    command(&json!({"verb": "TOP", "nonce": nonce.to_string()}))
}
