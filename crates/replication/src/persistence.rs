//! What is written to disk: a head with version, length and checksum, and the encoded state. A file that is
//! cut short, of another version or changed anywhere is told from a good one.

use crate::replica::PersistedState;
use sha2::{Digest, Sha256};

const MAGIC: [u8; 8] = *b"MSREPL\0\x01";
const LENGTH: usize = 8;
const CHECKSUM: usize = 32;
const HEAD: usize = MAGIC.len() + LENGTH + CHECKSUM;

/// Why a file cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Not a file of ours, or of a version that this build does not know.
    Version,
    /// Shorter or longer than its head says.
    Length,
    Checksum,
    /// The content is not what its hash says.
    Content,
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        to.write_str(match self {
            DecodeError::Version => "no file of this version",
            DecodeError::Length => "cut short or with bytes left over",
            DecodeError::Checksum => "its checksum is wrong",
            DecodeError::Content => "its content is not what its hash says",
        })
    }
}

pub fn encode(saved: &PersistedState) -> Vec<u8> {
    let body = postcard::to_allocvec(saved).expect("no part of it refuses");
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&Sha256::digest(&body));
    bytes.extend_from_slice(&body);
    bytes
}

pub fn decode(bytes: &[u8]) -> Result<PersistedState, DecodeError> {
    if bytes.len() < HEAD {
        return Err(if bytes.starts_with(&MAGIC) { DecodeError::Length } else { DecodeError::Version });
    }
    let (head, body) = bytes.split_at(HEAD);
    if head[..MAGIC.len()] != MAGIC {
        return Err(DecodeError::Version);
    }
    let length = u64::from_le_bytes(head[MAGIC.len()..MAGIC.len() + LENGTH].try_into().expect("8 bytes"));
    if length != body.len() as u64 {
        return Err(DecodeError::Length);
    }
    if head[MAGIC.len() + LENGTH..] != Sha256::digest(body)[..] {
        return Err(DecodeError::Checksum);
    }
    let saved: PersistedState = postcard::from_bytes(body).map_err(|_| DecodeError::Content)?;
    let committed = &saved.committed;
    let good = committed.state.hash() == committed.revision.hash;
    good.then_some(saved).ok_or(DecodeError::Content)
}
