//! Compares encoded messages and stored files with the bytes that an earlier release wrote.
//!
//! Each line of a fixture file has the name of a sample and the hexadecimal digits of its encoding. A test
//! encodes its samples and compares each encoding with the fixture of the sample's name. The comparison
//! detects a reordered variant or field before an older server receives a message that it cannot decode. If
//! the environment variable named by [`WRITE`] is set, the test writes the file and compares nothing. The
//! file is written once, by the release whose encoding later releases must keep.
#![deny(missing_docs, clippy::too_many_lines)]

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Name of the environment variable that makes [`Fixtures::verify`] write the fixture file.
pub const WRITE: &str = "WRITE_WIRE_FIXTURES";

/// The encodings read from one fixture file, by the name of their sample.
pub struct Fixtures {
    path: PathBuf,
    recorded: BTreeMap<String, Vec<u8>>,
}

impl Fixtures {
    /// Reads a fixture file. A file that cannot be read, for example because it does not exist yet, counts as
    /// empty.
    ///
    /// # Panics
    ///
    /// Panics if a line is not a name followed by an even number of hexadecimal digits.
    pub fn load(path: impl AsRef<Path>) -> Fixtures {
        let path = path.as_ref().to_path_buf();
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let lines = text.lines().filter(|line| !line.is_empty() && !line.starts_with('#'));
        Fixtures { recorded: lines.map(parse_line).collect(), path }
    }

    /// Returns the bytes of the fixture `name`.
    ///
    /// # Panics
    ///
    /// Panics if the file has no fixture of this name.
    pub fn bytes(&self, name: &str) -> &[u8] {
        let found = self.recorded.get(name);
        found.unwrap_or_else(|| panic!("{}: no fixture {name:?}", self.path.display()))
    }

    /// Checks that each sample equals the fixture of its name and that each fixture has a sample. If the
    /// environment variable named by [`WRITE`] is set, writes the samples to the file without a check.
    ///
    /// # Panics
    ///
    /// Panics if a sample differs from its fixture, a sample has no fixture, a fixture has no sample, or the
    /// file cannot be written.
    pub fn verify(&self, samples: &[(&str, Vec<u8>)]) {
        if std::env::var_os(WRITE).is_some() {
            return self.write(samples);
        }
        for (name, bytes) in samples {
            assert_eq!(to_hex(bytes), to_hex(self.bytes(name)), "{}: {name}", self.path.display());
        }
        let names: Vec<&str> = samples.iter().map(|(name, _)| *name).collect();
        for name in self.recorded.keys() {
            assert!(names.contains(&name.as_str()), "{}: {name} has no sample", self.path.display());
        }
    }

    fn write(&self, samples: &[(&str, Vec<u8>)]) {
        let mut text = format!("# Written with {WRITE}=1 by the test that reads this file.\n");
        for (name, bytes) in samples {
            writeln!(text, "{name} {}", to_hex(bytes)).expect("writing to a string cannot fail");
        }
        let written = std::fs::write(&self.path, text);
        written.unwrap_or_else(|error| panic!("{}: {error}", self.path.display()));
    }
}

fn parse_line(line: &str) -> (String, Vec<u8>) {
    let (name, hex) = line.split_once(' ').unwrap_or((line, ""));
    assert!(hex.len().is_multiple_of(2), "{name}: odd number of hexadecimal digits");
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16);
    let bytes: Result<Vec<u8>, _> = (0..hex.len()).step_by(2).map(byte).collect();
    (name.to_string(), bytes.unwrap_or_else(|error| panic!("{name}: {error}")))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut hex, byte| {
        write!(hex, "{byte:02x}").expect("writing to a string cannot fail");
        hex
    })
}
