//! The link to the interpreter that runs the work.

mod incarnation;
pub mod link;
mod reader;
