//! Runs real server processes on the loopback interface and reads their memory and CPU time from /proc. Test
//! doubles replace the interpreter and the service registry. Each process is killed by its process id, so
//! that other processes keep running.

use crate::error::{MeasureError, io_error};
use meadowstream_test_doubles::{interpreter, registry};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum time to wait until a process logs an expected line.
const LOG_LINE_TIMEOUT: Duration = Duration::from_secs(60);
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Clock ticks per second. CPU times in /proc/PID/stat are given in clock ticks.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the field of /proc/PID/stat that holds the CPU time in user mode, in clock ticks. Index 0 is the
/// field after the command name.
const USER_TICKS_FIELD: usize = 11;
/// Index of the field of /proc/PID/stat that holds the CPU time in system mode, in clock ticks. Index 0 is
/// the field after the command name.
const SYSTEM_TICKS_FIELD: usize = 12;
/// Maximum number of log lines kept for each distinct message. If a process logs more lines with one message,
/// the first line and the latest lines are kept.
const LINES_PER_MESSAGE_MAX: usize = 64;
/// File permissions of the file that contains the fleet's key. The program rejects a key file that users
/// other than its owner can access.
const KEY_FILE_MODE: u32 = 0o600;

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Name of the server.
    pub name: String,
    /// Number of operations that the server offers.
    pub routes: usize,
    /// Maximum number of open file descriptors, set as `limits.sockets`.
    pub descriptors: usize,
    /// XML elements to write into the options file.
    pub options: String,
    /// Number of processor cores of the interpreter.
    pub cores: f64,
}

/// One line of a process's JSON log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Time at which the line was read from the process.
    pub at: Instant,
    /// Fields of the log event, including `message`.
    pub fields: Value,
}

/// Log lines of one process, grouped by message.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<HashMap<String, Vec<LogLine>>>>);

impl Log {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<LogLine>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, line: &str) {
        // A program that cannot start writes the reason as plain text before the JSON log begins. A line of
        // plain text is kept as if it were the message of a JSON line.
        let line: Value = serde_json::from_str(line).unwrap_or(json!({"fields": {"message": line}}));
        let fields = line["fields"].clone();
        let message = fields["message"].as_str().unwrap_or("").to_string();
        let mut log = self.lock();
        let lines = log.entry(message).or_default();
        if lines.len() == LINES_PER_MESSAGE_MAX {
            lines.remove(1);
        }
        lines.push(LogLine { at: Instant::now(), fields });
    }
}

/// A running server process, which is killed when this value is dropped.
pub struct Process {
    child: Child,
    log: Log,
    /// Folder of the process's configuration files, removed when this value is dropped.
    pub folder: PathBuf,
    /// Address at which the process accepts connections.
    pub listen_address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill().and_then(|()| self.child.wait());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Makes the kernel kill the process when the thread that started it ends. Otherwise, a measurement killed by
/// a signal would leave its processes running.
fn kill_when_this_thread_ends(command: &mut Command) {
    let request = || match unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    };
    // SAFETY: `request` runs in the child process between fork and exec. It makes only one system call, which
    // neither allocates memory nor takes a lock.
    unsafe { command.pre_exec(request) };
}

/// Returns the platform settings of the server as JSON. The server reads them from `config.json`.
fn platform_settings(settings: &ProcessSettings, interpreter: SocketAddr, registry: SocketAddr) -> Value {
    let operation = |route: usize| {
        json!({"name": format!("route-{route}"), "effect": "repeatable", "target": 2_000_000,
            "give-up": 4_000_000, "worth": 1.0 + (route % 2) as f64})
    };
    let operations: Vec<Value> = (0..settings.routes).map(operation).collect();
    json!({
        "name": settings.name, "listen": "127.0.0.1:0", "vm": interpreter.to_string(),
        "records": interpreter.to_string(),
        "directory": registry.to_string(), "seed": "8c1f30d27a5be964", "stop_ms": 4000,
        "limits": {"cores": settings.cores, "memory_mb": 256, "sockets": settings.descriptors},
        "settings": {
            "grades": operations, "peers-total": 1, "orgs": [],
            "contract": {"drain-grace": 500_000, "grace-to-answer": 50_000, "fall-multiple": 8.0,
                "cold-from": 1.0, "cold": 1},
            "family-info": {"below": "tier", "cores": settings.cores, "memory-kb": 200_000, "run-factor": 4.0,
                "entry-kb": 7, "preemption": "discard", "say": "weight", "idle": 15_000_000,
                "own-stats": ["cpu_busy", "runnable"]},
        },
    })
}

/// Returns the text of an options file that contains the XML `elements`.
pub fn options_file(elements: &str) -> String {
    format!("<meadowstream xmlns=\"urn:meadowstream:options:1\">\n{elements}\n</meadowstream>\n")
}

/// Writes the configuration files of a process to a new folder and returns the path of the folder.
fn write_files(settings: &ProcessSettings, platform_settings: &Value) -> std::io::Result<PathBuf> {
    let name = format!("meadowstream-capacity-{}-{}", std::process::id(), settings.name);
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    std::fs::write(folder.join("config.json"), platform_settings.to_string())?;
    std::fs::write(folder.join("options.xml"), options_file(&settings.options))?;
    let key = folder.join("key");
    std::fs::write(&key, format!("the key of capacity run {}", std::process::id()))?;
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(KEY_FILE_MODE))?;
    Ok(folder)
}

/// Starts the program with the configuration files in `folder`.
fn spawn(program: &Path, folder: &Path) -> Result<Child, MeasureError> {
    let mut command = Command::new(program);
    kill_when_this_thread_ends(&mut command);
    command
        .args(["serve", "--log", "json", "--config"])
        .arg(folder.join("config.json"))
        .arg("--options")
        .arg(folder.join("options.xml"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|source| MeasureError::Start { program: program.to_path_buf(), source })
}

impl Process {
    /// Starts the program. Waits until the program accepts connections and is connected to its interpreter.
    ///
    /// # Errors
    /// Returns an error if the program cannot be started or does not log the expected messages in time.
    pub fn start(program: &Path, settings: &ProcessSettings) -> Result<Process, MeasureError> {
        let (interpreter, _) =
            interpreter::start(settings.cores).map_err(io_error("start an interpreter"))?;
        let (registry, _) = registry::start().map_err(io_error("start a service registry"))?;
        let platform_settings = platform_settings(settings, interpreter, registry);
        let folder =
            write_files(settings, &platform_settings).map_err(io_error("write the files of a process"))?;
        let mut child = spawn(program, &folder)?;
        let log = Log::default();
        if let Some(stderr) = child.stderr.take() {
            let log = log.clone();
            let lines = BufReader::new(stderr).lines();
            std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| log.add(&line)));
        }
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = Process { child, log, folder, listen_address: unset };
        let started = process.wait_for("started", 0)?;
        let listen = started["listen"].as_str().and_then(|address| address.parse().ok());
        process.listen_address =
            listen.ok_or(MeasureError::NoAddress { message: "started", field: "listen" })?;
        process.wait_for("linked to the interpreter", 0)?;
        Ok(process)
    }

    /// Waits for a log line whose message is `message`, and returns the fields of the line. The first
    /// `lines_before` lines with this message are skipped.
    ///
    /// # Errors
    /// Returns an error if the message is not logged in time, or if the process exits before that.
    pub fn wait_for(&self, message: &str, lines_before: usize) -> Result<Value, MeasureError> {
        let deadline = Instant::now() + LOG_LINE_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(line) = self.lines(message).into_iter().nth(lines_before) {
                return Ok(line.fields);
            }
            if !Path::new(&format!("/proc/{}/fd/0", self.id())).exists() {
                return Err(MeasureError::Ended { messages: self.messages() });
            }
            std::thread::sleep(LOG_POLL_INTERVAL);
        }
        let (message, messages) = (message.to_string(), self.messages());
        Err(MeasureError::NoLogLine { message, within: LOG_LINE_TIMEOUT, messages })
    }

    /// Returns the distinct messages that the process has logged.
    fn messages(&self) -> Vec<String> {
        self.log.lock().keys().cloned().collect()
    }

    /// Returns the log lines whose message is `message`, oldest first. Returns at most
    /// `LINES_PER_MESSAGE_MAX` lines. If the process logged more, only the first line and the latest lines
    /// are returned.
    pub fn lines(&self, message: &str) -> Vec<LogLine> {
        self.log.lock().get(message).cloned().unwrap_or_default()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process. The name of the signal is given without `SIG`.
    ///
    /// # Errors
    /// Returns an error if the `kill` command cannot be run or fails.
    pub fn signal(&self, signal: &'static str) -> Result<(), MeasureError> {
        let process = self.id();
        let status = Command::new("kill").args([format!("-{signal}"), process.to_string()]).status();
        let status = status.map_err(io_error("run kill"))?;
        if !status.success() {
            return Err(MeasureError::Signal { signal, process });
        }
        Ok(())
    }

    /// Reads the file `name` in the process's folder in /proc. Returns the path and the text of the file.
    fn read_proc(&self, name: &str) -> Result<(PathBuf, String), MeasureError> {
        let file = PathBuf::from(format!("/proc/{}/{name}", self.id()));
        let text = std::fs::read_to_string(&file).map_err(io_error("read a file of /proc"))?;
        Ok((file, text))
    }

    /// Returns the current resident memory of the process, in bytes.
    ///
    /// # Errors
    /// Returns an error if /proc/PID/status cannot be read or has no `VmRSS`.
    pub fn resident_bytes(&self) -> Result<u64, MeasureError> {
        let (file, status) = self.read_proc("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let figure = line.and_then(|line| line.split_whitespace().next());
        let kib: Option<u64> = figure.and_then(|figure| figure.parse().ok());
        Ok(kib.ok_or(MeasureError::NoProcField { file, field: "VmRSS" })? << 10)
    }

    /// Returns the CPU time that the process has used, in seconds. A missing field counts as 0.
    ///
    /// # Errors
    /// Returns an error if /proc/PID/stat cannot be read.
    pub fn processor_seconds(&self) -> Result<f64, MeasureError> {
        let (_, stat) = self.read_proc("stat")?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        Ok((ticks(USER_TICKS_FIELD) + ticks(SYSTEM_TICKS_FIELD)) / TICKS_PER_SECOND)
    }
}
