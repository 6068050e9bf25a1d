//! Measures the resource use of each process in a fleet of real processes on this machine. The report
//! compares the measurement with the model's result for a fleet of equal size.

use crate::added_latency::CORES;
use crate::error::MeasureError;
use crate::options;
use crate::process::{Process, ProcessSettings};
use serde::Serialize;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time to wait after the start of the single process without a fleet, before the process is measured.
const ALONE_SETTLE: Duration = Duration::from_secs(2);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(90);
const CONVERGENCE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time to wait after all processes have joined the fleet, before the fleet is measured. In this time, the
/// servers stop sending gossip about the joins.
const JOIN_GOSSIP_DURATION: Duration = Duration::from_secs(12);
const DESCRIPTORS: usize = 256;

/// Average resource use of a process in a fleet. Includes the resource use of a single process without a
/// fleet for comparison.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ProcessFleet {
    /// Number of processes.
    pub processes: usize,
    /// Resident memory in bytes of a single process without membership and shared state.
    #[serde(rename = "resident_alone")]
    pub resident_bytes_alone: f64,
    /// CPU use of a single process without membership and shared state, in percent of a core.
    #[serde(rename = "processor_alone")]
    pub processor_percent_alone: f64,
    /// Average resident memory of a process in the fleet, in bytes.
    #[serde(rename = "resident")]
    pub resident_bytes: f64,
    /// Average CPU use of a process in the fleet, in percent of a core.
    #[serde(rename = "processor")]
    pub processor_percent: f64,
    /// Average number of bytes per second that a process in the fleet sent.
    #[serde(rename = "bytes")]
    pub bytes_per_second: f64,
}

/// Number of bytes that a process had sent when it logged a `view` line. A `view` line lists the state of the
/// membership protocol, including the number of bytes sent.
struct SentBytes {
    at: Instant,
    bytes: f64,
}

impl SentBytes {
    /// Reads the sent bytes from the latest `view` line of the process; `None` if the process has not logged
    /// a `view` line.
    fn latest(process: &Process) -> Option<SentBytes> {
        let view = process.lines("view").pop()?;
        let counts: serde_json::Value = serde_json::from_str(view.fields["counts"].as_str()?).ok()?;
        Some(SentBytes { at: view.at, bytes: counts["sent_bytes"].as_f64()? })
    }

    /// Returns the average number of bytes per second that the process sent after the earlier reading
    /// `before`. Returns `None` if this reading and `before` are from one log line.
    fn per_second_since(&self, before: &SentBytes) -> Option<f64> {
        let seconds = self.at.duration_since(before.at).as_secs_f64();
        (seconds > 0.0).then(|| (self.bytes - before.bytes) / seconds)
    }
}

fn settings(name: &str, options: String) -> ProcessSettings {
    ProcessSettings { name: name.to_string(), routes: 2, descriptors: DESCRIPTORS, options, cores: CORES }
}

/// Sleeps for `span`. Returns the total CPU use of all processes during the sleep, in percent of a core.
fn processor_percent(processes: &[Process], span: Duration) -> Result<f64, MeasureError> {
    let total = || processes.iter().map(Process::processor_seconds).sum::<Result<f64, MeasureError>>();
    let (before, started_at) = (total()?, Instant::now());
    std::thread::sleep(span);
    Ok((total()? - before) / started_at.elapsed().as_secs_f64() * 100.0)
}

/// Starts a fleet of `size` processes and waits until the membership view of each process contains all other
/// processes. The first process is the seed of the fleet.
fn start_fleet(program: &Path, size: usize) -> Result<Vec<Process>, MeasureError> {
    let first = Process::start(program, &settings("c0", options::fleet("c0", size, None)))?;
    let joining = first.wait_for("joining", 0)?;
    let seed = joining["bound"].as_str();
    let seed = seed.ok_or(MeasureError::NoAddress { message: "joining", field: "bound" })?.to_string();
    let mut processes = vec![first];
    for index in 1..size {
        let name = format!("c{index}");
        let options = options::fleet(&name, size, Some(&seed));
        processes.push(Process::start(program, &settings(&name, options))?);
    }
    let sees_all = |process: &Process| {
        let view = process.lines("view").pop();
        view.is_some_and(|view| view.fields["alive"].as_u64() == Some(size as u64 - 1))
    };
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    while !processes.iter().all(sees_all) {
        if Instant::now() >= deadline {
            return Err(MeasureError::NotConverged { processes: size, within: CONVERGENCE_TIMEOUT });
        }
        std::thread::sleep(CONVERGENCE_POLL_INTERVAL);
    }
    Ok(processes)
}

/// Measures a single process and then a fleet of `size` processes, each for `seconds`.
///
/// # Errors
/// Returns an error if a process cannot be started or measured, or the membership views do not converge.
pub fn measure(program: &Path, size: usize, seconds: u64) -> Result<ProcessFleet, MeasureError> {
    let span = Duration::from_secs(seconds);
    let alone = [Process::start(program, &settings("alone", String::new()))?];
    std::thread::sleep(ALONE_SETTLE);
    let processor_percent_alone = processor_percent(&alone, span)?;
    let resident_bytes_alone = alone[0].resident_bytes()? as f64;
    drop(alone);
    let processes = start_fleet(program, size)?;
    std::thread::sleep(JOIN_GOSSIP_DURATION);
    let sent_before: Vec<Option<SentBytes>> = processes.iter().map(SentBytes::latest).collect();
    let processor_percent = processor_percent(&processes, span)? / size as f64;
    let mut rates: Vec<f64> = Vec::new();
    for (process, before) in processes.iter().zip(&sent_before) {
        if let (Some(after), Some(before)) = (SentBytes::latest(process), before) {
            rates.extend(after.per_second_since(before));
        }
    }
    let bytes_per_second = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
    let resident_total = processes.iter().map(Process::resident_bytes).sum::<Result<u64, MeasureError>>()?;
    let resident_bytes = resident_total as f64 / size as f64;
    Ok(ProcessFleet {
        processes: size,
        resident_bytes_alone,
        processor_percent_alone,
        resident_bytes,
        processor_percent,
        bytes_per_second,
    })
}
