//! Simulates the machine of the interpreter. The machine has cores, which all runs share. Commands of the
//! server start and end runs. The machine reads no clock; its caller passes the current time.

use super::core_load::{CoreLoad, Survivable};
use super::faults::InterpreterFaults;
use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Counts of the runs on the interpreter. Tests check these counts.
#[derive(Default)]
pub struct RunCounts {
    /// Number of runs that have begun.
    pub begun: AtomicU64,
    /// Number of runs that have ended. Halted runs are not counted.
    pub ended: AtomicU64,
    /// Number of repeated runs. A run is repeated if another run of its task ended within the previous 10 s.
    pub repeated: AtomicU64,
    /// Number of runs whose task had begun an earlier run within the previous 10 s, however that run ended.
    pub begun_again: AtomicU64,
    /// Highest number of runs that were on the cores at one time.
    pub most_concurrent: AtomicU64,
    /// Highest mean number of runs on the cores over [`Survivable::window`], in thousandths.
    pub most_mean_thousandths: AtomicU64,
    /// Highest mean number of runs on the cores as a share of what the machine survived at that time, in
    /// thousandths. Above 1,000 the machine would have fallen over.
    pub most_load_thousandths: AtomicU64,
}

/// Run of a task on the machine. Core time is the CPU time that the run uses, in microseconds.
struct Run {
    /// Core time that the run still needs before its next event, in microseconds. The next event is the
    /// downstream call of the run or, if no downstream call remains, the end of the run.
    remaining_us: f64,
    /// Core time that the run uses between its downstream call and its end. `None` if the run makes no
    /// downstream call, or if the call has already begun.
    after_call_us: Option<f64>,
    awaits_call: bool,
    total_us: f64,
}

impl Run {
    /// Creates a run from its body. The word `work=MICROSECONDS` sets the core time, and the word `calls`
    /// adds a downstream call. Both words are optional.
    fn from_body(body: &[u8]) -> Self {
        let text = String::from_utf8_lossy(body);
        let work = text.split(' ').find_map(|word| word.strip_prefix("work=")?.parse::<f64>().ok());
        let total_us = work.unwrap_or(DEFAULT_WORK_US);
        let calls = text.split(' ').any(|word| word == "calls");
        let (remaining_us, after_call_us) =
            if calls { (total_us / 2.0, Some(total_us / 2.0)) } else { (total_us, None) };
        Self { remaining_us, after_call_us, awaits_call: false, total_us }
    }
}

/// Simulated machine: its cores, its runs, and the notices that the server must receive about the runs.
pub struct Machine {
    cores: f64,
    runs: BTreeMap<String, Run>,
    /// Time at which the last completed run of each task ended. The key is the task. An entry is kept for at
    /// least [`ENDED_MEMORY`].
    ended: BTreeMap<String, Instant>,
    /// Time at which the last run of each task began. An entry is kept for at least [`ENDED_MEMORY`].
    begun: BTreeMap<String, Instant>,
    /// Time up to which the runs have been simulated.
    advanced_to: Instant,
    /// Core time that runs have used since the server last read the utilization, in microseconds.
    busy_us: f64,
    gauges_read: Instant,
    last_index: u64,
    /// Retained notices with an index, oldest first. When the server opens a new link, the notices that the
    /// server has not read are sent again.
    notices: VecDeque<Value>,
    started: Instant,
    counts: Arc<RunCounts>,
    faults: Arc<InterpreterFaults>,
    /// Speed of the cores since `advanced_to`, as a ratio of full speed.
    speed: f64,
    survivable: Survivable,
    load: CoreLoad,
}

const NOTICES_MAX: usize = 4096;
/// Age in milliseconds that the interpreter reports at its start. The server treats an interpreter of this
/// age as warm.
const INITIAL_AGE_MS: u64 = 60_000;
/// Time for which the machine remembers an ended task. Within this time, a second run of the task counts as
/// repeated.
const ENDED_MEMORY: Duration = Duration::from_secs(10);
/// Core time in microseconds of a run whose body does not contain the word `work`.
const DEFAULT_WORK_US: f64 = 1000.0;

impl Machine {
    /// Creates a machine without runs.
    pub fn new(
        cores: f64,
        survivable: Survivable,
        counts: Arc<RunCounts>,
        faults: Arc<InterpreterFaults>,
    ) -> Self {
        let now = Instant::now();
        Self {
            cores,
            runs: BTreeMap::new(),
            ended: BTreeMap::new(),
            begun: BTreeMap::new(),
            advanced_to: now,
            busy_us: 0.0,
            gauges_read: now,
            last_index: 0,
            notices: VecDeque::new(),
            started: now,
            counts,
            faults,
            speed: 1.0,
            load: CoreLoad::new(survivable.window),
            survivable,
        }
    }

    fn runs_on_cores(&self) -> usize {
        self.runs.values().filter(|run| !run.awaits_call).count()
    }

    /// Returns the faults of this interpreter.
    pub fn faults(&self) -> &InterpreterFaults {
        &self.faults
    }

    /// Returns the share of a core at full speed that each run on the cores uses. A run uses at most one
    /// core.
    fn core_share(&self) -> f64 {
        (self.cores / self.runs_on_cores().max(1) as f64).min(1.0) * self.speed
    }

    /// Returns the earliest time at which a run reaches its downstream call or its end. Returns `None` if no
    /// run is on the cores.
    pub fn next_due(&self) -> Option<Instant> {
        let on_cores = self.runs.values().filter(|run| !run.awaits_call);
        let least_us = on_cores.map(|run| run.remaining_us).reduce(f64::min)?;
        let share = Some(self.core_share()).filter(|share| *share > 0.0)?;
        Some(self.advanced_to + Duration::from_secs_f64(least_us.max(1.0) / share / 1e6))
    }

    /// Simulates all runs up to the time `now`. Appends a notice for each run that reaches its downstream
    /// call or its end.
    pub fn advance(&mut self, now: Instant, notices: &mut Vec<Value>) {
        let passed_us = now.duration_since(self.advanced_to).as_secs_f64() * 1e6;
        let each_us = passed_us * self.core_share();
        let is_moving = f64::from(self.speed > 0.0);
        self.busy_us += passed_us * (self.runs_on_cores() as f64).min(self.cores) * is_moving;
        self.record_load(now);
        self.advanced_to = now;
        self.speed = self.faults.speed() * self.survivable.speed(now - self.started);
        let mut ended = Vec::new();
        for (task, run) in self.runs.iter_mut().filter(|(_, run)| !run.awaits_call) {
            run.remaining_us -= each_us;
            if run.remaining_us > 0.0 {
                continue;
            }
            self.last_index += 1;
            let (index, bytes) = (self.last_index, STANDARD.encode(task));
            if let Some(after_call_us) = run.after_call_us.take() {
                (run.awaits_call, run.remaining_us) = (true, after_call_us);
                notices.push(json!({"verb": "AWAIT", "index": index, "task": task, "bytes": bytes}));
            } else {
                ended.push(task.clone());
                let spent_ms = run.total_us / 1e3;
                notices.push(json!({"verb": "VALUE", "index": index, "task": task, "outcome": "ok",
                    "spent": spent_ms, "bytes": bytes}));
            }
        }
        for task in ended {
            self.runs.remove(&task);
            self.ended.insert(task, now);
            self.counts.ended.fetch_add(1, Relaxed);
        }
    }

    /// Records how many runs were on the cores since the runs were last simulated.
    fn record_load(&mut self, now: Instant) {
        let mean = self.load.record(self.advanced_to, now, self.runs_on_cores());
        let survived = self.survivable.runs(self.cores, now - self.started);
        self.counts.most_mean_thousandths.fetch_max((mean * 1e3) as u64, Relaxed);
        self.counts.most_load_thousandths.fetch_max((mean / survived * 1e3) as u64, Relaxed);
    }

    /// Retains the notices that have an index. Notices that the server does not read on the current link are
    /// sent again on the next link.
    pub fn retain_notices(&mut self, notices: &[Value]) {
        let last_retained = self.notices.back().and_then(|notice| notice["index"].as_u64()).unwrap_or(0);
        let is_new = |notice: &&Value| notice["index"].as_u64().is_some_and(|index| index > last_retained);
        self.notices.extend(notices.iter().filter(is_new).cloned());
        let excess = self.notices.len().saturating_sub(NOTICES_MAX);
        self.notices.drain(..excess);
    }

    /// Executes a command of the server. Appends the notices that result from the command.
    pub fn execute(&mut self, command: &Value, now: Instant, notices: &mut Vec<Value>) {
        let task = command["task"].as_str().unwrap_or("");
        match command["verb"].as_str() {
            Some("CONNECT") => self.connect(command, now, notices),
            Some("APPLY") => self.begin(task, command, now),
            Some("RESOLVE") => {
                if let Some(run) = self.runs.get_mut(task) {
                    run.awaits_call = false;
                }
            }
            Some("BREAK") => self.halt(task, notices),
            Some("TOP") if self.speed == 0.0 && self.faults.ignores_gauge_requests() => {}
            Some("TOP") => notices.push(self.read_gauges(command, now)),
            _ => notices.push(json!({"verb": "ERROR", "outcome": command["verb"], "task": task})),
        }
    }

    /// Begins a new link. Sends the banner, and then repeats the retained notices that the server has not
    /// read.
    fn connect(&self, command: &Value, now: Instant, notices: &mut Vec<Value>) {
        let is_cold = self.survivable.cold_speed < 1.0;
        let initial_age_ms = if is_cold { 0 } else { INITIAL_AGE_MS };
        let age_ms = now.duration_since(self.started).as_millis() as u64 + initial_age_ms;
        let state = if is_cold { "cold" } else { "warm" };
        notices.push(json!({"verb": "BANNER", "outcome": state, "spent": age_ms}));
        let last_read = command["index"].as_u64().unwrap_or(0);
        let unread = |notice: &&Value| notice["index"].as_u64() > Some(last_read);
        notices.extend(self.notices.iter().filter(unread).cloned());
    }

    fn begin(&mut self, task: &str, command: &Value, now: Instant) {
        if self.runs.contains_key(task) {
            return;
        }
        self.ended.retain(|_, at| now.duration_since(*at) < ENDED_MEMORY);
        self.begun.retain(|_, at| now.duration_since(*at) < ENDED_MEMORY);
        self.counts.repeated.fetch_add(u64::from(self.ended.contains_key(task)), Relaxed);
        let begun_before = self.begun.insert(task.to_string(), now);
        self.counts.begun_again.fetch_add(u64::from(begun_before.is_some()), Relaxed);
        let body = STANDARD.decode(command["bytes"].as_str().unwrap_or("")).unwrap_or_default();
        self.runs.insert(task.to_string(), Run::from_body(&body));
        self.counts.begun.fetch_add(1, Relaxed);
        self.counts.most_concurrent.fetch_max(self.runs_on_cores() as u64, Relaxed);
    }

    /// Stops a run. While the cores stand still, nothing is stopped and nothing confirms the command.
    fn halt(&mut self, task: &str, notices: &mut Vec<Value>) {
        if self.speed > 0.0 && self.runs.remove(task).is_some() {
            self.last_index += 1;
            let index = self.last_index;
            notices.push(json!({"verb": "VALUE", "index": index, "task": task, "outcome": "halted"}));
        }
    }

    /// Returns a notice with the utilization of the cores since the previous call of this function, and the
    /// number of runs on the cores.
    fn read_gauges(&mut self, command: &Value, now: Instant) -> Value {
        let span_us = now.duration_since(self.gauges_read).as_secs_f64() * 1e6;
        let utilization = (self.busy_us / span_us.max(1.0) / self.cores).min(1.0);
        (self.busy_us, self.gauges_read) = (0.0, now);
        let is_hidden = self.speed == 0.0 && self.faults.hides_standing_runs();
        let runnable = if is_hidden { 0 } else { self.runs_on_cores() };
        let readings = [utilization, runnable as f64];
        json!({"verb": "TOPS", "nonce": command["nonce"], "readings": readings})
    }
}
