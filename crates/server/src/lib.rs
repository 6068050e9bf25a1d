//! A server that takes calls on real sockets and lets the overload controller decide what becomes of them.
//! See `docs/server.md`.

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
