//! The link to the interpreter that runs the work.

pub mod link;
