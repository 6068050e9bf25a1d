//! Life cycle of the server: the start, the signals, reloads of the settings, and the drain.

pub mod catalog;
pub mod changes;
pub mod clock;
pub mod drain;
pub mod drain_state;
pub mod files;
pub mod pause;
pub mod reload;
mod reload_check;
pub mod signals;
pub mod start;
