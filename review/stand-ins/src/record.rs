//! The record of a test: what was sent, answered and run, with the Unix time in milliseconds.

use crate::unix_ms;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;

pub struct Record {
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { file: Mutex::new(File::create(path)?) })
    }

    /// Writes one line to the record.
    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().expect("no thread panics");
        let _ = writeln!(file, "{} {line}", unix_ms());
    }

    /// Writes one line to the record and to standard output.
    pub fn say(&self, line: &str) {
        self.write(line);
        println!("{line}");
    }

    /// Copies lines of another file into the record, each with a prefix.
    pub fn copy(&self, prefix: &str, path: &Path, keep: impl Fn(&str) -> bool) {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let mut file = self.file.lock().expect("no thread panics");
        for line in text.lines().filter(|line| keep(line)) {
            let _ = writeln!(file, "{prefix} {line}");
        }
    }
}
