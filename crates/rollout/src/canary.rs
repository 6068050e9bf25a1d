//! Decides whether the changed servers perform worse than the unchanged servers in the same intervals. The
//! result is called the verdict.
//!
//! Each interval gives one value per server, class and metric. The server's baseline is subtracted from the
//! value. [`crate::rank_test`] then compares the values of changed and unchanged servers. There are two
//! comparisons: one over all intervals, and one over the half of the intervals with the most answers. The
//! second comparison detects a change that performs worse only under load.
//!
//! Two measures limit the probability of a false stop in a stage to the plan's `alpha`, if the p-values of
//! the test are correct:
//!
//! - `alpha` is divided by the number of comparisons in a stage (Bonferroni correction). There are two
//!   comparisons per planned verdict, class and metric.
//! - A difference below the plan's thresholds is ignored, however small its p-value is.
//!
//! The divisor counts the planned verdicts. If servers report more often than once per planned interval, a
//! stage may have up to four times as many verdicts. The limit is then four times `alpha`. A coordinator that
//! restarts repeats the comparison of the current stage with the full `alpha`.

use crate::baseline::Baselines;
use crate::metrics::{IntervalMetrics, Metric, Series, values};
use crate::plan::{INTERVALS_MIN, Thresholds};
use crate::rank_test::{Comparison, Stratum, compare};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Number of comparisons per class and metric for each verdict. One comparison uses all intervals, the other
/// only the half of the intervals with the most answers.
const COMPARISONS_PER_SERIES: usize = 2;

/// Metric values that changed and unchanged servers reported in one stage.
#[derive(Clone, Debug, Default)]
pub struct Canary {
    strata: BTreeMap<Series, Vec<Stratum>>,
    /// Metric values that servers reported for the current interval. [`Canary::close_interval`] moves these
    /// values to `strata`.
    current: BTreeMap<Series, Stratum>,
}

/// Result of the comparison between changed and unchanged servers.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Too few intervals contain values of both changed and unchanged servers.
    InsufficientData,
    /// No regression was found. A difference is a regression only if it is both statistically significant and
    /// above its threshold.
    Pass,
    /// The changed servers perform worse than the unchanged servers.
    Regression {
        /// Class of invocations in which the changed servers perform worse.
        class: String,
        /// Metric in which the changed servers perform worse.
        metric: Metric,
        /// Mean value of the changed servers, minus the mean value of the unchanged servers, minus twice the
        /// standard error of the changed servers' baselines. The unit is the unit of the metric: a share, or
        /// the logarithm of a latency.
        difference: f64,
        /// One-sided p-value: the probability that chance alone gives the changed servers ranks at least as
        /// high as the observed ranks.
        p_value: f64,
    },
}

impl Canary {
    /// Adds the metrics that a server reports to the current interval. A value is ignored if the server has
    /// no baseline for its class and metric.
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

    /// Ends the current interval and stores its values for the comparison. The values of a class and metric
    /// are dropped if only changed servers or only unchanged servers reported values.
    pub fn close_interval(&mut self) {
        for (series, stratum) in std::mem::take(&mut self.current) {
            if !stratum.changed.is_empty() && !stratum.unchanged.is_empty() {
                self.strata.entry(series).or_default().push(stratum);
            }
        }
    }

    /// Drops all values of the current interval, so that they are not compared.
    pub fn discard_interval(&mut self) {
        self.current.clear();
    }

    /// Returns the number of intervals that contain values of both changed and unchanged servers. Classes and
    /// metrics may have different numbers of intervals; the function returns the largest number.
    pub fn intervals(&self) -> usize {
        self.strata.values().map(Vec::len).max().unwrap_or(0)
    }

    /// Compares changed and unchanged servers over all closed intervals and returns the verdict. `verdicts`
    /// is the number of verdicts planned for the stage. The significance level of one comparison is `alpha`
    /// divided by the number of comparisons in all planned verdicts.
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

/// Returns the half of the intervals that have the most answers. If the half has fewer than [`INTERVALS_MIN`]
/// intervals, returns up to [`INTERVALS_MIN`] intervals.
fn busier_half(strata: &[Stratum]) -> Vec<&Stratum> {
    let mut busier: Vec<&Stratum> = strata.iter().collect();
    busier.sort_by_key(|stratum| Reverse(stratum.answered));
    busier.truncate((strata.len() / 2).max(INTERVALS_MIN));
    busier
}
