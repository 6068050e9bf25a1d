//! A change that goes over a fleet in stages, without I/O: time (whole nanoseconds), the fleet's view and
//! what servers report go in; what each server is to go by, and what is to be on disk first, come out.
//!
//! - [`plan`]: stages, bake times, thresholds, and what is wrong with them.
//! - [`canary`]: whether the changed servers do worse than the others over the same time.
//! - [`machine`]: the coordinator. It says each interval what every server is to go by, so that an order that
//!   was lost, doubled or late does no harm, and one that is started again goes on from what was saved.
//! - [`about`]: what each server runs, known to every server.
//! - [`wire`]: orders and reports as bytes; what a later release adds is passed over.
//!
//! `docs/rollout.md` names the ways weighed and what is promised.

pub mod about;
pub mod canary;
pub mod machine;
pub mod plan;
pub mod wire;

pub type Nanos = u64;
