//! The level of fair shares: how much each unit of weight may have so that all is given out and nobody is
//! given more than it asks for. Found by filling up from the ones that ask for least.

use crate::Nanos;
use crate::Print;
use crate::distinct::Distinct;

/// A learned ratio moves this far towards each run, and stays within these bounds.
const LEARN: f64 = 0.2;
const RATIOS: (f64, f64) = (1e-3, 1e3);
/// What is asked for is halved in weight after so long.
pub const HALF_LIFE: Nanos = 2_000_000_000;
/// Fair time goes so much faster while there is enough for all.
const FORGIVING: f64 = 16.0;
/// Usual spans and weights move this far towards each that is seen.
const LEARNS: f64 = 0.01;
/// Names in the sketch are counted over so long.
const NAMES_FOR: Nanos = 16 * HALF_LIFE;
/// A clock that jumps moves fair time by no more than this.
const LEAP: Nanos = 1_000_000_000;

/// A flow of work that is forgotten by halves; 12 bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    sum: f32,
    at: Nanos,
}

impl Flow {
    fn kept(&self, now: Nanos) -> f64 {
        f64::from(self.sum) * (-(now.saturating_sub(self.at) as f64) / HALF_LIFE as f64).exp2()
    }

    pub fn add(&mut self, now: Nanos, work: f64) {
        self.sum = (self.kept(now) + work) as f32;
        self.at = self.at.max(now);
    }

    /// Work a second, in cores, as a steady flow would show it.
    pub fn cores(&self, now: Nanos) -> f64 {
        self.kept(now) * std::f64::consts::LN_2 / HALF_LIFE as f64
    }
}

/// A learned ratio of what was used to what had been guessed.
#[derive(Clone, Copy, Debug)]
pub struct Ratio(f64);

impl Default for Ratio {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Ratio {
    pub fn get(self) -> f64 {
        self.0
    }

    /// One was found: what is kept moves some way towards it.
    pub fn learn(&mut self, found: f64) {
        self.0 = (self.0 + LEARN * (found - self.0)).clamp(RATIOS.0, RATIOS.1);
    }
}

/// What one place asks for, in cores, and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    pub cores: f64,
    pub weight: f64,
    /// How many such places there are.
    pub many: f64,
}

#[derive(Debug)]
pub struct Level {
    fair_time: f64,
    at: Nanos,
    /// Cores for each unit of weight; the whole of a server while there is enough for all.
    cores: f64,
    enough: bool,
    sketched: Flow,
    sketched_weight: f64,
    names: [Distinct<1024>; 2],
    turned: Nanos,
}

impl Level {
    pub fn new(cores: f64, now: Nanos) -> Self {
        Self {
            fair_time: 0.0,
            at: now,
            cores: cores.max(f64::MIN_POSITIVE),
            enough: true,
            sketched: Flow::default(),
            sketched_weight: 1.0,
            names: [Distinct::default(), Distinct::default()],
            turned: now,
        }
    }

    pub fn fair_time(&self) -> f64 {
        self.fair_time
    }

    pub fn cores(&self) -> f64 {
        self.cores
    }

    /// A clock that stands still or goes back moves nothing; returns the latest time there was.
    pub fn pass(&mut self, now: Nanos) -> Nanos {
        let passed = now.saturating_sub(self.at).min(LEAP) as f64;
        // While there is enough for all, what was used beyond a share is soon forgiven.
        self.fair_time += passed * self.cores * if self.enough { FORGIVING } else { 1.0 };
        self.at = self.at.max(now);
        self.at
    }

    /// Work has been asked for by a tenant of this weight that only the sketch knows.
    pub fn asked_by_sketched(&mut self, now: Nanos, print: Print, weight: f64, work: f64) {
        self.sketched.add(now, work);
        self.sketched_weight += LEARNS * (weight - self.sketched_weight);
        if now.saturating_sub(self.turned) > NAMES_FOR {
            self.names.swap(0, 1);
            self.names[0].clear();
            self.turned = now;
        }
        self.names[0].add(print);
    }

    /// All in the sketch together, taken for equals.
    fn sketched(&self, now: Nanos) -> Ask {
        let many = self.names[0].count().max(self.names[1].count()).max(1.0);
        Ask { cores: self.sketched.cores(now) / many, weight: self.sketched_weight, many }
    }

    /// Those who ask for less than their part at the level get it all, the others the level.
    pub fn set(&mut self, now: Nanos, capacity: f64, asks: impl Iterator<Item = Ask>) {
        let capacity = capacity.max(f64::MIN_POSITIVE);
        let level = Self::fill(capacity, asks.chain([self.sketched(now)]));
        self.enough = level >= capacity;
        self.cores = level;
    }

    fn fill(capacity: f64, asks: impl Iterator<Item = Ask>) -> f64 {
        let mut asks: Vec<Ask> = asks.filter(|ask| ask.cores > 0.0).collect();
        asks.sort_unstable_by(|a, b| (a.cores / a.weight).total_cmp(&(b.cores / b.weight)));
        let mut left = capacity;
        let mut weight: f64 = asks.iter().map(|ask| ask.weight * ask.many).sum();
        for ask in asks {
            let level = left / weight;
            if ask.cores / ask.weight > level {
                return level.min(capacity);
            }
            left -= ask.cores * ask.many;
            weight -= ask.weight * ask.many;
        }
        capacity
    }
}
