//! How long a change of settings keeps the serving thread from its other work.
//!
//! The time by the wall clock has in it what the thread waited for a core, which other processes decide; the
//! thread's processor time is the change's own work.

use rustix::time::{ClockId, DynamicClockId, clock_gettime_dynamic};
use std::time::{Duration, Instant};

/// A span of work of one thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct Span {
    /// By the wall clock.
    pub wall: Duration,
    /// The thread's processor time.
    pub processor: Duration,
}

impl Span {
    /// This span with another right after it.
    pub fn followed_by(self, next: Span) -> Span {
        Span { wall: self.wall + next.wall, processor: self.processor + next.processor }
    }
}

/// Measures a span of work of the thread that started it.
pub struct Stopwatch {
    began: Instant,
    processor: Duration,
}

impl Stopwatch {
    /// Begins a span now.
    pub fn start() -> Self {
        Self { began: Instant::now(), processor: thread_processor_time() }
    }

    /// The span until now.
    pub fn elapsed(&self) -> Span {
        let processor = thread_processor_time().saturating_sub(self.processor);
        Span { wall: self.began.elapsed(), processor }
    }
}

/// Zero where the system does not tell.
fn thread_processor_time() -> Duration {
    let time = clock_gettime_dynamic(DynamicClockId::Known(ClockId::ThreadCPUTime));
    time.ok().and_then(|time| Duration::try_from(time).ok()).unwrap_or(Duration::ZERO)
}

/// The longest pauses of one change.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pauses {
    /// By the wall clock and by processor time, each the longest.
    pub longest: Span,
    /// The part that took the most processor time; 0 is the swap, before the parts.
    pub longest_part: usize,
    parts: usize,
    /// Parts that the event loop has taken one after another, without having waited in between.
    uninterrupted: Span,
}

impl Pauses {
    /// The pauses of a change whose swap has taken so long.
    pub fn after_swap(swap: Span) -> Self {
        Self { longest: swap, ..Self::default() }
    }

    /// The event loop has taken a part.
    pub fn add_part(&mut self, part: Span) {
        self.parts += 1;
        self.uninterrupted = self.uninterrupted.followed_by(part);
        if self.uninterrupted.processor > self.longest.processor {
            self.longest_part = self.parts;
        }
        self.longest.wall = self.longest.wall.max(self.uninterrupted.wall);
        self.longest.processor = self.longest.processor.max(self.uninterrupted.processor);
    }

    /// The event loop waits for its next event, and the thread does what else there is.
    pub fn interrupt(&mut self) {
        self.uninterrupted = Span::default();
    }
}
