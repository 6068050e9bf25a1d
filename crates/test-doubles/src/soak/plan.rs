//! Plan of a soak run. All random choices of the plan are drawn from its seed.

use super::checks;
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
    /// The cores of the interpreter run at a share of their speed, or stand still.
    Cores {
        /// Speed as a ratio of full speed; 0 if the cores stand still.
        speed: f64,
        /// Time for which the cores have this speed.
        span: Duration,
    },
    /// The link to the interpreter is reset. Commands that the server sends shortly before are lost.
    ResetLink {
        /// Time before the reset for which commands are lost.
        loses: Duration,
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

/// Faults that are added to the plan of a soak run: at the interpreter, and from clients that do
/// not leave.
#[derive(Clone, Debug)]
pub struct InjectedFaults {
    /// Effect of the operation, as the configuration names it.
    pub effect: &'static str,
    /// Time for which a client waits for its answer.
    pub client_timeout: Duration,
    /// Factor by which the rate of calls is multiplied. Above 1, the clients send more than the cores can
    /// serve.
    pub overload: f64,
    /// Whether clients go on using connections that the server drains, until the server closes them or is
    /// killed.
    pub keeps_draining_connections: bool,
}

/// Longest client timeout in a run with faults, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 3_000;
/// Time from the drain notice to the kill beyond the client timeout, in a run with faults.
const STOP_AFTER_TIMEOUT: Duration = Duration::from_millis(700);

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
    /// Additional faults; `None` in a run with signals only.
    pub injected: Option<InjectedFaults>,
}

impl Plan {
    /// Draws a plan like [`Plan::draw`], and adds faults at the interpreter and from clients.
    pub fn draw_with_faults(seed: u64) -> Plan {
        let mut plan = Plan::draw(seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x63);
        let effects = ["repeatable", "once", "by_key"];
        plan.injected = Some(InjectedFaults {
            effect: effects.choose(&mut rng).copied().unwrap_or_default(),
            client_timeout: Duration::from_millis(rng.random_range(600..=CLIENT_TIMEOUT_MS)),
            overload: if rng.random_bool(0.4) { rng.random_range(3.0..8.0) } else { 1.0 },
            keeps_draining_connections: rng.random_bool(0.6),
        });
        plan.work = Duration::from_millis(rng.random_range(5..80));
        for _ in 0..rng.random_range(2..5) {
            let server = rng.random_range(0..plan.servers);
            plan.events.extend(draw_interpreter_faults(&mut rng, server));
        }
        plan.events.sort_by_key(|scheduled| scheduled.at);
        plan
    }

    /// Returns the time for which a client waits for its answer.
    pub fn client_timeout(&self) -> Duration {
        self.injected.as_ref().map_or(checks::CLIENT_TIMEOUT, |injected| injected.client_timeout)
    }

    /// Returns the time after the drain notice at which a server is killed that still runs.
    pub fn stop_after(&self) -> Duration {
        let after_timeout = |injected: &InjectedFaults| injected.client_timeout + STOP_AFTER_TIMEOUT;
        self.injected.as_ref().map_or(checks::STOP_AFTER, after_timeout)
    }

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
            injected: None,
        }
    }

    /// Returns the time from the start of the load until the final signals.
    pub fn span() -> Duration {
        Duration::from_millis(SPAN_MS)
    }
}

/// Draws one event at the interpreter of a server, or a series of resets of its link.
fn draw_interpreter_faults(rng: &mut ChaCha8Rng, server: usize) -> Vec<Scheduled> {
    let at = draw_moment(rng);
    let event = match rng.random_range(0..4) {
        0 | 1 => Event::Cores { speed: 0.0, span: Duration::from_millis(rng.random_range(300..4_000)) },
        2 => Event::Cores { speed: 0.1, span: Duration::from_millis(rng.random_range(300..4_000)) },
        _ => Event::ResetLink { loses: Duration::from_millis(rng.random_range(0..40)) },
    };
    let repeats = if matches!(event, Event::ResetLink { .. }) { rng.random_range(1..8) } else { 1 };
    let gap = Duration::from_millis(rng.random_range(50..800));
    (0..repeats).map(|repeat| Scheduled { at: at + gap * repeat, server, event }).collect()
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
