//! Real processes of the program on loopback, with stand-ins for the interpreter and the catalog: what they
//! hold and do as the system counts it. Each is ended by its own id.

use anyhow::{Context, Result};
use meadowstream_test_doubles::{interpreter, registry};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(60);
/// Clock ticks a second in /proc/PID/stat.
const TICKS: f64 = 100.0;

/// What one process is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    pub name: String,
    pub routes: usize,
    pub descriptors: usize,
    /// Elements of the options.
    pub options: String,
    /// Cores of its interpreter.
    pub cores: f64,
}

/// The last log line of each message, with when it came.
type Log = Arc<Mutex<HashMap<String, Vec<(Instant, Value)>>>>;
/// Log lines kept of each message.
const LINES_KEPT: usize = 64;

pub struct Process {
    child: Child,
    log: Log,
    pub folder: PathBuf,
    pub listen: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill().and_then(|()| self.child.wait());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Has the kernel end the process with the thread that starts it, so that a measurement ended by a signal
/// leaves none behind.
fn end_with_this_thread(command: &mut Command) {
    let ask = || match unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    };
    // SAFETY: between fork and exec only one system call is made, which allocates nothing and takes no lock.
    unsafe { command.pre_exec(ask) };
}

fn configuration(setup: &Setup, interpreter: SocketAddr, catalog: SocketAddr) -> Value {
    let operation = |route: usize| {
        json!({"name": format!("route-{route}"), "effect": "repeatable", "target": 2_000_000,
            "give-up": 4_000_000, "worth": 1.0 + (route % 2) as f64})
    };
    let operations: Vec<Value> = (0..setup.routes).map(operation).collect();
    json!({
        "name": setup.name, "listen": "127.0.0.1:0", "vm": interpreter.to_string(),
        "records": interpreter.to_string(),
        "directory": catalog.to_string(), "seed": "8c1f30d27a5be964", "stop_ms": 4000,
        "limits": {"cores": setup.cores, "memory_mb": 256, "sockets": setup.descriptors},
        "settings": {
            "grades": operations, "peers-total": 1, "orgs": [],
            "contract": {"drain-grace": 500_000, "grace-to-answer": 50_000, "fall-multiple": 8.0,
                "cold-from": 1.0, "cold": 1},
            "family-info": {"below": "tier", "cores": setup.cores, "memory-kb": 200_000, "run-factor": 4.0,
                "entry-kb": 7, "preemption": "discard", "say": "weight", "idle": 15_000_000,
                "own-stats": ["cpu_busy", "runnable"]},
        },
    })
}

/// The options file of the elements.
pub fn options_file(elements: &str) -> String {
    format!("<meadowstream xmlns=\"urn:meadowstream:options:1\">\n{elements}\n</meadowstream>\n")
}

impl Process {
    /// Starts the program and waits until it listens and has its interpreter.
    pub fn start(program: &Path, setup: &Setup) -> Result<Process> {
        let (interpreter, _) = interpreter::start(setup.cores)?;
        let (catalog, _) = registry::start()?;
        let own = format!("meadowstream-capacity-{}-{}", std::process::id(), setup.name);
        let folder = std::env::temp_dir().join(own);
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("config.json"), configuration(setup, interpreter, catalog).to_string())?;
        std::fs::write(folder.join("options.xml"), options_file(&setup.options))?;
        let key = folder.join("key");
        std::fs::write(&key, "a shared key of the capacity runs")?;
        use std::os::unix::fs::PermissionsExt;
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600))?;
        let mut command = Command::new(program);
        end_with_this_thread(&mut command);
        let mut child = command
            .args(["serve", "--log", "json", "--config"])
            .arg(folder.join("config.json"))
            .arg("--options")
            .arg(folder.join("options.xml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        let log = Log::default();
        let lines = BufReader::new(child.stderr.take().context("no log")?).lines();
        let into = log.clone();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| keep(&into, &line)));
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = Process { child, log, folder, listen: unset };
        let started = process.wait_for("started", 0)?;
        process.listen = started["listen"].as_str().context("no address")?.parse()?;
        process.wait_for("linked to the interpreter", 0)?;
        Ok(process)
    }

    /// The fields of the log line of a message that comes after so many before.
    pub fn wait_for(&self, message: &str, before: usize) -> Result<Value> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Some((_, fields)) = self.lines(message).into_iter().nth(before) {
                return Ok(fields);
            }
            let ended = !Path::new(&format!("/proc/{}/fd/0", self.id())).exists();
            anyhow::ensure!(!ended, "the program has ended: {:?}", self.said());
            std::thread::sleep(Duration::from_millis(10));
        }
        anyhow::bail!("no {message:?} in the log within {PATIENCE:?}, but {:?}", self.said())
    }

    /// The messages of its log.
    fn said(&self) -> Vec<String> {
        self.log.lock().expect("log").keys().cloned().collect()
    }

    /// The last log lines of a message, with when they came.
    pub fn lines(&self, message: &str) -> Vec<(Instant, Value)> {
        self.log.lock().expect("log").get(message).cloned().unwrap_or_default()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) -> Result<()> {
        let status = Command::new("kill").args([format!("-{name}"), self.id().to_string()]).status()?;
        anyhow::ensure!(status.success(), "kill -{name} failed");
        Ok(())
    }

    /// Resident bytes now.
    pub fn resident(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("no VmRSS")?;
        let kib: u64 = line.split_whitespace().next().context("no figure")?.parse()?;
        Ok(kib << 10)
    }

    /// Processor time so far, in seconds.
    pub fn processor(&self) -> Result<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        Ok((ticks(11) + ticks(12)) / TICKS)
    }
}

fn keep(log: &Log, line: &str) {
    // Before its log begins the program says in plain words why it cannot start.
    let value = serde_json::from_str::<Value>(line).unwrap_or(json!({"fields": {"message": line}}));
    let fields = value["fields"].clone();
    let message = fields["message"].as_str().unwrap_or("").to_string();
    let mut log = log.lock().expect("log");
    let lines = log.entry(message).or_default();
    if lines.len() == LINES_KEPT {
        lines.remove(1);
    }
    lines.push((Instant::now(), fields));
}
