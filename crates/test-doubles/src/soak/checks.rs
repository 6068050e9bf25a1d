//! Invariants that hold in every soak run, and their checks.

use crate::open_loop::ReplyCounts;
use std::time::Duration;

/// Client timeout in the harness's configuration; each call must be answered within this time.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(9_000);
/// Grace in the harness's configuration: the time after the drain notice in which new calls still run.
pub const DRAIN_GRACE: Duration = Duration::from_millis(200);
/// Time from the drain notice until the server is killed.
pub const STOP_AFTER: Duration = Duration::from_millis(2_000);
/// Tolerance that the protocol allows on each time limit that is observed on sockets.
pub const SLACK: Duration = Duration::from_millis(50);
/// Limit on the open file descriptors of a server; a higher count violates an invariant.
pub const DESCRIPTORS_MAX: u64 = 256;
/// Limit on the resident memory of a server, in KiB; a higher value violates an invariant.
pub const MEMORY_KB_MAX: u64 = 192 * 1024;

/// A violated invariant.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Violation {
    /// Connections ended before their calls were answered, and the calls cannot have been in transit while
    /// the server closed the connection.
    #[error("s{server}: {lost} calls without a reply: {replies:?}")]
    LostCalls {
        /// Index of the server.
        server: usize,
        /// Number of lost calls.
        lost: u64,
        /// Reply counts of the server's clients.
        replies: ReplyCounts,
    },
    /// Clients received replies for which no call was waiting.
    #[error("s{server}: {replies} replies without a waiting call")]
    AnsweredTwice {
        /// Index of the server.
        server: usize,
        /// Number of unexpected replies.
        replies: u64,
    },
    /// A call was answered after the client timeout.
    #[error("s{server}: a reply after {slowest_ms} ms; server and machine stalled for {stopped:?}")]
    LateReply {
        /// Index of the server.
        server: usize,
        /// Longest time until a reply, in milliseconds.
        slowest_ms: u64,
        /// Total time for which the server was stopped or the machine stalled.
        stopped: Duration,
    },
    /// A task ran again after its run had ended.
    #[error("s{server}: {runs} repeated runs")]
    RanTwice {
        /// Index of the server.
        server: usize,
        /// Number of repeated runs.
        runs: u64,
    },
    /// A call ran although it was sent after the end of the drain grace.
    #[error("s{server}: a call succeeded that was sent {after_ms} ms after the drain notice")]
    RanAfterGrace {
        /// Index of the server.
        server: usize,
        /// Time from the drain notice until the call was sent, in milliseconds.
        after_ms: u64,
    },
    /// The server still accepted connections at the time when the harness kills it. Its process may still run
    /// at that time, because its last replies are due immediately before.
    #[error("s{server}: accepts connections {STOP_AFTER:?} after the drain notice; {counters}; {log:#?}")]
    AcceptsAtKill {
        /// Index of the server.
        server: usize,
        /// Last logged counters of the server.
        counters: String,
        /// Last lines of the server's log.
        log: Vec<String>,
    },
    /// The server did not exit with code 0.
    #[error("s{server}: ended with {status}")]
    ExitCode {
        /// Index of the server.
        server: usize,
        /// Exit status of the server.
        status: String,
    },
    /// The final counters of the server do not show one result for each invocation.
    #[error("s{server}: counters do not add up: {line}")]
    Counters {
        /// Index of the server.
        server: usize,
        /// Log line with the counters.
        line: String,
    },
    /// The downstream service had more concurrent calls than the budget allows.
    #[error("{most} concurrent calls of a budget of {total}")]
    OverBudget {
        /// Highest number of concurrent calls observed at the downstream service.
        most: u64,
        /// Number of concurrent calls that the budget allows to all servers together.
        total: u64,
    },
    /// A server exceeded its limit of file descriptors or memory.
    #[error("s{server}: {descriptors} descriptors, {memory_kb} KiB")]
    OverResourceLimit {
        /// Index of the server.
        server: usize,
        /// Highest number of open file descriptors observed at the server.
        descriptors: u64,
        /// Highest resident memory observed at the server, in KiB.
        memory_kb: u64,
    },
}

/// Totals of a soak run, for the report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Calls sent.
    pub sent: u64,
    /// Calls that succeeded.
    pub succeeded: u64,
    /// Calls that may have been in transit while the server closed their connection.
    pub crossed: u64,
    /// Calls that were not sent, because no connection was available.
    pub unsent: u64,
    /// Highest number of open file descriptors observed at any server.
    pub descriptors: u64,
    /// Total time for which the machine stalled, in milliseconds.
    pub stalled_ms: u64,
}

/// Returns the violations observed by the clients of one server. A call may stay without a reply if it may
/// have been in transit while the server closed the connection. This exception does not apply to a server
/// that was killed; each call on a broken connection to such a server counts as lost.
pub fn client_violations(
    server: usize,
    replies: &ReplyCounts,
    stopped: Duration,
    killed: bool,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let lost = if killed { replies.broken } else { replies.broken - replies.crossed };
    if lost > 0 {
        violations.push(Violation::LostCalls { server, lost, replies: *replies });
    }
    if replies.unexpected > 0 {
        violations.push(Violation::AnsweredTwice { server, replies: replies.unexpected });
    }
    if Duration::from_millis(replies.slowest_ms) > CLIENT_TIMEOUT + SLACK + stopped {
        violations.push(Violation::LateReply { server, slowest_ms: replies.slowest_ms, stopped });
    }
    violations
}

/// Returns a violation if a call succeeded that was sent after the drain grace. `drain_notice_ms` is the time
/// of the drain notice from the server's log.
pub fn grace_violation(server: usize, replies: &ReplyCounts, drain_notice_ms: u64) -> Option<Violation> {
    let after_ms = replies.last_success_sent_ms.saturating_sub(drain_notice_ms);
    let is_late = Duration::from_millis(after_ms) > DRAIN_GRACE + SLACK;
    is_late.then_some(Violation::RanAfterGrace { server, after_ms })
}

/// Returns a violation if the final counters in `line` show fewer or more results than invocations.
pub fn counter_violation(server: usize, line: &str) -> Option<Violation> {
    let count = |name: &str| -> Option<u64> {
        line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    let ends = ["succeeded", "throttled", "errored", "unanswered"].iter().map(|name| count(name));
    let ends: Option<u64> = ends.sum();
    let adds_up = ends.is_some() && ends == count("invocations");
    (!adds_up).then(|| Violation::Counters { server, line: line.to_string() })
}
