//! The log of a server, read while the server writes it.

use anyhow::{Context, Result};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::process::Child;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// A line of a server's log.
#[derive(Clone)]
pub struct LogLine {
    /// Time at which the harness read the line.
    pub at: Instant,
    /// Time at which the server wrote the line (RFC 3339 with microseconds).
    pub timestamp: String,
    /// Fields of the log event; `message` names the event.
    pub fields: Value,
}

/// All log lines of a server so far, including those from before a restart.
#[derive(Clone, Default)]
pub struct ServerLog {
    lines: Arc<Mutex<Vec<LogLine>>>,
}

impl ServerLog {
    /// Starts a thread that reads the standard error of a process until the process ends.
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

    /// Locks the log and returns its lines, which stay locked while the guard lives.
    pub fn lines(&self) -> MutexGuard<'_, Vec<LogLine>> {
        self.lines.lock().expect("no thread panics while it holds the lines of a log")
    }

    /// Returns the fields of all log lines whose message is `message`, oldest first.
    pub fn events(&self, message: &str) -> Vec<Value> {
        let lines = self.lines();
        let of_event = lines.iter().filter(|line| line.fields["message"] == message);
        of_event.map(|line| line.fields.clone()).collect()
    }

    /// Returns the fields of the last log line whose message is `message`. With `since`, only lines read at
    /// that time or later count.
    pub fn last_event(&self, message: &str, since: Option<Instant>) -> Option<Value> {
        let lines = self.lines();
        let recent = |line: &&LogLine| since.is_none_or(|since| line.at >= since);
        let mut newest_first = lines.iter().rev().filter(recent);
        newest_first.find(|line| line.fields["message"] == message).map(|line| line.fields.clone())
    }
}
