//! Reads a deployment, from the `path=value` lines a simulated instance starts with or from the same
//! object as nested JSON, which is first laid out as such lines.

use anyhow::{Context, Result, anyhow, bail};
use meadowstream_overload_control::{Advert, Below, Deployment, Effect, Halting, Nanos, Operation};
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
pub struct Read {
    pub deployment: Deployment,
    pub busy_gauge: Option<usize>,
    pub wanting_gauge: Option<usize>,
    /// What the operations are called, in the order of the deployment's.
    pub operation_names: Vec<String>,
    /// How long the answer of a read may be handed to others.
    pub share_reads_for: Nanos,
    /// Whether callers that give up are told of.
    pub tells_gone: bool,
    /// Whether an invocation says how long its caller still waits.
    pub passes_deadline: bool,
    /// Names of the tenants, in the order of their allowances.
    pub tenant_names: Vec<String>,
    /// This server's share of a dependency, whatever lies below.
    pub dependency_share: f64,
}

pub fn read_json(settings: &Value) -> Result<Read> {
    let mut pairs = Pairs::default();
    pairs.lay_out("", settings);
    decode(&pairs)
}

pub fn read(config: &str) -> Result<Read> {
    let mut pairs = Pairs::default();
    for line in config.lines().filter(|line| !line.is_empty()) {
        let (path, value) = line.split_once('=').with_context(|| format!("setting {line:?} has no '='"))?;
        pairs.0.insert(path.to_string(), value.to_string());
    }
    decode(&pairs)
}

fn decode(pairs: &Pairs) -> Result<Read> {
    let without_call = pairs.list("family-info.degraded-worth");
    let calls = pairs.list("family-info.class-calls");
    let (mut operations, mut operation_names) = (Vec::new(), Vec::new());
    for i in 0..pairs.get::<usize>("grades.count")? {
        let at = |field: &str| format!("grades.{i}.{field}");
        let effects = [
            ("repeatable", Effect::Idempotent),
            ("by_key", Effect::Tokened),
            ("once", Effect::NonIdempotent),
        ];
        let effect = pairs.choice(&at("effect"), &effects)?;
        let without_call_value = match without_call.get(i) {
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
            token_window: if effect == Effect::Tokened {
                pairs.span(&at("window"))?
            } else {
                pairs.span_or(&at("window"), 0)?
            },
            billed_value: pairs.number(&at("worth"))?,
            late_value: pairs.number_or_none(&at("late-worth"))?,
            without_call_value,
            calls: calls.get(i).is_none_or(|text| *text == "true"),
        });
    }
    if operations.is_empty() {
        bail!("setting grades.count: no operation");
    }
    let tenants = pairs.get_or("orgs.count", 0usize)?;
    let tenant_allowance =
        (0..tenants).map(|i| pairs.number(&format!("orgs.{i}.allowance-per-s"))).collect::<Result<_>>()?;
    let below = match pairs.text("family-info.below")? {
        "off" => Below::Nothing,
        "tier" => Below::Tier,
        "one_for_all" => Below::Shared {
            share: pairs.positive("family-info.dep-share")?,
            linger: pairs.span_or("family-info.lingers", 0)?,
            over: pairs.span("family-info.calls-over")?,
        },
        other => bail!("setting family-info.below: unknown choice {other:?}"),
    };
    let halts = [("off", Halting::Impossible), ("discard", Halting::Discards), ("freeze", Halting::Pauses)];
    let adverts = [
        ("off", Advert::Nothing),
        ("floor", Advert::Floor),
        ("allowance", Advert::Allowance),
        ("weight", Advert::Weight),
    ];
    let advised = pairs.get_or("limits.retry-after", false)?;
    let deployment = Deployment {
        operations,
        tenant_allowance,
        over_share_value: pairs.get_or("over-share-worth", 1.0)?,
        fair: None,
        peers: pairs.number("peers-total")?.max(1.0),
        callers: pairs.get_or("family-info.callers", 1.0f64)?.max(1.0),
        called_by_own: pairs.get_or("tier", 0u64)? > 0,
        cores: pairs.number("family-info.cores")?.max(1.0),
        memory_kb: pairs.number("family-info.memory-kb")?,
        run_memory: pairs.number("family-info.run-factor")?,
        entry_kb: pairs.number("family-info.entry-kb")?,
        halting: pairs.choice("family-info.preemption", &halts)?,
        below,
        advert: pairs.choice("family-info.say", &adverts)?,
        stay_away_max: if advised { pairs.span("limits.max-retry-after")? } else { 0 },
        idle_max: pairs.span("family-info.idle")?,
        retries_marked: pairs.get_or("clients.marks-retry", false)?,
        drain_grace: pairs.span("contract.drain-grace")?,
        answer_grace: pairs.span("contract.grace-to-answer")?,
        survivable_crowd: pairs.number("contract.fall-multiple")?,
        cold: pairs.get_or("family-info.fresh-start", false)?,
        cold_speed: pairs.number("contract.cold-from")?,
        reference: meadowstream_overload_control::REFERENCE,
        cold_for: pairs.span("contract.cold")?,
    };
    let gauges = pairs.list("family-info.own-stats");
    let place = |name: &str| gauges.iter().position(|gauge| *gauge == name);
    Ok(Read {
        deployment,
        busy_gauge: place("cpu_busy"),
        wanting_gauge: place("runnable"),
        operation_names,
        share_reads_for: pairs.span_or("family-info.share-for", 0)?,
        tells_gone: pairs.get_or("family-info.tells-gone", false)?,
        passes_deadline: pairs.get_or("family-info.passes-deadline", false)?,
        tenant_names: (0..tenants)
            .map(|i| pairs.get_or(&format!("orgs.{i}.name"), i.to_string()))
            .collect::<Result<_>>()?,
        dependency_share: pairs.number_or_none("family-info.dep-share")?,
    })
}
