//! Records the answers that this server sends, for its reports to a rollout's coordinator. Each operation is
//! recorded separately. The coordinator compares servers with the rollout's change and servers without the
//! change.

use hdrhistogram::Histogram;
use meadowstream_rollout::metrics::IntervalMetrics;
use meadowstream_rollout::wire::CLASSES_MAX;
use std::cell::RefCell;

/// Maximum recorded latency, in microseconds. Longer latencies are recorded with this value.
const LATENCY_MAX_US: u64 = 60_000_000;

/// Maximum number of characters of an operation's name in a report. Longer names are cut, so that all
/// operations fit in one datagram.
const NAME_MAX: usize = 32;

/// Outcome of an invocation, as stated in the answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// The invocation succeeded, and the answer carries its result.
    Succeeded,
    /// The invocation was rejected. The caller can safely retry the invocation.
    Rejected,
    /// The invocation failed.
    Failed,
}

struct Class {
    figures: IntervalMetrics,
    latency: Histogram<u64>,
}

/// Error: a latency histogram cannot be created.
#[derive(Debug, thiserror::Error)]
#[error("cannot create a latency histogram: {0}")]
pub struct HistogramError(hdrhistogram::errors::CreationError);

/// Records the answers that this server sends, for its reports to a rollout's coordinator. Each operation is
/// recorded separately. If the settings define more operations than a report can hold, only the first
/// operations are recorded.
pub struct AnswerRecorder {
    classes: RefCell<Vec<Class>>,
}

impl AnswerRecorder {
    /// Creates a recorder without answers. The recorder counts the answers of each operation in `operations`
    /// separately.
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

    /// Records an answer that was sent `latency_ns` nanoseconds after the call arrived. `late` is true if the
    /// operation's client timeout had passed before the answer was sent.
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

    /// Returns the figures of all answers recorded since the previous call of this function. Then resets the
    /// figures.
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
