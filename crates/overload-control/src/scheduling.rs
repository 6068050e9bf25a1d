//! Whether one more run may start.

/// Reading takes its place under the concurrency limit, up to this share of the cores.
const READING_SHARE_MAX: f64 = 0.25;

/// What limits the runs of a server.
pub struct RunLimits {
    /// The learned concurrency limit.
    pub concurrency: f64,
    /// Runs that may be open at once.
    pub survivable: f64,
    /// Cores that reading takes.
    pub reading_threads: f64,
    /// Of the server.
    pub cores: f64,
    /// In a downstream tier reading takes no place: a refused call throws away work of the tier above.
    pub is_downstream_tier: bool,
}

impl RunLimits {
    /// Whether one more may start beside so many on the cores, and so many open, at downstream calls too.
    pub fn admit(&self, running: f64, open: f64) -> bool {
        let share_max = if self.is_downstream_tier { 0.0 } else { READING_SHARE_MAX };
        let reading = self.reading_threads.min(self.cores * share_max);
        let limit = (self.concurrency - reading).round();
        running + 1.0 <= limit.min(self.survivable).max(1.0) && open + 1.0 <= self.survivable.max(1.0)
    }
}
