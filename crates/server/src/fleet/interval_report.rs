//! Records the answers that this server has sent since its last report, in one class per operation. A
//! rollout's coordinator compares the recorded figures between servers with and without the change.

use hdrhistogram::Histogram;
use meadowstream_rollout::metrics::IntervalMetrics;
use meadowstream_rollout::wire::CLASSES_MAX;
use std::cell::RefCell;

/// Upper bound of recorded latencies, in microseconds; longer latencies are recorded as this value.
const LATENCY_MAX_US: u64 = 60_000_000;

/// Operation names in a report are cut to this number of characters, so that all classes fit in one datagram.
const NAME_MAX: usize = 32;

/// Outcome of an invocation, as reported to the caller in the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// The invocation succeeded, and the answer carries its result.
    Succeeded,
    /// The invocation was rejected without having run.
    Rejected,
    /// The invocation failed.
    Failed,
}

struct Class {
    figures: IntervalMetrics,
    latency: Histogram<u64>,
}

/// A latency histogram cannot be created.
#[derive(Debug, thiserror::Error)]
#[error("cannot create a latency histogram: {0}")]
pub struct HistogramError(hdrhistogram::errors::CreationError);

/// Records answers in one class per operation. If there are more operations than a report can hold, only the
/// first ones in the settings are recorded.
pub struct AnswerRecorder {
    classes: RefCell<Vec<Class>>,
}

impl AnswerRecorder {
    /// Creates an empty record for operations with these names.
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

    /// Records an answer sent `latency_ns` nanoseconds after its invocation. `late` is true if the answer was
    /// sent after the caller's timeout.
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

    /// Returns the figures recorded since the previous call, and resets them.
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
