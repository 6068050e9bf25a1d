//! A scale model of the fleet and measurements on real processes, which together are `meadowstream fleet
//! capacity`.
//!
//! The model ([`fleet`], [`server`]) runs the cores of membership, shared state and replicated configuration
//! with their real codec, hundreds of servers in one process and in simulated time. [`at_rest`] measures a
//! server at several sizes of the fleet, fits a line through all but the largest, and sets the measurement
//! there beside the prediction; [`incidents`] and [`day`] play failures at their stated rates.
//! `docs/CAPACITY.md` has the figures.
//!
//! Delays between regions and zones are estimates; processor time is the thread's, and memory the
//! allocator's.

#![deny(missing_docs, clippy::too_many_lines)]

pub mod added_latency;
pub mod at_rest;
pub mod connections;
pub mod day;
pub mod error;
pub mod fit;
pub mod fleet;
pub mod incidents;
pub mod meter;
mod options;
pub mod per_server;
pub mod process;
pub mod process_fleet;
pub mod report;
pub mod scale;
pub mod server;
pub mod tenants;
pub mod topology;
