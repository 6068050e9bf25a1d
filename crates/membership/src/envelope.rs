//! The datagram format of the membership protocol. Each datagram encloses one message and carries a version,
//! a length, a sequence number against replays, and an HMAC-SHA256 tag. The tag covers the fleet's name and
//! all bytes before the tag. Peers are untrusted: a datagram that fails a check is dropped and counted by
//! reason, and never causes a panic.
//!
//! Layout of version 1, integers little-endian (a header of 30 bytes, the body, a tag of 32 bytes):
//!
//! | bytes | field |
//! | --- | --- |
//! | 0..2 | `MS`, the magic |
//! | 2 | version, 1 |
//! | 3 | kind of payload: 0 SWIM, 1 anti-entropy, 2 shared state |
//! | 4..12 | fleet mark: the first 8 bytes of the SHA-256 digest of the fleet's name |
//! | 12..20 | the sender's incarnation |
//! | 20..28 | the sender's sequence number within that incarnation |
//! | 28..30 | length `len` of the body in bytes |
//! | 30..30+len | the body in postcard: a message of foca, of [`crate::messages`], or of shared state |
//! | next 32 | the tag: HMAC-SHA256(key, fleet name, bytes 0..30+len) |

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use std::ops::Range;

/// First bytes of every datagram.
pub const MAGIC: [u8; 2] = *b"MS";
/// Version of the datagram layout that this build reads and writes.
pub const VERSION: u8 = 1;

/// Kind of the payload in a datagram's body. A server drops a datagram whose kind it does not know, with the
/// reason [`DropReason::Version`]. A newer server can therefore send new kinds in a fleet that also has older
/// servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PayloadKind {
    /// A SWIM message, encoded by foca.
    Swim = 0,
    /// An [`crate::messages::AntiEntropyMessage`].
    AntiEntropy = 1,
    /// Shared state of the application. This crate does not interpret the body.
    SharedState = 2,
}

impl PayloadKind {
    const ALL: [PayloadKind; 3] = [PayloadKind::Swim, PayloadKind::AntiEntropy, PayloadKind::SharedState];

    fn from_byte(byte: u8) -> Option<PayloadKind> {
        PayloadKind::ALL.into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// Size of a datagram's header, which precedes the body, in bytes.
pub const HEADER_BYTES: usize = 30;
/// Size of a datagram's authentication tag, which follows the body, in bytes.
pub const TAG_BYTES: usize = 32;
/// Total size of a datagram's header and authentication tag, in bytes. The rest of the datagram is the body.
pub const ENVELOPE_BYTES: usize = HEADER_BYTES + TAG_BYTES;
/// Largest possible UDP payload over IPv4, in bytes.
pub const DATAGRAM_BYTES_MAX: usize = 65_507;

const MAGIC_RANGE: Range<usize> = 0..2;
const VERSION_OFFSET: usize = 2;
const KIND_OFFSET: usize = 3;
const FLEET_MARK: Range<usize> = 4..12;
const INCARNATION: Range<usize> = 12..20;
const SEQUENCE: Range<usize> = 20..28;
const BODY_LENGTH: Range<usize> = 28..30;

/// Reason why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DropReason {
    /// The datagram is shorter than a header and an authentication tag.
    #[error("shorter than a header and a tag")]
    Short,
    /// The datagram is longer than the settings or UDP allow.
    #[error("longer than the settings or UDP allow")]
    Oversized,
    /// The datagram does not start with [`MAGIC`], the bytes that identify this protocol.
    #[error("not a datagram of this protocol")]
    Magic,
    /// The version or the kind of payload is unknown to this build.
    #[error("the version or the kind of payload is unknown to this build")]
    Version,
    /// The length of the body in the header does not match the size of the datagram.
    #[error("the declared length is not the length received")]
    Length,
    /// The fleet mark in the datagram, a hash of the fleet's name, belongs to another fleet.
    #[error("the datagram belongs to another fleet")]
    Fleet,
    /// The authentication tag does not match: the datagram is forged, corrupted, or sealed with another key.
    #[error("the tag does not match")]
    Tag,
    /// The datagram is a replay. Its sequence number was already accepted or is too old for the replay
    /// window, or its incarnation is lower than one already received from the sender's address.
    #[error("a replay")]
    Replay,
    /// The datagram is authentic, but its payload was dropped. Either the payload was rejected as invalid, or
    /// too many bodies of shared state are already waiting for the caller. The second case is not the
    /// sender's fault.
    #[error("the payload was rejected")]
    Protocol,
}

impl DropReason {
    /// All reasons for dropping a datagram, in the order in which the server's log output lists the counts of
    /// dropped datagrams.
    pub const ALL: [DropReason; 9] = [
        DropReason::Short,
        DropReason::Oversized,
        DropReason::Magic,
        DropReason::Version,
        DropReason::Length,
        DropReason::Fleet,
        DropReason::Tag,
        DropReason::Replay,
        DropReason::Protocol,
    ];
}

/// Seals bodies into authenticated datagrams, and checks and opens received datagrams. Belongs to one fleet
/// and uses one key.
#[derive(Clone)]
pub struct Sealer {
    fleet: Vec<u8>,
    fleet_mark: [u8; 8],
    key: Hmac<Sha256>,
    body_max: usize,
}

impl Sealer {
    /// Creates a sealer that accepts bodies of at most `body_max` bytes. If `body_max` is higher than
    /// [`DATAGRAM_BYTES_MAX`] minus [`ENVELOPE_BYTES`], this lower limit applies instead.
    pub fn new(fleet: &str, key: &[u8], body_max: usize) -> Sealer {
        let digest = Sha256::digest(fleet.as_bytes());
        let mut fleet_mark = [0; 8];
        fleet_mark.copy_from_slice(&digest[..8]);
        let key = <Hmac<Sha256> as KeyInit>::new_from_slice(key).expect("HMAC accepts a key of any length");
        let body_max = body_max.min(DATAGRAM_BYTES_MAX - ENVELOPE_BYTES);
        Sealer { fleet: fleet.as_bytes().to_vec(), fleet_mark, key, body_max }
    }

    /// Maximum size of the body of a datagram that this sealer seals or opens, in bytes.
    pub fn body_max(&self) -> usize {
        self.body_max
    }

    /// Computes the HMAC over the fleet's name and `bytes` with the fleet's key. The HMAC is the
    /// authentication tag of a datagram.
    fn authenticate(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.key.clone();
        mac.update(&(self.fleet.len() as u32).to_le_bytes());
        mac.update(&self.fleet);
        mac.update(bytes);
        mac
    }

    /// Encloses a body in an authenticated datagram. Returns `None` if the body is longer than
    /// [`Sealer::body_max`].
    pub fn seal(&self, kind: PayloadKind, incarnation: u64, sequence: u64, body: &[u8]) -> Option<Vec<u8>> {
        if body.len() > self.body_max {
            return None;
        }
        let mut datagram = Vec::with_capacity(body.len() + ENVELOPE_BYTES);
        datagram.extend_from_slice(&MAGIC);
        datagram.push(VERSION);
        datagram.push(kind as u8);
        datagram.extend_from_slice(&self.fleet_mark);
        datagram.extend_from_slice(&incarnation.to_le_bytes());
        datagram.extend_from_slice(&sequence.to_le_bytes());
        datagram.extend_from_slice(&(body.len() as u16).to_le_bytes());
        datagram.extend_from_slice(body);
        let tag = self.authenticate(&datagram).finalize().into_bytes();
        datagram.extend_from_slice(&tag);
        Some(datagram)
    }

    /// Checks a received datagram and returns its content. Does not check for replays; the caller does.
    ///
    /// # Errors
    ///
    /// Returns the reason of the first failed check.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<OpenedDatagram<'a>, DropReason> {
        if datagram.len() > self.body_max + ENVELOPE_BYTES {
            return Err(DropReason::Oversized);
        }
        if datagram.len() < ENVELOPE_BYTES {
            return Err(DropReason::Short);
        }
        if datagram[MAGIC_RANGE] != MAGIC {
            return Err(DropReason::Magic);
        }
        if datagram[VERSION_OFFSET] != VERSION {
            return Err(DropReason::Version);
        }
        let kind = PayloadKind::from_byte(datagram[KIND_OFFSET]).ok_or(DropReason::Version)?;
        if datagram[FLEET_MARK] != self.fleet_mark {
            return Err(DropReason::Fleet);
        }
        let length = [datagram[BODY_LENGTH.start], datagram[BODY_LENGTH.start + 1]];
        let body_bytes = u16::from_le_bytes(length) as usize;
        if body_bytes + ENVELOPE_BYTES != datagram.len() {
            return Err(DropReason::Length);
        }
        let (sealed, tag) = datagram.split_at(HEADER_BYTES + body_bytes);
        // `verify_slice` compares the tags in constant time. Otherwise, the duration of the comparison would
        // reveal to an attacker how many bytes of a forged tag are correct.
        self.authenticate(sealed).verify_slice(tag).map_err(|_| DropReason::Tag)?;
        Ok(OpenedDatagram {
            kind,
            incarnation: read_u64(datagram, INCARNATION),
            sequence: read_u64(datagram, SEQUENCE),
            body: &sealed[HEADER_BYTES..],
        })
    }
}

fn read_u64(datagram: &[u8], range: Range<usize>) -> u64 {
    let bytes = datagram[range].try_into().expect("both numeric ranges of the header are 8 bytes long");
    u64::from_le_bytes(bytes)
}

/// The content of a datagram whose authentication tag matched.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// Kind of the payload in the datagram's body.
    pub kind: PayloadKind,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The datagram's sequence number. The sender numbers its datagrams within each incarnation.
    pub sequence: u64,
    /// The payload.
    pub body: &'a [u8],
}
