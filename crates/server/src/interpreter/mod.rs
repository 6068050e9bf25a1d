//! The connection to the interpreter, which runs the operations.

mod incarnation;
pub mod link;
mod reader;
