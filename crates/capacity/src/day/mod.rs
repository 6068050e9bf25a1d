//! A day of configuration on the simulated fleet of the replication crate: changes, restarts and failures at
//! their stated numbers, a rack lost, a zone and a region cut off, all control machines down; and when each
//! change was in force everywhere.

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

/// 99 in 100 of the times until a change is in force on a server must not be over it, in seconds.
pub const IN_FORCE_SECONDS_BOUND: f64 = 4.0;
/// After the day, the fleet is played for so long to catch up.
const CATCH_UP_NS: Nanos = 300 * SECOND_NS;

/// How large the fleet is and how long its day. Spans are in seconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DayScale {
    /// Servers of the fleet.
    pub servers: usize,
    /// Of all random numbers.
    pub seed: u64,
    /// The day's length; its events are as many as those of a whole day.
    #[serde(rename = "day")]
    pub day_seconds: u64,
    /// A region is cut off for so long.
    #[serde(rename = "region_apart")]
    pub region_cut_seconds: u64,
    /// A zone is cut off for so long.
    #[serde(rename = "zone_away")]
    pub zone_cut_seconds: u64,
    /// The control machines are down for so long.
    #[serde(rename = "control_away")]
    pub control_down_seconds: u64,
}

impl DayScale {
    /// All events of a day in a tenth of one, with the stated spans.
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

    /// All events of a day in a tenth of an hour, with short spans.
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

/// What came of the day. Times are in seconds.
#[derive(Clone, Debug, Serialize)]
pub struct Day {
    /// As it was played.
    pub scale: DayScale,
    /// Changes that were accepted.
    pub changes: usize,
    /// Changes that found no leader, or one with too much to commit.
    pub not_published: usize,
    /// Restarts and failures of servers.
    pub restarts: usize,
    /// Until in force on a server, over all changes and the servers that were reached all the time: median.
    #[serde(rename = "p50")]
    pub p50_seconds: f64,
    /// The same: 99 in 100.
    #[serde(rename = "p99")]
    pub p99_seconds: f64,
    /// The same: the longest.
    #[serde(rename = "worst")]
    pub max_seconds: f64,
    /// Until in force on the last of these servers, over all changes: median.
    #[serde(rename = "everywhere_p50")]
    pub everywhere_p50_seconds: f64,
    /// The same: 99 in 100.
    #[serde(rename = "everywhere_p99")]
    pub everywhere_p99_seconds: f64,
    /// The longest until a server that was cut off or restarted had the revision that was newest at its
    /// return. Servers that never had it by the end are left out.
    #[serde(rename = "caught_up_worst")]
    pub catch_up_max_seconds: f64,
    /// The same of servers with an empty disk.
    #[serde(rename = "empty_caught_up_worst")]
    pub empty_disk_catch_up_max_seconds: f64,
    /// Returns of servers.
    #[serde(rename = "caught_up")]
    pub returns: usize,
    /// The changes that took longest.
    pub slowest: Vec<String>,
    /// Mean bytes a second that a server sent, without envelopes.
    #[serde(rename = "bytes")]
    pub bytes_per_second: f64,
    /// The same of the leader, in the first tenth of the day.
    #[serde(rename = "control_bytes")]
    pub leader_bytes_per_second: f64,
    /// Processor time of a member, in percent of a core.
    #[serde(rename = "processor")]
    pub processor_percent: f64,
}

/// What the day cost on average.
struct Costs {
    bytes_per_second: f64,
    leader_bytes_per_second: f64,
    processor_percent: f64,
}

/// Bytes that the member of a node has sent since its start.
fn sent_bytes(run: &Run, node: Option<usize>) -> u64 {
    node.and_then(|node| run.fleet.member(node)).map_or(0, |member| member.counts.sent_bytes)
}

/// Plays the day. `progress` is called with a line at each tenth.
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
                // Before any fault of the control machines.
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
