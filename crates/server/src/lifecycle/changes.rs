//! Changes of settings wait for each other here.

use std::cell::Cell;
use std::collections::HashSet;
use std::sync::Arc;

/// Names of tenants that are counted by name.
pub type TenantNames = Arc<HashSet<Vec<u8>>>;

/// One change of settings is made at a time.
#[derive(Default)]
pub struct Changes {
    /// Held during a change.
    pub lock: async_lock::Mutex<()>,
    /// A reload waits that has read nothing yet: it will see what any further signal is about.
    pub reload_pending: Cell<bool>,
}
