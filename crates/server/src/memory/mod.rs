//! What is kept. Each kind of thing has one owner and one place where it is given back.

pub mod counters;
pub mod descriptors;
pub mod invocations;
pub mod repeats;
