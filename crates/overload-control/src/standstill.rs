//! Detects cores that stand still: runs are on the cores and none leaves them.

use crate::Nanos;
use crate::regulator::CONTROL_PERIOD;

/// Time without progress after which the cores stand still, as a multiple of the longest usual core time of
/// the operations. Never less than one control period.
const STANDSTILL_RATIO: f64 = 2.0;

/// Change of the state of the cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standstill {
    /// No run left the cores for so long that they stand still.
    Began,
    /// A run left the cores.
    Ended,
}

/// Whether the cores stand still.
#[derive(Debug, Default)]
pub struct StandstillDetector {
    /// Time at which the standstill was detected; `None` while the cores move.
    since: Option<Nanos>,
    /// Whether runs were on the cores for the whole of the last control period and none left them.
    lacks_progress: bool,
}

impl StandstillDetector {
    /// Whether the cores stand still. A standstill lasts until a run leaves the cores, even if no run is
    /// expected on them.
    pub fn is_standing_still(&self) -> bool {
        self.since.is_some()
    }

    /// Whether runs were on the cores for the whole of the last control period and none left them.
    pub fn lacks_progress(&self) -> bool {
        self.lacks_progress
    }

    /// Reviews the cores once in a control period. `oldest_run` is the time at which the oldest of the
    /// runs that are certainly on the cores entered them, and `last_progress` the time at which a run most
    /// recently left them. Before the first run has left them, its usual time is not known and nothing is
    /// detected.
    pub fn review(
        &mut self,
        now: Nanos,
        oldest_run: Option<Nanos>,
        last_progress: Option<Nanos>,
        longest_core_ns: f64,
    ) -> Option<Standstill> {
        let last_progress = last_progress?;
        let without_progress = oldest_run.map_or(0, |entered| now.saturating_sub(entered.max(last_progress)));
        self.lacks_progress = without_progress >= CONTROL_PERIOD;
        let is_long = without_progress as f64 >= longest_core_ns * STANDSTILL_RATIO;
        match self.since {
            None if self.lacks_progress && is_long => {
                self.since = Some(now);
                Some(Standstill::Began)
            }
            Some(since) if last_progress > since => {
                self.since = None;
                Some(Standstill::Ended)
            }
            _ => None,
        }
    }
}
