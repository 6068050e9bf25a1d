//! Harness that starts, stops and signals the processes of a fleet, and reads their logs.

use super::files::{HarnessOptions, OptionsFile, ServerAddresses, configuration};
use super::log::ServerLog;
use super::loopback;
use super::process::ServerProcess;
use super::{WAIT_MAX, wait_for};
use crate::interpreter;
use crate::interpreter::{Interpreter, InterpreterFaults, RunCounts};
use crate::udp_relay::UdpRelay;
use anyhow::{Context, Result};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

/// Fleet of processes whose membership traffic passes through a relay. The server with index `i` is named
/// `s{i}`.
pub struct FleetHarness {
    options: HarnessOptions,
    /// IP address at which all servers accept calls. Each server has its own port.
    listen_ip: Ipv4Addr,
    /// Relay through which the processes exchange membership datagrams.
    pub relay: UdpRelay,
    processes: Vec<Option<ServerProcess>>,
    folder: PathBuf,
    program: PathBuf,
    /// Socket to which all servers send their load reports, in place of a service registry. The reports are
    /// not read.
    registry: UdpSocket,
    /// Listener to which a server connects if the harness runs no interpreter for the server. The kernel
    /// accepts the connections, and no answer is ever sent.
    silent_interpreter: TcpListener,
}

impl FleetHarness {
    /// Starts `count` processes with default options. Each process joins the fleet through the first process.
    pub fn new(program: &Path, count: usize, seed: u64) -> Result<FleetHarness> {
        FleetHarness::with_options(program, count, count, seed, HarnessOptions::default())
    }

    /// Creates a harness for `count` processes and starts the first `started` of them. Fails if a file cannot
    /// be written, or if a process does not join the fleet within `WAIT_MAX`.
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
        // Each fleet has its own key. The operating system may assign the port of an ended process to a
        // process of another fleet. With different keys, datagrams from another fleet are rejected.
        std::fs::write(&key, format!("the key of rehearsal fleet {}-{seed}", std::process::id()))?;
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600))?;
        let mut harness = FleetHarness {
            options,
            listen_ip: loopback::unused_address(),
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

    /// Returns the number of processes. Processes that are not started are included.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Returns whether the harness was created for 0 processes.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Returns the folder with the files of the processes: `s{i}.json`, `s{i}.xml` and the key.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts the server with this index. The server may have been started and killed before.
    pub fn start(&mut self, index: usize) -> Result<()> {
        let HarnessOptions { cores, survivable, .. } = self.options;
        let interpreter = if cores > 0.0 { Some(interpreter::start_with(cores, survivable)?) } else { None };
        let silent_interpreter = self.silent_interpreter.local_addr()?;
        self.write_files(
            index,
            interpreter.as_ref().map_or(silent_interpreter, |interpreter| interpreter.address),
        )?;
        let mut child = self.spawn(index)?;
        let log = ServerLog::default();
        log.read(&mut child)?;
        self.wait_until_joined(index, ServerProcess { child, log, interpreter }, 0)
    }

    fn write_files(&self, index: usize, interpreter: SocketAddr) -> Result<()> {
        let any_port = SocketAddr::from((self.listen_ip, 0));
        let listen = self.options.listen_addresses.get(index).unwrap_or(&any_port).to_string();
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
        let configuration = configuration(index, &self.options, &addresses);
        let options = OptionsFile {
            index,
            advertised: self.relay.endpoint(index),
            seed: self.relay.endpoint(0),
            members: self.processes.len(),
            harness_options: &self.options,
        };
        std::fs::write(self.folder.join(format!("s{index}.json")), configuration.to_string())?;
        std::fs::write(self.folder.join(format!("s{index}.xml")), options.to_string())?;
        Ok(())
    }

    /// Starts a process for the server with this index. A rollout may have written a mark file that names the
    /// server's program. In this case, the process runs the named program. Otherwise, it runs the program
    /// that the harness assigns to the server.
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
            .envs(self.options.environment.iter().cloned())
            .arg("--options")
            .arg(options)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .context("cannot start the program")
    }

    /// Waits until a server logs its membership address, and registers the address with the relay. Skips the
    /// first `earlier_joins` of these log lines, which are from previous starts of the server.
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

    /// Restarts each process that has exited, as a supervisor does. If a rollout has written a mark file that
    /// names a program for the server, the restarted process runs this program. Returns the indexes of the
    /// restarted servers.
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

    /// Sends a signal (KILL, STOP, CONT) to the server with this index. After KILL, the harness treats the
    /// server as not started and discards its log.
    pub fn signal(&mut self, index: usize, name: &str) -> Result<()> {
        self.signal_and_keep(index, name)?;
        if name == "KILL" {
            self.processes[index] = None;
        }
        Ok(())
    }

    /// Sends a signal to the server with this index. The harness keeps the process's entry and its log, even
    /// after KILL.
    pub fn signal_and_keep(&self, index: usize, name: &str) -> Result<()> {
        self.processes[index].as_ref().with_context(|| format!("s{index} is not running"))?.signal(name)
    }

    /// Returns the number of repeated runs on the interpreter of the server with this index
    /// ([`RunCounts::repeated`]). A run is repeated if another run of its task ended shortly before.
    pub fn repeated_runs(&self, index: usize) -> u64 {
        self.run_counts(index).map_or(0, |runs| runs.repeated.load(Relaxed))
    }

    pub(super) fn log(&self, index: usize) -> Option<&ServerLog> {
        self.processes[index].as_ref().map(|process| &process.log)
    }

    /// Returns the process id of the server with this index. Returns `None` if the server is not started or
    /// was killed by [`Self::signal`].
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.processes[index].as_ref().map(|process| process.child.id())
    }

    /// Returns the exit status of the server with this index. Returns `None` if the server still runs, is not
    /// started or was killed by [`Self::signal`].
    pub fn exit_status(&mut self, index: usize) -> Option<ExitStatus> {
        self.processes[index].as_mut()?.child.try_wait().ok()?
    }

    /// Returns the counts of runs on the interpreter of the server with this index; `None` without an
    /// interpreter.
    pub fn run_counts(&self, index: usize) -> Option<Arc<RunCounts>> {
        Some(self.interpreter(index)?.counts.clone())
    }

    /// Returns the faults that can be switched on at the interpreter of the server with this index; `None`
    /// without an interpreter.
    pub fn interpreter_faults(&self, index: usize) -> Option<Arc<InterpreterFaults>> {
        Some(self.interpreter(index)?.faults.clone())
    }

    fn interpreter(&self, index: usize) -> Option<&Interpreter> {
        self.processes[index].as_ref()?.interpreter.as_ref()
    }

    /// Returns the state of a server's process, as `/proc` shows it.
    pub(super) fn process_state(&self, index: usize) -> String {
        let Some(process) = &self.processes[index] else { return "not started".to_string() };
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.child.id()));
        let state = status.iter().flat_map(|text| text.lines()).find_map(|line| line.strip_prefix("State:"));
        state.map_or("ended".to_string(), |state| state.trim().to_string())
    }

    /// Returns whether the server with this index has logged a message that contains `text`.
    pub fn has_logged(&self, index: usize, text: &str) -> bool {
        let Some(log) = self.log(index) else { return false };
        let contains =
            |fields: &Value| fields["message"].as_str().is_some_and(|message| message.contains(text));
        log.lines().iter().any(|line| contains(&line.fields))
    }

    /// Reads the log of the server with this index. Returns the fields of each line whose message is
    /// `message`, oldest first.
    pub fn log_lines(&self, index: usize, message: &str) -> Vec<Value> {
        self.log(index).map_or(Vec::new(), |log| log.events(message))
    }

    /// Returns the timestamp and fields of each log line of the server with this index, oldest first.
    pub fn timestamped_log_lines(&self, index: usize) -> Vec<(String, Value)> {
        let Some(log) = self.log(index) else { return Vec::new() };
        log.lines().iter().map(|line| (line.timestamp.clone(), line.fields.clone())).collect()
    }

    /// Returns the address at which the server with this index accepts calls, as logged by the server.
    pub fn listen_address(&self, index: usize) -> Option<SocketAddr> {
        let started = self.log(index)?.events("started").into_iter().next()?;
        started["listen"].as_str()?.parse().ok()
    }

    /// Returns the fields of the last line about shared state in the log of the server with this index.
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
