//! Stores the platform's settings as text by path. Accessor functions parse the text as the type of the
//! setting.

use crate::SettingsError;
use crate::wire_words::Words;
use meadowstream_overload_control::Nanos;
use serde_json::Value;
use std::collections::HashMap;
use std::str::FromStr;

const NS_PER_US: u64 = 1_000;

/// Values of the platform's settings as text, by the path of the setting.
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

    /// Converts nested JSON to paths and values. A `null` is treated as a missing value.
    pub fn from_json(settings: &Value) -> Self {
        let mut values = Self::default();
        values.flatten("", settings);
        values
    }

    /// Adds the JSON `value` at `path`, and all values nested in it. A list of plain values becomes one
    /// comma-separated value. In a list of objects, the index of an object is part of the paths of its
    /// values. The path of the list followed by `.count` contains the length of the list.
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

    /// Returns whether the settings contain a value for the path.
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

    /// Parses the value of a path as a `T`. Returns `default` if the path is missing.
    pub fn parse_or<T: FromStr>(&self, path: &str, default: T) -> Result<T, SettingsError> {
        if self.has(path) { self.parse(path) } else { Ok(default) }
    }

    /// Parses the value of a path as a finite number of at least 0.
    pub fn number(&self, path: &str) -> Result<f64, SettingsError> {
        let number: f64 = self.parse(path)?;
        if number.is_finite() && number >= 0.0 { Ok(number) } else { Err(out_of_range(path, number)) }
    }

    /// Parses the value of a path as a finite number of at least 0. Returns 0 if the path is missing.
    pub fn number_or_zero(&self, path: &str) -> Result<f64, SettingsError> {
        if self.has(path) { self.number(path) } else { Ok(0.0) }
    }

    /// Reads a finite number above 0.
    pub fn positive_number(&self, path: &str) -> Result<f64, SettingsError> {
        let number = self.number(path)?;
        if number > 0.0 { Ok(number) } else { Err(out_of_range(path, number)) }
    }

    /// Parses the value of a path as a duration in microseconds, and returns the duration in nanoseconds.
    pub fn duration(&self, path: &str) -> Result<Nanos, SettingsError> {
        let micros: u64 = self.parse(path)?;
        micros.checked_mul(NS_PER_US).ok_or_else(|| out_of_range(path, micros))
    }

    /// Parses the value of a path as a duration in microseconds, and returns the duration in nanoseconds.
    /// Returns 0 if the path is missing.
    pub fn duration_or_zero(&self, path: &str) -> Result<Nanos, SettingsError> {
        if self.has(path) { self.duration(path) } else { Ok(0) }
    }

    /// Reads the value of a path, which must be one of `words`, and returns the meaning of this word.
    pub fn choice<T: Copy>(&self, path: &str, words: Words<T>) -> Result<T, SettingsError> {
        let text = self.text(path)?;
        match words.iter().find(|(word, _)| *word == text) {
            Some((_, meaning)) => Ok(*meaning),
            None => Err(SettingsError::UnknownChoice { path: path.to_string(), value: text.to_string() }),
        }
    }

    /// Returns the items of the comma-separated list at a path. Returns an empty list if the path is missing.
    pub fn list(&self, path: &str) -> Vec<&str> {
        match self.by_path.get(path) {
            Some(text) => text.split(',').filter(|part| !part.is_empty()).collect(),
            None => Vec::new(),
        }
    }
}

/// Creates the error for a value that cannot be parsed as the type of its setting.
pub fn unreadable(path: &str, text: &str) -> SettingsError {
    SettingsError::Unreadable { path: path.to_string(), value: text.to_string() }
}

fn out_of_range(path: &str, value: impl ToString) -> SettingsError {
    SettingsError::OutOfRange { path: path.to_string(), value: value.to_string() }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_string() } else { format!("{path}.{name}") }
}

/// Converts a plain JSON value to text. Spaces and commas become `_`, as they do in `path=value` lines.
fn plain_text(value: &Value) -> String {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    text.replace([' ', ','], "_")
}
