//! Usage record of one tenant whose name is established (seen often enough). The record holds the tenant's
//! used share, queue tails, weight and recent demand.

use crate::Nanos;
use crate::demand::DecayingRate;
use crate::learned_ratio::LearnedRatio;
use crate::queue_order::QueueTails;

/// Maximum length of the stored prefix of a tenant's name, in bytes. Longer names are truncated, since the
/// prefix is used only for display to operators.
const NAME_BYTES: usize = 48;

/// Usage record of one established tenant, that is, a tenant whose name has been seen often enough.
#[derive(Clone, Debug)]
pub struct Account {
    /// Virtual time up to which the tenant has used its share of the capacity, in nanoseconds of one core per
    /// unit of weight.
    pub finish: f64,
    /// Queue tails: the start tags that the tenant's next arrivals will get. There is one tag for arrivals
    /// within the tenant's share and one for surplus arrivals (beyond the share).
    pub tails: QueueTails,
    /// Virtual time up to which the tenant's share is reserved, in nanoseconds of one core per unit of
    /// weight. The reservations are for retries that the scheduler has promised to admit.
    pub booked_until: f64,
    /// Weight of the tenant.
    pub weight: f64,
    /// Learned ratio of the tenant: the work that its earlier invocations used, divided by the work that
    /// their operations usually need.
    pub ratio: LearnedRatio,
    /// Whether the settings list this tenant by name. The account of a listed tenant is never evicted.
    pub named: bool,
    /// Number of the tenant's arrivals within its share since the account was created.
    pub within: u64,
    /// Number of the tenant's arrivals beyond its share since the account was created.
    pub surplus: u64,
    demand: DecayingRate,
    name: [u8; NAME_BYTES],
    /// Length of the tenant's full name, in bytes. The stored prefix of the name may be shorter.
    name_length: u16,
}

impl Account {
    /// Creates an account for a tenant that has already used its share up to the virtual time `finish`.
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

    /// Adds `work`, in nanoseconds of one core, to the tenant's recent demand.
    pub fn record_demand(&mut self, now: Nanos, work: f64) {
        self.demand.add(now, work);
    }

    /// Returns the tenant's recent demand for work, in cores.
    pub fn demand(&self, now: Nanos) -> f64 {
        self.demand.cores(now)
    }

    /// Returns the tenant's name for display to operators. Non-ASCII and control bytes are escaped, and a
    /// long name is truncated.
    pub fn display_name(&self) -> String {
        let length = usize::from(self.name_length);
        let text = self.name[..length.min(NAME_BYTES)].escape_ascii().to_string();
        if length > NAME_BYTES { format!("{text}...") } else { text }
    }
}
