//! Measures how long a change of settings keeps the serving thread from its other work.
//!
//! Wall-clock time includes the time that the thread waited for a core, which depends on other processes. The
//! thread's processor time is the work of the change alone.

use rustix::time::{ClockId, DynamicClockId, clock_gettime_dynamic};
use std::time::{Duration, Instant};

/// Duration of a piece of work of one thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct Span {
    /// Wall-clock time.
    pub wall: Duration,
    /// Processor time of the thread.
    pub processor: Duration,
}

impl Span {
    /// Returns the sum of this span and one that directly follows it.
    pub fn followed_by(self, next: Span) -> Span {
        Span { wall: self.wall + next.wall, processor: self.processor + next.processor }
    }
}

/// Measures the work of the current thread since the stopwatch was started.
pub struct Stopwatch {
    started: Instant,
    /// Processor time that the thread had used when the stopwatch was started.
    processor: Duration,
}

impl Stopwatch {
    /// Starts a measurement.
    pub fn start() -> Self {
        Self { started: Instant::now(), processor: thread_processor_time() }
    }

    /// Returns the time since the start. Must be called on the thread that started the stopwatch.
    pub fn elapsed(&self) -> Span {
        let processor = thread_processor_time().saturating_sub(self.processor);
        Span { wall: self.started.elapsed(), processor }
    }
}

/// Returns the processor time of the current thread; zero if the system does not provide it.
fn thread_processor_time() -> Duration {
    let time = clock_gettime_dynamic(DynamicClockId::Known(ClockId::ThreadCPUTime));
    time.ok().and_then(|time| Duration::try_from(time).ok()).unwrap_or(Duration::ZERO)
}

/// Longest pauses of the serving thread during one change of settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pauses {
    /// Longest pause by wall-clock time and by processor time; these can be two different pauses.
    pub longest: Span,
    /// Number of the last part in the pause with the most processor time. Parts are counted from 1; 0 is the
    /// swap of the configuration before the first part.
    pub longest_part: usize,
    parts: usize,
    /// Total time of the parts that the event loop has applied since it last waited for an event.
    uninterrupted: Span,
}

impl Pauses {
    /// Creates the record of a change's pauses. The first pause is the swap of the configuration, which took
    /// the time `swap`.
    pub fn after_swap(swap: Span) -> Self {
        Self { longest: swap, ..Self::default() }
    }

    /// Adds the time of a part of the change that the event loop has applied.
    pub fn add_part(&mut self, part: Span) {
        self.parts += 1;
        self.uninterrupted = self.uninterrupted.followed_by(part);
        if self.uninterrupted.processor > self.longest.processor {
            self.longest_part = self.parts;
        }
        self.longest.wall = self.longest.wall.max(self.uninterrupted.wall);
        self.longest.processor = self.longest.processor.max(self.uninterrupted.processor);
    }

    /// Ends the current pause: the event loop waits for its next event, and the thread runs other tasks.
    pub fn interrupt(&mut self) {
        self.uninterrupted = Span::default();
    }
}
