//! The state that a member keeps on disk, and its file format. A file consists of a header with version,
//! length and checksum, followed by the encoded state. A file that is truncated, modified or of another
//! version is rejected.

use crate::entry::Entry;
use crate::snapshot::Snapshot;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// First bytes of every state file. The last byte of this constant is the version of the file format.
const MAGIC: [u8; 8] = *b"MSREPL\0\x01";
const LENGTH_BYTES: usize = 8;
const CHECKSUM_BYTES: usize = 32;
const HEAD_BYTES: usize = MAGIC.len() + LENGTH_BYTES + CHECKSUM_BYTES;

/// The state that a member keeps on disk. It is always written as a whole. On a server, which has no replica,
/// only `committed` is used.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    /// Highest epoch that the replica has promised to a candidate for leadership. The replica rejects
    /// messages of earlier epochs.
    pub promised: u64,
    /// Configuration after the last complete change that is known to be committed.
    pub committed: Snapshot,
    /// Log entries after `committed`. The file does not record which of them are committed. After a restart,
    /// the replica learns this from the other replicas.
    pub entries: Vec<Entry>,
}

/// Reason why a state file cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The file was not written by this program, or its format version is unknown to this build.
    #[error("unknown file format or version")]
    Version,
    /// The length of the file differs from the length that its header states.
    #[error("cut short, or with extra bytes")]
    Length,
    /// The content of the file does not match its checksum.
    #[error("the checksum does not match")]
    Checksum,
    /// The checksum matches, but the content of the file is invalid: it cannot be decoded as a state, or the
    /// committed configuration does not match its hash.
    #[error("the content cannot be decoded or does not match its hash")]
    Content,
}

/// Encodes a state as the content of a file.
pub fn encode(state: &PersistedState) -> Vec<u8> {
    let body = postcard::to_allocvec(state).expect("a state holds nothing that postcard cannot encode");
    let mut bytes = Vec::with_capacity(HEAD_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&Sha256::digest(&body));
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes the content of a file.
///
/// # Errors
/// Returns an error if the file has another format or version, a wrong length or checksum, or content that
/// cannot be decoded or does not match its hash.
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
