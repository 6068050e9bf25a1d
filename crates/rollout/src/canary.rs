//! The canary verdict: whether the changed servers do worse than the others in the same intervals.
//!
//! Each interval gives one value of each server, class and metric, less the server's baseline. The values of
//! both groups are compared by [`crate::rank_test`], over all intervals and over the busier half of them,
//! since a change may do worse only under load. Two things bound the chance of a false stop in a stage by the
//! plan's `alpha`, as far as the test's own p-values hold:
//!
//! - it is divided among all comparisons of a stage (Bonferroni): one an interval, for each class and metric,
//!   over all intervals and over the busier half;
//! - a difference below the plan's thresholds is none, however certain.
//!
//! The division is by the verdicts planned. Where intervals come sooner than the plan's, a stage may ask for
//! up to four times as many, and its bound is four times `alpha`; and a coordinator that is started again
//! bakes the stage anew, with the whole of `alpha`.

use crate::baseline::Baselines;
use crate::metrics::{IntervalMetrics, Metric, Series, values};
use crate::plan::{INTERVALS_MIN, Thresholds};
use crate::rank_test::{Comparison, Stratum, compare};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The comparisons that one class and metric has at each verdict: all intervals, and the busier half.
const COMPARISONS_PER_SERIES: usize = 2;

/// What a stage has seen so far.
#[derive(Clone, Debug, Default)]
pub struct Canary {
    strata: BTreeMap<Series, Vec<Stratum>>,
    /// The present interval, which joins the others when it is closed.
    present: BTreeMap<Series, Stratum>,
}

/// Whether a change does worse.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Too few intervals with values of both groups.
    InsufficientData,
    /// No difference that is both certain and large enough.
    Pass,
    /// The changed servers do worse.
    Regression {
        /// The class of invocations.
        class: String,
        /// The metric that is worse.
        metric: Metric,
        /// By how much: a difference of shares, or of logarithms of the latency.
        difference: f64,
        /// Probability of such values by chance.
        p_value: f64,
    },
}

impl Canary {
    /// Adds a server's report to the present interval. Values without a baseline are left out.
    pub fn add(
        &mut self,
        server: &str,
        is_changed: bool,
        interval: &[IntervalMetrics],
        baselines: &Baselines,
    ) {
        for (series, value) in values(interval) {
            let Some(baseline) = baselines.get(server, &series) else { continue };
            let of_class = interval.iter().filter(|metrics| metrics.class == series.class);
            let answered = of_class.map(|metrics| metrics.answered).sum::<u64>();
            let stratum = self.present.entry(series).or_default();
            stratum.answered += answered;
            if is_changed {
                stratum.changed.push(value - baseline.mean);
                stratum.baseline_variance += baseline.mean_variance;
            } else {
                stratum.unchanged.push(value - baseline.mean);
            }
        }
    }

    /// Ends the present interval and keeps what can be compared of it.
    pub fn close_interval(&mut self) {
        for (series, stratum) in std::mem::take(&mut self.present) {
            if !stratum.changed.is_empty() && !stratum.unchanged.is_empty() {
                self.strata.entry(series).or_default().push(stratum);
            }
        }
    }

    /// Ends the present interval without keeping anything of it.
    pub fn discard_interval(&mut self) {
        self.present.clear();
    }

    /// Intervals that can be compared, of the class and metric that has most of them.
    pub fn intervals(&self) -> usize {
        self.strata.values().map(Vec::len).max().unwrap_or(0)
    }

    /// The verdict by all closed intervals. `verdicts` is the number of verdicts planned for the stage, among
    /// which `alpha` is divided.
    pub fn verdict(&self, thresholds: &Thresholds, verdicts: usize) -> Verdict {
        let has_enough = |strata: &Vec<Stratum>| strata.len() >= INTERVALS_MIN;
        let series: Vec<_> = self.strata.iter().filter(|(_, strata)| has_enough(strata)).collect();
        if series.is_empty() {
            return Verdict::InsufficientData;
        }
        let comparisons = COMPARISONS_PER_SERIES * verdicts.max(1) * series.len();
        let significance = thresholds.alpha / comparisons as f64;
        let mut most_certain: Option<(&Series, Comparison)> = None;
        for (series, strata) in series {
            for found in [compare(&strata.iter().collect::<Vec<_>>()), compare(&busier_half(strata))] {
                let Some(found) = found else { continue };
                let is_worse = found.p_value < significance
                    && found.difference > thresholds.min_difference(series.metric);
                if is_worse && most_certain.is_none_or(|(_, known)| found.p_value < known.p_value) {
                    most_certain = Some((series, found));
                }
            }
        }
        match most_certain {
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

/// The half of the intervals with most answers, and as many as a comparison requires.
fn busier_half(strata: &[Stratum]) -> Vec<&Stratum> {
    let mut busier: Vec<&Stratum> = strata.iter().collect();
    busier.sort_by_key(|stratum| Reverse(stratum.answered));
    busier.truncate((strata.len() / 2).max(INTERVALS_MIN));
    busier
}
