//! What a member keeps on disk, and its file form: a head with version, length and checksum, then the encoded
//! state. A file that is cut short, of another version or changed anywhere is rejected.

use crate::entry::Entry;
use crate::snapshot::Snapshot;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Begins every file; its last byte is the version.
const MAGIC: [u8; 8] = *b"MSREPL\0\x01";
const LENGTH_BYTES: usize = 8;
const CHECKSUM_BYTES: usize = 32;
const HEAD_BYTES: usize = MAGIC.len() + LENGTH_BYTES + CHECKSUM_BYTES;

/// What a member keeps on disk, written as a whole. A server keeps `committed` alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The replica takes part in no epoch before this one.
    pub promised: u64,
    /// The last complete change that is known to be committed.
    pub committed: Snapshot,
    /// Entries after it. Which of them are committed is learnt anew after a restart.
    pub entries: Vec<Entry>,
}

/// A file that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Not a file of this program, or of a version that this build does not know.
    #[error("no file of this version")]
    Version,
    /// Shorter or longer than its head says.
    #[error("cut short or with bytes left over")]
    Length,
    /// Its bytes were changed.
    #[error("its checksum is wrong")]
    Checksum,
    /// The checksum is right, but the bytes are no state of this build, or the content does not have its
    /// hash.
    #[error("its content is not what its hash says")]
    Content,
}

/// The bytes of a file.
pub fn encode(state: &PersistedState) -> Vec<u8> {
    let body = postcard::to_allocvec(state).expect("a state holds nothing that postcard cannot encode");
    let mut bytes = Vec::with_capacity(HEAD_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&Sha256::digest(&body));
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads the bytes of a file.
///
/// # Errors
/// Where they are not exactly what [`encode`] writes for a state whose content has its hash.
pub fn decode(bytes: &[u8]) -> Result<PersistedState, DecodeError> {
    if bytes.len() < HEAD_BYTES {
        let is_ours = bytes.starts_with(&MAGIC);
        return Err(if is_ours { DecodeError::Length } else { DecodeError::Version });
    }
    let (head, body) = bytes.split_at(HEAD_BYTES);
    let (magic, head) = head.split_at(MAGIC.len());
    let (length, checksum) = head.split_at(LENGTH_BYTES);
    if magic != MAGIC {
        return Err(DecodeError::Version);
    }
    let length = u64::from_le_bytes(length.try_into().expect("split at LENGTH_BYTES, which is 8"));
    if length != body.len() as u64 {
        return Err(DecodeError::Length);
    }
    if checksum != &Sha256::digest(body)[..] {
        return Err(DecodeError::Checksum);
    }
    let state: PersistedState = postcard::from_bytes(body).map_err(|_| DecodeError::Content)?;
    let committed = &state.committed;
    if committed.state.hash() != committed.revision.hash {
        return Err(DecodeError::Content);
    }
    Ok(state)
}
