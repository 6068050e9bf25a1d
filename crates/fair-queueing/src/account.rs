//! What is kept of one tenant.

use crate::Nanos;
use crate::demand::DecayingRate;
use crate::learned_ratio::LearnedRatio;
use crate::queue_order::QueueTails;

/// Bytes of a name that are kept for operators.
const NAME_BYTES: usize = 48;

/// The account of one tenant.
#[derive(Clone, Debug)]
pub struct Account {
    /// Virtual time up to which it has used its share.
    pub finish: f64,
    /// Where its queues end.
    pub tails: QueueTails,
    /// Virtual time up to which its share is promised.
    pub booked_until: f64,
    /// Its weight.
    pub weight: f64,
    /// Its work as a ratio to the usual work of its operations.
    pub ratio: LearnedRatio,
    /// Whether the settings name it: its account then stays.
    pub named: bool,
    /// Its arrivals within its share.
    pub within: u64,
    /// Its arrivals beyond it.
    pub surplus: u64,
    demand: DecayingRate,
    name: [u8; NAME_BYTES],
    /// Length of the whole name, in bytes.
    name_length: u16,
}

impl Account {
    /// The account of a tenant that has used its share up to `finish`.
    pub fn new(name: &[u8], weight: f64, finish: f64, now: Nanos) -> Self {
        let mut kept_name = [0; NAME_BYTES];
        let prefix = &name[..name.len().min(NAME_BYTES)];
        kept_name[..prefix.len()].copy_from_slice(prefix);
        let mut demand = DecayingRate::default();
        demand.add(now, 0.0);
        Self {
            finish,
            tails: QueueTails::default(),
            booked_until: 0.0,
            weight,
            ratio: LearnedRatio::default(),
            named: false,
            within: 0,
            surplus: 0,
            demand,
            name: kept_name,
            name_length: name.len().min(usize::from(u16::MAX)) as u16,
        }
    }

    /// The tenant asks for work, in nanoseconds of one core.
    pub fn record_demand(&mut self, now: Nanos, work: f64) {
        self.demand.add(now, work);
    }

    /// Recent demand, in cores.
    pub fn demand(&self, now: Nanos) -> f64 {
        self.demand.cores(now)
    }

    /// The name for operators: escaped where it is not plain text, cut where it is long.
    pub fn display_name(&self) -> String {
        let length = usize::from(self.name_length);
        let text = self.name[..length.min(NAME_BYTES)].escape_ascii().to_string();
        if length > NAME_BYTES { format!("{text}...") } else { text }
    }
}
