//! Evidence on each service from one server's own calls: decaying sums of calls, failures and durations.

use super::report::ServiceHealth;
use crate::clock::Nanos;

/// Minimum decayed number of calls before a service can be found unhealthy.
const CALLS_MIN: f64 = 5.0;
/// Ratio of failed calls to all calls at or above which a service counts as failing.
const FAILING_SHARE: f64 = 0.5;
/// A service is slow if its mean duration exceeds the median of the other services' mean durations by this
/// factor. An abandoned call is slow if its duration exceeds the mean of all calls by this factor.
const SLOW_RATIO: f64 = 4.0;

/// Decayed sums of the calls to one service.
#[derive(Clone, Copy, Debug, Default)]
struct CallStatistics {
    calls: f64,
    failures: f64,
    /// Sum of durations, in nanoseconds.
    duration: f64,
    updated_at: Nanos,
}

impl CallStatistics {
    /// Returns the statistics decayed to the time `now`.
    fn decayed(mut self, now: Nanos, half_life: Nanos) -> CallStatistics {
        let remaining = (-(now.saturating_sub(self.updated_at) as f64) / half_life as f64).exp2();
        self.calls *= remaining;
        self.failures *= remaining;
        self.duration *= remaining;
        self.updated_at = now;
        self
    }

    fn mean_duration(&self) -> f64 {
        self.duration / self.calls
    }
}

/// Evidence on all services of a tier. Times are in nanoseconds of the fast clock.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    services: Vec<CallStatistics>,
    half_life: Nanos,
}

impl Evidence {
    pub fn new(services: usize, half_life: Nanos) -> Evidence {
        Evidence { services: vec![CallStatistics::default(); services], half_life }
    }

    /// Returns the number of services in the tier.
    pub fn services(&self) -> usize {
        self.services.len()
    }

    pub fn record_call(&mut self, now: Nanos, service: usize, succeeded: bool, duration: Nanos) {
        let half_life = self.half_life;
        let Some(statistics) = self.services.get_mut(service) else { return };
        *statistics = statistics.decayed(now, half_life);
        statistics.calls += 1.0;
        statistics.failures += f64::from(!succeeded);
        statistics.duration += duration as f64;
    }

    /// Returns whether a call of this duration took longer than [`SLOW_RATIO`] times the mean of all calls.
    ///
    /// The comparison differs from [`Evidence::health`], which compares a service's mean duration with the
    /// median of the other services. Here a single call is judged against all services, so that a slow call
    /// is detected even if only one service has enough calls. Returns false if no service has enough calls.
    ///
    /// The sums are not decayed to the present; they are those at the latest call to each service.
    pub fn is_slow(&self, duration: Nanos) -> bool {
        let (mut calls, mut total_duration) = (0.0, 0.0);
        for statistics in self.services.iter().filter(|statistics| statistics.calls >= CALLS_MIN) {
            calls += statistics.calls;
            total_duration += statistics.duration;
        }
        calls > 0.0 && duration as f64 > total_duration / calls * SLOW_RATIO
    }

    /// Returns the health of a service based on these calls; healthy if there are too few calls.
    pub fn health(&self, now: Nanos, service: usize) -> ServiceHealth {
        let Some(statistics) = self.services.get(service) else { return ServiceHealth::Healthy };
        let statistics = statistics.decayed(now, self.half_life);
        if statistics.calls < CALLS_MIN {
            return ServiceHealth::Healthy;
        }
        if statistics.failures >= statistics.calls * FAILING_SHARE {
            return ServiceHealth::Failing;
        }
        if statistics.mean_duration() > self.median_duration_of_others(now, service) * SLOW_RATIO {
            return ServiceHealth::Slow;
        }
        ServiceHealth::Healthy
    }

    /// Returns the median of the other services' mean durations, in nanoseconds, or infinity if none of them
    /// has enough calls.
    fn median_duration_of_others(&self, now: Nanos, service: usize) -> f64 {
        let mut durations = Vec::new();
        for (index, statistics) in self.services.iter().enumerate() {
            let statistics = statistics.decayed(now, self.half_life);
            if index != service && statistics.calls >= CALLS_MIN {
                durations.push(statistics.mean_duration());
            }
        }
        durations.sort_by(f64::total_cmp);
        durations.get(durations.len() / 2).copied().unwrap_or(f64::INFINITY)
    }
}
