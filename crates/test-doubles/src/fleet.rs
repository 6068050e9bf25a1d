//! Harness for tests with several processes of the program on the loopback interface. The processes exchange
//! membership datagrams through a relay that injects network faults
//! ([`UdpRelay`](crate::udp_relay::UdpRelay)). The harness reads what each server observes from the server's
//! log (JSON lines). Every wait has a time limit, and each process is killed at the end. The module also
//! contains a rehearsal of the membership view.

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

/// Maximum time to wait until a process has started, and until the membership views agree in the rehearsal.
const WAIT_MAX: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(25);

/// Calls `poll` repeatedly until it returns a value, and returns this value. Returns `None` if `poll` returns
/// no value within the time `within`.
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
