//! A busy night: the program is started with stand-ins round it, tenants send as their groups say, first
//! calmly, then all of it, and at last the program is told to leave. It ends by itself in the stated time.

use crate::balancers::{Balancer, Heard};
use crate::interpreter::{self, Seen};
use crate::table::Tally;
use crate::{parties, unix_ms};
use anyhow::{Context, Result, ensure};
use async_executor::LocalExecutor;
use async_io::Timer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Tenants that are alike.
#[derive(Clone, Debug)]
pub struct Group {
    pub name: &'static str,
    pub tenants: usize,
    /// Of each, in invocations a second, in the calm and at night.
    pub calm: f64,
    pub night: f64,
    pub work: Duration,
    /// Part of those throttled that come back as advised; the others give up.
    pub obeys: f64,
    /// Names that each tenant goes through; 1 for an honest one.
    pub names: u64,
    pub connections: usize,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub groups: Vec<Group>,
    pub cores: f64,
    pub objective: Duration,
    pub calm: Duration,
    pub night: Duration,
    pub seed: u64,
    /// The program is told to leave while much is still open.
    pub leave_early: bool,
    /// The program's own settings, as XML.
    pub options: String,
    /// Its runs call one dependency of all servers.
    pub dependency: Option<Dependency>,
}

#[derive(Clone, Debug)]
pub struct Dependency {
    /// Mean number of calls that is the program's share.
    pub share: f64,
    /// How long a call takes in the calm and at night.
    pub calm: Duration,
    pub night: Duration,
}

pub struct Outcome {
    pub tallies: Vec<Tally>,
    /// Of the program, as it wrote them at its end.
    pub counters: HashMap<String, u64>,
    /// Its log lines about tenants, asked for at the end of the night.
    pub shares: Vec<String>,
    /// Most memory it ever held, in KiB.
    pub peak_kib: u64,
    pub exit: Option<i32>,
    pub seen: Arc<Seen>,
    /// Calls at night, and their mean number in the dependency's hands then.
    pub calls: u64,
    pub in_hand: f64,
    /// Answers that nobody waited for, and calls whose connection broke.
    pub stray: u64,
    pub broken: u64,
}

const PATIENCE: Duration = Duration::from_secs(10);

/// Ended with the night, however that ends.
struct Program {
    child: Child,
    log: Receiver<String>,
    seen: Vec<String>,
    folder: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill().and_then(|()| self.child.wait());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Program {
    fn start(
        program: &Path,
        plan: &Plan,
        vm: SocketAddr,
        records: SocketAddr,
        catalog: SocketAddr,
    ) -> Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("meadowstream-night-{}-{}", std::process::id(), plan.seed));
        std::fs::create_dir_all(&folder)?;
        let micros = |span: Duration| span.as_micros() as u64;
        let grade = json!({"name": "answer", "effect": "repeatable", "target": micros(plan.objective),
            "give-up": 2 * micros(plan.objective), "worth": 1.0});
        let mut configuration = json!({
            "name": "night", "listen": "127.0.0.1:0", "vm": vm.to_string(), "records": records.to_string(),
            "directory": catalog.to_string(), "seed": format!("{:016x}", plan.seed), "stop_ms": 4000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {
                "grades": [grade], "peers-total": 1, "orgs": [],
                "contract": {"drain-grace": 500_000, "grace-to-answer": 50_000, "fall-multiple": 8.0,
                    "cold-from": 1.0, "cold": 1},
                "limits": {"retry-after": true, "max-retry-after": 2_000_000},
                "family-info": {"below": "tier", "cores": plan.cores, "memory-kb": 200_000, "run-factor": 4.0,
                    "entry-kb": 7, "preemption": "discard", "say": "weight", "idle": 15_000_000,
                    "own-stats": ["cpu_busy", "runnable"]},
            },
        });
        if let Some(dependency) = &plan.dependency {
            let family = &mut configuration["settings"]["family-info"];
            family["below"] = json!("one_for_all");
            family["dep-share"] = json!(dependency.share);
            (family["calls-over"], family["lingers"]) = (json!(5_000_000), json!(200_000));
            family["degraded-worth"] = json!([0.5]);
        }
        let (config, options) = (folder.join("config.json"), folder.join("options.xml"));
        std::fs::write(&config, configuration.to_string())?;
        std::fs::write(&options, &plan.options)?;
        let mut child = Command::new(program)
            .args(["serve", "--config"])
            .arg(&config)
            .arg("--options")
            .arg(&options)
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        let stderr = BufReader::new(child.stderr.take().context("no log")?);
        let (lines, log) = channel();
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| lines.send(line))
        });
        Ok(Self { child, log, seen: Vec::new(), folder })
    }

    /// Waits for a line of the log that says this.
    fn line(&mut self, text: &str) -> Result<String> {
        loop {
            if let Some(line) = self.seen.iter().find(|line| line.contains(text)) {
                return Ok(line.clone());
            }
            let line = self.log.recv_timeout(PATIENCE);
            self.seen.push(line.with_context(|| format!("no {text:?} in the log: {:?}", self.seen))?);
        }
    }

    fn signal(&self, name: &str) -> Result<()> {
        let id = self.child.id().to_string();
        ensure!(Command::new("kill").args([&format!("-{name}"), &id]).status()?.success(), "cannot signal");
        Ok(())
    }

    fn peak_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
}

struct Stage {
    plan: Plan,
    tallies: RefCell<Vec<Tally>>,
    references: Cell<u64>,
    open: Cell<u64>,
    began: Instant,
    night: Instant,
    end: Instant,
    executor: &'static LocalExecutor<'static>,
}

/// Plays it; `progress` hears a line each second.
pub fn play(program: &Path, plan: Plan, mut progress: impl FnMut(&str)) -> Result<Outcome> {
    let (vm, seen) = interpreter::start(plan.cores)?;
    let takes = plan.dependency.as_ref().map_or(Duration::from_millis(5), |dependency| dependency.calm);
    let (records, below) = parties::records(takes)?;
    let (catalog, reports) = parties::catalog()?;
    let mut program = Program::start(program, &plan, vm, records, catalog)?;
    let line = program.line(" listen=")?;
    let listen: SocketAddr = line.split(" listen=").nth(1).context("no address")?.trim().parse()?;
    program.line("linked to the interpreter")?;
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    let began = Instant::now();
    let night = began + plan.calm;
    let tallies = plan.groups.iter().map(|group| Tally::new(group.name, group.tenants)).collect();
    let stage = Rc::new(Stage {
        tallies: RefCell::new(tallies),
        references: Cell::new(plan.seed << 32),
        open: Cell::new(0),
        began,
        night,
        end: night + plan.night,
        executor,
        plan,
    });
    let balancers: Vec<Rc<Balancer>> =
        stage.plan.groups.iter().map(|group| Balancer::new(listen, group.connections, executor)).collect();
    let (calls, in_hand) = async_io::block_on(executor.run(async {
        for (g, balancer) in balancers.iter().enumerate() {
            for i in 0..stage.plan.groups[g].tenants {
                executor.spawn(tenant(stage.clone(), balancer.clone(), g, i)).detach();
            }
        }
        let mut calm = None;
        while Instant::now() < stage.end {
            if calm.is_none() && Instant::now() >= stage.night {
                let slow =
                    stage.plan.dependency.as_ref().map(|dependency| dependency.night.as_micros() as u64);
                slow.iter().for_each(|takes| below.takes.store(*takes, Relaxed));
                calm = Some((below.calls.load(Relaxed), below.held.load(Relaxed)));
            }
            Timer::after(Duration::from_secs(1).min(stage.end - Instant::now())).await;
            let part = if Instant::now() < stage.night { "calm" } else { "night" };
            let tallies = stage.tallies.borrow();
            let groups: Vec<String> =
                tallies.iter().map(|t| format!("{} {} of {}", t.name, t.in_time, t.sent)).collect();
            let seconds = stage.began.elapsed().as_secs_f64();
            progress(&format!("{seconds:>4.0} s, {part}: {}", groups.join(", ")));
        }
        let (calls, held) = calm.unwrap_or_default();
        let night = stage.night.elapsed().as_micros() as f64;
        let at_night = (below.calls.load(Relaxed) - calls, (below.held.load(Relaxed) - held) as f64 / night);
        let last = Instant::now() + 4 * stage.plan.objective;
        while stage.open.get() > 0 && !stage.plan.leave_early && Instant::now() < last {
            Timer::after(Duration::from_millis(10)).await;
        }
        at_night
    }));
    program.signal("USR1")?;
    program.line("counters:")?;
    std::thread::sleep(Duration::from_millis(100));
    let peak_kib = program.peak_kib();
    ensure!(reports.load(Relaxed) > 0, "the catalog heard nothing");
    program.signal("TERM")?;
    // Connections are closed by balancers that hear `enough`; the executor goes on until the log ends.
    let deadline = Instant::now() + PATIENCE;
    let exit = async_io::block_on(executor.run(async {
        loop {
            if let Some(status) = program.child.try_wait()? {
                return Ok::<_, anyhow::Error>(status.code());
            }
            ensure!(Instant::now() < deadline, "the program does not end");
            Timer::after(Duration::from_millis(10)).await;
        }
    }))?;
    let ended = program.line("ended; counters:")?;
    while let Ok(line) = program.log.recv_timeout(Duration::from_millis(200)) {
        program.seen.push(line);
    }
    let counters = ended.split("counters:").nth(1).unwrap_or("").split_whitespace();
    let counters = counters.filter_map(|word| {
        let (name, count) = word.split_once('=')?;
        Some((name.to_string(), count.parse().ok()?))
    });
    let shares = program.seen.iter().filter(|line| line.contains(" share"));
    let (stray, broken) = balancers.iter().fold((0, 0), |(s, b), x| (s + x.stray.get(), b + x.broken.get()));
    Ok(Outcome {
        counters: counters.collect(),
        shares: shares.cloned().collect(),
        peak_kib,
        exit,
        seen,
        calls,
        in_hand,
        stray,
        broken,
        tallies: stage.tallies.take(),
    })
}

/// Sends at its rate until the end, whatever becomes of it.
async fn tenant(stage: Rc<Stage>, balancer: Rc<Balancer>, group: usize, i: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(stage.plan.seed ^ (group as u64) << 40 ^ i as u64);
    let mut next = stage.began;
    let mut sent = 0u64;
    loop {
        let its = &stage.plan.groups[group];
        let rate = if next < stage.night { its.calm } else { its.night };
        let gap = if rate > 0.0 { -rng.random_range(1e-9_f64..1.0).ln() / rate } else { 0.1 };
        next += Duration::from_secs_f64(gap);
        if next >= stage.end {
            return;
        }
        Timer::at(next).await;
        if rate <= 0.0 {
            continue;
        }
        sent += 1;
        let name = format!("{}-{i}-{}", its.name, sent % its.names);
        let obeys = rng.random_bool(its.obeys);
        stage.executor.spawn(invocation(stage.clone(), balancer.clone(), (group, i), name, obeys)).detach();
    }
}

/// One invocation, with its tries.
async fn invocation(stage: Rc<Stage>, balancer: Rc<Balancer>, of: (usize, usize), name: String, obeys: bool) {
    let (group, i) = of;
    let begun = Instant::now();
    let counts = begun >= stage.night;
    stage.open.set(stage.open.get() + 1);
    let calls = if stage.plan.dependency.is_some() { " calls" } else { "" };
    let body = format!("work={}{calls} of {name}", stage.plan.groups[group].work.as_micros());
    let mut ticket: Option<String> = None;
    let mut last: Option<Heard>;
    loop {
        stage.references.set(stage.references.get() + 1);
        let (reference, since) = (stage.references.get(), unix_ms());
        let mut fields =
            format!("ref={reference:016x},since={since},sender={},room=4,venue={name}", group + 1);
        ticket.iter().for_each(|ticket| fields.push_str(&format!(",ticket={ticket}")));
        let returns = ticket.is_some();
        last = balancer.call("answer", &fields, body.as_bytes()).await;
        let throttled = last.as_ref().is_some_and(|heard| heard.word == "refused");
        if returns && counts && last.is_some() {
            let tally = &mut stage.tallies.borrow_mut()[group];
            tally.returns += 1;
            tally.kept += u64::from(!throttled);
        }
        ticket = last.as_ref().filter(|_| throttled && obeys).and_then(|heard| heard.ticket.clone());
        let stay_away = last.as_ref().and_then(|heard| heard.stay_away).unwrap_or(0);
        if ticket.is_none() || begun.elapsed() + Duration::from_millis(stay_away) > 2 * stage.plan.objective {
            break;
        }
        Timer::after(Duration::from_millis(stay_away)).await;
    }
    stage.open.set(stage.open.get() - 1);
    if !counts {
        return;
    }
    let took = begun.elapsed();
    let tally = &mut stage.tallies.borrow_mut()[group];
    tally.sent += 1;
    tally.each[i].0 += 1;
    match last.as_ref().map(|heard| heard.word.as_str()) {
        Some("good") if took <= stage.plan.objective => {
            tally.in_time += 1;
            tally.each[i].1 += 1;
            let _ = tally.latency.record(took.as_micros() as u64);
        }
        Some("good") => {
            tally.late += 1;
            let _ = tally.latency.record(took.as_micros() as u64);
        }
        Some("refused") => tally.throttled += 1,
        Some(_) => tally.errored += 1,
        None => tally.unsent += 1,
    }
}

/// Many small tenants that stay within their shares, a few busy ones, and one that floods: three times what
/// the cores can do, nine tenths of it by the one.
pub fn busy_night(calm: Duration, night: Duration, light: usize) -> Plan {
    let (cores, work) = (2.0, Duration::from_millis(4));
    let most = cores / work.as_secs_f64();
    let all = 3.0 * most;
    let group = |name, tenants, calm, night, connections| Group {
        name,
        tenants,
        calm,
        night,
        work,
        obeys: 1.0,
        names: 1,
        connections,
    };
    let each = all * 0.1 / light as f64;
    let flood = Group { obeys: 0.3, ..group("flood", 1, 40.0, all * 0.9, 48) };
    let options = "<meadowstream xmlns=\"urn:meadowstream:options:1\">\n  \
        <tenants by=\"field\" field=\"venue\" origin=\"sender\">\n    \
        <share at-once-ms=\"5000\" probation-ms=\"1000\" late-ms=\"500\"/>\n  </tenants>\n</meadowstream>\n";
    Plan {
        groups: vec![group("light", light, each, each, 16), flood],
        cores,
        objective: Duration::from_secs(1),
        calm,
        night,
        seed: 11,
        leave_early: false,
        options: options.to_string(),
        dependency: None,
    }
}

/// One dependency of all servers, eight times as slow at night: what is asked of it then is four
/// times the program's share. The cores have room.
pub fn slow_dependency(calm: Duration, night: Duration) -> Plan {
    let mut plan = busy_night(calm, night, 20);
    let each = Group { calm: 5.0, night: 5.0, ..plan.groups[0].clone() };
    let options = plan.options.replace("</meadowstream>", "  <calls left-out=\"none\"/>\n</meadowstream>");
    plan.groups = vec![each];
    let (calm, night) = (Duration::from_millis(5), Duration::from_millis(40));
    Plan { seed: 12, options, dependency: Some(Dependency { share: 1.0, calm, night }), ..plan }
}
