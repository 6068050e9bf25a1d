//! The baseline of each server: the mean of each metric before the change. Servers differ from each other for
//! good, so each one's values are compared less its own baseline.

use crate::metrics::{IntervalMetrics, Metric, Series, values};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Intervals that a server's baseline requires before a change begins.
pub const BASELINE_INTERVALS_MIN: usize = 20;
/// Values that a mean and its variance require.
const VALUES_MIN: u32 = 3;

/// The baselines of all servers. They are part of the coordinator's state file, whose names the attributes
/// keep.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baselines {
    #[serde(rename = "of")]
    by_server: BTreeMap<String, Vec<SeriesSums>>,
}

/// Sums over the intervals of one server, for one class and metric.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SeriesSums {
    class: String,
    metric: Option<Metric>,
    sum: f64,
    #[serde(rename = "squares")]
    sum_of_squares: f64,
    count: u32,
}

impl SeriesSums {
    fn is_of(&self, series: &Series) -> bool {
        self.class == series.class && self.metric == Some(series.metric)
    }
}

/// The baseline of one server for one class and metric.
#[derive(Clone, Copy)]
pub(crate) struct Baseline {
    pub(crate) mean: f64,
    /// Variance of the mean, not of the values: the square of its standard error.
    pub(crate) mean_variance: f64,
}

impl Baselines {
    /// Adds an interval of a server to its baseline.
    pub fn add(&mut self, server: &str, interval: &[IntervalMetrics]) {
        let all = self.by_server.entry(server.to_string()).or_default();
        for (series, value) in values(interval) {
            let index = all.iter().position(|sums| sums.is_of(&series)).unwrap_or_else(|| {
                all.push(SeriesSums {
                    class: series.class,
                    metric: Some(series.metric),
                    ..SeriesSums::default()
                });
                all.len() - 1
            });
            let sums = &mut all[index];
            sums.sum += value;
            sums.sum_of_squares += value * value;
            sums.count += 1;
        }
    }

    /// Intervals known of a server, of the class and metric that it has most of.
    pub fn intervals(&self, server: &str) -> usize {
        let all = self.by_server.get(server).into_iter().flatten();
        all.map(|sums| sums.count).max().unwrap_or(0) as usize
    }

    /// The baseline of a server; `None` with too few values.
    pub(crate) fn get(&self, server: &str, series: &Series) -> Option<Baseline> {
        let sums = self.by_server.get(server)?.iter().find(|sums| sums.is_of(series))?;
        if sums.count < VALUES_MIN {
            return None;
        }
        let count = f64::from(sums.count);
        let mean = sums.sum / count;
        let mean_variance = (sums.sum_of_squares / count - mean * mean).max(0.0) / (count - 1.0);
        Some(Baseline { mean, mean_variance })
    }
}
