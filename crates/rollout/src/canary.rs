//! Whether the changed servers do worse than the others over the same time.
//!
//! Each interval gives one value of each server, class and figure, less what that server had of it before the
//! change (its baseline): servers differ from each other for good, and load moves all of them together.
//! Within an interval the values of both groups are ranked, and the ranks are summed over intervals: the
//! stratified rank sum test of van Elteren (1960). Three things guard against noise:
//!
//! - intervals of one server are no independent draws, so the variance of the sum is the larger of the test's
//!   own and of what the sums of the intervals show with their lags (Newey and West 1987);
//! - a baseline is a mean of few intervals, and what it is off by stays in every difference: twice its
//!   standard error is taken off the difference (without it 2 of 100 changes that do nothing were stopped,
//!   with baselines of 6 intervals 6);
//! - a stage looks once an interval, at each class and figure, over all intervals and over the busier half:
//!   the chance of a false stop is shared out among all these looks (Bonferroni), and a difference below
//!   the thresholds is none, however certain.

use crate::plan::{INTERVALS_MIN, Thresholds};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one server did in one interval for one class of invocations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    pub class: String,
    pub answered: u64,
    pub throttled: u64,
    pub errored: u64,
    /// Answered after the client timeout: the first rule broken.
    pub late: u64,
    /// 95th percentile of the latency of those that succeeded, in microseconds; 0 where none did.
    pub p95_us: u64,
}

/// Answers of a class that an interval's figures want, for the shares to say something.
const ANSWERS_MIN: u64 = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Metric {
    Throttled,
    Errored,
    Late,
    Latency,
}

impl Metric {
    pub const ALL: [Metric; 4] = [Metric::Throttled, Metric::Errored, Metric::Late, Metric::Latency];

    /// Larger is worse; latency by its logarithm, so that differences are ratios.
    fn of(self, figures: &Figures) -> Option<f64> {
        let share =
            |count: u64| (figures.answered >= ANSWERS_MIN).then(|| count as f64 / figures.answered as f64);
        match self {
            Metric::Throttled => share(figures.throttled),
            Metric::Errored => share(figures.errored),
            Metric::Late => share(figures.late),
            Metric::Latency => (figures.p95_us > 0).then(|| (figures.p95_us as f64).ln()),
        }
    }

    fn matters(self, difference: f64, thresholds: &Thresholds) -> bool {
        difference
            > match self {
                Metric::Throttled => thresholds.throttled,
                Metric::Errored => thresholds.errored,
                Metric::Late => thresholds.late,
                Metric::Latency => (1.0 + thresholds.latency).ln(),
            }
    }
}

/// Intervals of a server that its baseline wants.
pub const BASELINE_MIN: usize = 20;

/// A class and a figure.
type Place = (String, Metric);

/// What each server had before.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baselines {
    of: BTreeMap<String, Vec<Known>>,
}

/// The sum of the values of one class and figure, of their squares, and their count.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Known {
    class: String,
    metric: Option<Metric>,
    sum: f64,
    squares: f64,
    count: u32,
}

/// A server's mean and the variance of that mean.
#[derive(Clone, Copy)]
struct Before {
    mean: f64,
    variance: f64,
}

impl Baselines {
    pub fn add(&mut self, server: &str, figures: &[Figures]) {
        let of = self.of.entry(server.to_string()).or_default();
        for ((class, metric), value) in values(figures) {
            let at = of.iter().position(|known| known.class == class && known.metric == Some(metric));
            let at = at.unwrap_or_else(|| {
                of.push(Known { class, metric: Some(metric), ..Known::default() });
                of.len() - 1
            });
            let known = &mut of[at];
            (known.sum, known.squares) = (known.sum + value, known.squares + value * value);
            known.count += 1;
        }
    }

    /// Intervals known of a server, of whatever it did most.
    pub fn intervals(&self, server: &str) -> usize {
        self.of.get(server).and_then(|of| of.iter().map(|known| known.count).max()).unwrap_or(0) as usize
    }

    fn before(&self, server: &str, (class, metric): &Place) -> Option<Before> {
        let mut of = self.of.get(server)?.iter();
        let known = of.find(|known| known.class == *class && known.metric == Some(*metric))?;
        let n = f64::from(known.count);
        let mean = known.sum / n;
        let variance = (known.squares / n - mean * mean).max(0.0) / (n - 1.0);
        (known.count >= 3).then_some(Before { mean, variance })
    }
}

fn values(figures: &[Figures]) -> impl Iterator<Item = (Place, f64)> + '_ {
    let of = |f: &'_ Figures| {
        let class = f.class.clone();
        Metric::ALL.map(|metric| metric.of(f).map(|value| ((class.clone(), metric), value)))
    };
    figures.iter().flat_map(of).flatten()
}

/// The values of one interval of one class and figure: of changed servers, and of the others.
#[derive(Clone, Debug, Default, PartialEq)]
struct Stratum {
    new: Vec<f64>,
    old: Vec<f64>,
    /// Variances of the new ones' baselines, summed.
    doubt: f64,
    /// Answers of the class by all servers.
    answered: u64,
}

/// What a stage has seen.
#[derive(Clone, Debug, Default)]
pub struct Canary {
    strata: BTreeMap<Place, Vec<Stratum>>,
    /// The interval being filled: its values join the others when it is over.
    filling: BTreeMap<Place, Stratum>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Too few intervals with values of both groups.
    TooFew,
    Good,
    Worse {
        class: String,
        metric: Metric,
        difference: f64,
        p: f64,
    },
}

impl Canary {
    /// A server's report of the interval that is being filled. One whose baseline is not known says nothing.
    pub fn add(&mut self, server: &str, new: bool, figures: &[Figures], before: &Baselines) {
        for (place, value) in values(figures) {
            let Some(before) = before.before(server, &place) else { continue };
            let answered = figures.iter().filter(|f| f.class == place.0).map(|f| f.answered).sum::<u64>();
            let stratum = self.filling.entry(place).or_default();
            stratum.answered += answered;
            if new {
                stratum.new.push(value - before.mean);
                stratum.doubt += before.variance;
            } else {
                stratum.old.push(value - before.mean);
            }
        }
    }

    /// The interval is over; `counts` where it is to be compared.
    pub fn close(&mut self, counts: bool) {
        let filled = std::mem::take(&mut self.filling);
        let whole = filled.into_iter().filter(|(_, s)| counts && !s.new.is_empty() && !s.old.is_empty());
        for (place, stratum) in whole {
            self.strata.entry(place).or_default().push(stratum);
        }
    }

    /// Intervals with values of both groups, of whatever there were most.
    pub fn intervals(&self) -> usize {
        self.strata.values().map(Vec::len).max().unwrap_or(0)
    }

    /// `looks` is how many verdicts the stage asks for in all.
    pub fn verdict(&self, thresholds: &Thresholds, looks: usize) -> Verdict {
        let ripe: Vec<_> = self.strata.iter().filter(|(_, strata)| strata.len() >= INTERVALS_MIN).collect();
        if ripe.is_empty() {
            return Verdict::TooFew;
        }
        let each = thresholds.alpha / (2 * looks.max(1) * ripe.len()) as f64;
        let mut worst: Option<(f64, Verdict)> = None;
        for ((class, metric), strata) in ripe {
            // All intervals, and the busier half of them: what is worse only under load is no more than noise
            // in the mean of all.
            let mut busier: Vec<&Stratum> = strata.iter().collect();
            busier.sort_by_key(|stratum| std::cmp::Reverse(stratum.answered));
            busier.truncate((strata.len() / 2).max(INTERVALS_MIN));
            let of_all = compare(&strata.iter().collect::<Vec<_>>());
            for (difference, p) in of_all.into_iter().chain(compare(&busier)) {
                let worse = p < each && metric.matters(difference, thresholds);
                if worse && worst.as_ref().is_none_or(|(least, _)| p < *least) {
                    let (class, metric) = (class.clone(), *metric);
                    worst = Some((p, Verdict::Worse { class, metric, difference, p }));
                }
            }
        }
        worst.map_or(Verdict::Good, |(_, verdict)| verdict)
    }
}

/// The mean difference between both groups, less twice what the baselines may be off by, and the chance
/// that ranks speak so much against the new one by chance (one-sided). `None` where all values are equal.
fn compare(strata: &[&Stratum]) -> Option<(f64, f64)> {
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    let difference = mean(&strata.iter().map(|s| mean(&s.new) - mean(&s.old)).collect::<Vec<_>>());
    // The mean of the new group's baselines is off by this, one standard error.
    let off = |s: &&Stratum| s.doubt.sqrt() / s.new.len() as f64;
    let difference = difference - 2.0 * mean(&strata.iter().map(off).collect::<Vec<_>>());
    let (mut sums, mut variance) = (Vec::with_capacity(strata.len()), 0.0);
    for stratum in strata {
        let (m, n) = (stratum.new.len() as f64, stratum.old.len() as f64);
        let (ranks, ties) = rank_sum(stratum);
        let all = m + n;
        let weight = 1.0 / (all + 1.0);
        sums.push(weight * (ranks - m * (all + 1.0) / 2.0));
        let tied = if all > 1.0 { 1.0 - ties / (all * all * all - all) } else { 0.0 };
        variance += weight * weight * m * n * (all + 1.0) / 12.0 * tied;
    }
    let variance = variance.max(with_lags(&sums));
    (variance > 0.0).then(|| (difference, upper_tail(sums.iter().sum::<f64>() / variance.sqrt())))
}

/// The sum of the new group's ranks, equal values sharing theirs, and the sum of t^3 - t over ties of t.
fn rank_sum(stratum: &Stratum) -> (f64, f64) {
    let mut all: Vec<(f64, bool)> = stratum.new.iter().map(|v| (*v, true)).collect();
    all.extend(stratum.old.iter().map(|v| (*v, false)));
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut sum, mut ties, mut i) = (0.0, 0.0, 0);
    while i < all.len() {
        let equal = all[i..].iter().take_while(|(value, _)| *value == all[i].0).count();
        let rank = i as f64 + (equal as f64 + 1.0) / 2.0;
        sum += rank * all[i..i + equal].iter().filter(|(_, new)| *new).count() as f64;
        ties += (equal * equal * equal - equal) as f64;
        i += equal;
    }
    (sum, ties)
}

/// The variance of a sum of values that hang together over time, with Bartlett's weights up to the root of
/// their number.
fn with_lags(values: &[f64]) -> f64 {
    let n = values.len();
    let mean = values.iter().sum::<f64>() / n as f64;
    let at = |lag: usize| (lag..n).map(|i| (values[i] - mean) * (values[i - lag] - mean)).sum::<f64>();
    let lags = (n as f64).sqrt() as usize;
    let weighted = (1..=lags).map(|lag| 2.0 * (1.0 - lag as f64 / (lags + 1) as f64) * at(lag));
    at(0) + weighted.sum::<f64>()
}

/// Chance that a standard normal value is larger.
fn upper_tail(z: f64) -> f64 {
    libm::erfc(z / std::f64::consts::SQRT_2) / 2.0
}

#[cfg(test)]
mod tests;
