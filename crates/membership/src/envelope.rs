//! The datagram around each SWIM message: versioned, length-checked, tagged with HMAC-SHA256 over the
//! fleet's name and every byte before the tag, and numbered against replays. Peers are untrusted: a datagram
//! that fails any check is dropped with its reason counted, never a panic.
//!
//! Layout of version 1, integers little-endian (30 bytes of head, the body, 32 bytes of tag):
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..2 | `MS`, the magic |
//! | 2 | version, 1 |
//! | 3 | kind: 0 SWIM, 1 exchange of views, 2 shared state |
//! | 4..12 | fleet mark: the first 8 bytes of SHA-256 of the fleet's name |
//! | 12..20 | the sender's incarnation (of its identity, raised at each start) |
//! | 20..28 | the sender's sequence number within that incarnation |
//! | 28..30 | length of the body in bytes |
//! | 30..30+len | the body in postcard: foca's message, an [`crate::messages::AntiEntropyMessage`], or shared state |
//! | then 32 | HMAC-SHA256(key, fleet name, bytes 0..30+len) |

use hmac::{Hmac, KeyInit, Mac};
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::net::SocketAddr;

pub const MAGIC: [u8; 2] = *b"MS";
pub const VERSION: u8 = 1;

/// What the body of a datagram is. A kind that a build does not know is dropped as [`DropReason::Version`], so
/// that an older server in the fleet goes on beside a newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PayloadKind {
    Swim = 0,
    AntiEntropy = 1,
    SharedState = 2,
}

impl PayloadKind {
    fn read(byte: u8) -> Option<PayloadKind> {
        [PayloadKind::Swim, PayloadKind::AntiEntropy, PayloadKind::SharedState]
            .into_iter()
            .find(|kind| *kind as u8 == byte)
    }
}

pub const HEADER_BYTES: usize = 30;
pub const TAG_BYTES: usize = 32;
/// The largest UDP payload over IPv4.
pub const DATAGRAM_BYTES_MAX: usize = 65_507;
/// How many sequence numbers behind the highest seen are still taken once each.
const WINDOW: u64 = 64;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum DropReason {
    /// Shorter than a head and a tag.
    Short,
    /// Longer than the body allowed by the settings, or than UDP allows.
    Oversized,
    /// Not our magic.
    Magic,
    /// A version that this build does not speak.
    Version,
    /// The declared length is not what came.
    Length,
    /// The mark of another fleet.
    Fleet,
    /// The tag does not match: forged, corrupted, or another key.
    Tag,
    /// A sequence number already taken, too old, or an incarnation older than one seen from that address.
    Replay,
    /// Authentic, but foca refused the message in it.
    Protocol,
}

impl DropReason {
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

    pub fn name(self) -> &'static str {
        match self {
            DropReason::Short => "short",
            DropReason::Oversized => "oversized",
            DropReason::Magic => "magic",
            DropReason::Version => "version",
            DropReason::Length => "length",
            DropReason::Fleet => "fleet",
            DropReason::Tag => "tag",
            DropReason::Replay => "replay",
            DropReason::Protocol => "protocol",
        }
    }
}

/// Seals and opens datagrams of one fleet under one key.
#[derive(Clone)]
pub struct Sealer {
    fleet: Vec<u8>,
    mark: [u8; 8],
    key: Hmac<Sha256>,
    body_max: usize,
}

impl Sealer {
    /// `body_max` in bytes, at most `DATAGRAM_BYTES_MAX - HEADER_BYTES - TAG_BYTES`.
    pub fn new(fleet: &str, key: &[u8], body_max: usize) -> Sealer {
        let digest = Sha256::digest(fleet.as_bytes());
        let mut mark = [0; 8];
        mark.copy_from_slice(&digest[..8]);
        let key = <Hmac<Sha256> as KeyInit>::new_from_slice(key).expect("HMAC takes a key of any length");
        Sealer {
            fleet: fleet.as_bytes().to_vec(),
            mark,
            key,
            body_max: body_max.min(DATAGRAM_BYTES_MAX - HEADER_BYTES - TAG_BYTES),
        }
    }

    pub fn body_max(&self) -> usize {
        self.body_max
    }

    fn tag(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.key.clone();
        mac.update(&(self.fleet.len() as u32).to_le_bytes());
        mac.update(&self.fleet);
        mac.update(bytes);
        mac
    }

    /// The datagram for `body`; `None` where the body is longer than allowed.
    pub fn seal(&self, kind: PayloadKind, incarnation: u64, sequence: u64, body: &[u8]) -> Option<Vec<u8>> {
        if body.len() > self.body_max {
            return None;
        }
        let mut out = Vec::with_capacity(HEADER_BYTES + body.len() + TAG_BYTES);
        out.extend_from_slice(&MAGIC);
        out.push(VERSION);
        out.push(kind as u8);
        out.extend_from_slice(&self.mark);
        out.extend_from_slice(&incarnation.to_le_bytes());
        out.extend_from_slice(&sequence.to_le_bytes());
        out.extend_from_slice(&(body.len() as u16).to_le_bytes());
        out.extend_from_slice(body);
        let tag = self.tag(&out).finalize().into_bytes();
        out.extend_from_slice(&tag);
        Some(out)
    }

    /// The sender's incarnation, sequence number and body, where every check but the replay check passes.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<Opened<'a>, DropReason> {
        if datagram.len() > DATAGRAM_BYTES_MAX || datagram.len() > HEADER_BYTES + self.body_max + TAG_BYTES {
            return Err(DropReason::Oversized);
        }
        if datagram.len() < HEADER_BYTES + TAG_BYTES {
            return Err(DropReason::Short);
        }
        if datagram[0..2] != MAGIC {
            return Err(DropReason::Magic);
        }
        let kind =
            PayloadKind::read(datagram[3]).filter(|_| datagram[2] == VERSION).ok_or(DropReason::Version)?;
        if datagram[4..12] != self.mark {
            return Err(DropReason::Fleet);
        }
        let len = u16::from_le_bytes([datagram[28], datagram[29]]) as usize;
        if HEADER_BYTES + len + TAG_BYTES != datagram.len() {
            return Err(DropReason::Length);
        }
        let (sealed, tag) = datagram.split_at(HEADER_BYTES + len);
        // verify_slice compares in constant time.
        self.tag(sealed).verify_slice(tag).map_err(|_| DropReason::Tag)?;
        let word = |at: usize| u64::from_le_bytes(datagram[at..at + 8].try_into().expect("8 bytes"));
        Ok(Opened { kind, incarnation: word(12), sequence: word(20), body: &sealed[HEADER_BYTES..] })
    }
}

/// What an authentic datagram carries.
#[derive(Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    pub kind: PayloadKind,
    pub incarnation: u64,
    pub sequence: u64,
    pub body: &'a [u8],
}

/// Which sequence numbers each address has used, to take each authentic datagram once: the highest
/// incarnation seen, its highest sequence number, and a window of the 64 below it. Bounded in addresses;
/// the one heard from longest ago goes first.
#[derive(Debug, Default)]
pub struct ReplayWindows {
    seen: HashMap<SocketAddr, Seen>,
    limit: usize,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    incarnation: u64,
    highest: u64,
    window: u64,
    heard: u64,
}

impl ReplayWindows {
    pub fn new(limit: usize) -> ReplayWindows {
        ReplayWindows { seen: HashMap::new(), limit: limit.max(1) }
    }

    /// Whether a datagram so numbered from `from` is new; records it if so. `heard` orders evictions.
    pub fn take(&mut self, from: SocketAddr, incarnation: u64, sequence: u64, heard: u64) -> bool {
        if !self.seen.contains_key(&from) && self.seen.len() >= self.limit {
            let oldest = self.seen.iter().min_by_key(|(_, s)| s.heard).map(|(a, _)| *a);
            if let Some(oldest) = oldest {
                self.seen.remove(&oldest);
            }
        }
        let fresh = Seen { incarnation, highest: sequence, window: 1, heard };
        let seen = self.seen.entry(from).or_insert(Seen { incarnation, highest: sequence, window: 0, heard });
        if incarnation < seen.incarnation {
            return false;
        }
        if incarnation > seen.incarnation {
            *seen = fresh;
            return true;
        }
        seen.heard = heard;
        if sequence > seen.highest {
            let shift = sequence - seen.highest;
            seen.window = if shift >= WINDOW { 0 } else { seen.window << shift };
            seen.window |= 1;
            seen.highest = sequence;
            return true;
        }
        let behind = seen.highest - sequence;
        if behind >= WINDOW || seen.window & (1 << behind) != 0 {
            return false;
        }
        seen.window |= 1 << behind;
        true
    }

    pub fn len(&self) -> usize {
        self.seen.len()
    }

    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}
