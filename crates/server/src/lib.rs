//! A server that accepts calls from balancers and uses the overload controller to admit or reject them. See
//! `docs/server.md`.

#![deny(missing_docs, clippy::too_many_lines)]

mod calls;
pub mod configuration;
mod connection;
mod error;
mod event;
mod event_loop;
pub mod fleet;
mod interpreter;
pub mod lifecycle;
mod resources;
mod server;
mod wire;
