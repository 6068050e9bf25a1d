//! How a running server hands all it has to a successor and takes it back where that fails: the protocol
//! between both as two state machines without I/O. Bytes, times and what becomes of the other process go in
//! as events; what is to be sent and done comes out. `docs/upgrades.md` names the ways weighed.
//!
//! Who may act (answer, run, call, report, accept) is never in doubt. The old one acts until it has frozen
//! for the switch; the new one from the release on. The old one keeps all it gave through the trial, and the
//! new one says of each answer that it will give it before it gives it. Only when the new one is known to be
//! dead and all it said has been read does the old one take everything back; before the release it goes on
//! at once, since the new one cannot have acted.

pub mod frames;
pub mod old;
pub mod successor;

pub type Nanos = u64;

/// Versions of the protocol that this build speaks, the latest last.
pub const VERSIONS: &[u16] = &[1];

/// Why an upgrade did not happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// One is under way.
    Busy,
    /// The last ones failed; not before so long.
    TooSoon(Nanos),
    /// The server was told to leave.
    Leaving,
    /// The new one speaks no version in common.
    Version,
    /// The new one refused, and says why: its configuration or the state it was given.
    Refused(String),
    /// It said nothing for too long.
    Late,
    /// It ended, or its end of the stream did.
    Gone,
    /// What it sent is no frame, or none that is due.
    Nonsense,
}
