//! Stand-ins for the parties of a server, written from its protocol: an interpreter that shares out cores, a
//! records service, a catalog, and balancers with tenants behind them. All listen and send on loopback alone
//! and end by themselves. [`night`] plays them against the program itself.

pub mod balancers;
pub mod fleet;
pub mod interpreter;
pub mod load;
pub mod night;
pub mod parties;
pub mod relay;
pub mod table;
pub mod tcp_relay;

use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}
