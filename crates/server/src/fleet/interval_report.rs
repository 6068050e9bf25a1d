//! What this server has answered in each class of invocations since its last report, for a rollout's
//! coordinator to compare.

use hdrhistogram::Histogram;
use meadowstream_rollout::metrics::IntervalMetrics;
use meadowstream_rollout::wire::CLASSES_MAX;
use std::cell::RefCell;

/// Longest latency that is recorded, in microseconds; longer ones count as this.
const LATENCY_MAX_US: u64 = 60_000_000;

/// Characters of an operation's name in a report, so that all classes fit a datagram.
const NAME_MAX: usize = 32;

/// What an invocation was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// With its result.
    Succeeded,
    /// That nothing was done.
    Rejected,
    /// With a failure.
    Failed,
}

struct Class {
    figures: IntervalMetrics,
    latency: Histogram<u64>,
}

/// A histogram of latencies cannot be made.
#[derive(Debug, thiserror::Error)]
#[error("no histogram of latencies: {0}")]
pub struct HistogramError(hdrhistogram::errors::CreationError);

/// One class for each operation, the first ones of the settings where there are more than a report holds.
pub struct AnswerRecorder {
    classes: RefCell<Vec<Class>>,
}

impl AnswerRecorder {
    /// An empty record of these operations.
    pub fn new(operations: &[String]) -> Result<AnswerRecorder, HistogramError> {
        let class = |name: &String| {
            let latency = Histogram::new_with_bounds(1, LATENCY_MAX_US, 2).map_err(HistogramError)?;
            let class = name.chars().take(NAME_MAX).collect();
            Ok(Class { figures: IntervalMetrics { class, ..IntervalMetrics::default() }, latency })
        };
        let classes =
            operations.iter().take(CLASSES_MAX).map(class).collect::<Result<_, HistogramError>>()?;
        Ok(AnswerRecorder { classes: RefCell::new(classes) })
    }

    /// Records an answer after so many nanoseconds; `late` where its caller had given up by then.
    pub fn record_answer(&self, operation: usize, outcome: AnswerOutcome, latency_ns: u64, late: bool) {
        let mut classes = self.classes.borrow_mut();
        let Some(Class { figures, latency }) = classes.get_mut(operation) else { return };
        figures.answered += 1;
        figures.late += u64::from(late);
        match outcome {
            AnswerOutcome::Succeeded => latency.saturating_record((latency_ns / 1000).max(1)),
            AnswerOutcome::Rejected => figures.throttled += 1,
            AnswerOutcome::Failed => figures.errored += 1,
        }
    }

    /// Everything recorded since the last time.
    pub fn take(&self) -> Vec<IntervalMetrics> {
        let taken = |Class { figures, latency }: &mut Class| {
            let p95_us = if latency.is_empty() { 0 } else { latency.value_at_quantile(0.95) };
            latency.reset();
            let class = figures.class.clone();
            IntervalMetrics {
                p95_us,
                ..std::mem::replace(figures, IntervalMetrics { class, ..IntervalMetrics::default() })
            }
        };
        self.classes.borrow_mut().iter_mut().map(taken).collect()
    }
}
