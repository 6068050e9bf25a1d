//! Decides whether another run may start.

/// Maximum share of the cores by which reading reduces the concurrency limit.
const READING_SHARE_MAX: f64 = 0.25;

/// Limits on the runs of a server.
pub struct RunLimits {
    /// Learned concurrency limit.
    pub concurrency: f64,
    /// Maximum number of open runs, including runs at downstream calls.
    pub survivable: f64,
    /// Number of cores that reading uses.
    pub reading_threads: f64,
    /// Number of cores of the server.
    pub cores: f64,
    /// Whether this is a downstream tier, in which reading does not reduce the limit: rejecting a call
    /// wastes work of the tier above.
    pub is_downstream_tier: bool,
}

impl RunLimits {
    /// Whether another run may start, given the number of runs on the cores and the number of open runs,
    /// which includes runs at downstream calls.
    pub fn admit(&self, running: f64, open: f64) -> bool {
        let share_max = if self.is_downstream_tier { 0.0 } else { READING_SHARE_MAX };
        let reading = self.reading_threads.min(self.cores * share_max);
        let limit = (self.concurrency - reading).round();
        running + 1.0 <= limit.min(self.survivable).max(1.0) && open + 1.0 <= self.survivable.max(1.0)
    }
}
