//! Selects a different loopback address for each fleet.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// Number of different loopback addresses that one process uses for its fleets. After the last address, the
/// process uses the first address again.
const ADDRESSES: u32 = 254;

/// Returns a loopback address for a new fleet. The address contains the low 16 bits of the process id and a
/// counter, so fleets that run at the same time normally have different addresses.
///
/// After a server has exited, the system may give its port to another server. Clients that still connect to
/// the exited server would then reach a server of another fleet if both fleets used the same address.
pub(super) fn unused_address() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = 1 + COUNT.fetch_add(1, Relaxed) % ADDRESSES;
    Ipv4Addr::new(127, high, low, host as u8)
}
