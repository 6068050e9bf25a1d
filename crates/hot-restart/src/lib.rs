//! Hot restart: a running server (the predecessor) hands all it has to a new process (the successor), and
//! takes it back if that fails. The protocol is two state machines without I/O or clock, [`predecessor`] and
//! [`successor`], and the [`frames`] between them. Events and the time go in; actions to carry out come out.
//!
//! At each moment at most one process is active, that is, may answer, run, call, report and accept. The
//! predecessor is active until it freezes for the switch, the successor from the release on. During a trial
//! after the release the predecessor keeps all it handed over, and the successor announces each answer before
//! it gives it. Before the release the predecessor resumes at once when the attempt fails, since the
//! successor cannot have acted. After it, only when the successor is known to be dead and all its
//! announcements are read.
//!
//! `docs/upgrades.md` has the design and the alternatives. The server does not use this crate yet.
#![deny(missing_docs, clippy::too_many_lines)]

pub mod frames;
pub mod predecessor;
pub mod successor;

/// Nanoseconds by the caller's clock, which does not go back.
pub type Nanos = u64;

/// Versions of the protocol that this build speaks, the latest last.
pub const VERSIONS: &[u16] = &[1];

/// Why an upgrade did not happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum AbortReason {
    /// Another upgrade is under way.
    #[error("another upgrade is under way")]
    Busy,
    /// The last attempts failed, and the backoff is not over.
    #[error("the last attempt failed; the next one is possible in {wait} ns")]
    Backoff {
        /// Time until an attempt is possible, in nanoseconds.
        wait: Nanos,
    },
    /// The server is draining.
    #[error("the server is draining")]
    Draining,
    /// The successor chose a version that was not offered.
    #[error("the successor speaks version {version}, which was not offered")]
    Version {
        /// The version that the successor chose.
        version: u16,
    },
    /// The successor refused, for a reason of its own: its configuration or the state it was sent, or the
    /// predecessor did not do a step in time.
    #[error("the successor refused: {reason}")]
    Refused {
        /// The successor's reason.
        reason: String,
    },
    /// The successor did not do its step in time.
    #[error("the successor did not respond in time")]
    Timeout,
    /// The successor exited, or its end of the stream was closed.
    #[error("the successor exited or closed the stream")]
    SuccessorGone,
    /// The successor sent bytes that are no frame, or a frame that is not expected.
    #[error("the successor sent bytes that are no frame, or a frame that is not expected")]
    ProtocolViolation,
}
