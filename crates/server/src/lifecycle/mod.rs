//! Start and stop: what the server is told, the tasks it consists of, signals and the drain.

pub mod clock;
pub mod configuration;
pub mod control;
pub mod coordinate;
pub mod drain;
pub mod files;
pub mod joined;
pub mod publish;
pub mod reload;
pub mod signals;
pub mod start;
pub mod tasks;
