//! A server that receives calls from balancers. An overload controller decides for each call whether the
//! server admits or rejects the call. See `docs/server.md`.

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
mod sockets;
mod wire;
