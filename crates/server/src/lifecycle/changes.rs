//! Ensures that changes of settings are applied one at a time.

use std::cell::Cell;
use std::collections::HashSet;
use std::sync::Arc;

/// Names of the tenants for which the fleet keeps separate counts.
pub type TenantNames = Arc<HashSet<Vec<u8>>>;

/// Locks for changes of settings: only one change is applied at a time.
#[derive(Default)]
pub struct Changes {
    /// Lock that is held while a change of settings is applied.
    pub lock: async_lock::Mutex<()>,
    /// True while a reload waits for the lock. The waiting reload has not read any file yet, so it also
    /// covers a reload that is requested in the meantime. The additional request is ignored.
    pub reload_pending: Cell<bool>,
}
