//! What has to hold in every run.

use crate::open_loop::ReplyCounts;
use std::time::Duration;

/// Time until which a call must be answered, by the configuration of the harness, and the protocol's slack.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(9_000);
/// Grace after the notice to leave in which calls are still run, by the same configuration.
pub const DRAIN_GRACE: Duration = Duration::from_millis(200);
/// Time from the notice to leave to the kill.
pub const STOP_AFTER: Duration = Duration::from_millis(2_000);
/// Time by which the protocol lets every limit be passed on sockets.
pub const SLACK: Duration = Duration::from_millis(50);
/// Descriptors and resident memory that a server may have.
pub const DESCRIPTORS_MAX: u64 = 256;
/// In KiB.
pub const MEMORY_KB_MAX: u64 = 192 * 1024;

/// A rule that was broken.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Violation {
    /// Calls whose connection ended without an answer, and that did not cross its end.
    #[error("s{server}: {lost} calls without an answer: {replies:?}")]
    Lost {
        /// The server.
        server: usize,
        /// How many.
        lost: u64,
        /// All replies of its clients.
        replies: ReplyCounts,
    },
    /// A call was answered twice.
    #[error("s{server}: {replies} answers that no call awaited")]
    AnsweredTwice {
        /// The server.
        server: usize,
        /// How many.
        replies: u64,
    },
    /// A call was answered after its time.
    #[error("s{server}: an answer after {slowest_ms} ms, stopped for {stopped:?}")]
    Late {
        /// The server.
        server: usize,
        /// The slowest answer.
        slowest_ms: u64,
        /// How long the server was stopped or the machine stood still, in all.
        stopped: Duration,
    },
    /// A run began again after it had ended.
    #[error("s{server}: {runs} runs began twice")]
    RanTwice {
        /// The server.
        server: usize,
        /// How many.
        runs: u64,
    },
    /// A call that was sent after the grace was run.
    #[error("s{server}: a call succeeded that was sent {after_ms} ms after the notice to leave")]
    RanAfterGrace {
        /// The server.
        server: usize,
        /// How long after.
        after_ms: u64,
    },
    /// The server still accepted connections when the kill was due. That it runs is allowed: its last answers
    /// are due right before.
    #[error("s{server}: accepts {STOP_AFTER:?} after the notice to leave; {invocations}; {log:#?}")]
    AcceptsAtKill {
        /// The server.
        server: usize,
        /// Its counters right before the kill.
        invocations: String,
        /// The end of its log.
        log: Vec<String>,
    },
    /// The server ended otherwise than with 0.
    #[error("s{server}: ended with {status}")]
    ExitCode {
        /// The server.
        server: usize,
        /// How.
        status: String,
    },
    /// Its counters do not add up.
    #[error("s{server}: counters do not add up: {line}")]
    Counters {
        /// The server.
        server: usize,
        /// The line of its log.
        line: String,
    },
    /// The service below had more calls at once than the budget.
    #[error("{most} calls at once of a budget of {total}")]
    OverBudget {
        /// Most at once.
        most: u64,
        /// The budget.
        total: u64,
    },
    /// A server held more descriptors or memory than it may.
    #[error("s{server}: {descriptors} descriptors, {memory_kb} KiB")]
    Resources {
        /// The server.
        server: usize,
        /// Most descriptors.
        descriptors: u64,
        /// Most memory, in KiB.
        memory_kb: u64,
    },
}

/// What a run amounts to, for the report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Calls sent.
    pub sent: u64,
    /// Succeeded.
    pub succeeded: u64,
    /// Calls that crossed the end of their connection.
    pub crossed: u64,
    /// Calls that were not sent, as no connection could be made.
    pub unsent: u64,
    /// Most descriptors of a server.
    pub descriptors: u64,
    /// How long the machine stood still, in milliseconds.
    pub stalled_ms: u64,
}

/// Breaches that the clients of one server saw. Calls may cross the end of a connection, but not the kill.
pub fn client_violations(
    server: usize,
    replies: &ReplyCounts,
    stopped: Duration,
    killed: bool,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let lost = if killed { replies.broken } else { replies.broken - replies.crossed };
    if lost > 0 {
        violations.push(Violation::Lost { server, lost, replies: *replies });
    }
    if replies.unexpected > 0 {
        violations.push(Violation::AnsweredTwice { server, replies: replies.unexpected });
    }
    if Duration::from_millis(replies.slowest_ms) > CLIENT_TIMEOUT + SLACK + stopped {
        violations.push(Violation::Late { server, slowest_ms: replies.slowest_ms, stopped });
    }
    violations
}

/// A violation where a call that was sent after the grace succeeded; `told_ms` is when the server was told to
/// leave, by its own log.
pub fn grace_violation(server: usize, replies: &ReplyCounts, told_ms: u64) -> Option<Violation> {
    let after_ms = replies.last_success_sent_ms.saturating_sub(told_ms);
    let is_late = Duration::from_millis(after_ms) > DRAIN_GRACE + SLACK;
    is_late.then_some(Violation::RanAfterGrace { server, after_ms })
}

/// A violation where the line that a server ends with shows invocations without an end, or more than one.
pub fn counter_violation(server: usize, line: &str) -> Option<Violation> {
    let count = |name: &str| -> Option<u64> {
        line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    let ends = ["succeeded", "throttled", "errored", "unanswered"].iter().map(|name| count(name));
    let ends: Option<u64> = ends.sum();
    let adds_up = ends.is_some() && ends == count("invocations");
    (!adds_up).then(|| Violation::Counters { server, line: line.to_string() })
}
