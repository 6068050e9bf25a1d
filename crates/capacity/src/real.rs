//! The figures that only real processes give: what the program adds to a request with many tenants and
//! routes, what a connection holds, and what some dozens of processes with the control parts on use, beside
//! the model of as many.

use crate::fit::Curve;
use crate::process::{Process, Setup, options_file};
use anyhow::{Context, Result};
use async_executor::LocalExecutor;
use async_io::Timer;
use hdrhistogram::Histogram;
use meadowstream_test_doubles::balancers::Balancer;
use meadowstream_test_doubles::unix_ms;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Core time of one invocation at the interpreter.
const WORK: Duration = Duration::from_millis(2);
const CORES: f64 = 4.0;
const CONNECTIONS: usize = 32;
/// After the end of the load the last answers are waited for.
const LAST_ANSWERS: Duration = Duration::from_secs(10);

/// What a load on one process is made of.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Load {
    pub tenants: usize,
    pub routes: usize,
    /// Invocations a second.
    pub rate: f64,
    pub seconds: u64,
    /// The options are changed, every tenant's weight in them, so often meanwhile.
    pub changes: usize,
}

/// What the program added to invocations, in microseconds: the time from the caller's write to its read less
/// the work. The stand-ins' own time is in it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Added {
    pub load: Load,
    pub sent: u64,
    pub succeeded: u64,
    pub p50: u64,
    pub p99: u64,
    pub most: u64,
    /// How late the load's own timers fired, 99 in 100: what the machine adds to every wait.
    pub timer_p99: u64,
    /// Resident bytes at the end, and percent of a core over the load.
    pub resident: u64,
    pub processor: f64,
    /// Longest pause of the serving thread at a change, in microseconds, as the program logged it.
    pub pause: Option<u64>,
}

fn tenants(count: usize, weight: u32) -> String {
    let accounts = 2 * count + 16;
    let mut text = format!(
        "<tenants by=\"field\" field=\"venue\" origin=\"sender\">\n<ceilings accounts=\"{accounts}\"/>\n"
    );
    for tenant in 0..count {
        text.push_str(&format!("<tenant name=\"t{tenant}\" weight=\"{weight}\"/>\n"));
    }
    text.push_str("</tenants>");
    text
}

/// The control parts of a process: membership with the given seed, a budget and counts.
fn control(name: &str, servers: usize, seed: Option<&str>) -> String {
    let seed = seed.map_or(String::new(), |seed| format!("<seed address=\"{seed}\"/>"));
    let voters: String = (0..3).map(|voter| format!("<voter name=\"c{voter}\"/>")).collect();
    let (total, servers) = (10 * servers, servers.max(1));
    format!(
        "<membership bind=\"127.0.0.1:0\" name=\"{name}\" fleet=\"capacity\" key-file=\"key\" \
         expected-members=\"{servers}\">{seed}</membership>\n\
         <shared-state gossip-ms=\"500\"><budget name=\"calls\" total=\"{total}\" floor=\"1\" \
         servers=\"{servers}\" lease-ms=\"4000\" use-most-ms=\"1000\">{voters}</budget></shared-state>"
    )
}

/// A process under load, and what it added.
pub fn added(program: &Path, load: Load) -> Result<Added> {
    let base = control("c0", 1, None);
    let options = format!("{}\n{base}", tenants(load.tenants, 2));
    let setup = Setup {
        name: format!("added-{}", load.rate),
        routes: load.routes,
        descriptors: 1024,
        options,
        cores: CORES,
    };
    let process = Process::start(program, &setup)?;
    let (before, began) = (process.processor()?, Instant::now());
    let loaded = drive(&process, load, &base)?;
    let processor = (process.processor()? - before) / began.elapsed().as_secs_f64() * 100.0;
    let pauses = process.lines("configuration read again");
    let pause = pauses.iter().filter_map(|(_, line)| line["pause_us"].as_u64()).max();
    let Loaded { times, lateness, sent, succeeded } = loaded;
    Ok(Added {
        load,
        sent,
        succeeded,
        p50: times.value_at_quantile(0.5),
        p99: times.value_at_quantile(0.99),
        most: times.max(),
        timer_p99: lateness.value_at_quantile(0.99),
        resident: process.resident()?,
        processor,
        pause,
    })
}

struct Loaded {
    times: Histogram<u64>,
    lateness: Histogram<u64>,
    sent: u64,
    succeeded: u64,
}

/// Sends at the rate until the end; changes of the options come from a thread of its own.
fn drive(process: &Process, load: Load, base: &str) -> Result<Loaded> {
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let balancer = Balancer::new(process.listen, CONNECTIONS, executor);
    let times = Rc::new(RefCell::new(Histogram::<u64>::new(3)?));
    let mut lateness = Histogram::<u64>::new(3)?;
    let (open, succeeded) = (Rc::new(Cell::new(0_u64)), Rc::new(Cell::new(0_u64)));
    let span = Duration::from_secs(load.seconds);
    let mut rng = ChaCha8Rng::seed_from_u64(load.rate as u64);
    let mut sent = 0;
    std::thread::scope(|scope| -> Result<()> {
        let changes = scope.spawn(|| change_options(process, load, base));
        async_io::block_on(executor.run(async {
            let (began, gap) = (Instant::now(), Duration::from_secs_f64(1.0 / load.rate));
            let mut next = began;
            while next < began + span {
                Timer::at(next).await;
                lateness.record(next.elapsed().as_micros() as u64)?;
                next += gap;
                sent += 1;
                let tenant = rng.next_u64() % load.tenants as u64;
                let operation = format!("route-{}", rng.next_u64() % load.routes as u64);
                let fields = format!("ref={sent:016x},since={},sender=1,room=4,venue=t{tenant}", unix_ms());
                let body = format!("work={}", WORK.as_micros());
                let (balancer, times) = (balancer.clone(), times.clone());
                let (open, succeeded) = (open.clone(), succeeded.clone());
                open.set(open.get() + 1);
                let call = async move {
                    let began = Instant::now();
                    let reply = balancer.call(&operation, &fields, body.as_bytes()).await;
                    if reply.is_some_and(|reply| reply.outcome == "good") {
                        succeeded.set(succeeded.get() + 1);
                        let added = began.elapsed().saturating_sub(WORK).as_micros() as u64;
                        let _ = times.borrow_mut().record(added);
                    }
                    open.set(open.get() - 1);
                };
                executor.spawn(call).detach();
            }
            let end = Instant::now() + LAST_ANSWERS;
            while open.get() > 0 && Instant::now() < end {
                Timer::after(Duration::from_millis(20)).await;
            }
            Ok::<_, anyhow::Error>(())
        }))?;
        changes.join().expect("the thread of changes does not panic")
    })?;
    let times = times.borrow().clone();
    Ok(Loaded { times, lateness, sent, succeeded: succeeded.get() })
}

/// Changes every tenant's weight, evenly over the load.
fn change_options(process: &Process, load: Load, base: &str) -> Result<()> {
    let gap = Duration::from_secs_f64(load.seconds as f64 / (load.changes + 1) as f64);
    for change in 0..load.changes {
        std::thread::sleep(gap);
        let elements = format!("{}\n{base}", tenants(load.tenants, 3 + change as u32));
        std::fs::write(process.folder.join("options.xml"), options_file(&elements))?;
        process.signal("HUP")?;
    }
    Ok(())
}

/// Resident bytes of a process with so many connections that have asked once and rest.
pub fn connections(program: &Path, counts: &[usize]) -> Result<Curve> {
    let most = counts.iter().copied().max().unwrap_or(0);
    let descriptors = most + most / 4 + 100;
    let setup =
        Setup { name: "connections".into(), routes: 2, descriptors, options: String::new(), cores: CORES };
    let process = Process::start(program, &setup)?;
    let mut open: Vec<TcpStream> = Vec::new();
    let mut points = Vec::new();
    for count in counts {
        while open.len() < *count {
            let mut stream = TcpStream::connect(process.listen)?;
            stream.set_read_timeout(Some(Duration::from_secs(10)))?;
            stream.write_all(b"*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n")?;
            let mut answer = [0; 64];
            let got = stream.read(&mut answer).context("no answer to a health check")?;
            anyhow::ensure!(got > 0, "connection {} was closed", open.len());
            open.push(stream);
        }
        points.push((*count as f64, process.resident()? as f64));
    }
    Ok(Curve::new("resident memory by open connections", "bytes", "connection", points, None))
}

/// What each of some dozens of processes with control parts on uses.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Dozens {
    pub processes: usize,
    /// Resident bytes and percent of a core of a process alone with the control parts off.
    pub resident_alone: f64,
    pub processor_alone: f64,
    /// Resident bytes of each of these.
    pub resident: f64,
    /// Percent of a core, and bytes that it put on the network a second, of each.
    pub processor: f64,
    pub bytes: f64,
}

fn sent_bytes(process: &Process) -> Option<(Instant, f64)> {
    let (at, view) = process.lines("view").pop()?;
    let counts: serde_json::Value = serde_json::from_str(view["counts"].as_str()?).ok()?;
    Some((at, counts["sent_bytes"].as_f64()?))
}

/// Starts so many, waits until each sees all others, and measures for `seconds`.
pub fn dozens(program: &Path, processes: usize, seconds: u64) -> Result<Dozens> {
    let setup = |name: String, options| Setup { name, routes: 2, descriptors: 256, options, cores: CORES };
    let alone = Process::start(program, &setup("alone".into(), String::new()))?;
    std::thread::sleep(Duration::from_secs(2));
    let (before, began) = (alone.processor()?, Instant::now());
    std::thread::sleep(Duration::from_secs(seconds));
    let processor_alone = (alone.processor()? - before) / began.elapsed().as_secs_f64() * 100.0;
    let resident_alone = alone.resident()? as f64;
    drop(alone);
    let first = Process::start(program, &setup("c0".into(), control("c0", processes, None)))?;
    let seed = first.wait_for("joining", 0)?["bound"].as_str().context("no bound address")?.to_string();
    let mut all = vec![first];
    for n in 1..processes {
        let name = format!("c{n}");
        all.push(Process::start(program, &setup(name.clone(), control(&name, processes, Some(&seed))))?);
    }
    let end = Instant::now() + Duration::from_secs(90);
    let sees_all = |process: &Process| {
        let last = process.lines("view").pop();
        last.is_some_and(|(_, view)| view["alive"].as_u64() == Some(processes as u64 - 1))
    };
    while !all.iter().all(sees_all) {
        anyhow::ensure!(Instant::now() < end, "no one view of {processes} processes within 90 s");
        std::thread::sleep(Duration::from_millis(100));
    }
    // What the join left to gossip goes out first.
    std::thread::sleep(Duration::from_secs(12));
    let sent: Vec<_> = all.iter().map(sent_bytes).collect();
    let processor = |all: &[Process]| all.iter().map(Process::processor).sum::<Result<f64>>();
    let (before, began) = (processor(&all)?, Instant::now());
    std::thread::sleep(Duration::from_secs(seconds));
    let processor = (processor(&all)? - before) / began.elapsed().as_secs_f64() / processes as f64 * 100.0;
    let rate = |(process, before): (&Process, &Option<(Instant, f64)>)| {
        let ((from, before), (to, after)) = ((*before)?, sent_bytes(process)?);
        let span = to.duration_since(from).as_secs_f64();
        (span > 0.0).then(|| (after - before) / span)
    };
    let rates: Vec<f64> = all.iter().zip(&sent).filter_map(rate).collect();
    let bytes = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
    let resident = all.iter().map(Process::resident).sum::<Result<u64>>()? as f64 / processes as f64;
    Ok(Dozens { processes, resident_alone, processor_alone, resident, processor, bytes })
}
