//! Candidate settings and candidate program of a rollout. Both are files in the directory of the server's own
//! options file.

use crate::error::BoxError;
use meadowstream_configuration::{Options, Rollout};
use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};

/// The candidate of a rollout: the settings and the program that the rollout may ask this server to adopt.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Path of the file that contains the candidate settings of a rollout.
    pub path: PathBuf,
    /// Path of a file that exists if the server has adopted the candidate settings. The file contains the
    /// hash of the adopted settings.
    pub mark: PathBuf,
    /// Hash of the content of the server's own options file.
    pub own_hash: u64,
    /// Hash of the candidate settings that the server has adopted; `None` if the server has not adopted
    /// candidate settings.
    pub adopted: Option<u64>,
    /// Path of the candidate program of a rollout; `None` if the options file names no program.
    pub program: Option<PathBuf>,
    /// Path of a file for the server's supervisor. The file names the program that the supervisor starts
    /// next.
    pub program_mark: PathBuf,
}

impl Candidate {
    /// Creates a candidate from the `<rollout>` element of the options file at `options_path`. The new
    /// candidate is not yet adopted.
    pub fn new(rollout: &Rollout, options_path: &Path) -> std::io::Result<Self> {
        let folder = options_path.parent().unwrap_or(Path::new("."));
        Ok(Self {
            path: folder.join(&rollout.candidate),
            mark: with_suffix(options_path, ".adopted"),
            own_hash: hash_of(&std::fs::read(options_path)?),
            adopted: None,
            program: rollout.program.as_ref().map(|program| folder.join(program)),
            program_mark: with_suffix(options_path, ".program"),
        })
    }

    /// Returns whether the server had adopted the candidate settings before its last stop, and whether the
    /// settings file has changed since the adoption. Compares the hash in the mark file with the hash of the
    /// settings file.
    pub fn adopted_before(&self) -> AdoptedBefore {
        let Ok(mark) = std::fs::read_to_string(&self.mark) else { return AdoptedBefore::NotAdopted };
        let adopted = u64::from_str_radix(mark.trim(), 16).ok();
        let found = std::fs::read(&self.path).ok().map(|bytes| hash_of(&bytes));
        match adopted.filter(|_| adopted == found) {
            Some(hash) => AdoptedBefore::Unchanged(hash),
            None => AdoptedBefore::Changed,
        }
    }
}

/// Result of [`Candidate::adopted_before`]: whether the server had adopted candidate settings before its last
/// stop, and whether the settings file has changed since the adoption.
pub enum AdoptedBefore {
    /// Before its last stop, the server had not adopted any candidate settings.
    NotAdopted,
    /// Before its last stop, the server had adopted candidate settings with this hash. The candidate settings
    /// file still has the same hash.
    Unchanged(u64),
    /// Before its last stop, the server had adopted candidate settings. The candidate settings file has
    /// changed since then or is missing, or the mark file contains no valid hash.
    Changed,
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(suffix);
    PathBuf::from(name)
}

/// Returns the hash that identifies a settings file or a program with the content `bytes`: the first eight
/// bytes of its SHA-256.
pub fn hash_of(bytes: &[u8]) -> u64 {
    let hash = Sha256::digest(bytes);
    let first = hash.first_chunk::<8>().expect("a SHA-256 hash has 32 bytes");
    u64::from_be_bytes(*first)
}

/// Error in the candidate settings of a rollout.
#[derive(Debug, thiserror::Error)]
pub enum CandidateError {
    /// The file with the candidate settings of a rollout is not a valid options file.
    #[error(transparent)]
    Options(BoxError),
    /// The candidate settings contain an element that can only be changed by a restart.
    #[error("{0}: a change cannot contain <membership>, <shared-state> or <rollout>")]
    FixedElement(PathBuf),
}

/// Reads the candidate settings of a rollout from the options file at `path`. Each element in this file
/// replaces the same element of the server's own options file.
pub fn read_change(path: &Path) -> Result<Options, CandidateError> {
    let change = Options::load(path).map_err(|error| CandidateError::Options(error.into()))?;
    if change.membership.is_some() || change.rollout.is_some() || change.shared_state.is_some() {
        return Err(CandidateError::FixedElement(path.to_path_buf()));
    }
    Ok(change)
}
