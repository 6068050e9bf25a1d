//! Starts processes, sends them signals, and ends all of them at the end of a test.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;

/// Ids of all processes that this test has started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that this test has started.
pub fn kill_all() {
    for pid in STARTED.lock().expect("no thread panics").drain(..) {
        // SAFETY: kill(2) has no requirements on memory.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// A process of a test. It is killed when this value is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a process whose output goes to the file `log`.
    pub fn start(mut command: Command, log: &Path) -> std::io::Result<Process> {
        let out = File::options().create(true).append(true).open(log)?;
        command.stdin(Stdio::null()).stderr(out.try_clone()?).stdout(out);
        let child = command.spawn()?;
        STARTED.lock().expect("no thread panics").push(child.id());
        Ok(Process { child })
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: kill(2) has no requirements on memory. The child was not waited for, so its id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
        let id = self.child.id();
        STARTED.lock().expect("no thread panics").retain(|pid| *pid != id);
    }

    /// Returns the exit code if the process has ended by itself.
    pub fn ended(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the root of the repository: the folder above `review/`, which contains the deploy file.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_ROOT").expect("run.sh sets REVIEW_ROOT"))
}

/// Reads the command of the key `run` from the deploy file.
pub fn run_command() -> String {
    let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("run in the deploy file");
    line.trim_end().trim_end_matches('"').to_string()
}

/// Returns the command that starts one server as the deploy file says. `words` are added at its end.
pub fn server(config: &Path, name: &str, listen: &str, words: &str) -> Command {
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("{} {words}", run_command())).current_dir(root());
    command.env("ROUTER_NAME", name).env("ROUTER_LISTEN", listen).env("ROUTER_CONFIG", config);
    command.env("RUST_LOG", "info,meadowstream_server=debug");
    command
}

/// Returns the command that starts this program with other arguments.
pub fn stand_in(arguments: &[&str]) -> Command {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.args(arguments);
    command
}
