//! Metrics that a server reports for an interval, and the values derived from them for comparing servers.

use serde::{Deserialize, Serialize};

/// Metrics of one server for one class of invocations in one interval.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntervalMetrics {
    /// Name of the class, which is the name of an operation.
    pub class: String,
    /// Invocations answered, whatever the outcome.
    pub answered: u64,
    /// Answered invocations that admission control rejected.
    pub throttled: u64,
    /// Answered invocations that failed.
    pub errored: u64,
    /// Answered invocations whose answer was sent after the client timeout.
    pub late: u64,
    /// 95th percentile of the latency of the successful invocations, in microseconds; 0 if no invocation
    /// succeeded.
    pub p95_us: u64,
}

/// Minimum number of answers of a class in an interval. With fewer answers, no shares are computed.
const ANSWERS_MIN: u64 = 5;

/// A metric for comparing servers. A larger value is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Metric {
    /// Share of answers that are rejections by admission control.
    Throttled,
    /// Share of answers that are failures.
    Errored,
    /// Share of answers sent after the client timeout.
    Late,
    /// Logarithm of the 95th percentile of latency, so that differences express ratios.
    Latency,
}

impl Metric {
    /// All metrics.
    pub const ALL: [Metric; 4] = [Metric::Throttled, Metric::Errored, Metric::Late, Metric::Latency];

    /// Returns the metric's value in an interval, or `None` if the class has no latency, or too few answers
    /// to compute a share.
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

/// Key of a series of values: a metric of one class of invocations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Series {
    pub(crate) class: String,
    pub(crate) metric: Metric,
}

/// Returns the values of an interval with their class and metric.
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
