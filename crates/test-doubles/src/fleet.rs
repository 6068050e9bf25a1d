//! A rehearsal of the fleet's view: N processes of the program on loopback, each behind a face of the
//! [`Relay`], through a join, a crash (SIGKILL), a stall (SIGSTOP, SIGCONT), a partition and its heal. What
//! each server saw is read from its own log (JSON lines), and a table says when each saw each change and
//! when the views agreed. Bounded: every wait has its limit, and each process is killed at the end.

use crate::interpreter;
use crate::relay::Relay;
use anyhow::{Context, Result, bail};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Probe period and suspicion of the rehearsal, short so that it ends within a minute.
pub const PROBE_MS: u64 = 200;
pub const SUSPICION: u64 = 5;
const PATIENCE: Duration = Duration::from_secs(20);

type Lines = Arc<Mutex<Vec<(Instant, Value)>>>;

struct Process {
    child: Child,
    lines: Lines,
    seen: Option<Arc<interpreter::Seen>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = Command::new("kill").args(["-CONT", &self.child.id().to_string()]).status();
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the log of a process until it ends.
fn read_log(child: &mut Child, into: Lines) -> Result<()> {
    let stderr = BufReader::new(child.stderr.take().context("no log")?);
    std::thread::spawn(move || {
        for line in stderr.lines().map_while(Result::ok) {
            if let Ok(value) = serde_json::from_str::<Value>(&line) {
                into.lock().expect("lines").push((Instant::now(), value));
            }
        }
    });
    Ok(())
}

/// What a stage gives its processes beside the view.
#[derive(Default)]
pub struct Extra {
    /// An interpreter of so many cores for each; none where 0.
    pub cores: f64,
    /// Where each one's calls go.
    pub records: Vec<SocketAddr>,
    /// Attributes of `<membership>` beside those that each process has.
    pub membership: String,
    /// Elements of the options beside `<membership>`.
    pub options: String,
    /// More of them, for each server its own.
    pub own_options: Vec<String>,
    /// The first so many are control machines, which keep the log of configuration and serve nothing.
    pub controls: usize,
    /// Where each takes calls; a free port of its own where not given.
    pub listens: Vec<SocketAddr>,
    /// Programs of the first servers, where these are not the stage's.
    pub programs: Vec<PathBuf>,
}

/// Processes of the program behind a relay.
pub struct Stage {
    extra: Extra,
    pub relay: Relay,
    processes: Vec<Option<Process>>,
    folder: PathBuf,
    program: PathBuf,
    _catalog: UdpSocket,
    _vm: TcpListener,
}

impl Stage {
    /// Starts `n` processes, each seeded with the first one's face.
    pub fn new(program: &Path, n: usize, seed: u64) -> Result<Stage> {
        Stage::with(program, n, n, seed, Extra::default())
    }

    /// Room for `n` processes, the first `started` of them started.
    pub fn with(program: &Path, n: usize, started: usize, seed: u64, extra: Extra) -> Result<Stage> {
        let folder = std::env::temp_dir().join(format!("meadowstream-fleet-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let key = folder.join("key");
        std::fs::write(&key, "a shared key of the rehearsal fleet")?;
        use std::os::unix::fs::PermissionsExt;
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600))?;
        let mut stage = Stage {
            extra,
            relay: Relay::new(n, seed)?,
            processes: (0..n).map(|_| None).collect(),
            folder,
            program: program.to_path_buf(),
            _catalog: UdpSocket::bind("127.0.0.1:0")?,
            _vm: TcpListener::bind("127.0.0.1:0")?,
        };
        for i in 0..started {
            stage.start(i)?;
        }
        Ok(stage)
    }

    pub fn len(&self) -> usize {
        self.processes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Starts process `i`, or starts it again after it was killed.
    pub fn start(&mut self, i: usize) -> Result<()> {
        let (mut vm, mut seen) = (self._vm.local_addr()?.to_string(), None);
        if self.extra.cores > 0.0 {
            let started = interpreter::start(self.extra.cores)?;
            (vm, seen) = (started.0.to_string(), Some(started.1));
        }
        let listen = self.extra.listens.get(i).map_or("127.0.0.1:0".to_string(), |at| at.to_string());
        let records = self.extra.records.get(i).map_or(vm.clone(), |at| at.to_string());
        let cores = self.extra.cores.max(1.0);
        let configuration = json!({
            "name": format!("s{i}"), "listen": listen, "vm": vm, "records": records,
            "directory": self._catalog.local_addr()?.to_string(), "seed": "8c1f30d27a5be964",
            "stop_ms": 2000, "limits": {"cores": cores, "memory_mb": 192, "sockets": 256},
            "settings": {
                "grades": [{"name": "load", "effect": "repeatable", "target": 8_000_000, "give-up": 9_000_000,
                    "worth": 1.0}],
                "peers-total": 1, "orgs": [],
                "contract": {"drain-grace": 200_000, "grace-to-answer": 50_000, "fall-multiple": 8.0,
                    "cold-from": 0.2, "cold": 1},
                "family-info": {"below": "tier", "cores": cores, "memory-kb": 100_000, "run-factor": 4.0,
                    "entry-kb": 7, "preemption": "discard", "say": "weight", "idle": 15_000_000,
                    "own-stats": ["cpu_busy", "runnable"]},
            },
        });
        let options = format!(
            r#"<meadowstream xmlns="urn:meadowstream:options:1">
  <membership bind="127.0.0.1:0" advertise="{face}" name="s{i}" fleet="rehearsal" key-file="key"
      probe-period-ms="{PROBE_MS}" probe-rtt-ms="80" suspicion-multiplier="{SUSPICION}" gossip-period-ms="100"
      announce-period-ms="1000" expected-members="{n}" {membership}>
    <seed address="{seed}"/>
  </membership>
  {extra}{own}
</meadowstream>"#,
            membership = self.extra.membership,
            extra = self.extra.options,
            own = self.extra.own_options.get(i).map_or("", String::as_str),
            face = self.relay.face(i),
            seed = self.relay.face(0),
            n = self.processes.len(),
        );
        let (config, xml) = (self.folder.join(format!("s{i}.json")), self.folder.join(format!("s{i}.xml")));
        std::fs::write(&config, configuration.to_string())?;
        std::fs::write(&xml, options)?;
        let mut child = self.spawn(i)?;
        let lines: Lines = Arc::default();
        read_log(&mut child, lines.clone())?;
        let process = Process { child, lines, seen };
        let bound = self.bound(i, &process, 0)?;
        self.relay.register(i, bound);
        self.processes[i] = Some(process);
        Ok(())
    }

    /// The program of its mark, or the stage's.
    fn spawn(&self, i: usize) -> Result<Child> {
        let mark = std::fs::read_to_string(self.folder.join(format!("s{i}.xml.program"))).ok();
        let marked = mark.as_ref().and_then(|mark| mark.trim().split_once(' ')).map(|(_, path)| path);
        let own = self.extra.programs.get(i).unwrap_or(&self.program);
        let mut command = Command::new(marked.map_or(own.as_path(), Path::new));
        if i < self.extra.controls {
            command.args(["control", "--log", "json"]);
        } else {
            command.args(["serve", "--log", "json", "--config"]).arg(self.folder.join(format!("s{i}.json")));
        }
        command
            .arg("--options")
            .arg(self.folder.join(format!("s{i}.xml")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .context("cannot start the program")
    }

    /// The address of the fleet's view that it says in its log, after so many starts before.
    fn bound(&self, i: usize, process: &Process, before: usize) -> Result<SocketAddr> {
        wait(PATIENCE, || {
            let lines = process.lines.lock().expect("lines");
            let (_, joining) =
                lines.iter().filter(|(_, l)| l["fields"]["message"] == "joining").nth(before)?;
            joining["fields"]["bound"].as_str()?.parse::<SocketAddr>().ok()
        })
        .with_context(|| format!("s{i} did not start"))
    }

    /// What a supervisor does: whichever process has ended by itself is started again, as the program that
    /// its mark names. Returns those it started.
    pub fn supervise(&mut self) -> Result<Vec<usize>> {
        let mut started = Vec::new();
        for i in 0..self.processes.len() {
            let Some(process) = &mut self.processes[i] else { continue };
            if process.child.try_wait()?.is_none() {
                continue;
            }
            let mut process = self.processes[i].take().expect("there a line before");
            let joined = |(_, l): &&(Instant, Value)| l["fields"]["message"] == "joining";
            let before = process.lines.lock().expect("lines").iter().filter(joined).count();
            process.child = self.spawn(i)?;
            read_log(&mut process.child, process.lines.clone())?;
            let bound = self.bound(i, &process, before)?;
            self.relay.register(i, bound);
            self.processes[i] = Some(process);
            started.push(i);
        }
        Ok(started)
    }

    /// Runs of server `i` begun twice, as its interpreter counts them.
    pub fn ran_twice(&self, i: usize) -> u64 {
        let seen = self.processes[i].as_ref().and_then(|process| process.seen.as_ref());
        seen.map_or(0, |seen| seen.twice.load(Relaxed))
    }

    /// Sends a signal by name (KILL, STOP, CONT) to server `i`; after KILL it is gone from the stage.
    pub fn signal(&mut self, i: usize, name: &str) -> Result<()> {
        self.signal_only(i, name)?;
        if name == "KILL" {
            self.processes[i] = None;
        }
        Ok(())
    }

    /// Whether a line of server `i`'s log has such a message.
    pub fn said(&self, i: usize, text: &str) -> bool {
        let Some(process) = &self.processes[i] else { return false };
        let lines = process.lines.lock().expect("lines");
        lines.iter().any(|(_, l)| l["fields"]["message"].as_str().is_some_and(|m| m.contains(text)))
    }

    /// Sends a signal that it outlives.
    pub fn signal_only(&self, i: usize, name: &str) -> Result<()> {
        let process = self.processes[i].as_ref().context("not running")?;
        let ok =
            Command::new("kill").args([&format!("-{name}"), &process.child.id().to_string()]).status()?;
        if !ok.success() {
            bail!("kill -{name} failed");
        }
        Ok(())
    }

    /// The states of others in server `i`'s last view line, by name.
    pub fn view(&self, i: usize) -> BTreeMap<String, String> {
        self.view_since(i, None)
    }

    /// The same, of a line written after `since` alone: a stalled server's last line before the stall
    /// would say what it no longer knows.
    fn view_since(&self, i: usize, since: Option<Instant>) -> BTreeMap<String, String> {
        let Some(process) = &self.processes[i] else { return BTreeMap::new() };
        let lines = process.lines.lock().expect("lines");
        let after = |at: &Instant| since.is_none_or(|since| *at >= since);
        let view = lines.iter().rev().find(|(at, l)| after(at) && l["fields"]["message"] == "view");
        let Some(members) = view.and_then(|(_, v)| v["fields"]["members"].as_str()) else {
            return BTreeMap::new();
        };
        let members: Vec<Value> = serde_json::from_str(members).unwrap_or_default();
        let text = |m: &Value, k: &str| m[k].as_str().unwrap_or("").to_string();
        members.iter().map(|m| (text(m, "name"), text(m, "state"))).collect()
    }

    /// How often server `i` logged that `name` went down.
    pub fn downs(&self, i: usize, name: &str) -> usize {
        let Some(process) = &self.processes[i] else { return 0 };
        let lines = process.lines.lock().expect("lines");
        let down = |l: &Value| l["fields"]["change"] == "down" && l["fields"]["member"] == name;
        lines.iter().filter(|(_, l)| down(l)).count()
    }

    /// A field of server `i`'s last view line that holds JSON, read.
    pub fn view_field(&self, i: usize, field: &str) -> Option<Value> {
        let process = self.processes[i].as_ref()?;
        let lines = process.lines.lock().expect("lines");
        let (_, view) = lines.iter().rev().find(|(_, l)| l["fields"]["message"] == "view")?;
        serde_json::from_str(view["fields"][field].as_str()?).ok()
    }

    /// The address server `i` takes calls at, as it said in its log.
    pub fn listens(&self, i: usize) -> Option<SocketAddr> {
        let process = self.processes[i].as_ref()?;
        let lines = process.lines.lock().expect("lines");
        let (_, started) = lines.iter().find(|(_, l)| l["fields"]["message"] == "started")?;
        started["fields"]["listen"].as_str()?.parse().ok()
    }

    /// Server `i`'s last log line about what is shared.
    pub fn shared(&self, i: usize) -> Option<Value> {
        let process = self.processes[i].as_ref()?;
        let lines = process.lines.lock().expect("lines");
        let (_, shared) = lines.iter().rev().find(|(_, l)| l["fields"]["message"] == "shared")?;
        Some(shared["fields"].clone())
    }

    /// All of server `i`'s log lines of such a message, by their fields.
    pub fn lines(&self, i: usize, message: &str) -> Vec<Value> {
        let Some(process) = &self.processes[i] else { return Vec::new() };
        let lines = process.lines.lock().expect("lines");
        let of = lines.iter().filter(|(_, l)| l["fields"]["message"] == message);
        of.map(|(_, l)| l["fields"].clone()).collect()
    }

    /// The folder of its files: `s{i}.json`, `s{i}.xml` and the key.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Whether server `i` sees exactly the others of `who` alive, and nobody else alive or suspect.
    pub fn sees(&self, i: usize, who: &[usize]) -> bool {
        self.sees_since(i, who, None)
    }

    fn sees_since(&self, i: usize, who: &[usize], since: Option<Instant>) -> bool {
        let view = self.view_since(i, since);
        let live = view.values().filter(|s| *s != "Down").count();
        let want: Vec<String> = who.iter().filter(|&&j| j != i).map(|j| format!("s{j}")).collect();
        live == want.len() && want.iter().all(|w| view.get(w).is_some_and(|s| s == "Alive"))
    }

    pub fn agree(&self, who: &[usize]) -> bool {
        who.iter().all(|&i| self.sees(i, who))
    }

    /// Waits until each of `who` sees `who`; when each first did, from `since`, and when all did.
    pub fn until_agreed(&self, who: &[usize], since: Instant, within: Duration) -> Result<Timeline> {
        let mut each: BTreeMap<usize, Duration> = BTreeMap::new();
        let all = wait(within, || {
            for &i in who {
                if !each.contains_key(&i) && self.sees_since(i, who, Some(since)) {
                    each.insert(i, since.elapsed());
                }
            }
            (each.len() == who.len() && self.agree(who)).then(|| since.elapsed())
        });
        let all = all.with_context(|| format!("no one view of {who:?} within {within:?}"))?;
        Ok(Timeline { each, all })
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// When each server first saw a change, and when all agreed.
#[derive(Debug, Clone)]
pub struct Timeline {
    pub each: BTreeMap<usize, Duration>,
    pub all: Duration,
}

pub fn wait<T>(within: Duration, mut what: impl FnMut() -> Option<T>) -> Option<T> {
    let start = Instant::now();
    loop {
        if let Some(found) = what() {
            return Some(found);
        }
        if start.elapsed() > within {
            return None;
        }
        std::thread::sleep(Duration::from_millis(25));
    }
}

/// Plays the rehearsal with `n` servers (at least 4), saying each step; the table at the end.
pub fn rehearse(program: &Path, n: usize, mut say: impl FnMut(&str)) -> Result<String> {
    let mut stage = Stage::new(program, n, 7)?;
    let all: Vec<usize> = (0..n).collect();
    let mut columns: Vec<(String, Timeline)> = Vec::new();
    say(&format!("{n} servers started, probe period {PROBE_MS} ms, suspicion {SUSPICION} periods"));
    let t = Instant::now();
    columns.push(("join".into(), stage.until_agreed(&all, t, PATIENCE)?));
    say("all joined");

    let (dead, stalled) = (n - 1, 1);
    stage.signal(dead, "KILL")?;
    let alive: Vec<usize> = (0..n - 1).collect();
    columns.push(("crash".into(), stage.until_agreed(&alive, Instant::now(), PATIENCE)?));
    say(&format!("s{dead} killed and seen down by all"));

    stage.signal(stalled, "STOP")?;
    let t = Instant::now();
    let others: Vec<usize> = alive.iter().copied().filter(|&i| i != stalled).collect();
    columns.push(("stall".into(), stage.until_agreed(&others, t, PATIENCE)?));
    stage.signal(stalled, "CONT")?;
    columns.push(("resume".into(), stage.until_agreed(&alive, Instant::now(), PATIENCE)?));
    say(&format!("s{stalled} stopped, seen down, continued and seen back"));

    let half = alive.len() / 2;
    let (left, right): (Vec<usize>, Vec<usize>) = alive.iter().partition(|&&i| i < half);
    stage.relay.set(|f| {
        for &i in &right {
            f.groups.insert(i, 1);
        }
        f.partition(0, 1);
    });
    let t = Instant::now();
    let mut cut = stage.until_agreed(&left, t, PATIENCE)?;
    let other = stage.until_agreed(&right, t, PATIENCE)?;
    cut.each.extend(other.each);
    cut.all = cut.all.max(other.all);
    columns.push(("cut".into(), cut));
    stage.relay.set(|f| f.heal());
    columns.push(("heal".into(), stage.until_agreed(&alive, Instant::now(), PATIENCE)?));
    say(&format!("cut into {left:?} and {right:?}, then healed"));
    Ok(table(n, &columns))
}

fn table(n: usize, columns: &[(String, Timeline)]) -> String {
    let mut out = String::from("seconds after each step until the server's own view showed it\n\nserver");
    for (name, _) in columns {
        out.push_str(&format!(" {name:>7}"));
    }
    out.push('\n');
    let cell = |d: Option<&Duration>| d.map_or("-".to_string(), |d| format!("{:.2}", d.as_secs_f64()));
    for i in 0..n {
        out.push_str(&format!("s{i:<5}"));
        for (_, timeline) in columns {
            out.push_str(&format!(" {:>7}", cell(timeline.each.get(&i))));
        }
        out.push('\n');
    }
    out.push_str("agreed");
    for (_, timeline) in columns {
        out.push_str(&format!(" {:>7}", cell(Some(&timeline.all))));
    }
    out.push('\n');
    out
}
