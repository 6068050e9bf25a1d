//! Simulates a day of configuration changes on the simulated fleet of the replication crate. Measures the
//! time until every server has applied a change. During the day, there are `CHANGES` configuration changes,
//! `RESTARTS_PER_DAY` restarts and `FAILURES_PER_DAY` failures of single servers. In addition, a rack fails,
//! a zone and a region are isolated by network partitions, and all control machines fail.

mod run;
mod schedule;
mod summary;

use crate::meter::thread_time_ns;
use crate::scale::SECOND_NS;
use meadowstream_membership::Nanos;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use run::Run;
pub use schedule::CHANGES;
use schedule::schedule;
use serde::Serialize;
use summary::summary;

/// Upper bound in seconds for the delay with which servers apply a configuration change. The delay begins
/// when the leader accepts the change. The bound applies to the 99th percentile of the delays.
pub const IN_FORCE_SECONDS_BOUND: f64 = 4.0;
/// Simulated time for which the simulation continues after the end of the day, in nanoseconds. In this time,
/// servers apply the last changes.
const CATCH_UP_NS: Nanos = 300 * SECOND_NS;

/// Fleet size and time spans of the simulated day.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DayScale {
    /// Number of servers in the fleet.
    pub servers: usize,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Simulated length of the day, in seconds. A day shorter than 86,400 s still contains all configuration
    /// changes, restarts and failures of a full day.
    #[serde(rename = "day")]
    pub day_seconds: u64,
    /// Time for which a region is cut off from the other regions, in seconds.
    #[serde(rename = "region_apart")]
    pub region_cut_seconds: u64,
    /// Time for which a zone is cut off from the other zones, in seconds.
    #[serde(rename = "zone_away")]
    pub zone_cut_seconds: u64,
    /// Time for which all control machines are down, in seconds.
    #[serde(rename = "control_away")]
    pub control_down_seconds: u64,
}

impl DayScale {
    /// Returns a scale that simulates all events of a day in a tenth of a day (8640 s). The failures last as
    /// long as in a full day.
    pub fn full(servers: usize, seed: u64) -> DayScale {
        DayScale {
            servers,
            seed,
            day_seconds: 8_640,
            region_cut_seconds: 3_600,
            zone_cut_seconds: 600,
            control_down_seconds: 300,
        }
    }

    /// Returns a scale that simulates all events of a day in a tenth of an hour (360 s). The failures are
    /// shortened.
    pub fn quick(servers: usize, seed: u64) -> DayScale {
        DayScale {
            servers,
            seed,
            day_seconds: 360,
            region_cut_seconds: 40,
            zone_cut_seconds: 20,
            control_down_seconds: 20,
        }
    }
}

/// Measurements of the simulated day.
#[derive(Clone, Debug, Serialize)]
pub struct Day {
    /// Fleet size and time spans that were simulated.
    pub scale: DayScale,
    /// Number of configuration changes that the leader accepted.
    pub changes: usize,
    /// Number of configuration changes that were proposed without success. Either there was no leader, or the
    /// leader had too many uncommitted changes.
    pub not_published: usize,
    /// Number of server restarts and server failures in the simulated day. Failures of control machines are
    /// not counted.
    pub restarts: usize,
    /// Median time from the leader's acceptance of a change until a server applied the change, in seconds.
    /// The median covers all changes, and all servers that stayed reachable.
    #[serde(rename = "p50")]
    pub p50_seconds: f64,
    /// 99th percentile of the time from the leader's acceptance of a change until a server applied the
    /// change, in seconds. The percentile covers all changes, and all servers that stayed reachable.
    #[serde(rename = "p99")]
    pub p99_seconds: f64,
    /// Longest time from the leader's acceptance of a change until a server applied the change, in seconds.
    /// The maximum covers all changes, and all servers that stayed reachable.
    #[serde(rename = "worst")]
    pub max_seconds: f64,
    /// Median, over all changes, of the time until all servers have applied a change, in seconds. The time
    /// starts when the leader accepts the change. Servers that did not stay reachable are left out.
    #[serde(rename = "everywhere_p50")]
    pub everywhere_p50_seconds: f64,
    /// 99th percentile, over all changes, of the time until all servers have applied a change, in seconds.
    /// The time starts when the leader accepts the change. Servers that did not stay reachable are left out.
    #[serde(rename = "everywhere_p99")]
    pub everywhere_p99_seconds: f64,
    /// Longest catch-up time in seconds, over the servers that were cut off or restarted with an intact disk.
    /// The catch-up time of a server starts when the server returns. The time ends when the server applies
    /// the revision that was newest at its return. Servers that never caught up are left out.
    #[serde(rename = "caught_up_worst")]
    pub catch_up_max_seconds: f64,
    /// Longest catch-up time in seconds, over the servers that restarted with an empty disk. The catch-up
    /// time of a server starts when the server returns. The time ends when the server applies the revision
    /// that was newest at its return. Servers that never caught up are left out.
    #[serde(rename = "empty_caught_up_worst")]
    pub empty_disk_catch_up_max_seconds: f64,
    /// Number of times that a server returned to the fleet after a restart or a network partition.
    #[serde(rename = "caught_up")]
    pub returns: usize,
    /// Descriptions of the configuration changes that took the longest to reach a server, the slowest first.
    pub slowest: Vec<String>,
    /// Average number of bytes per second that a server sent, without the bytes of message envelopes.
    #[serde(rename = "bytes")]
    pub bytes_per_second: f64,
    /// Average number of bytes per second that the leader sent in the first tenth of the day, without the
    /// bytes of message envelopes.
    #[serde(rename = "control_bytes")]
    pub leader_bytes_per_second: f64,
    /// Average CPU use of the replication code of one server, in percent of a core.
    #[serde(rename = "processor")]
    pub processor_percent: f64,
}

/// Average costs over the day.
struct Costs {
    bytes_per_second: f64,
    leader_bytes_per_second: f64,
    processor_percent: f64,
}

/// Returns the number of bytes that the replication code of the server `node` has sent since the server
/// started. Returns 0 if `node` is `None` or the server is not running.
fn sent_bytes(run: &Run, node: Option<usize>) -> u64 {
    node.and_then(|node| run.fleet.member(node)).map_or(0, |member| member.counts.sent_bytes)
}

/// Simulates the day and calls `progress` with one line of text after each tenth of the day.
pub fn play(scale: &DayScale, progress: &dyn Fn(&str)) -> Day {
    let mut rng = ChaCha8Rng::seed_from_u64(scale.seed);
    let mut run = Run::start(scale);
    let mut events = schedule(scale, &mut rng);
    let processor_before = thread_time_ns();
    let bytes_before = run.fleet.sent_bytes;
    let leader = run.fleet.leader();
    let leader_bytes_before = sent_bytes(&run, leader);
    let mut leader_bytes_per_second = 0.0;
    let mut tenth = 1;
    while let Some((at, event)) = events.pop_until(Nanos::MAX) {
        let next = run.started_at + at;
        if next > run.fleet.now() {
            run.fleet.run_for(next - run.fleet.now());
        }
        if at >= tenth * scale.day_seconds * SECOND_NS / 10 {
            progress(&format!("{tenth} tenths of the day, {} changes", run.published.len()));
            if tenth == 1 {
                // The bytes sent in the first tenth of the day are counted here. The control machines fail
                // later, so `leader` still leads at this time.
                let sent = sent_bytes(&run, leader).saturating_sub(leader_bytes_before);
                leader_bytes_per_second = sent as f64 / (at as f64 / SECOND_NS as f64);
            }
            tenth += 1;
        }
        run.handle(event, at, &mut events, &mut rng);
    }
    run.fleet.run_for(CATCH_UP_NS);
    let span_seconds = (run.fleet.now() - run.started_at) as f64 / SECOND_NS as f64;
    let server_seconds = span_seconds * scale.servers as f64;
    let processor_seconds = (thread_time_ns() - processor_before) as f64 / SECOND_NS as f64;
    let costs = Costs {
        bytes_per_second: (run.fleet.sent_bytes - bytes_before) as f64 / server_seconds,
        leader_bytes_per_second,
        processor_percent: processor_seconds / server_seconds * 100.0,
    };
    summary(scale, &run, costs)
}
