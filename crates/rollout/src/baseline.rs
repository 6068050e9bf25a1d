//! Baseline of each server: the mean of each metric before the change. Servers differ permanently from each
//! other, so the comparison subtracts each server's baseline from its values.

use crate::metrics::{IntervalMetrics, Metric, Series, values};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of intervals that each server's baseline must contain before the change begins.
pub const BASELINE_INTERVALS_MIN: usize = 20;
/// Minimum number of values of a series. With fewer values, no mean and no variance are computed.
const VALUES_MIN: u32 = 3;

/// Baselines of all servers, serialized into the coordinator's state file. The `serde` attributes keep the
/// field names of that file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baselines {
    #[serde(rename = "of")]
    by_server: BTreeMap<String, Vec<SeriesSums>>,
}

/// Running sums of the values that one server reports for a metric of a class of invocations. Each interval
/// adds one value.
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

/// Baseline of one server for one class and metric.
#[derive(Clone, Copy)]
pub(crate) struct Baseline {
    pub(crate) mean: f64,
    /// Variance of `mean`, that is, the square of its standard error; not the variance of the single values.
    pub(crate) mean_variance: f64,
}

impl Baselines {
    /// Adds one interval of a server to the server's baseline.
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

    /// Number of intervals in a server's baseline, for the class and metric with the most values.
    pub fn intervals(&self, server: &str) -> usize {
        let server_sums = self.by_server.get(server).into_iter().flatten();
        server_sums.map(|sums| sums.count).max().unwrap_or(0) as usize
    }

    /// Returns the baseline of a server for a class and metric, or `None` with fewer than [`VALUES_MIN`]
    /// values.
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
