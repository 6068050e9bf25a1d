//! What a server did in one interval, and the values by which servers are compared.

use serde::{Deserialize, Serialize};

/// What one server did in one interval for one class of invocations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntervalMetrics {
    /// Name of the class: an operation.
    pub class: String,
    /// Invocations answered, however.
    pub answered: u64,
    /// Of those answered, rejected by admission control.
    pub throttled: u64,
    /// Of those answered, failed.
    pub errored: u64,
    /// Of those answered, answered after the client timeout.
    pub late: u64,
    /// 95th percentile of the latency of those that succeeded, in microseconds; 0 where none did.
    pub p95_us: u64,
}

/// Answers of a class in an interval below which their shares are left out.
const ANSWERS_MIN: u64 = 5;

/// A value by which servers are compared. A larger one is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Metric {
    /// Share of answers throttled.
    Throttled,
    /// Share of answers errored.
    Errored,
    /// Share of answers late.
    Late,
    /// Logarithm of the 95th percentile of latency, so that differences are ratios.
    Latency,
}

impl Metric {
    /// Every metric.
    pub const ALL: [Metric; 4] = [Metric::Throttled, Metric::Errored, Metric::Late, Metric::Latency];

    /// The metric's value in an interval; `None` where there is too little to say.
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

/// What is compared: a metric of a class of invocations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Series {
    pub(crate) class: String,
    pub(crate) metric: Metric,
}

/// The values of an interval, by class and metric.
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
