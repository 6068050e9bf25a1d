//! What is kept. Each kind of thing has one owner and one place where it is given back.

pub mod connections;
pub mod counters;
pub mod descriptors;
pub mod figures;
pub mod invocations;
pub mod pool;
pub mod repeats;
pub mod shared;
pub mod tier;
