//! The harness: starts, stops and signals the processes, and reads their logs.

use super::files::{HarnessOptions, OptionsFile, ServerAddresses, configuration};
use super::log::ServerLog;
use super::process::ServerProcess;
use super::{WAIT_MAX, wait_for};
use crate::interpreter;
use crate::interpreter::RunCounts;
use crate::udp_relay::UdpRelay;
use anyhow::{Context, Result};
use serde_json::Value;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

/// Processes of the program behind a relay; server `i` is named `s{i}`.
pub struct FleetHarness {
    options: HarnessOptions,
    /// The relay between the members' membership addresses.
    pub relay: UdpRelay,
    processes: Vec<Option<ServerProcess>>,
    folder: PathBuf,
    program: PathBuf,
    /// Receives load reports and answers none.
    registry: UdpSocket,
    /// Accepts links of servers that have no interpreter and answers none.
    silent_interpreter: TcpListener,
}

impl FleetHarness {
    /// Starts `count` processes, each with the first one's endpoint as its seed.
    pub fn new(program: &Path, count: usize, seed: u64) -> Result<FleetHarness> {
        FleetHarness::with_options(program, count, count, seed, HarnessOptions::default())
    }

    /// A harness of up to `count` processes, the first `started` of them started. An error when a file cannot
    /// be written or a process does not join within `WAIT_MAX`.
    pub fn with_options(
        program: &Path,
        count: usize,
        started: usize,
        seed: u64,
        options: HarnessOptions,
    ) -> Result<FleetHarness> {
        let folder = std::env::temp_dir().join(format!("meadowstream-fleet-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let key = folder.join("key");
        // A key of its own: a port of a dead member may become another fleet's, which must not be heard.
        std::fs::write(&key, format!("the key of rehearsal fleet {}-{seed}", std::process::id()))?;
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600))?;
        let mut harness = FleetHarness {
            options,
            relay: UdpRelay::new(count, seed)?,
            processes: (0..count).map(|_| None).collect(),
            folder,
            program: program.to_path_buf(),
            registry: UdpSocket::bind("127.0.0.1:0")?,
            silent_interpreter: TcpListener::bind("127.0.0.1:0")?,
        };
        for index in 0..started {
            harness.start(index)?;
        }
        Ok(harness)
    }

    /// Number of servers, started or not.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Whether it has no server.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// The folder of the servers' files: `s{i}.json`, `s{i}.xml` and the key.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts server `index`, or starts it again after it was killed.
    pub fn start(&mut self, index: usize) -> Result<()> {
        let (mut interpreter, mut runs) = (self.silent_interpreter.local_addr()?, None);
        if self.options.cores > 0.0 {
            let (address, counts) = interpreter::start(self.options.cores)?;
            (interpreter, runs) = (address, Some(counts));
        }
        self.write_files(index, interpreter)?;
        let mut child = self.spawn(index)?;
        let log = ServerLog::default();
        log.read(&mut child)?;
        self.wait_until_joined(index, ServerProcess { child, log, runs }, 0)
    }

    fn write_files(&self, index: usize, interpreter: SocketAddr) -> Result<()> {
        let listen =
            self.options.listen_addresses.get(index).map_or("127.0.0.1:0".to_string(), SocketAddr::to_string);
        let addresses = ServerAddresses {
            listen,
            interpreter: interpreter.to_string(),
            downstream_service: self
                .options
                .downstream_services
                .get(index)
                .unwrap_or(&interpreter)
                .to_string(),
            registry: self.registry.local_addr()?.to_string(),
        };
        let configuration = configuration(index, self.options.cores.max(1.0), &addresses);
        let options = OptionsFile {
            index,
            advertised: self.relay.endpoint(index),
            seed: self.relay.endpoint(0),
            members: self.processes.len(),
            given: &self.options,
        };
        std::fs::write(self.folder.join(format!("s{index}.json")), configuration.to_string())?;
        std::fs::write(self.folder.join(format!("s{index}.xml")), options.to_string())?;
        Ok(())
    }

    /// Runs the program that the server's mark of a roll-out names, or the harness's.
    fn spawn(&self, index: usize) -> Result<Child> {
        let options = self.folder.join(format!("s{index}.xml"));
        let mark = std::fs::read_to_string(self.folder.join(format!("s{index}.xml.program"))).ok();
        let marked = mark.as_ref().and_then(|mark| mark.trim().split_once(' ')).map(|(_, path)| path);
        let own_program = self.options.programs.get(index).unwrap_or(&self.program);
        let mut command = Command::new(marked.map_or(own_program.as_path(), Path::new));
        if index < self.options.control_servers {
            command.args(["control", "--log", "json"]);
        } else {
            let configuration = self.folder.join(format!("s{index}.json"));
            command.args(["serve", "--log", "json", "--config"]).arg(configuration);
        }
        command
            .arg("--options")
            .arg(options)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .context("cannot start the program")
    }

    /// Waits until the server logs the address of its membership, after `earlier_joins` of its former starts,
    /// and registers it with the relay.
    fn wait_until_joined(
        &mut self,
        index: usize,
        process: ServerProcess,
        earlier_joins: usize,
    ) -> Result<()> {
        let bound_address = || {
            let joining = process.log.events("joining").into_iter().nth(earlier_joins)?;
            joining["bound"].as_str()?.parse::<SocketAddr>().ok()
        };
        let bound = wait_for(WAIT_MAX, bound_address).with_context(|| format!("s{index} did not start"))?;
        self.relay.register(index, bound);
        self.processes[index] = Some(process);
        Ok(())
    }

    /// Does what a supervisor does: starts each process that has ended by itself again, as the program that
    /// its mark names. Returns those it started.
    pub fn supervise(&mut self) -> Result<Vec<usize>> {
        let mut started = Vec::new();
        for index in 0..self.processes.len() {
            let Some(mut process) = self.processes[index].take() else { continue };
            if process.child.try_wait()?.is_none() {
                self.processes[index] = Some(process);
                continue;
            }
            let earlier_joins = process.log.events("joining").len();
            process.child = self.spawn(index)?;
            process.log.read(&mut process.child)?;
            self.wait_until_joined(index, process, earlier_joins)?;
            started.push(index);
        }
        Ok(started)
    }

    /// Sends a signal by name (KILL, STOP, CONT) to server `index`; after KILL it counts as not started.
    pub fn signal(&mut self, index: usize, name: &str) -> Result<()> {
        self.signal_and_keep(index, name)?;
        if name == "KILL" {
            self.processes[index] = None;
        }
        Ok(())
    }

    /// Sends a signal and keeps the server's process and log.
    pub fn signal_and_keep(&self, index: usize, name: &str) -> Result<()> {
        self.processes[index].as_ref().with_context(|| format!("s{index} is not running"))?.signal(name)
    }

    /// Runs that server `index` began more than once, as its interpreter counts them.
    pub fn repeated_runs(&self, index: usize) -> u64 {
        let runs = self.processes[index].as_ref().and_then(|process| process.runs.as_ref());
        runs.map_or(0, |runs| runs.repeated.load(Relaxed))
    }

    pub(super) fn log(&self, index: usize) -> Option<&ServerLog> {
        self.processes[index].as_ref().map(|process| &process.log)
    }

    /// The process of server `index`, by its id; `None` where it is not started or was killed.
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.processes[index].as_ref().map(|process| process.child.id())
    }

    /// How server `index` has ended by itself; `None` while it runs, or where it is not started.
    pub fn exit_status(&mut self, index: usize) -> Option<ExitStatus> {
        self.processes[index].as_mut()?.child.try_wait().ok()?
    }

    /// What the interpreter of server `index` ran.
    pub fn run_counts(&self, index: usize) -> Option<Arc<RunCounts>> {
        self.processes[index].as_ref()?.runs.clone()
    }

    /// The state of server `index`'s process, as the kernel names it.
    pub(super) fn process_state(&self, index: usize) -> String {
        let Some(process) = &self.processes[index] else { return "not started".to_string() };
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.child.id()));
        let state = status.iter().flat_map(|text| text.lines()).find_map(|line| line.strip_prefix("State:"));
        state.map_or("ended".to_string(), |state| state.trim().to_string())
    }

    /// Whether the message of a line of server `index`'s log contains `text`.
    pub fn has_logged(&self, index: usize, text: &str) -> bool {
        let Some(log) = self.log(index) else { return false };
        let contains =
            |fields: &Value| fields["message"].as_str().is_some_and(|message| message.contains(text));
        log.lines().iter().any(|line| contains(&line.fields))
    }

    /// The fields of server `index`'s log lines of an event, the oldest first.
    pub fn log_lines(&self, index: usize, message: &str) -> Vec<Value> {
        self.log(index).map_or(Vec::new(), |log| log.events(message))
    }

    /// All log lines of server `index` with the time at which each was written, the oldest first.
    pub fn timestamped_log_lines(&self, index: usize) -> Vec<(String, Value)> {
        let Some(log) = self.log(index) else { return Vec::new() };
        log.lines().iter().map(|line| (line.timestamp.clone(), line.fields.clone())).collect()
    }

    /// The address where server `index` accepts calls, from its log.
    pub fn listen_address(&self, index: usize) -> Option<SocketAddr> {
        let started = self.log(index)?.events("started").into_iter().next()?;
        started["listen"].as_str()?.parse().ok()
    }

    /// The fields of server `index`'s last log line about shared state.
    pub fn shared_state(&self, index: usize) -> Option<Value> {
        self.log(index)?.last_event("shared", None)
    }
}

impl Drop for FleetHarness {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
