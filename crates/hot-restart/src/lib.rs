//! Hot restart: a running server (the predecessor) hands over all its state and connections to a new process
//! (the successor), and resumes if the attempt fails. The protocol consists of two state machines without I/O
//! or clock, [`predecessor`] and [`successor`], and the [`frames`] between them. Inputs are events and the
//! time; outputs are actions for the caller.
//!
//! At any moment at most one process is active, that is, may answer, run, call, report and accept. The
//! predecessor is active until it freezes for the switch, and the successor is active from the release on.
//! During a trial after the release, the predecessor keeps everything it handed over, and the successor
//! announces each answer before sending it. If the attempt fails before the release, the predecessor resumes
//! at once, since the successor cannot have acted yet. After the release it resumes only when the successor
//! is known to be dead and all its announcements have been read.
//!
//! Design and alternatives: `docs/upgrades.md`. The server does not use this crate yet.
#![deny(missing_docs, clippy::too_many_lines)]

pub mod frames;
pub mod predecessor;
pub mod successor;

/// Time in nanoseconds on the caller's monotonic clock.
pub type Nanos = u64;

/// Protocol versions that this build supports, in ascending order.
pub const VERSIONS: &[u16] = &[1];

/// Reason why an upgrade failed or was not started.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum AbortReason {
    /// Another upgrade is in progress.
    #[error("another upgrade is in progress")]
    Busy,
    /// The last attempt failed, and the backoff has not expired.
    #[error("the last attempt failed; the next one is possible in {wait} ns")]
    Backoff {
        /// Time until the next attempt is possible, in nanoseconds.
        wait: Nanos,
    },
    /// The server is draining.
    #[error("the server is draining")]
    Draining,
    /// The successor chose a version that was not offered.
    #[error("the successor chose version {version}, which was not offered")]
    Version {
        /// The version that the successor chose.
        version: u16,
    },
    /// The successor refused, because of its configuration, because of the state it received, or because the
    /// predecessor did not complete a step in time.
    #[error("the successor refused: {reason}")]
    Refused {
        /// Reason that the successor gave.
        reason: String,
    },
    /// The successor did not complete a step in time.
    #[error("the successor did not respond in time")]
    Timeout,
    /// The successor exited or closed its end of the stream.
    #[error("the successor exited or closed the stream")]
    SuccessorExited,
    /// The successor sent bytes that are not a valid frame, or an unexpected frame.
    #[error("the successor sent bytes that are not a valid frame, or an unexpected frame")]
    ProtocolViolation,
}
