//! Test doubles of the services with which a server communicates: an interpreter, a downstream service, a
//! service registry, and balancers with tenants. The test doubles are written from the protocols. The crate
//! also contains relays that inject network faults, harnesses that run the program with the test doubles
//! ([`tenant_rehearsal`], [`fleet`]), and a soak test whose random choices are drawn from a seed ([`soak`]).
//! All of them use only the loopback interface and end by themselves.

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

/// Returns the current Unix time in milliseconds.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}
