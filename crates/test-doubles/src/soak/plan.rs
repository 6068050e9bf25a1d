//! The plan of a soak run, drawn from its seed.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Length in milliseconds of the period in which signals and faults begin. The final signals with the drain
/// notice follow at the end of the period.
const SPAN_MS: u64 = 5_000;
/// Upper bound of the interval between two signals of a series, in milliseconds.
const SERIES_GAP_MS: u64 = 40;
/// Longest stop (SIGSTOP) in milliseconds of a server without a shared budget.
const STOP_MS: u64 = 1_200;
/// Longest stop (SIGSTOP) in milliseconds of a server with a shared budget. The value exceeds the server's
/// lease of 2 s, so that leases expire during stops.
const STOP_OVER_LEASE_MS: u64 = 3_500;

/// An event that affects one server.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// SIGHUP after the tenants' weights in the options file have changed.
    Reload,
    /// SIGUSR1, which makes the server log its counters.
    LogCounters,
    /// SIGSTOP, followed by SIGCONT.
    Stop {
        /// Time between the two signals.
        span: Duration,
    },
    /// The downstream service answers no call.
    SilentService {
        /// Time for which the service does not answer.
        span: Duration,
    },
    /// More idle connections than the server has file descriptors, kept open until the end of the run.
    IdleConnections {
        /// Number of connections.
        connections: usize,
    },
}

/// An event, the time at which it begins, and the server that it affects.
#[derive(Clone, Copy, Debug)]
pub struct Scheduled {
    /// Time from the start of the load until the event begins.
    pub at: Duration,
    /// Index of the affected server.
    pub server: usize,
    /// The event.
    pub event: Event,
}

/// One of the signals that are sent to each server at the end of the load.
#[derive(Clone, Copy, Debug)]
pub struct LastSignal {
    /// Pause before this signal is sent.
    pub after: Duration,
    /// Name of the signal without `SIG`.
    pub name: &'static str,
}

/// Plan of a soak run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed from which the plan was drawn.
    pub seed: u64,
    /// Number of servers; if there are several, they share a budget of downstream calls.
    pub servers: usize,
    /// Calls per second to each server.
    pub rate: f64,
    /// Core time of each call.
    pub work: Duration,
    /// Duration of each downstream call.
    pub call_time: Duration,
    /// Events in the order of their start times.
    pub events: Vec<Scheduled>,
    /// Signals sent to each server at the end of the load, with a drain notice among them.
    pub ending: Vec<LastSignal>,
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let servers = if rng.random_bool(0.35) { 3 } else { 1 };
        let count = rng.random_range(4..10);
        let mut events: Vec<Scheduled> = (0..count).flat_map(|_| draw_events(&mut rng, servers)).collect();
        if rng.random_bool(0.3) {
            let connections = rng.random_range(280..400);
            let (at, server) = (draw_moment(&mut rng), rng.random_range(0..servers));
            events.push(Scheduled { at, server, event: Event::IdleConnections { connections } });
        }
        events.sort_by_key(|scheduled| scheduled.at);
        let series: [&[&'static str]; 5] = [
            &["TERM"],
            &["TERM", "TERM"],
            &["HUP", "HUP", "TERM"],
            &["USR1", "TERM", "INT"],
            &["HUP", "TERM", "HUP"],
        ];
        let names = series.choose(&mut rng).copied().unwrap_or_default();
        let signal = |name: &&'static str| LastSignal {
            after: Duration::from_millis(rng.random_range(0..SERIES_GAP_MS)),
            name,
        };
        let ending = names.iter().map(signal).collect();
        Plan {
            seed,
            servers,
            rate: rng.random_range(30.0..150.0),
            work: Duration::from_micros(rng.random_range(500..4_000)),
            call_time: Duration::from_millis(rng.random_range(5..100)),
            events,
            ending,
        }
    }

    /// Time from the start of the load until the final signals.
    pub fn span() -> Duration {
        Duration::from_millis(SPAN_MS)
    }
}

fn draw_moment(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(rng.random_range(200..SPAN_MS - 200))
}

/// Draws an event, or a series of equal signals.
fn draw_events(rng: &mut ChaCha8Rng, servers: usize) -> Vec<Scheduled> {
    let (at, server) = (draw_moment(rng), rng.random_range(0..servers));
    let longest_stop = if servers > 1 { STOP_OVER_LEASE_MS } else { STOP_MS };
    let event = match rng.random_range(0..6) {
        0 | 1 => Event::Stop { span: Duration::from_millis(rng.random_range(50..longest_stop)) },
        2 => Event::LogCounters,
        // A silent service is drawn only for a single server. Several servers share a budget, which counts a
        // call until the service has answered it.
        3 if servers == 1 => {
            Event::SilentService { span: Duration::from_millis(rng.random_range(200..1_500)) }
        }
        _ => Event::Reload,
    };
    let repeats =
        if matches!(event, Event::Reload | Event::LogCounters) { rng.random_range(1..4) } else { 1 };
    let mut series = Vec::new();
    for repeat in 0..repeats {
        let gap = Duration::from_millis(rng.random_range(0..SERIES_GAP_MS) * repeat);
        series.push(Scheduled { at: at + gap, server, event });
    }
    series
}
