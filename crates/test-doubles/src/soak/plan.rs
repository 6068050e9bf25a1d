//! What happens in one run, drawn from its seed.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The span in which signals and faults begin; the notice to leave comes at its end.
const SPAN_MS: u64 = 5_000;
/// Signals of one series follow each other within this time.
const SERIES_GAP_MS: u64 = 40;
/// Longest stop of a server that shares no budget, and of one that does, whose lease is 2 s.
const STOP_MS: u64 = 1_200;
const STOP_OVER_LEASE_MS: u64 = 3_500;

/// Something that happens to one server.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// SIGHUP, with other weights of the tenants in the file.
    Reload,
    /// SIGUSR1: the counters are logged.
    LogCounters,
    /// SIGSTOP, and SIGCONT after a while.
    Stop {
        /// How long it is stopped.
        span: Duration,
    },
    /// The service below answers no call for a while.
    SilentService {
        /// How long.
        span: Duration,
    },
    /// Connections that say nothing, more than the server has descriptors for, until the end.
    IdleConnections {
        /// How many.
        connections: usize,
    },
}

/// An event, when it begins, and the server that it happens to.
#[derive(Clone, Copy, Debug)]
pub struct Scheduled {
    /// Since the load began.
    pub at: Duration,
    /// The server by its index.
    pub server: usize,
    /// What happens.
    pub event: Event,
}

/// A signal of the series that ends a run, and the pause before it.
#[derive(Clone, Copy, Debug)]
pub struct LastSignal {
    /// Pause after the signal before.
    pub after: Duration,
    /// The signal's name without `SIG`.
    pub name: &'static str,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// Servers; several share a budget of calls.
    pub servers: usize,
    /// Calls a second to each.
    pub rate: f64,
    /// Work of a call.
    pub work: Duration,
    /// How long the service below takes.
    pub call_time: Duration,
    /// In the order of their times.
    pub events: Vec<Scheduled>,
    /// The signals at the end, to each server.
    pub ending: Vec<LastSignal>,
}

impl Plan {
    /// The run of a seed.
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

    /// How long the load goes on before the notice to leave.
    pub fn span() -> Duration {
        Duration::from_millis(SPAN_MS)
    }
}

fn draw_moment(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(rng.random_range(200..SPAN_MS - 200))
}

/// One event, or a series of signals.
fn draw_events(rng: &mut ChaCha8Rng, servers: usize) -> Vec<Scheduled> {
    let (at, server) = (draw_moment(rng), rng.random_range(0..servers));
    let longest_stop = if servers > 1 { STOP_OVER_LEASE_MS } else { STOP_MS };
    let event = match rng.random_range(0..6) {
        0 | 1 => Event::Stop { span: Duration::from_millis(rng.random_range(50..longest_stop)) },
        2 => Event::LogCounters,
        // A budget counts calls for as long as the service has them.
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
