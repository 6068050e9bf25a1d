//! A process of the program under test.

use super::log::ServerLog;
use crate::interpreter::RunCounts;
use anyhow::{Result, ensure};
use std::process::{Child, Command};
use std::sync::Arc;

/// A process of the program under test. When this value is dropped, the process is continued (SIGCONT), in
/// case it was stopped, and then killed.
pub struct ServerProcess {
    pub child: Child,
    pub log: ServerLog,
    /// Counts of the runs on the server's interpreter, if it has one.
    pub runs: Option<Arc<RunCounts>>,
}

impl ServerProcess {
    /// Sends a signal, given by its name without `SIG`.
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
