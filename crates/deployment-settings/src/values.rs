//! Settings by path, with accessors that parse values by type.

use crate::SettingsError;
use crate::wire_words::Words;
use meadowstream_overload_control::Nanos;
use serde_json::Value;
use std::collections::HashMap;
use std::str::FromStr;

const NS_PER_US: u64 = 1_000;

/// The settings: values as text, by path.
#[derive(Default)]
pub struct Values {
    by_path: HashMap<String, String>,
}

impl Values {
    /// Parses `path=value` lines. If a path occurs more than once, its last value is used.
    pub fn from_lines(text: &str) -> Result<Self, SettingsError> {
        let mut values = Self::default();
        for line in text.lines().filter(|line| !line.is_empty()) {
            let Some((path, value)) = line.split_once('=') else {
                return Err(SettingsError::NoSeparator { line: line.to_string() });
            };
            values.by_path.insert(path.to_string(), value.to_string());
        }
        Ok(values)
    }

    /// Flattens nested JSON to paths. A `null` is treated as missing.
    pub fn from_json(settings: &Value) -> Self {
        let mut values = Self::default();
        values.flatten("", settings);
        values
    }

    /// Adds the values nested under a path. A list of plain values becomes one comma-separated value. A list
    /// of objects becomes one path prefix per item, and its length is stored under `count`.
    fn flatten(&mut self, path: &str, value: &Value) {
        match value {
            Value::Null => {}
            Value::Object(fields) => {
                for (name, field) in fields {
                    self.flatten(&join(path, name), field);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.by_path.insert(join(path, "count"), items.len().to_string());
                for (i, item) in items.iter().enumerate() {
                    self.flatten(&join(path, &i.to_string()), item);
                }
            }
            Value::Array(items) => {
                let texts: Vec<String> = items.iter().map(plain_text).collect();
                self.by_path.insert(path.to_string(), texts.join(","));
            }
            _ => {
                self.by_path.insert(path.to_string(), plain_text(value));
            }
        }
    }

    /// Returns whether the path is present.
    pub fn has(&self, path: &str) -> bool {
        self.by_path.contains_key(path)
    }

    /// Returns the value as written.
    pub fn text(&self, path: &str) -> Result<&str, SettingsError> {
        match self.by_path.get(path) {
            Some(text) => Ok(text),
            None => Err(SettingsError::Missing { path: path.to_string() }),
        }
    }

    /// Parses the value as a `T`.
    pub fn parse<T: FromStr>(&self, path: &str) -> Result<T, SettingsError> {
        let text = self.text(path)?;
        text.parse().map_err(|_| unreadable(path, text))
    }

    /// Parses the value as a `T`, or returns `default` if the path is missing.
    pub fn parse_or<T: FromStr>(&self, path: &str, default: T) -> Result<T, SettingsError> {
        if self.has(path) { self.parse(path) } else { Ok(default) }
    }

    /// Reads a finite number that is not negative.
    pub fn number(&self, path: &str) -> Result<f64, SettingsError> {
        let number: f64 = self.parse(path)?;
        if number.is_finite() && number >= 0.0 { Ok(number) } else { Err(out_of_range(path, number)) }
    }

    /// Reads a finite number that is not negative; 0 if the path is missing.
    pub fn number_or_zero(&self, path: &str) -> Result<f64, SettingsError> {
        if self.has(path) { self.number(path) } else { Ok(0.0) }
    }

    /// Reads a finite number above 0.
    pub fn positive_number(&self, path: &str) -> Result<f64, SettingsError> {
        let number = self.number(path)?;
        if number > 0.0 { Ok(number) } else { Err(out_of_range(path, number)) }
    }

    /// Reads a duration in microseconds, and returns it in nanoseconds.
    pub fn duration(&self, path: &str) -> Result<Nanos, SettingsError> {
        let micros: u64 = self.parse(path)?;
        micros.checked_mul(NS_PER_US).ok_or_else(|| out_of_range(path, micros))
    }

    /// Reads a duration in microseconds, and returns it in nanoseconds; 0 if the path is missing.
    pub fn duration_or_zero(&self, path: &str) -> Result<Nanos, SettingsError> {
        if self.has(path) { self.duration(path) } else { Ok(0) }
    }

    /// Reads a choice: one of these words.
    pub fn choice<T: Copy>(&self, path: &str, words: Words<T>) -> Result<T, SettingsError> {
        let text = self.text(path)?;
        match words.iter().find(|(word, _)| *word == text) {
            Some((_, meaning)) => Ok(*meaning),
            None => Err(SettingsError::UnknownChoice { path: path.to_string(), value: text.to_string() }),
        }
    }

    /// Returns the items of a comma-separated list; an empty list if the path is missing.
    pub fn list(&self, path: &str) -> Vec<&str> {
        match self.by_path.get(path) {
            Some(text) => text.split(',').filter(|part| !part.is_empty()).collect(),
            None => Vec::new(),
        }
    }
}

/// Creates the error for a value that cannot be parsed as the type of its path.
pub fn unreadable(path: &str, text: &str) -> SettingsError {
    SettingsError::Unreadable { path: path.to_string(), value: text.to_string() }
}

fn out_of_range(path: &str, value: impl ToString) -> SettingsError {
    SettingsError::OutOfRange { path: path.to_string(), value: value.to_string() }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_string() } else { format!("{path}.{name}") }
}

/// Converts a plain JSON value to text. Spaces and commas become `_`, as in the `path=value` lines.
fn plain_text(value: &Value) -> String {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    text.replace([' ', ','], "_")
}
