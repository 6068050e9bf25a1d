//! How the descriptors that the server may hold are shared out. Guards against holding more than the
//! limit, for which the platform kills it.

/// Used beside those open at the start: the link, the catalog's, one that is just being accepted.
const LATER: usize = 3;
/// Taken for open at the start where it cannot be counted.
const OPEN_AT_START: usize = 13;

pub struct Descriptors {
    pub connections: usize,
    pub calls: usize,
}

impl Descriptors {
    /// Peers open connections up to half of the limit; they and calls share the rest evenly. Calls are
    /// fewer where there is little, since a call can wait and an accepted connection cannot.
    pub fn share_out(limit: usize) -> Self {
        let open = std::fs::read_dir("/proc/self/fd").map_or(OPEN_AT_START, |entries| entries.count() - 1);
        let half = limit / 2;
        let rest = limit.saturating_sub(half + open + LATER);
        let calls = rest.div_ceil(2).max(1);
        Self { connections: (half + rest - rest.div_ceil(2)).max(1), calls }
    }
}
