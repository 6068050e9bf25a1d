//! Hot restart: a running server (the predecessor) hands over all its state and connections to a new process
//! (the successor). If the attempt fails, the predecessor resumes service.
//!
//! The protocol consists of two state machines without I/O or clock, [`predecessor`] and [`successor`], and
//! the [`frames`] between them. Inputs are events and the time; outputs are actions for the caller.
//!
//! At any moment at most one process is active. Only the active process may answer and run invocations, call
//! services, send reports and accept connections. The predecessor is active until it freezes for the switch,
//! and the successor is active from the release on. During a trial after the release, the predecessor keeps
//! everything it handed over, and the successor announces each answer before sending it. If the attempt fails
//! before the release, the predecessor resumes at once, since the successor cannot have acted yet. After the
//! release it resumes only when the successor is known to be dead and all its announcements have been read.
//!
//! Design and alternatives: `docs/upgrades.md`. The server does not use this crate yet.
#![deny(missing_docs, clippy::too_many_lines)]

pub mod frames;
pub mod predecessor;
pub mod successor;

/// A point in time or a duration, in nanoseconds. Points in time are readings of the caller's monotonic
/// clock.
pub type Nanos = u64;

/// Versions of the hot restart protocol that this build supports, in ascending order.
pub const VERSIONS: &[u16] = &[1];

/// Reason why an upgrade failed or was not started.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum AbortReason {
    /// Another upgrade is already in progress.
    #[error("another upgrade is in progress")]
    Busy,
    /// The last upgrade failed, and the delay before the next attempt (the backoff) has not ended yet.
    #[error("the last attempt failed; the next one is possible in {wait} ns")]
    Backoff {
        /// Time from now until the next upgrade is possible, in nanoseconds.
        wait: Nanos,
    },
    /// The server is draining.
    #[error("the server is draining")]
    Draining,
    /// The successor chose a protocol version that the predecessor had not offered.
    #[error("the successor chose version {version}, which was not offered")]
    Version {
        /// Protocol version that the successor chose.
        version: u16,
    },
    /// The successor refused the upgrade. Possible causes are the offered protocol versions, the successor's
    /// configuration, the received state, an invalid or unexpected message, or a step that the predecessor
    /// did not complete in time.
    #[error("the successor refused: {reason}")]
    Refused {
        /// Reason for the refusal, as sent by the successor.
        reason: String,
    },
    /// The successor did not complete a step of the upgrade in time.
    #[error("the successor did not respond in time")]
    Timeout,
    /// The successor's process exited, or the successor closed its end of the stream.
    #[error("the successor exited or closed the stream")]
    SuccessorExited,
    /// The successor sent bytes that are not a valid frame, or an unexpected frame.
    #[error("the successor sent bytes that are not a valid frame, or an unexpected frame")]
    ProtocolViolation,
}
