//! What the program adds to an invocation with many tenants and routes, measured on one process.

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

/// Core time of one invocation at the interpreter.
const WORK: Duration = Duration::from_millis(2);
/// Cores of the interpreter.
pub(crate) const CORES: f64 = 4.0;
/// Connections to the process.
const CONNECTIONS: usize = 32;
const DESCRIPTORS: usize = 1024;
/// After the end of the load the last answers are waited for so long.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(10);
const LAST_ANSWERS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;
/// Weight of all tenants at the start; each change adds one.
const FIRST_WEIGHT: u32 = 2;

/// A load on one process.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Load {
    /// Named tenants.
    pub tenants: usize,
    /// Operations.
    pub routes: usize,
    /// Invocations a second.
    pub rate: f64,
    /// How long it lasts.
    pub seconds: u64,
    /// How often the options are changed meanwhile, every tenant's weight in them.
    pub changes: usize,
}

/// What the program added to invocations, in microseconds: the time from the caller's write to its read less
/// the work. The time of the test doubles is in it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AddedLatency {
    /// As it was played.
    pub load: Load,
    /// Invocations sent.
    pub sent: u64,
    /// Those of them that succeeded.
    pub succeeded: u64,
    /// Median.
    #[serde(rename = "p50")]
    pub p50_us: u64,
    /// 99 in 100.
    #[serde(rename = "p99")]
    pub p99_us: u64,
    /// The longest.
    #[serde(rename = "most")]
    pub max_us: u64,
    /// How late the load's own timers fired, 99 in 100: what the machine adds to every wait.
    #[serde(rename = "timer_p99")]
    pub timer_p99_us: u64,
    /// Resident bytes of the process at the end.
    #[serde(rename = "resident")]
    pub resident_bytes: u64,
    /// Processor time of the process over the load, in percent of a core.
    #[serde(rename = "processor")]
    pub processor_percent: f64,
    /// Longest pause of the serving thread at a change of options, as the program logged it.
    #[serde(rename = "pause")]
    pub pause_us: Option<u64>,
}

/// Measures what a process adds under a load.
///
/// # Errors
/// Where the process cannot be started, signalled or measured.
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

/// What a load has measured.
struct LoadResult {
    added_us: Histogram<u64>,
    timer_lateness_us: Histogram<u64>,
    sent: u64,
    succeeded: u64,
}

/// What the calls of one load share.
struct Calls {
    balancer: Rc<Balancer>,
    added_us: RefCell<Histogram<u64>>,
    open: Cell<u64>,
    succeeded: Cell<u64>,
}

impl Calls {
    /// One invocation, from its sending to its answer. The caller has counted it as open.
    async fn call(self: Rc<Self>, operation: String, fields: String) {
        let started_at = Instant::now();
        let body = format!("work={}", WORK.as_micros());
        let answer = self.balancer.call(&operation, &fields, body.as_bytes()).await;
        if answer.is_some_and(|answer| answer.outcome == "good") {
            self.succeeded.set(self.succeeded.get() + 1);
            let added = started_at.elapsed().saturating_sub(WORK).as_micros() as u64;
            // A histogram that grows takes any figure.
            let _ = self.added_us.borrow_mut().record(added);
        }
        self.open.set(self.open.get() - 1);
    }

    /// Waits for the last answers.
    async fn finish(&self) {
        let end = Instant::now() + LAST_ANSWERS_TIMEOUT;
        while self.open.get() > 0 && Instant::now() < end {
            Timer::after(LAST_ANSWERS_POLL_INTERVAL).await;
        }
    }
}

/// Sends at the load's rate until its end, while another thread changes the options.
fn run_load(process: &Process, load: Load, fleet_options: &str) -> Result<LoadResult, MeasureError> {
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let calls = Rc::new(Calls {
        balancer: Balancer::new(process.listen, CONNECTIONS, executor),
        added_us: RefCell::new(Histogram::new(HISTOGRAM_DIGITS)?),
        open: Cell::new(0),
        succeeded: Cell::new(0),
    });
    let sender_result = std::thread::scope(|scope| {
        let changes = scope.spawn(|| change_options(process, load, fleet_options));
        let sender_result = async_io::block_on(executor.run(send(&calls, load, executor)));
        changes.join().unwrap_or_else(|panic| resume_unwind(panic))?;
        sender_result
    })?;
    let added_us = calls.added_us.borrow().clone();
    let succeeded = calls.succeeded.get();
    Ok(LoadResult {
        added_us,
        timer_lateness_us: sender_result.timer_lateness_us,
        sent: sender_result.sent,
        succeeded,
    })
}

/// What the sender of a load has measured.
struct SenderResult {
    timer_lateness_us: Histogram<u64>,
    sent: u64,
}

/// Sends invocations of random tenants and operations at even distances.
async fn send(
    calls: &Rc<Calls>,
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
        calls.open.set(calls.open.get() + 1);
        executor.spawn(calls.clone().call(operation, fields)).detach();
    }
    calls.finish().await;
    Ok(SenderResult { timer_lateness_us, sent })
}

/// Changes every tenant's weight, at even distances over the load.
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
