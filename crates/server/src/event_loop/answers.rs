//! Records the final answers to invocations in three places: the server's counters, the figures for a
//! rollout, and the counts that the fleet shares.

use crate::fleet::interval_report::AnswerOutcome;
use crate::resources::invocations::Invocation;
use crate::server::Server;
use crate::wire::rpc::Answer;
use meadowstream_overload_control::Nanos;

/// Records the final answer to an invocation in the server's counters, in the figures for a rollout, and in
/// the counts that the fleet shares.
pub fn record(server: &Server, invocation: &Invocation, answer: &Answer) {
    let counters = &server.counters;
    match answer {
        Answer::Succeeded(_) => counters.succeeded.add(),
        Answer::Rejected { .. } => counters.throttled.add(),
        _ => counters.errored.add(),
    }
    record_for_rollout(server, invocation, answer);
    count_for_fleet(server, invocation, answer);
}

fn record_for_rollout(server: &Server, invocation: &Invocation, answer: &Answer) {
    let Some(rollout) = &server.rollout else { return };
    let outcome = match answer {
        Answer::Succeeded(_) => AnswerOutcome::Succeeded,
        Answer::Rejected { .. } => AnswerOutcome::Rejected,
        _ => AnswerOutcome::Failed,
    };
    let latency = server.clock.age(invocation.arrival_unix_ms).max(0) as Nanos;
    let operations = &server.configuration.settings.deployment.operations;
    let late = latency > operations[invocation.operation].client_timeout;
    rollout.recorder.record_answer(invocation.operation, outcome, latency, late);
}

/// Adds a final answer to the counts that the servers of the fleet share. The names of these counts are part
/// of the protocol between servers, so they must not change.
fn count_for_fleet(server: &Server, invocation: &Invocation, answer: &Answer) {
    let Some(shared) = &server.shared else { return };
    let settings = &server.configuration.settings;
    let (operation, tenant) = (invocation.operation, invocation.counted_tenant.as_deref());
    let name = &settings.operation_names[operation];
    match answer {
        Answer::Succeeded(_) => {
            let billed_thousandths = settings.deployment.operations[operation].priority_weight * 1000.0;
            shared.count("succeeded", name, tenant, 1);
            shared.count("billed-thousandths", name, tenant, billed_thousandths.round().max(0.0) as u64);
        }
        Answer::Rejected { .. } => shared.count("throttled", name, tenant, 1),
        _ => shared.count("errored", name, tenant, 1),
    }
}
