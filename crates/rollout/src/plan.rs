//! A plan: stages of growing size, each baked for a while, and how much worse is too much.

use crate::Nanos;
use crate::wire::Kind;

/// Servers changed at the end of a stage, those of the stages before included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Size {
    Servers(u32),
    /// Part of the servers, above 0 and at most 1; at least one of them.
    Share(f64),
}

impl Size {
    pub fn of(self, servers: usize) -> usize {
        match self {
            Size::Servers(count) => (count as usize).min(servers),
            Size::Share(share) => ((servers as f64 * share).ceil() as usize).clamp(1, servers.max(1)),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    pub size: Size,
    /// How long the changed servers are compared before the next stage.
    pub bake: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnWorse {
    /// The servers changed so far stay changed, no further one is.
    Stop,
    RollBack,
}

/// Differences that matter, whatever the test says of their certainty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Shares of answers, 0 to 1.
    pub throttled: f64,
    pub errored: f64,
    pub late: f64,
    /// Part by which the 95th percentile of latency may be higher.
    pub latency: f64,
    /// Chance, over one whole stage, of stopping a change that does nothing.
    pub alpha: f64,
}

impl Default for Thresholds {
    fn default() -> Self {
        Thresholds { throttled: 0.02, errored: 0.01, late: 0.005, latency: 0.25, alpha: 0.01 }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub name: String,
    /// What the change is known by: the hash of its settings or program.
    pub candidate: u64,
    pub kind: Kind,
    pub stages: Vec<Stage>,
    pub on_worse: OnWorse,
    pub thresholds: Thresholds,
    /// How often servers are asked; one report of each a period is compared.
    pub interval: Nanos,
    /// How long the view must have stood still before a stage begins or time counts as baked.
    pub settled: Nanos,
    /// How long after the servers of a stage go by the change they are not compared yet: a process that has
    /// just started knows nothing and is slower for a while, whatever its program.
    pub warm_up: Nanos,
    /// How long a server may take to go by what it is told, or to report at all.
    pub patience: Nanos,
}

/// Intervals that a comparison needs at least.
pub const INTERVALS_MIN: usize = 6;
pub const STAGES_MAX: usize = 32;

impl Plan {
    /// What is wrong, naming the place.
    pub fn check(&self) -> Result<(), String> {
        if self.name.is_empty() || self.name.len() > 64 {
            return Err("name: 1 to 64 bytes".into());
        }
        if self.stages.is_empty() || self.stages.len() > STAGES_MAX {
            return Err(format!("stage: 1 to {STAGES_MAX} of them, not {}", self.stages.len()));
        }
        if self.interval == 0 || self.patience < self.interval {
            return Err("interval-ms: above 0; patience-ms: an interval at least".into());
        }
        for (i, stage) in self.stages.iter().enumerate() {
            let at = |fault: String| Err(format!("stage {}: {fault}", i + 1));
            match stage.size {
                Size::Servers(0) => return at("servers: 0 changes nothing".into()),
                Size::Share(share) if !(share > 0.0 && share <= 1.0) => {
                    return at(format!("share: {share} is not above 0 and at most 1"));
                }
                Size::Servers(_) | Size::Share(_) => {}
            }
            if stage.bake < self.interval.saturating_mul(INTERVALS_MIN as u64) {
                let least = self.interval.saturating_mul(INTERVALS_MIN as u64) / 1_000_000;
                return at(format!("bake-ms: at least {INTERVALS_MIN} intervals, {least}"));
            }
            let smaller = match (i.checked_sub(1).map(|before| self.stages[before].size), stage.size) {
                (Some(Size::Servers(before)), Size::Servers(now)) => now <= before,
                (Some(Size::Share(before)), Size::Share(now)) => now <= before,
                _ => false,
            };
            if smaller {
                return at("not larger than the one before".into());
            }
        }
        let t = &self.thresholds;
        let good = |value: f64, most: f64| value > 0.0 && value <= most;
        if !good(t.throttled, 1.0) || !good(t.errored, 1.0) || !good(t.late, 1.0) || !good(t.latency, 100.0) {
            return Err("throttled, errored, late: above 0 and at most 1; latency: at most 100".into());
        }
        if !good(t.alpha, 0.2) {
            return Err(format!("alpha: {} is not above 0 and at most 0.2", t.alpha));
        }
        Ok(())
    }

    /// Comparisons made in a stage: one an interval once there are enough.
    pub fn looks(&self, stage: usize) -> usize {
        let intervals = (self.stages[stage].bake / self.interval) as usize;
        intervals.saturating_sub(INTERVALS_MIN) + 1
    }
}
