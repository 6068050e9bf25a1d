//! Measures for how long a change of settings blocks the serving thread.
//!
//! Two times are measured. The wall-clock time includes waits for a core, which depend on other processes.
//! The thread's processor time includes only the work of the change.

use rustix::time::{ClockId, DynamicClockId, clock_gettime_dynamic};
use std::time::{Duration, Instant};

/// Duration of a piece of work, measured as wall-clock time and as processor time of the thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct Span {
    /// Wall-clock time.
    pub wall: Duration,
    /// Processor time of the thread.
    pub processor: Duration,
}

impl Span {
    /// Returns the total duration of two pieces of work: `self`, and `next`, which follows directly after
    /// `self`.
    pub fn followed_by(self, next: Span) -> Span {
        Span { wall: self.wall + next.wall, processor: self.processor + next.processor }
    }
}

/// Measures the duration of work on the current thread. The measurement begins when the stopwatch is started.
pub struct Stopwatch {
    started: Instant,
    /// Total processor time of the current thread when the stopwatch was started.
    processor: Duration,
}

impl Stopwatch {
    /// Starts a measurement.
    pub fn start() -> Self {
        Self { started: Instant::now(), processor: thread_processor_time() }
    }

    /// Returns the duration since the start of the stopwatch. Must be called on the thread that started the
    /// stopwatch.
    pub fn elapsed(&self) -> Span {
        let processor = thread_processor_time().saturating_sub(self.processor);
        Span { wall: self.started.elapsed(), processor }
    }
}

/// Returns the total processor time of the current thread. Returns zero if the system does not provide this
/// time.
fn thread_processor_time() -> Duration {
    let time = clock_gettime_dynamic(DynamicClockId::Known(ClockId::ThreadCPUTime));
    time.ok().and_then(|time| Duration::try_from(time).ok()).unwrap_or(Duration::ZERO)
}

/// The longest pauses of the serving thread during one change of settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pauses {
    /// Longest wall-clock time and longest processor time of the thread's pauses during one change of
    /// settings. The two values may come from different pauses.
    pub longest: Span,
    /// Identifies the pause with the longest processor time by the number of the last part of the change in
    /// this pause. Parts are numbered from 1. The number 0 stands for the swap of the configuration, which
    /// precedes the first part.
    pub longest_part: usize,
    parts: usize,
    /// Duration of the serving thread's current pause. The pause consists of all parts of a change that were
    /// applied since the event loop last waited for an event.
    uninterrupted: Span,
}

impl Pauses {
    /// Creates the record of the serving thread's pauses during a change of settings. The first pause is the
    /// swap of the configuration, with the duration `swap`.
    pub fn after_swap(swap: Span) -> Self {
        Self { longest: swap, ..Self::default() }
    }

    /// Adds the duration of one part of a settings change to the serving thread's current pause. The event
    /// loop has already applied this part.
    pub fn add_part(&mut self, part: Span) {
        self.parts += 1;
        self.uninterrupted = self.uninterrupted.followed_by(part);
        if self.uninterrupted.processor > self.longest.processor {
            self.longest_part = self.parts;
        }
        self.longest.wall = self.longest.wall.max(self.uninterrupted.wall);
        self.longest.processor = self.longest.processor.max(self.uninterrupted.processor);
    }

    /// Ends the current pause of the serving thread. Called when the event loop waits for its next event,
    /// because the thread then runs other tasks.
    pub fn interrupt(&mut self) {
        self.uninterrupted = Span::default();
    }
}
