//! A fleet of the program's processes on loopback, each reached through a fault relay
//! ([`UdpRelay`](crate::udp_relay::UdpRelay)), for tests between processes; and a rehearsal of the membership
//! view. What each server observed is read from its own log (JSON lines). Every wait has a limit, and each
//! process is killed at the end.

mod files;
mod harness;
mod log;
mod process;
mod rehearsal;
mod view;

pub use files::{HarnessOptions, PROBE_PERIOD_MS, SUSPICION_PERIODS};
pub use harness::FleetHarness;
pub use rehearsal::rehearse;
pub use view::AgreementTimes;

use std::time::{Duration, Instant};

/// How long a process may take to start, and a view to agree in the rehearsal.
const WAIT_MAX: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(25);

/// Calls `poll` until it returns something; `None` when it did not within the span.
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
