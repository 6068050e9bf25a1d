//! Measures the latency that a server process adds to invocations. The load may have many tenants and
//! operations.

use crate::error::{MeasureError, io_error};
use crate::options;
use crate::process::{Process, ProcessSettings, options_file};
use async_executor::LocalExecutor;
use async_io::Timer;
use hdrhistogram::Histogram;
use meadowstream_test_doubles::balancers::Balancer;
use meadowstream_test_doubles::unix_ms;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::panic::resume_unwind;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// CPU time that the interpreter spends on one invocation.
const WORK: Duration = Duration::from_millis(2);
/// Number of processor cores of the interpreter.
pub(crate) const CORES: f64 = 4.0;
/// Number of connections over which the load generator sends its invocations.
const CONNECTIONS: usize = 32;
/// Maximum number of open file descriptors that the settings allow the server process.
const DESCRIPTORS: usize = 1024;
/// Maximum time to wait for outstanding answers after the last invocation is sent.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(10);
const LAST_ANSWERS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of significant decimal digits that the histograms keep of each value.
const HISTOGRAM_DIGITS: u8 = 3;
/// Weight of every tenant in the options file when the load begins. Each reload of the options increases the
/// weight by one.
const FIRST_WEIGHT: u32 = 2;

/// Load that the load generator applies to one server process.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Load {
    /// Number of named tenants.
    pub tenants: usize,
    /// Number of operations that the process offers.
    pub routes: usize,
    /// Number of invocations sent per second.
    pub rate: f64,
    /// Duration of the load in seconds.
    pub seconds: u64,
    /// Number of times that the process reloads its options during the load. Each reload changes the weight
    /// of every tenant.
    pub changes: usize,
}

/// Latency that the process added to invocations. The caller measures the time from sending an invocation to
/// receiving the answer. The added latency is this time, minus the work time at the interpreter. The added
/// latency includes the time spent in the test doubles.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AddedLatency {
    /// Load that was applied.
    pub load: Load,
    /// Number of invocations sent.
    pub sent: u64,
    /// Number of invocations that succeeded.
    pub succeeded: u64,
    /// Median of the added latency, in microseconds.
    #[serde(rename = "p50")]
    pub p50_us: u64,
    /// 99th percentile of the added latency, in microseconds.
    #[serde(rename = "p99")]
    pub p99_us: u64,
    /// Maximum of the added latency, in microseconds.
    #[serde(rename = "most")]
    pub max_us: u64,
    /// 99th percentile of the delay with which timers of the load generator fired, in microseconds. This
    /// delay is caused by the machine. The machine delays the timers of the measured process in the same way.
    #[serde(rename = "timer_p99")]
    pub timer_p99_us: u64,
    /// Resident memory of the process at the end of the load, in bytes.
    #[serde(rename = "resident")]
    pub resident_bytes: u64,
    /// CPU use of the process under the load, in percent of a core.
    #[serde(rename = "processor")]
    pub processor_percent: f64,
    /// Longest time for which an options reload blocked the serving thread, in microseconds. The value is
    /// read from the log of the process. `None` if the process logged no reload.
    #[serde(rename = "pause")]
    pub pause_us: Option<u64>,
}

/// Starts a process, applies `load` to it and measures the added latency.
///
/// # Errors
/// Returns an error if the process cannot be started, signalled or measured.
pub fn measure(program: &Path, load: Load) -> Result<AddedLatency, MeasureError> {
    let fleet_options = options::fleet("c0", 1, None);
    let settings = ProcessSettings {
        name: format!("added-{}", load.rate),
        routes: load.routes,
        descriptors: DESCRIPTORS,
        options: format!("{}\n{fleet_options}", options::tenants(load.tenants, FIRST_WEIGHT)),
        cores: CORES,
    };
    let process = Process::start(program, &settings)?;
    let (processor_before, started_at) = (process.processor_seconds()?, Instant::now());
    let result = run_load(&process, load, &fleet_options)?;
    let processor = process.processor_seconds()? - processor_before;
    let processor_percent = processor / started_at.elapsed().as_secs_f64() * 100.0;
    let changes = process.lines("configuration read again");
    let pause_us = changes.iter().filter_map(|line| line.fields["pause_us"].as_u64()).max();
    Ok(AddedLatency {
        load,
        sent: result.sent,
        succeeded: result.succeeded,
        p50_us: result.added_us.value_at_quantile(0.5),
        p99_us: result.added_us.value_at_quantile(0.99),
        max_us: result.added_us.max(),
        timer_p99_us: result.timer_lateness_us.value_at_quantile(0.99),
        resident_bytes: process.resident_bytes()?,
        processor_percent,
        pause_us,
    })
}

/// Measurements of one load.
struct LoadResult {
    added_us: Histogram<u64>,
    timer_lateness_us: Histogram<u64>,
    sent: u64,
    succeeded: u64,
}

/// State shared by all invocations of one load.
struct Invocations {
    balancer: Rc<Balancer>,
    /// Added latency of each invocation that succeeded, in microseconds.
    added_us: RefCell<Histogram<u64>>,
    /// Number of invocations that were sent and have not been answered.
    outstanding: Cell<u64>,
    succeeded: Cell<u64>,
}

impl Invocations {
    /// Sends one invocation and waits for its answer. Decrements `outstanding` at the end, so `outstanding`
    /// must be incremented before this function is called.
    async fn invoke(self: Rc<Self>, operation: String, fields: String) {
        let started_at = Instant::now();
        let body = format!("work={}", WORK.as_micros());
        let answer = self.balancer.call(&operation, &fields, body.as_bytes()).await;
        if answer.is_some_and(|answer| answer.outcome == "good") {
            self.succeeded.set(self.succeeded.get() + 1);
            let added = started_at.elapsed().saturating_sub(WORK).as_micros() as u64;
            // The histogram resizes automatically, so recording a value cannot fail.
            let _ = self.added_us.borrow_mut().record(added);
        }
        self.outstanding.set(self.outstanding.get() - 1);
    }

    /// Waits until no invocation is outstanding or [`LAST_ANSWERS_TIMEOUT`] has passed.
    async fn finish(&self) {
        let deadline = Instant::now() + LAST_ANSWERS_TIMEOUT;
        while self.outstanding.get() > 0 && Instant::now() < deadline {
            Timer::after(LAST_ANSWERS_POLL_INTERVAL).await;
        }
    }
}

/// Sends invocations at the rate and for the duration given by `load`. Meanwhile, another thread reloads the
/// options.
fn run_load(process: &Process, load: Load, fleet_options: &str) -> Result<LoadResult, MeasureError> {
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let invocations = Rc::new(Invocations {
        balancer: Balancer::new(process.listen_address, CONNECTIONS, executor),
        added_us: RefCell::new(Histogram::new(HISTOGRAM_DIGITS)?),
        outstanding: Cell::new(0),
        succeeded: Cell::new(0),
    });
    let sender_result = std::thread::scope(|scope| {
        let changes = scope.spawn(|| change_options(process, load, fleet_options));
        let sender_result = async_io::block_on(executor.run(send(&invocations, load, executor)));
        changes.join().unwrap_or_else(|panic| resume_unwind(panic))?;
        sender_result
    })?;
    let added_us = invocations.added_us.borrow().clone();
    let succeeded = invocations.succeeded.get();
    Ok(LoadResult {
        added_us,
        timer_lateness_us: sender_result.timer_lateness_us,
        sent: sender_result.sent,
        succeeded,
    })
}

/// Number of invocations that the load generator sent, and the delays with which its timers fired.
struct SenderResult {
    timer_lateness_us: Histogram<u64>,
    sent: u64,
}

/// Sends invocations for random tenants and operations at regular intervals.
async fn send(
    invocations: &Rc<Invocations>,
    load: Load,
    executor: &'static LocalExecutor<'static>,
) -> Result<SenderResult, MeasureError> {
    let mut timer_lateness_us = Histogram::<u64>::new(HISTOGRAM_DIGITS)?;
    let mut rng = ChaCha8Rng::seed_from_u64(load.rate as u64);
    let interval = Duration::from_secs_f64(1.0 / load.rate);
    let mut next = Instant::now();
    let end = next + Duration::from_secs(load.seconds);
    let mut sent = 0;
    while next < end {
        Timer::at(next).await;
        timer_lateness_us.record(next.elapsed().as_micros() as u64)?;
        next += interval;
        sent += 1;
        let tenant = rng.next_u64() % load.tenants as u64;
        let operation = format!("route-{}", rng.next_u64() % load.routes as u64);
        let fields = format!("ref={sent:016x},since={},sender=1,room=4,venue=t{tenant}", unix_ms());
        invocations.outstanding.set(invocations.outstanding.get() + 1);
        executor.spawn(invocations.clone().invoke(operation, fields)).detach();
    }
    invocations.finish().await;
    Ok(SenderResult { timer_lateness_us, sent })
}

/// Changes the options of the process at regular intervals while the load lasts. Each change rewrites the
/// options file with a new weight for all tenants, and sends SIGHUP so that the process reloads the file.
fn change_options(process: &Process, load: Load, fleet_options: &str) -> Result<(), MeasureError> {
    let interval = Duration::from_secs_f64(load.seconds as f64 / (load.changes + 1) as f64);
    for change in 0..load.changes {
        std::thread::sleep(interval);
        let tenants = options::tenants(load.tenants, FIRST_WEIGHT + 1 + change as u32);
        let text = options_file(&format!("{tenants}\n{fleet_options}"));
        std::fs::write(process.folder.join("options.xml"), text).map_err(io_error("write the options"))?;
        process.signal("HUP")?;
    }
    Ok(())
}
