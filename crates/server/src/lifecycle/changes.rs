//! Ensures that changes of settings are applied one at a time.

use std::cell::Cell;
use std::collections::HashSet;
use std::sync::Arc;

/// Names of the tenants for which the fleet keeps separate counts.
pub type TenantNames = Arc<HashSet<Vec<u8>>>;

/// A lock and a flag. With the lock, only one change of settings is applied at a time. With the flag,
/// additional reload requests are merged with a reload that already waits.
#[derive(Default)]
pub struct Changes {
    /// Lock that is held while a change of settings is applied.
    pub lock: async_lock::Mutex<()>,
    /// True while a reload waits for the lock. Further reload requests are then ignored, because the waiting
    /// reload has not read any file yet and will read the newest files.
    pub reload_pending: Cell<bool>,
}
