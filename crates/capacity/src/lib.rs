//! Measures the CPU use, network traffic and memory of the servers of a fleet, with a scale model and with
//! real processes. `meadowstream fleet capacity` runs both measurements.
//!
//! The model ([`fleet`], [`server`]) runs the protocol code of membership, shared state and replicated
//! configuration with its real encoding. It simulates hundreds of servers in one process and in simulated
//! time. [`at_rest`] measures the cost of one server at several fleet sizes. It fits a line through all sizes
//! except the largest, and compares the line's prediction for the largest size with the measurement.
//! [`incidents`] and [`day`] simulate failures at the rates stated in [`scale`]. `docs/CAPACITY.md` lists the
//! results.
//!
//! Network delays between regions and zones are estimates. Processor time is the CPU time of the measuring
//! thread, and memory is the number of bytes allocated from the heap.

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
