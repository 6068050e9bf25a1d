//! Invariants that must hold in every soak run, and the checks for them.

use crate::open_loop::ReplyCounts;
use std::time::Duration;

/// Client timeout in the configuration that the harness writes, in a run without faults. Each call must be
/// answered within this time.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(9_000);
/// Drain grace in the configuration that the harness writes. The server still runs calls that arrive within
/// this time after its drain notice.
pub const DRAIN_GRACE: Duration = Duration::from_millis(200);
/// Time after the drain notice at which the harness kills a server that still runs, in a run without faults.
pub const STOP_AFTER: Duration = Duration::from_millis(2_000);
/// Tolerance for time limits that are checked at a socket. The protocol allows such a limit to be exceeded by
/// this time.
pub const SLACK: Duration = Duration::from_millis(50);
/// Maximum number of open file descriptors of a server. A higher number violates an invariant.
pub const DESCRIPTORS_MAX: u64 = 256;
/// Maximum resident memory of a server, in KiB. A higher value violates an invariant.
pub const MEMORY_KB_MAX: u64 = 192 * 1024;

/// A violated invariant.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Violation {
    /// Calls were lost: their connections broke before the reply. A call that may have been in transit when
    /// the server closed the connection is not lost. If the server was killed, every call on a broken
    /// connection is lost.
    #[error("s{server}: {lost} calls without a reply: {replies:?}")]
    LostCalls {
        /// Index of the server.
        server: usize,
        /// Number of lost calls.
        lost: u64,
        /// Counts of the replies that the clients of the server received.
        replies: ReplyCounts,
    },
    /// Clients received replies for which no caller was waiting.
    #[error("s{server}: {replies} replies without a waiting call")]
    AnsweredTwice {
        /// Index of the server.
        server: usize,
        /// Number of unexpected replies.
        replies: u64,
    },
    /// A call was answered after its client timeout.
    #[error("s{server}: a reply after {slowest_ms} ms; server and machine stalled for {stopped:?}")]
    LateReply {
        /// Index of the server.
        server: usize,
        /// Longest time from the sending of a call to its reply, in milliseconds.
        slowest_ms: u64,
        /// Total time for which the server was stopped by SIGSTOP or the machine stalled.
        stopped: Duration,
    },
    /// A task ran a second time after its first run had ended.
    #[error("s{server}: {runs} repeated runs")]
    RanTwice {
        /// Index of the server.
        server: usize,
        /// Number of repeated runs.
        runs: u64,
    },
    /// A run began for a task that had begun one before, although the operation must not run twice.
    #[error("s{server}: {runs} runs of tasks that had begun before")]
    BeganTwice {
        /// Index of the server.
        server: usize,
        /// Number of such runs.
        runs: u64,
    },
    /// More runs were on the cores than the machine survives, on average over the window of the protocol.
    #[error("s{server}: {mean:.1} runs on the cores on average, {load:.2} of what the machine survives")]
    OverloadedCores {
        /// Index of the server.
        server: usize,
        /// Highest mean number of runs on the cores.
        mean: f64,
        /// The same as a share of what the machine survived at that time.
        load: f64,
    },
    /// A call succeeded although it was sent after the end of the server's drain grace.
    #[error("s{server}: a call succeeded that was sent {after_ms} ms after the drain notice")]
    RanAfterGrace {
        /// Index of the server.
        server: usize,
        /// Time between the drain notice and the sending of the call, in milliseconds.
        after_ms: u64,
    },
    /// The server still accepted connections immediately before the harness killed it. Before the kill, the
    /// process may still run to send its last replies, but it must not accept connections.
    #[error("s{server}: accepts connections at the kill; {counters}; {log:#?}")]
    AcceptsAtKill {
        /// Index of the server.
        server: usize,
        /// Counters that the server logged last.
        counters: String,
        /// Last lines of the server's log, oldest first.
        log: Vec<String>,
    },
    /// The process of the server did not exit with code 0.
    #[error("s{server}: ended with {status}")]
    ExitCode {
        /// Index of the server.
        server: usize,
        /// Exit status of the server.
        status: String,
    },
    /// The final counters of the server are inconsistent: the number of results differs from the number of
    /// invocations.
    #[error("s{server}: counters do not add up: {line}")]
    Counters {
        /// Index of the server.
        server: usize,
        /// Log line with the counters.
        line: String,
    },
    /// More calls were in flight at the downstream service than the shared budget allows.
    #[error("{most} concurrent calls of a budget of {total}")]
    OverBudget {
        /// Highest number of calls that were in flight at the downstream service at one time.
        most: u64,
        /// Maximum number of concurrent calls of all servers together, as set by the budget.
        total: u64,
    },
    /// A server exceeded its limit of open file descriptors or of resident memory.
    #[error("s{server}: {descriptors} descriptors, {memory_kb} KiB")]
    OverResourceLimit {
        /// Index of the server.
        server: usize,
        /// Highest number of open file descriptors that the harness observed at the server.
        descriptors: u64,
        /// Highest resident memory that the harness observed at the server, in KiB.
        memory_kb: u64,
    },
}

/// Totals of a soak run over all servers, for the report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Number of calls sent.
    pub sent: u64,
    /// Number of calls that succeeded.
    pub succeeded: u64,
    /// Number of calls that got no reply and may have been in transit when the server closed their
    /// connection.
    pub crossed: u64,
    /// Number of calls that were not sent because no connection was available.
    pub unsent: u64,
    /// Highest number of open file descriptors that the harness observed at any server.
    pub descriptors: u64,
    /// Total time for which the machine stalled, in milliseconds.
    pub stalled_ms: u64,
}

/// Returns the violations that the clients of one server observed. A missing reply is no violation if the
/// call may have been in transit when the server closed the connection. If the server was killed, this
/// exception does not apply, and every call on a broken connection counts as lost.
pub fn client_violations(
    server: usize,
    replies: &ReplyCounts,
    client_timeout: Duration,
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
    if Duration::from_millis(replies.slowest_ms) > client_timeout + SLACK + stopped {
        violations.push(Violation::LateReply { server, slowest_ms: replies.slowest_ms, stopped });
    }
    violations
}

/// Returns a violation if a call succeeded although it was sent after the end of the server's drain grace.
/// `drain_notice_ms` is the Unix time in milliseconds at which the server logged the drain notice.
pub fn grace_violation(server: usize, replies: &ReplyCounts, drain_notice_ms: u64) -> Option<Violation> {
    let after_ms = replies.last_success_sent_ms.saturating_sub(drain_notice_ms);
    let is_late = Duration::from_millis(after_ms) > DRAIN_GRACE + SLACK;
    is_late.then_some(Violation::RanAfterGrace { server, after_ms })
}

/// Returns a violation if the number of results differs from the number of invocations. `line` is the log
/// line with the final counters of a server.
pub fn counter_violation(server: usize, line: &str) -> Option<Violation> {
    let count = |name: &str| -> Option<u64> {
        line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    let ends = ["succeeded", "throttled", "errored", "unanswered"].iter().map(|name| count(name));
    let ends: Option<u64> = ends.sum();
    let adds_up = ends.is_some() && ends == count("invocations");
    (!adds_up).then(|| Violation::Counters { server, line: line.to_string() })
}
