//! Compares encoded messages and stored files with the bytes that an earlier release wrote.
//!
//! A fixture is an encoding that the earlier release recorded under a name. A fixture file holds one fixture
//! per line, as `name hex`. A sample is an encoding that a test creates with the current code. The test
//! compares each sample with the fixture of the same name. A moved field or variant is thus detected before
//! it breaks communication with servers of an older release.
//!
//! If the environment variable [`WRITE_VARIABLE`] is set, the samples are written to the fixture file
//! instead. The file is written only once, by the release that defines the format.
#![deny(missing_docs, clippy::too_many_lines)]

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Name of the environment variable that makes [`Fixtures::verify`] write the fixture file. If the variable
/// is not set, the function compares samples with the fixture file.
pub const WRITE_VARIABLE: &str = "WRITE_WIRE_FIXTURES";

/// Fixtures of one file. A fixture is a recorded encoding with a name.
pub struct Fixtures {
    path: PathBuf,
    recorded: BTreeMap<String, Vec<u8>>,
}

impl Fixtures {
    /// Reads the fixture file at `path`. A file that cannot be read is treated as empty. Empty lines and
    /// lines that begin with `#` are ignored.
    ///
    /// # Panics
    ///
    /// Panics if any other line does not consist of a name and an even number of hexadecimal digits.
    pub fn load(path: impl AsRef<Path>) -> Fixtures {
        let path = path.as_ref().to_path_buf();
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let lines = text.lines().filter(|line| !line.is_empty() && !line.starts_with('#'));
        Fixtures { recorded: lines.map(parse_line).collect(), path }
    }

    /// Returns the recorded bytes of the fixture called `name`.
    ///
    /// # Panics
    ///
    /// Panics if the file has no fixture with this name.
    pub fn bytes(&self, name: &str) -> &[u8] {
        let found = self.recorded.get(name);
        found.unwrap_or_else(|| panic!("{}: no fixture {name:?}", self.path.display()))
    }

    /// Compares each sample with the fixture of the same name.
    ///
    /// # Panics
    ///
    /// Panics if the bytes of a sample differ from its fixture, if a sample has no fixture, or if a fixture
    /// has no sample.
    pub fn verify(&self, samples: &[(&str, Vec<u8>)]) {
        if std::env::var_os(WRITE_VARIABLE).is_some() {
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
        let mut text = format!("# Written with {WRITE_VARIABLE}=1 by the test that reads this file.\n");
        for (name, bytes) in samples {
            writeln!(text, "{name} {}", to_hex(bytes)).expect("writing to a String cannot fail");
        }
        let written = std::fs::write(&self.path, text);
        written.unwrap_or_else(|error| panic!("{}: {error}", self.path.display()));
    }
}

fn parse_line(line: &str) -> (String, Vec<u8>) {
    let (name, hex) = line.split_once(' ').unwrap_or((line, ""));
    assert!(hex.len().is_multiple_of(2), "{name}: odd number of hexadecimal digits");
    let byte = |offset: usize| u8::from_str_radix(&hex[offset..offset + 2], 16);
    let bytes: Result<Vec<u8>, _> = (0..hex.len()).step_by(2).map(byte).collect();
    (name.to_string(), bytes.unwrap_or_else(|error| panic!("{name}: {error}")))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut hex, byte| {
        write!(hex, "{byte:02x}").expect("writing to a String cannot fail");
        hex
    })
}
