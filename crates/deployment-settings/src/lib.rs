//! Reads a deployment, from the `path=value` lines a simulated instance starts with or from the same
//! object as nested JSON, which is first laid out as such lines.

use anyhow::{Context, Result, anyhow, bail};
use meadowstream_overload_control::{
    Advertisement, Deployment, Downstream, Effect, Nanos, Operation, Preemption,
};
use serde_json::Value;
use std::collections::HashMap;
use std::str::FromStr;

#[derive(Default)]
struct Pairs(HashMap<String, String>);

impl Pairs {
    fn text(&self, path: &str) -> Result<&str> {
        self.0.get(path).map(String::as_str).with_context(|| format!("setting {path} is missing"))
    }

    fn get<T: FromStr>(&self, path: &str) -> Result<T> {
        let text = self.text(path)?;
        text.parse().map_err(|_| anyhow!("setting {path}: cannot read {text:?}"))
    }

    fn get_or<T: FromStr>(&self, path: &str, absent: T) -> Result<T> {
        if self.0.contains_key(path) { self.get(path) } else { Ok(absent) }
    }

    fn number(&self, path: &str) -> Result<f64> {
        let number: f64 = self.get(path)?;
        if !number.is_finite() || number < 0.0 {
            bail!("setting {path}: {number} is out of range");
        }
        Ok(number)
    }

    /// 0 where it is absent.
    fn number_or_none(&self, path: &str) -> Result<f64> {
        if self.0.contains_key(path) { self.number(path) } else { Ok(0.0) }
    }

    fn positive(&self, path: &str) -> Result<f64> {
        let number = self.number(path)?;
        if number <= 0.0 { bail!("setting {path}: {number} is out of range") } else { Ok(number) }
    }

    fn span(&self, path: &str) -> Result<Nanos> {
        let micros: u64 = self.get(path)?;
        micros.checked_mul(1000).with_context(|| format!("setting {path}: {micros} is out of range"))
    }

    fn span_or(&self, path: &str, absent: Nanos) -> Result<Nanos> {
        if self.0.contains_key(path) { self.span(path) } else { Ok(absent) }
    }

    fn choice<T: Copy>(&self, path: &str, choices: &[(&str, T)]) -> Result<T> {
        let text = self.text(path)?;
        let found = choices.iter().find(|(name, _)| *name == text);
        found.map(|(_, choice)| *choice).with_context(|| format!("setting {path}: unknown choice {text:?}"))
    }

    fn list(&self, path: &str) -> Vec<&str> {
        self.0.get(path).map(|text| text.split(',').filter(|x| !x.is_empty()).collect()).unwrap_or_default()
    }

    /// Lays out nested JSON: lists of plain values are joined by commas, lists of objects counted.
    fn lay_out(&mut self, path: &str, value: &Value) {
        let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match value {
            Value::Null => {}
            Value::Object(fields) => {
                fields.iter().for_each(|(name, field)| self.lay_out(&below(name), field));
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(below("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(i, item)| self.lay_out(&below(&i.to_string()), item));
            }
            Value::Array(items) => {
                let texts: Vec<String> = items.iter().map(plain).collect();
                self.0.insert(path.to_string(), texts.join(","));
            }
            _ => {
                self.0.insert(path.to_string(), plain(value));
            }
        }
    }
}

/// Spaces and commas become `_`, as in the lines.
fn plain(value: &Value) -> String {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    text.replace([' ', ','], "_")
}

/// A deployment, and where among the gauges those stand that the module reads.
pub struct DeploymentSettings {
    pub deployment: Deployment,
    pub utilization_gauge: Option<usize>,
    pub runnable_gauge: Option<usize>,
    /// What the operations are called, in the order of the deployment's.
    pub operation_names: Vec<String>,
    /// How long the answer of a read may be handed to others.
    pub read_sharing_window: Nanos,
    /// Whether callers that give up are told of.
    pub notifies_cancellation: bool,
    /// Whether an invocation says how long its caller still waits.
    pub passes_deadline: bool,
    /// Names of the tenants, in the order of their allowances.
    pub tenant_names: Vec<String>,
    /// This server's share of a dependency, whatever lies below.
    pub dependency_quota: f64,
}

pub fn read_json(settings: &Value) -> Result<DeploymentSettings> {
    let mut pairs = Pairs::default();
    pairs.lay_out("", settings);
    decode(&pairs)
}

pub fn read(config: &str) -> Result<DeploymentSettings> {
    let mut pairs = Pairs::default();
    for line in config.lines().filter(|line| !line.is_empty()) {
        let (path, value) = line.split_once('=').with_context(|| format!("setting {line:?} has no '='"))?;
        pairs.0.insert(path.to_string(), value.to_string());
    }
    decode(&pairs)
}

fn decode(pairs: &Pairs) -> Result<DeploymentSettings> {
    let without_call = pairs.list("family-info.degraded-worth");
    let calls = pairs.list("family-info.class-calls");
    let (mut operations, mut operation_names) = (Vec::new(), Vec::new());
    for i in 0..pairs.get::<usize>("grades.count")? {
        let at = |field: &str| format!("grades.{i}.{field}");
        let effects = [
            ("repeatable", Effect::Idempotent),
            ("by_key", Effect::IdempotentWithKey),
            ("once", Effect::NonIdempotent),
        ];
        let effect = pairs.choice(&at("effect"), &effects)?;
        let degraded_value_ratio = match without_call.get(i) {
            Some(text) => {
                let share = text.parse().ok().filter(|share: &f64| (0.0..=1.0).contains(share));
                share.with_context(|| format!("setting family-info.degraded-worth: cannot read {text:?}"))?
            }
            None => 0.0,
        };
        operation_names.push(pairs.get_or(&at("name"), i.to_string())?);
        operations.push(Operation {
            effect,
            latency_objective: pairs.span(&at("target"))?,
            client_timeout: pairs.span(&at("give-up"))?,
            idempotency_window: if effect == Effect::IdempotentWithKey {
                pairs.span(&at("window"))?
            } else {
                pairs.span_or(&at("window"), 0)?
            },
            priority_weight: pairs.number(&at("worth"))?,
            late_value: pairs.number_or_none(&at("late-worth"))?,
            degraded_value_ratio,
            makes_calls: calls.get(i).is_none_or(|text| *text == "true"),
        });
    }
    if operations.is_empty() {
        bail!("setting grades.count: no operation");
    }
    let tenants = pairs.get_or("orgs.count", 0usize)?;
    let tenant_allowance =
        (0..tenants).map(|i| pairs.number(&format!("orgs.{i}.allowance-per-s"))).collect::<Result<_>>()?;
    let downstream = match pairs.text("family-info.below")? {
        "off" => Downstream::None,
        "tier" => Downstream::Tier,
        "one_for_all" => Downstream::Shared {
            quota: pairs.positive("family-info.dep-share")?,
            linger: pairs.span_or("family-info.lingers", 0)?,
            window: pairs.span("family-info.calls-over")?,
        },
        other => bail!("setting family-info.below: unknown choice {other:?}"),
    };
    let halts =
        [("off", Preemption::Unsupported), ("discard", Preemption::Discards), ("freeze", Preemption::Pauses)];
    let adverts = [
        ("off", Advertisement::None),
        ("floor", Advertisement::MinimumRank),
        ("allowance", Advertisement::ConcurrencyAllowance),
        ("weight", Advertisement::Weight),
    ];
    let advised = pairs.get_or("limits.retry-after", false)?;
    let deployment = Deployment {
        operations,
        tenant_allowance,
        over_quota_value_ratio: pairs.get_or("over-share-worth", 1.0)?,
        fair_queueing: None,
        peers: pairs.number("peers-total")?.max(1.0),
        callers: pairs.get_or("family-info.callers", 1.0f64)?.max(1.0),
        is_downstream_tier: pairs.get_or("tier", 0u64)? > 0,
        cores: pairs.number("family-info.cores")?.max(1.0),
        memory_kb: pairs.number("family-info.memory-kb")?,
        run_memory_factor: pairs.number("family-info.run-factor")?,
        idempotency_entry_kb: pairs.number("family-info.entry-kb")?,
        preemption: pairs.choice("family-info.preemption", &halts)?,
        downstream,
        advertisement: pairs.choice("family-info.say", &adverts)?,
        retry_after_max: if advised { pairs.span("limits.max-retry-after")? } else { 0 },
        idle_timeout_max: pairs.span("family-info.idle")?,
        retries_marked: pairs.get_or("clients.marks-retry", false)?,
        drain_grace: pairs.span("contract.drain-grace")?,
        answer_grace: pairs.span("contract.grace-to-answer")?,
        survivable_concurrency_ratio: pairs.number("contract.fall-multiple")?,
        starts_cold: pairs.get_or("family-info.fresh-start", false)?,
        cold_speed_ratio: pairs.number("contract.cold-from")?,
        target_utilization: meadowstream_overload_control::TARGET_UTILIZATION,
        warm_up: pairs.span("contract.cold")?,
    };
    let gauges = pairs.list("family-info.own-stats");
    let place = |name: &str| gauges.iter().position(|gauge| *gauge == name);
    Ok(DeploymentSettings {
        deployment,
        utilization_gauge: place("cpu_busy"),
        runnable_gauge: place("runnable"),
        operation_names,
        read_sharing_window: pairs.span_or("family-info.share-for", 0)?,
        notifies_cancellation: pairs.get_or("family-info.tells-gone", false)?,
        passes_deadline: pairs.get_or("family-info.passes-deadline", false)?,
        tenant_names: (0..tenants)
            .map(|i| pairs.get_or(&format!("orgs.{i}.name"), i.to_string()))
            .collect::<Result<_>>()?,
        dependency_quota: pairs.number_or_none("family-info.dep-share")?,
    })
}
