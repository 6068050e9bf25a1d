//! Faults of an interpreter, which a test switches on and off while the interpreter runs.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

const FULL_SPEED: u64 = 1_000;

/// Faults of an interpreter. Without a fault, the cores have full speed and the link stays open.
pub struct InterpreterFaults {
    /// Speed of the cores, in thousandths of full speed.
    speed: AtomicU64,
    resets_link: AtomicBool,
    ignores_commands: AtomicBool,
    hides_standing_runs: AtomicBool,
    ignores_gauge_requests: AtomicBool,
}

impl Default for InterpreterFaults {
    fn default() -> Self {
        Self {
            speed: AtomicU64::new(FULL_SPEED),
            resets_link: AtomicBool::default(),
            ignores_commands: AtomicBool::default(),
            hides_standing_runs: AtomicBool::default(),
            ignores_gauge_requests: AtomicBool::default(),
        }
    }
}

impl InterpreterFaults {
    /// Sets the speed of the cores as a ratio of full speed. At speed 0 the cores stand still: no run makes
    /// progress and no run can be stopped. The interpreter still accepts commands and reports its gauges.
    pub fn set_speed(&self, ratio: f64) {
        self.speed.store((ratio * FULL_SPEED as f64) as u64, Relaxed);
    }

    /// Leaves runs out of the gauge of runnable threads while the cores stand still.
    pub fn hide_standing_runs(&self) {
        self.hides_standing_runs.store(true, Relaxed);
    }

    /// Leaves requests for the gauges without an answer while the cores stand still.
    pub fn ignore_gauge_requests(&self) {
        self.ignores_gauge_requests.store(true, Relaxed);
    }

    /// Resets the present link. Commands that the interpreter has not read are lost.
    pub fn reset_link(&self) {
        self.resets_link.store(true, Relaxed);
    }

    /// Ignores the commands of the present link from now on. They are lost as soon as the link is reset.
    pub fn ignore_commands(&self) {
        self.ignores_commands.store(true, Relaxed);
    }

    /// Returns the speed of the cores as a ratio of full speed.
    pub(super) fn speed(&self) -> f64 {
        self.speed.load(Relaxed) as f64 / FULL_SPEED as f64
    }

    /// Returns whether the present link must be reset. Commands on the next link are carried out again.
    pub(super) fn takes_link_reset(&self) -> bool {
        let resets = self.resets_link.swap(false, Relaxed);
        if resets {
            self.ignores_commands.store(false, Relaxed);
        }
        resets
    }

    pub(super) fn hides_standing_runs(&self) -> bool {
        self.hides_standing_runs.load(Relaxed)
    }

    pub(super) fn ignores_gauge_requests(&self) -> bool {
        self.ignores_gauge_requests.load(Relaxed)
    }

    pub(super) fn ignores_commands(&self) -> bool {
        self.ignores_commands.load(Relaxed)
    }
}
