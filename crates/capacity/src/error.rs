//! Errors of the model and of measurements on processes.

use meadowstream_membership::MembershipError;
use meadowstream_replication::member::SettingsError as ReplicationSettingsError;
use meadowstream_shared_state::SettingsError as SharedStateSettingsError;
use std::path::PathBuf;
use std::time::Duration;

/// Settings that one of the model's cores does not accept.
#[derive(Debug, thiserror::Error)]
pub enum ModelError {
    /// Those of the fleet's view.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// Those of shared state.
    #[error(transparent)]
    SharedState(#[from] SharedStateSettingsError),
    /// Those of replicated configuration.
    #[error(transparent)]
    Replication(#[from] ReplicationSettingsError),
}

/// A measurement that could not be made.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The model did not start.
    #[error("the model refuses its settings: {0}")]
    Model(#[from] ModelError),
    /// The program did not start.
    #[error("cannot start {}", program.display())]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
    /// The program ended while a line of its log was waited for.
    #[error("the program has ended: {messages:?}")]
    Ended {
        /// The messages of its log.
        messages: Vec<String>,
    },
    /// A line of the program's log did not come.
    #[error("no {message:?} in the log within {within:?}, but {messages:?}")]
    NoLogLine {
        /// The message that was waited for.
        message: String,
        /// For how long.
        within: Duration,
        /// The messages of its log.
        messages: Vec<String>,
    },
    /// A line of the program's log lacks a field, or has another value than an address there.
    #[error("no address in the field {field:?} of {message:?} in the log")]
    NoAddress {
        /// The line's message.
        message: &'static str,
        /// The field.
        field: &'static str,
    },
    /// A file of /proc is not as expected.
    #[error("no {field} in {}", file.display())]
    NoProcField {
        /// The file.
        file: PathBuf,
        /// The field.
        field: &'static str,
    },
    /// A process could not be signalled.
    #[error("kill -{signal} {process} failed")]
    Signal {
        /// Name of the signal.
        signal: &'static str,
        /// Id of the process.
        process: u32,
    },
    /// A health check was not answered.
    #[error("no answer to a health check on connection {connection}")]
    NoHealthCheck {
        /// The connection's number.
        connection: usize,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
    /// The program closed a connection.
    #[error("connection {connection} was closed")]
    ConnectionClosed {
        /// The connection's number.
        connection: usize,
    },
    /// Processes did not come to see each other.
    #[error("no one view of {processes} processes within {} s", within.as_secs())]
    NotConverged {
        /// Number of processes.
        processes: usize,
        /// For how long that was waited for.
        within: Duration,
    },
    /// A file, a socket or a process failed.
    #[error("{action}")]
    Io {
        /// What failed.
        action: &'static str,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
    /// A histogram could not be made.
    #[error("a histogram cannot be made")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A figure was out of a histogram's range.
    #[error("a histogram takes no such figure")]
    Record(#[from] hdrhistogram::RecordError),
}

/// Maps the error of a system call to [`MeasureError::Io`].
pub(crate) fn io_error(action: &'static str) -> impl FnOnce(std::io::Error) -> MeasureError {
    move |source| MeasureError::Io { action, source }
}
