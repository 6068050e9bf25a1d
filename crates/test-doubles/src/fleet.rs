//! A harness for tests with several processes of the program on loopback, which reach each other through a
//! fault relay ([`UdpRelay`](crate::udp_relay::UdpRelay)), and a rehearsal of the membership view. The
//! harness reads each server's observations from that server's log (JSON lines). Every wait has a time limit,
//! and each process is killed at the end.

mod files;
mod harness;
mod log;
mod loopback;
mod process;
mod rehearsal;
mod view;

pub use files::{HarnessOptions, PROBE_PERIOD_MS, SUSPICION_PERIODS};
pub use harness::FleetHarness;
pub use rehearsal::rehearse;
pub use view::AgreementTimes;

use std::time::{Duration, Instant};

/// Maximum time for a process to start, and for the views of the rehearsal to agree.
const WAIT_MAX: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(25);

/// Calls `poll` repeatedly until it returns a value. Returns `None` if `poll` returns no value within the
/// time `within`.
pub fn wait_for<T>(within: Duration, mut poll: impl FnMut() -> Option<T>) -> Option<T> {
    let start = Instant::now();
    loop {
        if let Some(found) = poll() {
            return Some(found);
        }
        if start.elapsed() > within {
            return None;
        }
        std::thread::sleep(POLL_PERIOD);
    }
}
