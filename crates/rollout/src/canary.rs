//! The canary verdict: whether the changed servers perform worse than the unchanged ones in the same
//! intervals.
//!
//! Each interval yields one value per server, class and metric, minus the server's baseline.
//! [`crate::rank_test`] compares the values of both groups, once over all intervals and once over the half
//! with the most answers, since a change may perform worse only under load. Two measures limit the
//! probability of a false stop in a stage to the plan's `alpha`, as far as the p-values of the test are
//! correct:
//!
//! - `alpha` is divided by the number of comparisons in a stage (Bonferroni correction): per interval, class
//!   and metric there is one over all intervals and one over the busier half;
//! - a difference below the plan's thresholds is ignored, however small its p-value.
//!
//! The divisor counts the planned verdicts. If servers report more often than once per planned interval, a
//! stage may evaluate up to four times as many verdicts, and the limit is then four times `alpha`. A
//! restarted coordinator bakes the current stage again with the full `alpha`.

use crate::baseline::Baselines;
use crate::metrics::{IntervalMetrics, Metric, Series, values};
use crate::plan::{INTERVALS_MIN, Thresholds};
use crate::rank_test::{Comparison, Stratum, compare};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Comparisons per class and metric at each verdict: one over all intervals and one over the busier half.
const COMPARISONS_PER_SERIES: usize = 2;

/// Values of changed and unchanged servers, collected in one stage.
#[derive(Clone, Debug, Default)]
pub struct Canary {
    strata: BTreeMap<Series, Vec<Stratum>>,
    /// Values of the current interval; [`Canary::close_interval`] moves them to `strata`.
    current: BTreeMap<Series, Stratum>,
}

/// Result of comparing the changed servers with the unchanged ones.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Too few intervals have values of both changed and unchanged servers.
    InsufficientData,
    /// No difference is both statistically significant and above its threshold.
    Pass,
    /// The changed servers perform worse than the unchanged ones.
    Regression {
        /// Class of invocations in which the changed servers perform worse.
        class: String,
        /// Metric in which the changed servers are worse.
        metric: Metric,
        /// Mean of the changed servers minus that of the unchanged ones, as in
        /// [`Comparison::difference`](crate::rank_test::Comparison::difference). The unit is that of the
        /// metric: a share, or the logarithm of a latency.
        difference: f64,
        /// One-sided p-value: the probability that chance alone ranks the changed servers at least as high.
        p_value: f64,
    },
}

impl Canary {
    /// Adds a server's report to the current interval. Values without a baseline are ignored.
    pub fn add(
        &mut self,
        server: &str,
        is_changed: bool,
        interval: &[IntervalMetrics],
        baselines: &Baselines,
    ) {
        for (series, value) in values(interval) {
            let Some(baseline) = baselines.get(server, &series) else { continue };
            let same_class = interval.iter().filter(|metrics| metrics.class == series.class);
            let answered = same_class.map(|metrics| metrics.answered).sum::<u64>();
            let stratum = self.current.entry(series).or_default();
            stratum.answered += answered;
            if is_changed {
                stratum.changed.push(value - baseline.mean);
                stratum.baseline_variance += baseline.mean_variance;
            } else {
                stratum.unchanged.push(value - baseline.mean);
            }
        }
    }

    /// Closes the current interval. Keeps the values of each class and metric for which both a changed and an
    /// unchanged server have values, and drops all others.
    pub fn close_interval(&mut self) {
        for (series, stratum) in std::mem::take(&mut self.current) {
            if !stratum.changed.is_empty() && !stratum.unchanged.is_empty() {
                self.strata.entry(series).or_default().push(stratum);
            }
        }
    }

    /// Drops all values of the current interval.
    pub fn discard_interval(&mut self) {
        self.current.clear();
    }

    /// Number of intervals with values of both changed and unchanged servers, for the class and metric that
    /// has the most such intervals.
    pub fn intervals(&self) -> usize {
        self.strata.values().map(Vec::len).max().unwrap_or(0)
    }

    /// Computes the verdict over all closed intervals. `verdicts` is the number of verdicts planned for the
    /// stage; the significance level is `alpha` divided by the number of all their comparisons.
    pub fn verdict(&self, thresholds: &Thresholds, verdicts: usize) -> Verdict {
        let has_enough = |strata: &Vec<Stratum>| strata.len() >= INTERVALS_MIN;
        let series: Vec<_> = self.strata.iter().filter(|(_, strata)| has_enough(strata)).collect();
        if series.is_empty() {
            return Verdict::InsufficientData;
        }
        let comparison_count = COMPARISONS_PER_SERIES * verdicts.max(1) * series.len();
        let significance = thresholds.alpha / comparison_count as f64;
        let mut most_significant: Option<(&Series, Comparison)> = None;
        for (series, strata) in series {
            for comparison in [compare(&strata.iter().collect::<Vec<_>>()), compare(&busier_half(strata))] {
                let Some(comparison) = comparison else { continue };
                let is_worse = comparison.p_value < significance
                    && comparison.difference > thresholds.min_difference(series.metric);
                if is_worse && most_significant.is_none_or(|(_, known)| comparison.p_value < known.p_value) {
                    most_significant = Some((series, comparison));
                }
            }
        }
        match most_significant {
            None => Verdict::Pass,
            Some((series, Comparison { difference, p_value })) => Verdict::Regression {
                class: series.class.clone(),
                metric: series.metric,
                difference,
                p_value,
            },
        }
    }
}

/// Returns the half of the intervals with the most answers, but at least [`INTERVALS_MIN`] intervals if there
/// are that many.
fn busier_half(strata: &[Stratum]) -> Vec<&Stratum> {
    let mut busier: Vec<&Stratum> = strata.iter().collect();
    busier.sort_by_key(|stratum| Reverse(stratum.answered));
    busier.truncate((strata.len() / 2).max(INTERVALS_MIN));
    busier
}
