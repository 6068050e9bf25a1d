//! Computes the baseline of each server: the mean of each metric before the rollout changes any server.
//! Servers differ permanently from each other. The comparison of servers therefore subtracts each server's
//! baseline from the values that the server reports.

use crate::metrics::{IntervalMetrics, Metric, Series, values};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Minimum number of intervals in the baseline of each server. The first stage begins only when the baselines
/// of all servers have this many intervals.
pub const BASELINE_INTERVALS_MIN: usize = 20;
/// Minimum number of reported values from which a baseline is computed. A server that has reported fewer
/// values for a class of invocations and a metric has no baseline for this class and metric.
const VALUES_MIN: u32 = 3;

/// Baselines of all servers. The baselines are stored in the coordinator's state file. The `serde` attributes
/// keep the field names of this file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baselines {
    #[serde(rename = "of")]
    by_server: BTreeMap<String, Vec<SeriesSums>>,
}

/// Running sums of the values that one server reports for one metric and one class of invocations. Each
/// interval adds one value to the sums.
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

/// Baseline of one server: the mean of one metric for one class of invocations.
#[derive(Clone, Copy)]
pub(crate) struct Baseline {
    pub(crate) mean: f64,
    /// Variance of `mean`, that is, its squared standard error. This is not the variance of single values.
    pub(crate) mean_variance: f64,
}

impl Baselines {
    /// Adds the metrics of one interval to the baseline of a server.
    pub fn add(&mut self, server: &str, interval: &[IntervalMetrics]) {
        let server_sums = self.by_server.entry(server.to_string()).or_default();
        for (series, value) in values(interval) {
            let index = server_sums.iter().position(|sums| sums.is_of(&series)).unwrap_or_else(|| {
                server_sums.push(SeriesSums {
                    class: series.class,
                    metric: Some(series.metric),
                    ..SeriesSums::default()
                });
                server_sums.len() - 1
            });
            let sums = &mut server_sums[index];
            sums.sum += value;
            sums.sum_of_squares += value * value;
            sums.count += 1;
        }
    }

    /// Returns the names of the servers that have a baseline.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &String> {
        self.by_server.keys()
    }

    /// Returns the number of intervals in a server's baseline. Classes and metrics may have different numbers
    /// of values; the function returns the largest number.
    pub fn intervals(&self, server: &str) -> usize {
        let server_sums = self.by_server.get(server).into_iter().flatten();
        server_sums.map(|sums| sums.count).max().unwrap_or(0) as usize
    }

    /// Returns the baseline of a server for one class and metric. Returns `None` if the server has reported
    /// fewer than [`VALUES_MIN`] values for this class and metric.
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
