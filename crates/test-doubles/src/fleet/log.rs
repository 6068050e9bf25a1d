//! The log of one server, read as it is written.

use anyhow::{Context, Result};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::process::Child;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// A log line.
#[derive(Clone)]
pub struct LogLine {
    /// When it was read.
    pub at: Instant,
    /// When it was written, as the log says (RFC 3339, microseconds).
    pub timestamp: String,
    /// The event's fields; the field `message` names the event.
    pub fields: Value,
}

/// All lines so far of a server, over all its starts.
#[derive(Clone, Default)]
pub struct ServerLog {
    lines: Arc<Mutex<Vec<LogLine>>>,
}

impl ServerLog {
    /// Reads the standard error of a process until it ends, on a thread of its own.
    pub fn read(&self, child: &mut Child) -> Result<()> {
        let stderr = BufReader::new(child.stderr.take().context("the process has no standard error")?);
        let log = self.clone();
        std::thread::spawn(move || {
            for text in stderr.lines().map_while(Result::ok) {
                if let Ok(line) = serde_json::from_str::<Value>(&text) {
                    let timestamp = line["timestamp"].as_str().unwrap_or("").to_string();
                    let line = LogLine { at: Instant::now(), timestamp, fields: line["fields"].clone() };
                    log.lines().push(line);
                }
            }
        });
        Ok(())
    }

    /// The lines, locked.
    pub fn lines(&self) -> MutexGuard<'_, Vec<LogLine>> {
        self.lines.lock().expect("no thread panics while it holds the lines of a log")
    }

    /// The fields of the lines of an event, the oldest first.
    pub fn events(&self, message: &str) -> Vec<Value> {
        let lines = self.lines();
        let of_event = lines.iter().filter(|line| line.fields["message"] == message);
        of_event.map(|line| line.fields.clone()).collect()
    }

    /// The fields of the last line of an event, read at `since` or later.
    pub fn last_event(&self, message: &str, since: Option<Instant>) -> Option<Value> {
        let lines = self.lines();
        let recent = |line: &&LogLine| since.is_none_or(|since| line.at >= since);
        let mut newest_first = lines.iter().rev().filter(recent);
        newest_first.find(|line| line.fields["message"] == message).map(|line| line.fields.clone())
    }
}
