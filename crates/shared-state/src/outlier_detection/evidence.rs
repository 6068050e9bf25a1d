//! Evidence on the health of each service, from one server's own calls. For each service, the numbers of
//! calls and failures and the call durations are kept as sums that decay exponentially with time.

use super::report::ServiceHealth;
use crate::clock::Nanos;

/// Minimum number of recent calls that a service needs before its health is judged. Calls count less as they
/// get older. A service with fewer calls counts as healthy.
const CALLS_MIN: f64 = 5.0;
/// Minimum ratio of failed calls to all calls at which a service counts as failing.
const FAILING_SHARE: f64 = 0.5;
/// Ratio of a call duration to the usual duration above which a call or service is slow. The mean duration of
/// a service is compared with the median of the other services' mean durations. The duration of an abandoned
/// call is compared with the mean duration of all calls.
const SLOW_RATIO: f64 = 4.0;

/// Statistics of the calls to one service, as sums that decay exponentially with time.
#[derive(Clone, Copy, Debug, Default)]
struct CallStatistics {
    calls: f64,
    failures: f64,
    /// Sum of the call durations, in nanoseconds, decayed exponentially with time.
    duration: f64,
    updated_at: Nanos,
}

impl CallStatistics {
    /// Returns the statistics as of the time `now`: the sums have decayed since they were last updated.
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

/// Evidence on the health of all services of a tier, from this server's own calls. Times are in nanoseconds
/// of the fast clock.
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

    /// Returns whether a call that took `duration` nanoseconds is slow compared with the recorded calls to
    /// all services. The limit is [`SLOW_RATIO`] times the mean duration of these calls. Services with fewer
    /// than [`CALLS_MIN`] calls are left out. Returns false if no service remains.
    ///
    /// [`Evidence::health`] instead compares the mean duration of one service with the median of the other
    /// services. Unlike `health`, `is_slow` also works if only one service has enough calls.
    ///
    /// The sums are not decayed to the present: the sums of each service have their values from the time of
    /// its latest recorded call.
    pub fn is_slow(&self, duration: Nanos) -> bool {
        let (mut calls, mut total_duration) = (0.0, 0.0);
        for statistics in self.services.iter().filter(|statistics| statistics.calls >= CALLS_MIN) {
            calls += statistics.calls;
            total_duration += statistics.duration;
        }
        calls > 0.0 && duration as f64 > total_duration / calls * SLOW_RATIO
    }

    /// Returns the health of a service, based on this server's recorded calls to all services of the tier. A
    /// service with fewer than [`CALLS_MIN`] recent calls counts as healthy.
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

    /// Returns the median of the mean call durations of the other services, in nanoseconds. Services with
    /// fewer than [`CALLS_MIN`] recent calls are left out. Returns infinity if no service remains.
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
