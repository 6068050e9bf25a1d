//! Where log lines go: standard error, but never waiting for whoever reads it.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{Result, Write, stderr};

/// Guards against a reader that has stopped: with a full pipe the one thread of the server would stand still.
/// A line that has no room is lost; lines are shorter than what a pipe that is ready takes at once.
pub struct Log;

impl Write for Log {
    fn write(&mut self, line: &[u8]) -> Result<usize> {
        let stderr = stderr();
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let ready = poll(&mut [PollFd::new(&stderr, PollFlags::OUT)], Some(&at_once)).is_ok_and(|n| n > 0);
        if ready { stderr.lock().write(line) } else { Ok(line.len()) }
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}
