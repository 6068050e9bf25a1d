//! Decides whether another run may start, based on the limits on concurrent runs.

/// Maximum amount by which the concurrency limit is reduced for the cores that reading arrivals uses, as a
/// share of the server's cores.
const READING_SHARE_MAX: f64 = 0.25;

/// Limits on the concurrent runs of a server.
pub struct RunLimits {
    /// Learned limit on the number of runs on the cores.
    pub concurrency: f64,
    /// Maximum number of open runs, including runs that wait for a downstream call or are in one.
    pub survivable: f64,
    /// Number of cores that reading arrivals uses.
    pub reading_threads: f64,
    /// Number of cores of the server.
    pub cores: f64,
    /// Whether this server belongs to a downstream tier. Reading arrivals then does not reduce the limit,
    /// because rejecting a downstream call wastes work of the calling tier.
    pub is_downstream_tier: bool,
}

impl RunLimits {
    /// Whether another run may start. `running` is the number of runs on the cores. `open` is the number of
    /// open runs, including runs that wait for a downstream call or are in one.
    pub fn admit(&self, running: f64, open: f64) -> bool {
        let share_max = if self.is_downstream_tier { 0.0 } else { READING_SHARE_MAX };
        let reading = self.reading_threads.min(self.cores * share_max);
        let limit = (self.concurrency - reading).round();
        running + 1.0 <= limit.min(self.survivable).max(1.0) && open + 1.0 <= self.survivable.max(1.0)
    }
}
