//! Rolls out a change over a fleet in stages. The crate does no I/O. Its inputs are the time in nanoseconds,
//! the fleet's view and the servers' reports. Its outputs are orders for the servers, and the state to save
//! before those orders are sent.
//!
//! - [`plan`]: the plan of a rollout: stages, bake times and thresholds.
//! - [`coordinator`]: the state machine that carries out a plan. In each interval, it orders every server to
//!   run certain settings or a certain program. A lost, duplicated or late order therefore does no harm. A
//!   restarted coordinator continues from its saved state.
//! - [`canary`]: the comparison of changed and unchanged servers over the same intervals. The comparison uses
//!   the [`metrics`] that servers report, the [`baseline`] of each server and a [`rank_test`].
//! - [`version_table`]: the program version and settings of each server, replicated to every server.
//! - [`wire`]: encoding of orders and reports.
//!
//! Design, alternatives and measurements: `docs/rollout.md`.
#![deny(missing_docs, clippy::too_many_lines)]

pub mod baseline;
pub mod canary;
pub mod coordinator;
pub mod metrics;
pub mod plan;
pub mod rank_test;
pub mod version_table;
pub mod wire;

/// Time in nanoseconds on the caller's monotonic clock.
pub type Nanos = u64;
