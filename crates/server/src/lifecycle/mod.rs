//! Start and stop: what the server is told, the tasks it consists of, signals and the drain.

pub mod catalog;
pub mod changes;
pub mod clock;
pub mod drain;
pub mod files;
pub mod reload;
pub mod signals;
pub mod start;
