//! Settings, options and load of the servers of a soak run.

use super::plan::Plan;
use crate::open_loop::LoadSettings;
use serde_json::{Value, json};
use std::time::Duration;

/// Maximum number of concurrent downstream calls of all servers together. This budget is set in runs with
/// several servers.
pub const BUDGET_TOTAL: u64 = 8;
/// Number of concurrent downstream calls that each server may make even without a lease on units of the
/// budget.
const BUDGET_FLOOR: u64 = 1;
/// Field that carries the idempotency key of a call.
const KEY_FIELD: &str = "token";

/// Returns the load of one server.
pub fn load(plan: &Plan, span: Duration, seed: u64) -> LoadSettings {
    let injected = plan.injected.as_ref();
    LoadSettings {
        rate: plan.rate * injected.map_or(1.0, |injected| injected.overload),
        work: plan.work..=plan.work,
        makes_calls: true,
        operations: vec!["load"],
        key_field: injected.filter(|injected| injected.effect == "by_key").map(|_| KEY_FIELD),
        keeps_draining_connections: injected.is_some_and(|injected| injected.keeps_draining_connections),
        span,
        seed,
    }
}

/// Returns the settings that differ from those of the harness.
pub fn settings(plan: &Plan) -> Vec<(&'static str, Value)> {
    let Some(injected) = &plan.injected else { return Vec::new() };
    let give_up = injected.client_timeout.as_micros() as u64;
    let operation = json!([{"name": "load", "effect": injected.effect, "target": give_up * 4 / 5,
        "give-up": give_up, "worth": 1.0, "window": 2 * give_up}]);
    vec![("grades", operation)]
}

pub fn tenants(change: u64) -> String {
    format!(r#"<tenants by="sender"><tenant name="1" weight="{}"/></tenants>"#, 1 + change)
}

pub fn options(plan: &Plan, change: u64) -> String {
    let has_keys = plan.injected.as_ref().is_some_and(|injected| injected.effect == "by_key");
    let keys = if has_keys { format!(r#"<tokens field="{KEY_FIELD}"/>"#) } else { String::new() };
    if plan.servers == 1 {
        return format!("{}{keys}", tenants(change));
    }
    let voters: String = (0..plan.servers).map(|server| format!(r#"<voter name="s{server}"/>"#)).collect();
    format!(
        r#"{}{keys}<shared-state gossip-ms="100"><budget name="records" total="{BUDGET_TOTAL}"
        floor="{BUDGET_FLOOR}" servers="{}" lease-ms="2000" use-most-ms="500">{voters}</budget>
        </shared-state>"#,
        tenants(change),
        plan.servers
    )
}
