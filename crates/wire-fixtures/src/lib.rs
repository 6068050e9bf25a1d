//! Compares encoded messages and stored files with the bytes that an earlier release wrote.
//!
//! A fixture file holds one `name hex` pair a line. A test encodes its samples and compares each with the
//! line of its name, so that a variant or a field that moved is noticed before an older server does not
//! understand it. With the variable [`WRITE`] set in the environment the file is written instead; that is
//! done once, by the release whose bytes are to be kept.
#![deny(missing_docs, clippy::too_many_lines)]

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// The environment variable that makes [`Fixtures::verify`] write the file.
pub const WRITE: &str = "WRITE_WIRE_FIXTURES";

/// The fixtures of one file.
pub struct Fixtures {
    path: PathBuf,
    recorded: BTreeMap<String, Vec<u8>>,
}

impl Fixtures {
    /// Reads the file; one that does not exist yet holds no fixture.
    ///
    /// # Panics
    ///
    /// Panics where a line is not a name and an even number of hexadecimal digits.
    pub fn load(path: impl AsRef<Path>) -> Fixtures {
        let path = path.as_ref().to_path_buf();
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let lines = text.lines().filter(|line| !line.is_empty() && !line.starts_with('#'));
        Fixtures { recorded: lines.map(parse_line).collect(), path }
    }

    /// The recorded bytes of that name.
    ///
    /// # Panics
    ///
    /// Panics where there are none.
    pub fn bytes(&self, name: &str) -> &[u8] {
        let found = self.recorded.get(name);
        found.unwrap_or_else(|| panic!("{}: no fixture {name:?}", self.path.display()))
    }

    /// Compares all samples with the file: each has its fixture, and each fixture its sample.
    ///
    /// # Panics
    ///
    /// Panics at the first sample whose bytes differ, and where names are missing on either side.
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
            writeln!(text, "{name} {}", to_hex(bytes)).expect("a string grows");
        }
        let written = std::fs::write(&self.path, text);
        written.unwrap_or_else(|error| panic!("{}: {error}", self.path.display()));
    }
}

fn parse_line(line: &str) -> (String, Vec<u8>) {
    let (name, hex) = line.split_once(' ').unwrap_or((line, ""));
    assert!(hex.len().is_multiple_of(2), "{name}: an odd number of digits");
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16);
    let bytes: Result<Vec<u8>, _> = (0..hex.len()).step_by(2).map(byte).collect();
    (name.to_string(), bytes.unwrap_or_else(|error| panic!("{name}: {error}")))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut hex, byte| {
        write!(hex, "{byte:02x}").expect("a string grows");
        hex
    })
}
