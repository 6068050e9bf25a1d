//! Log output: writes lines to standard error without blocking.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{Result, Write, stderr};

const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Writer to standard error that drops lines instead of blocking. A blocking write to a full pipe without a
/// reader would stop the only thread of the program.
///
/// A line is dropped if the pipe is not ready to be written. A pipe that is ready accepts a whole line,
/// because lines are short. A failed write is ignored, because the logging library would panic on an error,
/// and the panic would end the task that writes the line.
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
