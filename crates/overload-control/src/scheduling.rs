//! Decides whether another run may start. The decision depends on the limits on concurrent runs.

/// Maximum reduction of the concurrency limit, as a share of the server's cores. The limit is reduced by the
/// number of cores that reading arrivals uses.
const READING_SHARE_MAX: f64 = 0.25;

/// Limits on the concurrent runs of a server.
pub struct RunLimits {
    /// Learned limit on the number of runs that are on the cores.
    pub concurrency: f64,
    /// Maximum number of open runs. An open run is on a core, waits to make a downstream call, or has a
    /// downstream call in progress.
    pub survivable: f64,
    /// Number of cores that the reading of arrivals uses.
    pub reading_threads: f64,
    /// Number of cores of the server.
    pub cores: f64,
    /// Whether this server belongs to a downstream tier. In a downstream tier, reading arrivals does not
    /// reduce the concurrency limit, because rejecting a downstream call would waste work of the calling
    /// tier.
    pub is_downstream_tier: bool,
}

impl RunLimits {
    /// Whether another run may start. `running` is the number of runs on the cores. `open` also counts the
    /// runs that wait to make a downstream call or have a downstream call in progress.
    pub fn admit(&self, running: f64, open: f64) -> bool {
        let share_max = if self.is_downstream_tier { 0.0 } else { READING_SHARE_MAX };
        let reading = self.reading_threads.min(self.cores * share_max);
        let limit = (self.concurrency - reading).round();
        running + 1.0 <= limit.min(self.survivable).max(1.0) && open + 1.0 <= self.survivable.max(1.0)
    }
}
