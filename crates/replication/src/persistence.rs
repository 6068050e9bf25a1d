//! The state that a member keeps on disk, and its file format: a header with version, length and checksum,
//! followed by the encoded state. A file that is truncated, modified or of another version is rejected.

use crate::entry::Entry;
use crate::snapshot::Snapshot;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// First bytes of every file; the last of them is the format version.
const MAGIC: [u8; 8] = *b"MSREPL\0\x01";
const LENGTH_BYTES: usize = 8;
const CHECKSUM_BYTES: usize = 32;
const HEAD_BYTES: usize = MAGIC.len() + LENGTH_BYTES + CHECKSUM_BYTES;

/// The state that a member keeps on disk, always written as a whole. A server uses only `committed`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    /// Highest epoch that the replica has promised; it rejects earlier epochs.
    pub promised: u64,
    /// State after the last complete change known to be committed.
    pub committed: Snapshot,
    /// Entries after `committed`. After a restart, the replica learns again which of them are committed.
    pub entries: Vec<Entry>,
}

/// Reason why a file cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The file was not written by this program, or its format version is unknown to this build.
    #[error("unknown file format or version")]
    Version,
    /// The file is shorter or longer than its header states.
    #[error("cut short, or with extra bytes")]
    Length,
    /// The content of the file does not match its checksum.
    #[error("the checksum does not match")]
    Checksum,
    /// The checksum matches, but the bytes cannot be decoded as a state, or the committed content does not
    /// match its hash.
    #[error("the content cannot be decoded or does not match its hash")]
    Content,
}

/// Encodes a state as the bytes of a file.
pub fn encode(state: &PersistedState) -> Vec<u8> {
    let body = postcard::to_allocvec(state).expect("a state holds nothing that postcard cannot encode");
    let mut bytes = Vec::with_capacity(HEAD_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&Sha256::digest(&body));
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes the bytes of a file.
///
/// # Errors
/// If the bytes are not exactly those that [`encode`] writes for a state whose content matches its hash.
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
