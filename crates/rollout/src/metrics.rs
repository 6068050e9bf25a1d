//! Defines the metrics that a server reports for an interval, and calculates the values by which servers are
//! compared.

use serde::{Deserialize, Serialize};

/// Metrics of one server for one class of invocations in one interval.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntervalMetrics {
    /// Name of the class of invocations. The class is named after its operation.
    pub class: String,
    /// Number of invocations that were answered, with any outcome.
    pub answered: u64,
    /// Number of answered invocations that admission control rejected.
    pub throttled: u64,
    /// Number of answered invocations that failed.
    pub errored: u64,
    /// Number of answered invocations whose answer was sent after the client timeout.
    pub late: u64,
    /// 95th percentile of the latency of successful invocations, in microseconds. The value is 0 if no
    /// invocation succeeded.
    pub p95_us: u64,
}

/// Minimum number of answered invocations of a class in one interval. With fewer answers, no shares are
/// computed for the class, such as the share of failed invocations.
const ANSWERS_MIN: u64 = 5;

/// Metric by which servers are compared. For every metric, a larger value is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Metric {
    /// Share of answered invocations that admission control rejected.
    Throttled,
    /// Share of answered invocations that failed.
    Errored,
    /// Share of answered invocations whose answer was sent after the client timeout.
    Late,
    /// Natural logarithm of the 95th percentile of latency. A difference of two logarithms expresses a ratio
    /// of two latencies.
    Latency,
}

impl Metric {
    /// All metrics.
    pub const ALL: [Metric; 4] = [Metric::Throttled, Metric::Errored, Metric::Late, Metric::Latency];

    /// Returns the value of this metric for one class in one interval. Returns `None` if the class has no
    /// latency, or if there are too few answers to compute a share.
    fn value(self, metrics: &IntervalMetrics) -> Option<f64> {
        let count = match self {
            Metric::Throttled => metrics.throttled,
            Metric::Errored => metrics.errored,
            Metric::Late => metrics.late,
            Metric::Latency => return (metrics.p95_us > 0).then(|| (metrics.p95_us as f64).ln()),
        };
        (metrics.answered >= ANSWERS_MIN).then(|| count as f64 / metrics.answered as f64)
    }
}

/// Key of a series of values: the values of one metric for one class of invocations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Series {
    pub(crate) class: String,
    pub(crate) metric: Metric,
}

/// Returns all values of an interval, each with its class and metric.
pub(crate) fn values(interval: &[IntervalMetrics]) -> Vec<(Series, f64)> {
    let mut values = Vec::new();
    for metrics in interval {
        for metric in Metric::ALL {
            if let Some(value) = metric.value(metrics) {
                values.push((Series { class: metrics.class.clone(), metric }, value));
            }
        }
    }
    values
}
