//! A scale model of the fleet: the real cores of the fleet's view and of shared state with the real codec,
//! hollow, hundreds of servers in one process and in simulated time. It measures what a server holds and does
//! at several sizes, fits a line through all but the largest, and sets the measurement there beside the
//! prediction; and it plays failures at their stated rates. `docs/CAPACITY.md` has its figures.
//!
//! Delays between regions and zones are estimates; processor time is the thread's, and memory the
//! allocator's.

pub mod day;
pub mod fit;
pub mod fleet;
pub mod hollow;
pub mod meter;
pub mod model;
pub mod process;
pub mod real;
pub mod report;
pub mod tenants;
pub mod topology;
