//! Where log lines go: standard error, but never waiting for its reader.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{Result, Write, stderr};

const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Standard error for a program of one thread: with a full pipe that nobody reads the thread would block. A
/// line for which the pipe is not ready is lost; lines are shorter than what a ready pipe takes at once. A
/// line that cannot be written is lost as well: an error would make the log panic, and the task that logs
/// with it.
pub struct NonBlockingStderr;

impl Write for NonBlockingStderr {
    fn write(&mut self, line: &[u8]) -> Result<usize> {
        let stderr = stderr();
        let polled = poll(&mut [PollFd::new(&stderr, PollFlags::OUT)], Some(&NO_WAIT));
        let is_ready = polled.is_ok_and(|ready| ready > 0);
        let written = if is_ready { stderr.lock().write(line) } else { Ok(line.len()) };
        written.or(Ok(line.len()))
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}
