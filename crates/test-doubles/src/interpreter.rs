//! An interpreter: runs what it is told on so many cores, which all runs share evenly. A body tells what its
//! run needs, `work=MICROSECONDS`, and with `calls` that it makes a call half way.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use base64::{Engine, engine::general_purpose::STANDARD};
use futures_lite::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use futures_lite::{StreamExt, future};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// What it has seen, for whoever looks from outside.
#[derive(Default)]
pub struct Seen {
    pub runs: AtomicU64,
    pub ended: AtomicU64,
    /// Runs begun while one of the same task ran or after it had ended.
    pub twice: AtomicU64,
    /// Most runs on the cores at once.
    pub crowd: AtomicU64,
}

#[derive(Default)]
struct Run {
    /// Core time to go until the call or the end.
    left: f64,
    after_call: Option<f64>,
    waits: bool,
    micros: f64,
}

struct Machine {
    cores: f64,
    runs: BTreeMap<String, Run>,
    done: BTreeMap<String, Instant>,
    at: Instant,
    busy: f64,
    asked: Instant,
    index: u64,
    /// Notices that a later link may not have read, the oldest first.
    notices: VecDeque<Value>,
    started: Instant,
    seen: Arc<Seen>,
}

/// Notices kept for a link to come.
const NOTICES_KEPT: usize = 4096;
/// How long it had run when it was started, in milliseconds.
const RAN_BEFORE: u64 = 60_000;

/// How long ended tasks are known by name.
const KNOWN: Duration = Duration::from_secs(10);

impl Machine {
    fn on_cores(&self) -> usize {
        self.runs.values().filter(|run| !run.waits).count()
    }

    fn rate(&self) -> f64 {
        (self.cores / self.on_cores().max(1) as f64).min(1.0)
    }

    /// Brings all runs up to now and says what has come of it.
    fn go_on(&mut self, now: Instant, out: &mut Vec<Value>) {
        let passed = now.duration_since(self.at).as_secs_f64() * 1e6;
        let (each, count) = (passed * self.rate(), self.on_cores());
        self.busy += passed * (count as f64).min(self.cores);
        self.at = now;
        let mut ended = Vec::new();
        for (task, run) in self.runs.iter_mut().filter(|(_, run)| !run.waits) {
            run.left -= each;
            if run.left > 0.0 {
                continue;
            }
            self.index += 1;
            if let Some(rest) = run.after_call.take() {
                (run.waits, run.left) = (true, rest);
                let bytes = STANDARD.encode(task);
                out.push(json!({"verb": "AWAIT", "index": self.index, "task": task, "bytes": bytes}));
            } else {
                ended.push(task.clone());
                let (spent, bytes) = (run.micros / 1e3, STANDARD.encode(task));
                out.push(json!({"verb": "VALUE", "index": self.index, "task": task, "outcome": "ok",
                    "spent": spent, "bytes": bytes}));
            }
        }
        for task in ended {
            self.runs.remove(&task);
            self.done.insert(task, now);
            self.seen.ended.fetch_add(1, Relaxed);
        }
    }

    /// Numbered notices follow on the next link where this one does not bring them.
    fn keep(&mut self, out: &[Value]) {
        let numbered = |notice: &&Value| notice["index"].as_u64().is_some_and(|i| i > self.kept());
        let new: Vec<Value> = out.iter().filter(numbered).cloned().collect();
        self.notices.extend(new);
        let over = self.notices.len().saturating_sub(NOTICES_KEPT);
        self.notices.drain(..over);
    }

    /// Number of the last notice that is kept.
    fn kept(&self) -> u64 {
        self.notices.back().and_then(|notice| notice["index"].as_u64()).unwrap_or(0)
    }

    fn next(&self) -> Option<Instant> {
        let least = self.runs.values().filter(|run| !run.waits).map(|run| run.left).fold(f64::MAX, f64::min);
        let micros = least.max(1.0) / self.rate();
        (least < f64::MAX).then(|| self.at + Duration::from_secs_f64(micros / 1e6))
    }

    fn obey(&mut self, command: &Value, now: Instant, out: &mut Vec<Value>) {
        let task = command["task"].as_str().unwrap_or("").to_string();
        match command["verb"].as_str() {
            Some("CONNECT") => {
                let spent = now.duration_since(self.started).as_millis() as u64 + RAN_BEFORE;
                out.push(json!({"verb": "BANNER", "outcome": "warm", "spent": spent}));
                let read = command["index"].as_u64().unwrap_or(0);
                let unread = |notice: &&Value| notice["index"].as_u64() > Some(read);
                out.extend(self.notices.iter().filter(unread).cloned());
            }
            Some("APPLY") => {
                if self.runs.contains_key(&task) {
                    return;
                }
                self.done.retain(|_, at| now.duration_since(*at) < KNOWN);
                self.seen.twice.fetch_add(u64::from(self.done.contains_key(&task)), Relaxed);
                let body = STANDARD.decode(command["bytes"].as_str().unwrap_or("")).unwrap_or_default();
                let text = String::from_utf8_lossy(&body);
                let mut words = text.split(' ');
                let work = words.find_map(|word| word.strip_prefix("work=")?.parse::<f64>().ok());
                let micros = work.unwrap_or(1000.0);
                let calls = text.split(' ').any(|word| word == "calls");
                let (left, after_call) =
                    if calls { (micros / 2.0, Some(micros / 2.0)) } else { (micros, None) };
                self.runs.insert(task, Run { left, after_call, waits: false, micros });
                self.seen.runs.fetch_add(1, Relaxed);
                self.seen.crowd.fetch_max(self.on_cores() as u64, Relaxed);
            }
            Some("RESOLVE") => {
                self.runs.get_mut(&task).into_iter().for_each(|run| run.waits = false);
            }
            Some("BREAK") => {
                if self.runs.remove(&task).is_some() {
                    self.index += 1;
                    let index = self.index;
                    out.push(json!({"verb": "VALUE", "index": index, "task": task, "outcome": "halted"}));
                }
            }
            Some("TOP") => {
                let span = now.duration_since(self.asked).as_secs_f64() * 1e6;
                let busy = (self.busy / span.max(1.0) / self.cores).min(1.0);
                (self.busy, self.asked) = (0.0, now);
                let readings = [busy, self.on_cores() as f64];
                out.push(json!({"verb": "TOPS", "nonce": command["nonce"], "readings": readings}));
            }
            _ => out.push(json!({"verb": "ERROR", "outcome": command["verb"], "task": task})),
        }
    }
}

/// Takes one link after the other, on a thread of its own that ends with the process.
pub fn start(cores: f64) -> std::io::Result<(SocketAddr, Arc<Seen>)> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let (address, seen) = (listener.get_ref().local_addr()?, Arc::new(Seen::default()));
    let looks = seen.clone();
    std::thread::spawn(move || {
        let executor = LocalExecutor::new();
        let now = Instant::now();
        let mut machine = Machine {
            cores,
            runs: BTreeMap::new(),
            done: BTreeMap::new(),
            at: now,
            busy: 0.0,
            asked: now,
            index: 0,
            notices: VecDeque::new(),
            started: now,
            seen,
        };
        async_io::block_on(executor.run(async {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = link(&mut machine, stream).await;
            }
        }));
    });
    Ok((address, looks))
}

async fn link(machine: &mut Machine, stream: Async<TcpStream>) -> std::io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    let mut lines = BufReader::new(&stream).lines();
    loop {
        let line = async { Some(lines.next().await) };
        let due = async {
            let Some(at) = machine.next() else { return future::pending().await };
            Timer::at(at).await;
            None
        };
        let came = future::or(line, due).await;
        let mut out = Vec::new();
        let now = Instant::now();
        machine.go_on(now, &mut out);
        machine.keep(&out);
        let ended = out.len();
        match came {
            None => {}
            Some(Some(Ok(line))) => {
                let command = serde_json::from_str(&line).map_err(std::io::Error::other)?;
                machine.obey(&command, now, &mut out);
            }
            Some(_) => return Ok(()),
        }
        // What a command itself is answered with has no number, but for the end of a run that it stopped.
        machine.keep(&out[ended..]);
        let text: String = out.iter().map(|notice| format!("{notice}\n")).collect();
        (&stream).write_all(text.as_bytes()).await?;
    }
}
