//! Collects the log lines of a server while the server runs.

use anyhow::{Context, Result};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::process::Child;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// A line of a server's log.
#[derive(Clone)]
pub struct LogLine {
    /// Time at which the harness read the line from the process.
    pub at: Instant,
    /// Time at which the server wrote the line (RFC 3339 with microseconds).
    pub timestamp: String,
    /// Fields of the log event. The field `message` contains the log message.
    pub fields: Value,
}

/// Log lines that the harness has read from a server so far. Lines from before a restart of the server are
/// included.
#[derive(Clone, Default)]
pub struct ServerLog {
    lines: Arc<Mutex<Vec<LogLine>>>,
}

impl ServerLog {
    /// Starts a thread that adds the process's log lines to this log. The thread reads the standard error of
    /// the process until the process ends.
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

    /// Locks the log and returns its lines. The log stays locked until the returned guard is dropped.
    pub fn lines(&self) -> MutexGuard<'_, Vec<LogLine>> {
        self.lines.lock().expect("no thread panics while it holds the lines of a log")
    }

    /// Returns the fields of all log lines whose message is `message`, oldest first.
    pub fn events(&self, message: &str) -> Vec<Value> {
        let lines = self.lines();
        let of_event = lines.iter().filter(|line| line.fields["message"] == message);
        of_event.map(|line| line.fields.clone()).collect()
    }

    /// Returns the fields of the last log line whose message is `message`. If `since` is given, ignores lines
    /// that the harness read before the time `since`.
    pub fn last_event(&self, message: &str, since: Option<Instant>) -> Option<Value> {
        let lines = self.lines();
        let recent = |line: &&LogLine| since.is_none_or(|since| line.at >= since);
        let mut newest_first = lines.iter().rev().filter(recent);
        newest_first.find(|line| line.fields["message"] == message).map(|line| line.fields.clone())
    }
}
