//! Process of the program under test in a rehearsal, with its configuration and its log.

use super::plan::RehearsalPlan;
use anyhow::{Context, Result, ensure};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Maximum time to wait for the next log line, and for the exit of the program.
pub const WAIT_MAX: Duration = Duration::from_secs(10);
/// Time without a new log line after which the log is considered complete.
const LOG_END_WAIT: Duration = Duration::from_millis(200);

/// Addresses of the test doubles to which the program connects.
pub struct TestDoubleAddresses {
    pub interpreter: SocketAddr,
    pub downstream_service: SocketAddr,
    pub registry: SocketAddr,
}

/// Process of the program under test. The process is killed when this value is dropped.
pub struct ServerProcess {
    child: Child,
    log: Receiver<String>,
    read_lines: Vec<String>,
    folder: PathBuf,
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill().and_then(|()| self.child.wait());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn configuration(plan: &RehearsalPlan, doubles: &TestDoubleAddresses) -> Value {
    let micros = |span: Duration| span.as_micros() as u64;
    let operation = json!({"name": "answer", "effect": "repeatable", "target": micros(plan.objective),
        "give-up": 2 * micros(plan.objective), "worth": 1.0});
    let mut configuration = json!({
        "name": "rehearsal", "listen": "127.0.0.1:0", "vm": doubles.interpreter.to_string(),
        "records": doubles.downstream_service.to_string(), "directory": doubles.registry.to_string(),
        "seed": format!("{:016x}", plan.seed), "stop_ms": 4000,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "grades": [operation], "peers-total": 1, "orgs": [],
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
        family["dep-share"] = json!(dependency.quota);
        family["calls-over"] = json!(5_000_000);
        family["lingers"] = json!(200_000);
        family["degraded-worth"] = json!([0.5]);
    }
    configuration
}

impl ServerProcess {
    /// Starts the program. Its configuration and options files are written to a temporary folder.
    pub fn start(program: &Path, plan: &RehearsalPlan, doubles: &TestDoubleAddresses) -> Result<Self> {
        let name = format!("meadowstream-rehearsal-{}-{}", std::process::id(), plan.seed);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let (config, options) = (folder.join("config.json"), folder.join("options.xml"));
        std::fs::write(&config, configuration(plan, doubles).to_string())?;
        std::fs::write(&options, &plan.options)?;
        let mut child = Command::new(program)
            .args(["serve", "--config"])
            .arg(&config)
            .arg("--options")
            .arg(&options)
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        let stderr = BufReader::new(child.stderr.take().context("the program has no standard error")?);
        let (lines, log) = channel();
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| lines.send(line))
        });
        Ok(Self { child, log, read_lines: Vec::new(), folder })
    }

    /// Waits for a log line that contains `text` and returns the line. Fails if no new line is logged within
    /// [`WAIT_MAX`]. The error then lists all lines read so far.
    pub fn wait_for_line(&mut self, text: &str) -> Result<String> {
        loop {
            if let Some(line) = self.read_lines.iter().find(|line| line.contains(text)) {
                return Ok(line.clone());
            }
            let line = self.log.recv_timeout(WAIT_MAX);
            self.read_lines
                .push(line.with_context(|| format!("no log line with {text:?}: {:?}", self.read_lines))?);
        }
    }

    /// Reads the log until no more lines are logged, and returns all of its lines.
    pub fn read_remaining_log(&mut self) -> &[String] {
        while let Ok(line) = self.log.recv_timeout(LOG_END_WAIT) {
            self.read_lines.push(line);
        }
        &self.read_lines
    }

    /// Sends a signal to the process. `name` is the name of the signal without `SIG`.
    pub fn signal(&self, name: &str) -> Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status()?;
        ensure!(status.success(), "kill -{name} failed: {status}");
        Ok(())
    }

    /// Returns the exit status of the program; `None` while the program runs.
    pub fn try_wait(&mut self) -> std::io::Result<Option<std::process::ExitStatus>> {
        self.child.try_wait()
    }

    /// Returns the peak resident memory of the program so far, in KiB; 0 if it cannot be read.
    pub fn peak_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
}
