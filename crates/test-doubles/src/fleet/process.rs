//! Process of the program under test, and the signals sent to it.

use super::log::ServerLog;
use crate::interpreter::Interpreter;
use anyhow::{Result, ensure};
use std::process::{Child, Command};

/// Process of the program under test. When this value is dropped, the process is killed. SIGCONT is sent
/// first, because the process may be stopped by SIGSTOP.
pub struct ServerProcess {
    pub child: Child,
    pub log: ServerLog,
    /// The server's interpreter; `None` if the server has no interpreter test double.
    pub interpreter: Option<Interpreter>,
}

impl ServerProcess {
    /// Sends a signal to the process. `name` is the name of the signal without `SIG`.
    pub fn signal(&self, name: &str) -> Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status()?;
        ensure!(status.success(), "kill -{name} failed: {status}");
        Ok(())
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.signal("CONT");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
