//! The settings and the program of a rollout, as files beside the server's own options.

use crate::error::BoxError;
use meadowstream_configuration::{Options, Rollout};
use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};

/// What a rollout may have this server adopt.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The file of its settings.
    pub path: PathBuf,
    /// The file that says that the server has adopted them.
    pub mark: PathBuf,
    /// Hash of the server's own options file.
    pub own: u64,
    /// Hash of the settings, where the server has adopted them.
    pub adopted: Option<u64>,
    /// The program of a rollout.
    pub program: Option<PathBuf>,
    /// The file that names it to whoever starts the server.
    pub program_mark: PathBuf,
}

impl Candidate {
    /// What the options name, with nothing adopted.
    pub fn new(rollout: &Rollout, options_path: &Path) -> std::io::Result<Self> {
        let folder = options_path.parent().unwrap_or(Path::new("."));
        Ok(Self {
            path: folder.join(&rollout.candidate),
            mark: beside(options_path, ".adopted"),
            own: hash_of(&std::fs::read(options_path)?),
            adopted: None,
            program: rollout.program.as_ref().map(|program| folder.join(program)),
            program_mark: beside(options_path, ".program"),
        })
    }

    /// The hash in the mark, where the file of settings still has it.
    pub fn adopted_before(&self) -> AdoptedBefore {
        let Ok(mark) = std::fs::read_to_string(&self.mark) else { return AdoptedBefore::Nothing };
        let adopted = u64::from_str_radix(mark.trim(), 16).ok();
        let found = std::fs::read(&self.path).ok().map(|bytes| hash_of(&bytes));
        match adopted.filter(|_| adopted == found) {
            Some(hash) => AdoptedBefore::Same(hash),
            None => AdoptedBefore::Other,
        }
    }
}

/// Whether the server had adopted the settings of a rollout when it stopped.
pub enum AdoptedBefore {
    /// It had not.
    Nothing,
    /// It had, and their file is the same.
    Same(u64),
    /// It had adopted settings that are not there any more.
    Other,
}

fn beside(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(suffix);
    PathBuf::from(name)
}

/// What settings are known by: the first eight bytes of the SHA-256 of their file.
pub fn hash_of(bytes: &[u8]) -> u64 {
    let hash = Sha256::digest(bytes);
    let first = hash.first_chunk::<8>().expect("a SHA-256 hash has 32 bytes");
    u64::from_be_bytes(*first)
}

/// Why the settings of a rollout cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum CandidateError {
    /// The file is no options file.
    #[error(transparent)]
    Options(BoxError),
    /// An element that only a restart changes.
    #[error("{0}: a change cannot hold <membership>, <shared-state> or <rollout>")]
    FixedElement(PathBuf),
}

/// Reads the settings of a rollout: an options file whose elements take the place of the server's own.
pub fn read_change(path: &Path) -> Result<Options, CandidateError> {
    let change = Options::load(path).map_err(|error| CandidateError::Options(error.into()))?;
    if change.membership.is_some() || change.rollout.is_some() || change.shared_state.is_some() {
        return Err(CandidateError::FixedElement(path.to_path_buf()));
    }
    Ok(change)
}
