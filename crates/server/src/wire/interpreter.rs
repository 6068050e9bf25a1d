//! The interpreter's lines: commands out and notices in, JSON objects with bodies in base64.

use crate::wire::Parsed;
use anyhow::{Context, Result, bail, ensure};
use base64::{Engine, engine::general_purpose::STANDARD};
use meadowstream_overload_control::{Nanos, Outcome};
use serde_json::{Value, json};

/// A longer line is passed over.
pub const LINE_MAX: usize = 16 * 1024;

#[derive(Debug, PartialEq)]
pub enum Notice {
    Banner { cold: bool, age: Nanos },
    Ended { task: u64, outcome: Outcome, result: Vec<u8> },
    Awaits { task: u64, body: Vec<u8> },
    Gauges { nonce: u64, readings: Vec<f64> },
    NotDone { command: String, task: Option<u64> },
    Remark,
}

/// The first line, without its end.
pub fn line(bytes: &[u8]) -> Parsed<&[u8]> {
    match bytes.iter().position(|byte| *byte == b'\n') {
        Some(end) if end <= LINE_MAX => Parsed::Complete(&bytes[..end], end + 1),
        None if bytes.len() <= LINE_MAX => Parsed::Incomplete,
        _ => Parsed::Malformed(crate::wire::ParseError::LineTooLong),
    }
}

/// A notice, and its number where it has one.
pub fn notice(line: &[u8]) -> Result<(Option<u64>, Notice)> {
    let object: Value = serde_json::from_slice(line).context("not JSON")?;
    let text = |name: &str| object[name].as_str().with_context(|| format!("{name} is no text"));
    let bytes = || STANDARD.decode(text("bytes")?).context("bytes are not base64");
    let index = object["index"].as_u64();
    let notice = match text("verb")? {
        "BANNER" => Notice::Banner {
            cold: match text("outcome")? {
                "cold" => true,
                "warm" => false,
                other => bail!("unknown state {other:?}"),
            },
            age: (object["spent"].as_f64().unwrap_or(0.0).max(0.0) * 1e6) as Nanos,
        },
        "VALUE" => {
            let outcome = match text("outcome")? {
                "ok" => Outcome::Succeeded,
                "failed" => Outcome::Failed,
                "halted" => Outcome::Cancelled,
                "void" => Outcome::NeverRan,
                other => bail!("unknown end {other:?}"),
            };
            let result = if outcome == Outcome::Succeeded { bytes()? } else { Vec::new() };
            Notice::Ended { task: task(&object)?, outcome, result }
        }
        "AWAIT" => Notice::Awaits { task: task(&object)?, body: bytes()? },
        "TOPS" => {
            let readings = object["readings"].as_array().context("readings are no list")?;
            let readings: Option<Vec<f64>> = readings.iter().map(Value::as_f64).collect();
            Notice::Gauges {
                nonce: text("nonce")?.parse().context("an unknown nonce")?,
                readings: readings.context("a reading is no number")?,
            }
        }
        "ERROR" => {
            Notice::NotDone { command: text("outcome").unwrap_or("").to_string(), task: task(&object).ok() }
        }
        "TRACE" => Notice::Remark,
        other => bail!("unknown verb {other:?}"),
    };
    Ok((index, notice))
}

fn task(object: &Value) -> Result<u64> {
    let text = object["task"].as_str().context("task is no text")?;
    ensure!(text.len() == 16, "task {text:?} is no id");
    u64::from_str_radix(text, 16).with_context(|| format!("task {text:?} is no id"))
}

fn command(object: &Value) -> Vec<u8> {
    let mut line = object.to_string().into_bytes();
    line.push(b'\n');
    line
}

pub fn connect(last_read: u64) -> Vec<u8> {
    command(&json!({"verb": "CONNECT", "index": last_read}))
}

pub fn apply(task: u64, operation: &str, body: &[u8]) -> Vec<u8> {
    let (task, bytes) = (format!("{task:016x}"), STANDARD.encode(body));
    command(&json!({"verb": "APPLY", "task": task, "handler": operation, "bytes": bytes}))
}

pub fn stop(task: u64) -> Vec<u8> {
    command(&json!({"verb": "BREAK", "task": format!("{task:016x}")}))
}

pub fn resolve(task: u64, reply: &[u8]) -> Vec<u8> {
    let (task, bytes) = (format!("{task:016x}"), STANDARD.encode(reply));
    command(&json!({"verb": "RESOLVE", "task": task, "bytes": bytes}))
}

pub fn ask_gauges(nonce: u64) -> Vec<u8> {
    command(&json!({"verb": "TOP", "nonce": nonce.to_string()}))
}
