//! Settings by path, and their values by type.

use crate::SettingsError;
use crate::wire_words::Words;
use meadowstream_overload_control::Nanos;
use serde_json::Value;
use std::collections::HashMap;
use std::str::FromStr;

const NS_PER_US: u64 = 1_000;

/// The value of each path, as text.
#[derive(Default)]
pub struct Values {
    by_path: HashMap<String, String>,
}

impl Values {
    /// Splits `path=value` lines; of a path that stands twice the last counts.
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

    /// Lays out nested JSON by path; `null` is absent.
    pub fn from_json(settings: &Value) -> Self {
        let mut values = Self::default();
        values.flatten("", settings);
        values
    }

    /// Adds what is nested under a path: lists of plain values are joined by commas, lists of objects
    /// counted.
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

    /// Whether the path is there.
    pub fn has(&self, path: &str) -> bool {
        self.by_path.contains_key(path)
    }

    /// The value as it stands there.
    pub fn text(&self, path: &str) -> Result<&str, SettingsError> {
        match self.by_path.get(path) {
            Some(text) => Ok(text),
            None => Err(SettingsError::Missing { path: path.to_string() }),
        }
    }

    /// The value as a `T`.
    pub fn parse<T: FromStr>(&self, path: &str) -> Result<T, SettingsError> {
        let text = self.text(path)?;
        text.parse().map_err(|_| unreadable(path, text))
    }

    /// The value as a `T`, or `absent` where the path is not there.
    pub fn parse_or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, SettingsError> {
        if self.has(path) { self.parse(path) } else { Ok(absent) }
    }

    /// A finite number of 0 or more.
    pub fn number(&self, path: &str) -> Result<f64, SettingsError> {
        let number: f64 = self.parse(path)?;
        if number.is_finite() && number >= 0.0 { Ok(number) } else { Err(out_of_range(path, number)) }
    }

    /// A finite number of 0 or more; 0 where it is absent.
    pub fn number_or_zero(&self, path: &str) -> Result<f64, SettingsError> {
        if self.has(path) { self.number(path) } else { Ok(0.0) }
    }

    /// A finite number above 0.
    pub fn positive_number(&self, path: &str) -> Result<f64, SettingsError> {
        let number = self.number(path)?;
        if number > 0.0 { Ok(number) } else { Err(out_of_range(path, number)) }
    }

    /// A duration, which is stated in microseconds.
    pub fn duration(&self, path: &str) -> Result<Nanos, SettingsError> {
        let micros: u64 = self.parse(path)?;
        micros.checked_mul(NS_PER_US).ok_or_else(|| out_of_range(path, micros))
    }

    /// A duration, 0 where it is absent.
    pub fn duration_or_zero(&self, path: &str) -> Result<Nanos, SettingsError> {
        if self.has(path) { self.duration(path) } else { Ok(0) }
    }

    /// One of these words.
    pub fn choice<T: Copy>(&self, path: &str, words: Words<T>) -> Result<T, SettingsError> {
        let text = self.text(path)?;
        match words.iter().find(|(word, _)| *word == text) {
            Some((_, meaning)) => Ok(*meaning),
            None => Err(SettingsError::UnknownChoice { path: path.to_string(), value: text.to_string() }),
        }
    }

    /// The parts of a list, none where it is absent.
    pub fn list(&self, path: &str) -> Vec<&str> {
        match self.by_path.get(path) {
            Some(text) => text.split(',').filter(|part| !part.is_empty()).collect(),
            None => Vec::new(),
        }
    }
}

/// The error for a value that is not of the type of its path.
pub fn unreadable(path: &str, text: &str) -> SettingsError {
    SettingsError::Unreadable { path: path.to_string(), value: text.to_string() }
}

fn out_of_range(path: &str, value: impl ToString) -> SettingsError {
    SettingsError::OutOfRange { path: path.to_string(), value: value.to_string() }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_string() } else { format!("{path}.{name}") }
}

/// Spaces and commas become `_`, as in the lines.
fn plain_text(value: &Value) -> String {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    text.replace([' ', ','], "_")
}
