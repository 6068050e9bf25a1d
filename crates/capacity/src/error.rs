//! Errors of the fleet model and of measurements on real processes.

use meadowstream_membership::MembershipError;
use meadowstream_replication::member::SettingsError as ReplicationSettingsError;
use meadowstream_shared_state::SettingsError as SharedStateSettingsError;
use std::path::PathBuf;
use std::time::Duration;

/// Error for invalid settings of a server in the fleet model.
#[derive(Debug, thiserror::Error)]
pub enum ModelError {
    /// Invalid membership settings.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// Invalid shared state settings.
    #[error(transparent)]
    SharedState(#[from] SharedStateSettingsError),
    /// Invalid replication settings.
    #[error(transparent)]
    Replication(#[from] ReplicationSettingsError),
}

/// Reason why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The fleet model rejected the settings of a server.
    #[error("invalid settings for the fleet model: {0}")]
    Model(#[from] ModelError),
    /// The operating system could not start the program.
    #[error("cannot start {}", program.display())]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// Error returned by the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The program exited before it logged an expected message.
    #[error("the program exited before it logged an expected message; it logged {messages:?}")]
    Ended {
        /// Distinct messages in the program's log.
        messages: Vec<String>,
    },
    /// The program did not log an expected message within the time limit.
    #[error("the program did not log {message:?} within {within:?}; it logged {messages:?}")]
    NoLogLine {
        /// Expected message.
        message: String,
        /// Time limit for the message to be logged.
        within: Duration,
        /// Distinct messages in the program's log.
        messages: Vec<String>,
    },
    /// A log line of the program has no address in an expected field. The field is missing, or its value is
    /// not an address.
    #[error("log line {message:?} has no address in the field {field:?}")]
    NoAddress {
        /// Message of the log line.
        message: &'static str,
        /// Name of the field.
        field: &'static str,
    },
    /// A file in /proc does not contain an expected field.
    #[error("no field {field} in {}", file.display())]
    NoProcField {
        /// Path of the file in /proc.
        file: PathBuf,
        /// Name of the missing field.
        field: &'static str,
    },
    /// A signal could not be sent to a process.
    #[error("kill -{signal} {process} failed")]
    Signal {
        /// Name of the signal without the prefix `SIG`.
        signal: &'static str,
        /// Process id.
        process: u32,
    },
    /// The program did not answer a health check.
    #[error("no answer to a health check on connection {connection}")]
    NoHealthCheck {
        /// Index of the connection, counted from 0 in the order in which connections were opened.
        connection: usize,
        /// Error returned by the read from the connection.
        #[source]
        source: std::io::Error,
    },
    /// The program closed a connection.
    #[error("the program closed connection {connection}")]
    ConnectionClosed {
        /// Index of the connection, counted from 0 in the order in which connections were opened.
        connection: usize,
    },
    /// The membership views of the processes did not converge within the time limit.
    #[error("membership of {processes} processes did not converge within {} s", within.as_secs())]
    NotConverged {
        /// Number of processes in the fleet.
        processes: usize,
        /// Time limit for the convergence of the membership views.
        within: Duration,
    },
    /// An operation on a file, a socket or a process failed.
    #[error("cannot {action}")]
    Io {
        /// Verb phrase that describes the failed operation, such as "open a connection".
        action: &'static str,
        /// Error returned by the operating system.
        #[source]
        source: std::io::Error,
    },
    /// A histogram could not be created.
    #[error("cannot create a histogram")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A measured value was outside the range of a histogram.
    #[error("value outside the range of the histogram")]
    Record(#[from] hdrhistogram::RecordError),
}

/// Returns a function that converts an I/O error to [`MeasureError::Io`], for use with `map_err`. `action`
/// describes the failed operation.
pub(crate) fn io_error(action: &'static str) -> impl FnOnce(std::io::Error) -> MeasureError {
    move |source| MeasureError::Io { action, source }
}
