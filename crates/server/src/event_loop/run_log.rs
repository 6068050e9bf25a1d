//! Log lines about runs: their start, the command to stop them, their end, and the counts by which the
//! controller admits further runs.

use crate::resources::invocations::Invocation;
use meadowstream_overload_control::controller::RunCounts;
use meadowstream_overload_control::{Gauges, Outcome};
use std::fmt;
use tracing::debug;

/// Reason for which the server tells the interpreter to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// The invocation was answered, so the result is not needed.
    Answered,
    /// The invocation was answered while its run waited for a downstream call. The call will not be made.
    CallAbandoned,
    /// No notice of the run came for so long that the run has probably been lost.
    PresumedLost,
    /// The notice of the run's end may be among notices that the interpreter no longer keeps.
    NoticesMissed,
    /// The window of the invocation's idempotency key has ended.
    KeyExpired,
    /// The controller requested an action that the protocols cannot express.
    Unsupported,
}

impl fmt::Display for StopCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Answered => "answered",
            Self::CallAbandoned => "call abandoned",
            Self::PresumedLost => "presumed lost",
            Self::NoticesMissed => "notices missed",
            Self::KeyExpired => "key expired",
            Self::Unsupported => "unsupported",
        })
    }
}

fn reference(invocation: &Invocation) -> String {
    format!("{:016x}", invocation.reference)
}

/// Logs that the interpreter was told to start a run.
pub fn begun(invocation: &Invocation) {
    debug!(reference = reference(invocation), operation = invocation.operation, "run begun");
}

/// Logs that the interpreter was told to stop a run.
pub fn stopping(invocation: &Invocation, cause: StopCause) {
    debug!(reference = reference(invocation), %cause, "run told to stop");
}

/// Logs the end of a run.
pub fn ended(invocation: &Invocation, outcome: Outcome) {
    let answered = invocation.is_answered;
    debug!(reference = reference(invocation), ?outcome, answered, "run ended");
}

/// Logs that a run is given up, because no notice of it may ever come. It may still be on the cores.
pub fn given_up(invocation: &Invocation) {
    debug!(reference = reference(invocation), "run given up");
}

/// Logs that a command to stop a run was received, and that no end of the run was reported.
pub fn stop_unconfirmed(invocation: &Invocation) {
    debug!(reference = reference(invocation), "stop of a run not confirmed");
}

/// Logs that a run is no longer counted as one that may be on the cores, because evidence has excluded it.
pub fn excluded(invocation: &Invocation) {
    debug!(reference = reference(invocation), "run excluded");
}

/// Logs the gauges of a control period and the counts by which the controller admits further runs.
pub fn control_period(gauges: Gauges, counts: &RunCounts) {
    let RunCounts { running, possible, open, limit, survivable, pending } = *counts;
    let Gauges { utilization, runnable } = gauges;
    debug!(running, possible, open, limit, survivable, pending, utilization, runnable, "control period");
}
