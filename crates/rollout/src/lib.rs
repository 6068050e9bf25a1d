//! A change rolled out over a fleet in stages, without I/O: time (whole nanoseconds), the fleet's view and
//! servers' reports go in; orders for the servers, and the state to be saved before they are sent, come out.
//!
//! - [`plan`]: the plan of a rollout: stages, bake times, thresholds.
//! - [`coordinator`]: the state machine that carries out a plan. Each interval it orders every server to the
//!   settings or program it is to run, so that a lost, doubled or late order does no harm, and a coordinator
//!   that is started again continues from its saved state.
//! - [`canary`]: the verdict whether changed servers do worse than the others in the same intervals, by the
//!   [`metrics`] they report, the [`baseline`] of each server and a [`rank_test`].
//! - [`version_table`]: what each server runs, known to every server.
//! - [`wire`]: orders and reports as bytes.
//!
//! `docs/rollout.md` has the design, the alternatives and what was measured.
#![deny(missing_docs, clippy::too_many_lines)]

pub mod baseline;
pub mod canary;
pub mod coordinator;
pub mod metrics;
pub mod plan;
pub mod rank_test;
pub mod version_table;
pub mod wire;

/// Nanoseconds by the caller's clock, which does not go back.
pub type Nanos = u64;
