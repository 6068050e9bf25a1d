//! Plan of a soak run. All random choices of the plan are drawn from its seed.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Time in milliseconds from the start of the load until the harness begins to send the final signals, which
/// include a drain notice. All events of the plan begin in this time.
const SPAN_MS: u64 = 5_000;
/// Upper bound of the random pauses between signals, in milliseconds. There is a random pause before each
/// final signal. If an event repeats its signal, the n-th repetition is delayed by n times a random pause.
const SERIES_GAP_MS: u64 = 40;
/// Upper bound of the time for which a server without a shared budget is stopped by SIGSTOP, in milliseconds.
const STOP_MS: u64 = 1_200;
/// Upper bound of the time for which a server with a shared budget is stopped by SIGSTOP, in milliseconds.
/// The bound is longer than the server's lease of 2 s, so that leases expire while some servers are stopped.
const STOP_OVER_LEASE_MS: u64 = 3_500;

/// Event of a soak run. An event affects one server.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The weights of the tenants in the options file change, and SIGHUP makes the server reload the file.
    Reload,
    /// SIGUSR1 makes the server log its counters.
    LogCounters,
    /// SIGSTOP stops the server, and SIGCONT continues it.
    Stop {
        /// Time between SIGSTOP and SIGCONT.
        span: Duration,
    },
    /// For some time, the downstream service does not answer newly arriving calls.
    SilentService {
        /// Time for which newly arriving calls are not answered.
        span: Duration,
    },
    /// Clients open more idle connections than the server has file descriptors. The clients do not close
    /// these connections before the end of the run.
    IdleConnections {
        /// Number of connections.
        connections: usize,
    },
}

/// Scheduled event: its start time, the affected server and the event itself.
#[derive(Clone, Copy, Debug)]
pub struct Scheduled {
    /// Start time of the event, counted from the start of the load.
    pub at: Duration,
    /// Index of the affected server.
    pub server: usize,
    /// The event.
    pub event: Event,
}

/// One of the signals that end a soak run. The harness sends these signals to each server, beginning
/// [`Plan::span`] after the start of the load.
#[derive(Clone, Copy, Debug)]
pub struct LastSignal {
    /// Pause immediately before this signal is sent.
    pub after: Duration,
    /// Name of the signal without the prefix `SIG`.
    pub name: &'static str,
}

/// Plan of a soak run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed from which the random choices of the plan are drawn.
    pub seed: u64,
    /// Number of servers. If there are several servers, they share a budget of downstream calls.
    pub servers: usize,
    /// Number of calls per second that are sent to each server.
    pub rate: f64,
    /// CPU time that the interpreter spends on each call.
    pub work: Duration,
    /// Time that the downstream service takes for each call.
    pub call_time: Duration,
    /// Events of the run, in the order of their start times.
    pub events: Vec<Scheduled>,
    /// Signals that the harness sends to each server in this order, beginning [`Plan::span`] after the start
    /// of the load. The signals include a drain notice.
    pub ending: Vec<LastSignal>,
}

impl Plan {
    /// Draws a plan from the random numbers of a seed.
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

    /// Returns the time from the start of the load until the final signals.
    pub fn span() -> Duration {
        Duration::from_millis(SPAN_MS)
    }
}

fn draw_moment(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(rng.random_range(200..SPAN_MS - 200))
}

/// Draws one random event. A `Reload` or `LogCounters` event is returned up to three times, at short
/// intervals.
fn draw_events(rng: &mut ChaCha8Rng, servers: usize) -> Vec<Scheduled> {
    let (at, server) = (draw_moment(rng), rng.random_range(0..servers));
    let longest_stop = if servers > 1 { STOP_OVER_LEASE_MS } else { STOP_MS };
    let event = match rng.random_range(0..6) {
        0 | 1 => Event::Stop { span: Duration::from_millis(rng.random_range(50..longest_stop)) },
        2 => Event::LogCounters,
        // The service becomes silent only in runs with a single server. Several servers share a budget of
        // downstream calls. A call to a silent service would count against this budget until the service
        // answers.
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
