//! Reads [`DeploymentSettings`] from the platform's settings, each of which has a path such as
//! `grades.count`.

use crate::values::{Values, unreadable};
use crate::wire_words::{
    ADVERTISEMENTS, DOWNSTREAMS, DownstreamKind, EFFECTS, PREEMPTIONS, RUNNABLE_GAUGE, UTILIZATION_GAUGE,
};
use crate::{DeploymentSettings, SettingsError};
use meadowstream_overload_control::{Deployment, Downstream, Effect, Operation, TARGET_UTILIZATION};

/// Path of the platform's setting for the values of degraded answers. The setting lists a value for each
/// operation, as a ratio of the value of a full answer.
const DEGRADED_VALUES: &str = "family-info.degraded-worth";

/// Reads all settings.
pub fn read(values: &Values) -> Result<DeploymentSettings, SettingsError> {
    let operation_count: usize = values.parse("grades.count")?;
    let operations: Result<Vec<Operation>, SettingsError> =
        (0..operation_count).map(|i| operation(values, i)).collect();
    let operations = operations?;
    if operations.is_empty() {
        return Err(SettingsError::NoOperation);
    }
    let tenant_count = values.parse_or("orgs.count", 0)?;
    let gauges = values.list("family-info.own-stats");
    let gauge = |name: &str| gauges.iter().position(|gauge| *gauge == name);
    Ok(DeploymentSettings {
        deployment: deployment(values, operations, tenant_count)?,
        utilization_gauge: gauge(UTILIZATION_GAUGE),
        runnable_gauge: gauge(RUNNABLE_GAUGE),
        operation_names: names(values, "grades", operation_count)?,
        read_sharing_window: values.duration_or_zero("family-info.share-for")?,
        notifies_cancellation: values.parse_or("family-info.tells-gone", false)?,
        passes_deadline: values.parse_or("family-info.passes-deadline", false)?,
        tenant_names: names(values, "orgs", tenant_count)?,
        dependency_quota: values.number_or_zero("family-info.dep-share")?,
    })
}

/// Returns the names of the items of the list at the path `list`. If an item has no name, its index is used
/// as the name.
fn names(values: &Values, list: &str, count: usize) -> Result<Vec<String>, SettingsError> {
    (0..count).map(|i| values.parse_or(&format!("{list}.{i}.name"), i.to_string())).collect()
}

fn operation(values: &Values, i: usize) -> Result<Operation, SettingsError> {
    let path = |field: &str| format!("grades.{i}.{field}");
    let effect = values.choice(&path("effect"), EFFECTS)?;
    let has_key = effect == Effect::IdempotentWithKey;
    let degraded_value_ratio = degraded_value_ratio(values, i)?;
    let makes_calls = values.list("family-info.class-calls");
    Ok(Operation {
        effect,
        latency_objective: values.duration(&path("target"))?,
        client_timeout: values.duration(&path("give-up"))?,
        idempotency_window: if has_key {
            values.duration(&path("window"))?
        } else {
            values.duration_or_zero(&path("window"))?
        },
        priority_weight: values.number(&path("worth"))?,
        late_value: values.number_or_zero(&path("late-worth"))?,
        degraded_value_ratio,
        makes_calls: makes_calls.get(i).is_none_or(|text| *text == "true"),
    })
}

/// Reads the value of an operation's degraded answer, as a ratio (0 to 1) of the value of a full answer.
/// Returns 0 if the operation has no degraded answers.
fn degraded_value_ratio(values: &Values, operation: usize) -> Result<f64, SettingsError> {
    let ratios = values.list(DEGRADED_VALUES);
    let Some(text) = ratios.get(operation) else { return Ok(0.0) };
    match text.parse() {
        Ok(ratio) if (0.0..=1.0).contains(&ratio) => Ok(ratio),
        _ => Err(unreadable(DEGRADED_VALUES, text)),
    }
}

fn downstream(values: &Values) -> Result<Downstream, SettingsError> {
    Ok(match values.choice("family-info.below", DOWNSTREAMS)? {
        DownstreamKind::None => Downstream::None,
        DownstreamKind::Tier => Downstream::Tier,
        DownstreamKind::Shared => Downstream::Shared {
            quota: values.positive_number("family-info.dep-share")?,
            linger: values.duration_or_zero("family-info.lingers")?,
            window: values.duration("family-info.calls-over")?,
        },
    })
}

/// Reads the settings of the overload controller in a fixed order. If several settings are invalid, the error
/// is about the first of them in this order.
fn deployment(
    values: &Values,
    operations: Vec<Operation>,
    tenant_count: usize,
) -> Result<Deployment, SettingsError> {
    let allowance = |i: usize| values.number(&format!("orgs.{i}.allowance-per-s"));
    let tenant_allowance = (0..tenant_count).map(allowance).collect::<Result<_, _>>()?;
    let downstream = downstream(values)?;
    let has_retry_after = values.parse_or("limits.retry-after", false)?;
    Ok(Deployment {
        operations,
        tenant_allowance,
        downstream,
        over_quota_value_ratio: values.parse_or("over-share-worth", 1.0)?,
        fair_queueing: None,
        peers: values.number("peers-total")?.max(1.0),
        callers: values.parse_or("family-info.callers", 1.0f64)?.max(1.0),
        is_downstream_tier: values.parse_or("tier", 0u64)? > 0,
        cores: values.number("family-info.cores")?.max(1.0),
        memory_kb: values.number("family-info.memory-kb")?,
        run_memory_factor: values.number("family-info.run-factor")?,
        idempotency_entry_kb: values.number("family-info.entry-kb")?,
        preemption: values.choice("family-info.preemption", PREEMPTIONS)?,
        advertisement: values.choice("family-info.say", ADVERTISEMENTS)?,
        retry_after_max: if has_retry_after { values.duration("limits.max-retry-after")? } else { 0 },
        idle_timeout_max: values.duration("family-info.idle")?,
        retries_marked: values.parse_or("clients.marks-retry", false)?,
        drain_grace: values.duration("contract.drain-grace")?,
        answer_grace: values.duration("contract.grace-to-answer")?,
        survivable_concurrency_ratio: values.number("contract.fall-multiple")?,
        starts_cold: values.parse_or("family-info.fresh-start", false)?,
        cold_speed_ratio: values.number("contract.cold-from")?,
        target_utilization: TARGET_UTILIZATION,
        warm_up: values.duration("contract.cold")?,
    })
}
