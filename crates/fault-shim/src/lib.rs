//! Faults of the machine for one child process. A test creates a [`FaultFile`], starts a dynamically linked
//! program with [`FaultFile::environment`], and sets and counts faults through the file while the program
//! runs. The library is preloaded into this program alone and takes the place of some functions of the C
//! library there.

#![deny(missing_docs, clippy::too_many_lines)]

mod file;
mod interposed;

pub use file::{Fault, FaultFile};
