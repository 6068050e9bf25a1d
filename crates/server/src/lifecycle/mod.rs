//! Start and stop: what the server is told, the tasks it consists of, signals and the drain.

pub mod catalog;
pub mod clock;
pub mod configuration;
pub mod drain;
pub mod files;
pub mod reload;
pub mod signals;
pub mod start;
