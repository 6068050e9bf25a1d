//! Mean number of runs on the cores over a sliding window, and the number that the machine survives.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of runs on the cores that a machine survives, as the protocol states it.
#[derive(Clone, Copy, Debug)]
pub struct Survivable {
    /// Mean number of runs on the cores that a warm machine survives, as a multiple of its cores.
    pub ratio: f64,
    /// Time over which the number of runs on the cores is averaged.
    pub window: Duration,
    /// Speed of the machine at its start, as a ratio of full speed. 1 for a machine that starts warm.
    pub cold_speed: f64,
    /// Time from the start of the machine until it has full speed.
    pub warm_up: Duration,
}

impl Default for Survivable {
    fn default() -> Self {
        Self { ratio: 8.0, window: Duration::from_millis(1_500), cold_speed: 1.0, warm_up: Duration::ZERO }
    }
}

impl Survivable {
    /// Returns the speed of the machine as a ratio of full speed.
    pub fn speed(&self, age: Duration) -> f64 {
        if age >= self.warm_up {
            return 1.0;
        }
        self.cold_speed + (1.0 - self.cold_speed) * age.as_secs_f64() / self.warm_up.as_secs_f64()
    }

    /// Returns the mean number of runs that `cores` survive at this age of the machine.
    pub fn runs(&self, cores: f64, age: Duration) -> f64 {
        cores * (1.0 + (self.ratio - 1.0) * self.speed(age))
    }
}

/// Time span in which the number of runs on the cores was constant.
struct Span {
    from: Instant,
    to: Instant,
    runs: f64,
}

/// Number of runs on the cores in the recent past.
pub struct CoreLoad {
    window: Duration,
    spans: VecDeque<Span>,
}

impl CoreLoad {
    /// Creates the load of a machine on which nothing has run.
    pub fn new(window: Duration) -> Self {
        Self { window, spans: VecDeque::new() }
    }

    /// Records that `runs` were on the cores between two times. Returns the mean over the window that ends at
    /// the second time.
    pub fn record(&mut self, from: Instant, to: Instant, runs: usize) -> f64 {
        self.spans.push_back(Span { from, to, runs: runs as f64 });
        let Some(start) = to.checked_sub(self.window) else { return 0.0 };
        while self.spans.front().is_some_and(|span| span.to <= start) {
            self.spans.pop_front();
        }
        let run_time = |span: &Span| span.runs * (span.to - span.from.max(start)).as_secs_f64();
        self.spans.iter().map(run_time).sum::<f64>() / self.window.as_secs_f64()
    }
}
