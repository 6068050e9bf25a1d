//! Test doubles of the server's peers, written from the protocols: an interpreter, a downstream service, a
//! service registry, and balancers with tenants behind them. Also relays that inject network faults,
//! harnesses that run the program among the test doubles ([`tenant_rehearsal`], [`fleet`]), and a seeded soak
//! ([`soak`]). All of them use loopback only and end by themselves.

#![deny(missing_docs, clippy::too_many_lines)]

pub mod balancers;
pub mod downstream_service;
pub mod faults;
pub mod fleet;
pub mod group_report;
pub mod interpreter;
pub mod open_loop;
pub mod registry;
pub mod soak;
pub mod tcp_relay;
pub mod tenant_rehearsal;
pub mod udp_relay;

use std::time::{SystemTime, UNIX_EPOCH};

/// Current Unix time in milliseconds.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}
