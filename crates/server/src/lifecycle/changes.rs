//! Serializes changes of settings.

use std::cell::Cell;
use std::collections::HashSet;
use std::sync::Arc;

/// Names of the tenants that are counted by name.
pub type TenantNames = Arc<HashSet<Vec<u8>>>;

/// State that lets only one change of settings run at a time.
#[derive(Default)]
pub struct Changes {
    /// Held while a change of settings runs.
    pub lock: async_lock::Mutex<()>,
    /// Whether a reload waits for the lock and has not read any file yet. Further reload signals are then
    /// merged into the waiting reload, because it reads the files only once it holds the lock.
    pub reload_pending: Cell<bool>,
}
