//! Settings of one budget and their check.

use crate::NAME_MAX;
use crate::clock::Nanos;
use std::collections::BTreeSet;
use thiserror::Error;

/// Largest total of a budget, in units, as a power of 2.
const TOTAL_MAX_LOG2: u32 = 40;
const TOTAL_MAX: u64 = 1 << TOTAL_MAX_LOG2;
/// Most servers that may share a budget.
const SERVERS_MAX: u64 = 100_000;
/// Most voters of a budget.
const VOTERS_MAX: usize = 9;

/// Settings of one budget; durations are nanoseconds. They are the same on every server but for `total`,
/// which a reload may change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BudgetSettings {
    /// Name of the budget, 1 to 64 bytes.
    pub name: String,
    /// Units that the whole fleet may use at once.
    pub total: u64,
    /// Units that each server may use without a lease.
    pub floor: u64,
    /// Most servers that run at the same time; the floors of all of them are set aside.
    pub servers_max: u64,
    /// Names of the servers that elect the grantor; an odd number of them.
    pub voters: Vec<String>,
    /// How long a lease lasts, counted by its holder from the request.
    pub lease_duration: Nanos,
    /// Time between two requests of a holder.
    pub refresh_interval: Nanos,
    /// How long a grantor stays in office after a majority's votes.
    pub term_duration: Nanos,
    /// Added to a duration before another server's clock is taken to have passed it.
    pub drift_margin: Nanos,
    /// Longest time that a unit stays in use once acquired; 0 for units a second.
    pub use_max: Nanos,
}

/// A setting of a budget that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BudgetSettingsError {
    /// The name is empty or too long.
    #[error("name: 1 to {NAME_MAX} bytes, not {length}")]
    Name {
        /// Length of the name, in bytes.
        length: usize,
    },
    /// The total is 0 or too large.
    #[error("total: 1 to 2^{TOTAL_MAX_LOG2}, not {total}")]
    Total {
        /// The total given, in units.
        total: u64,
    },
    /// No servers, or too many.
    #[error("servers: 1 to {SERVERS_MAX}, not {servers}")]
    Servers {
        /// The number of servers given.
        servers: u64,
    },
    /// The floors of all servers pass the total.
    #[error("floor: {servers} servers' floors are {floors}, over total {total}")]
    Floor {
        /// The number of servers.
        servers: u64,
        /// The sum of their floors, in units.
        floors: u64,
        /// The total, in units.
        total: u64,
    },
    /// The number of voters is even or over `VOTERS_MAX`, which the text spells out, or a name is given
    /// twice.
    #[error("voter: 1, 3, 5, 7 or 9 different names, not {}", names.len())]
    Voters {
        /// The names given.
        names: Vec<String>,
    },
    /// A duration derived from the lease is 0.
    #[error("lease-ms: {lease_duration} ns are too short")]
    LeaseTooShort {
        /// The lease, in nanoseconds.
        lease_duration: Nanos,
    },
    /// A unit may stay in use for longer than a lease allows.
    #[error(
        "use-most-ms: a lease must outlast it by three eighths of the lease; {use_max} ns of \
         {lease_duration} ns"
    )]
    UseTooLong {
        /// Longest use of a unit, in nanoseconds.
        use_max: Nanos,
        /// The lease, in nanoseconds.
        lease_duration: Nanos,
    },
}

impl BudgetSettings {
    /// Settings with the given lease, the other durations in proportion to it. The drift margin is enough for
    /// clocks whose rates differ by a fiftieth.
    pub fn new(
        name: &str,
        total: u64,
        floor: u64,
        servers_max: u64,
        voters: Vec<String>,
        lease_duration: Nanos,
        use_max: Nanos,
    ) -> BudgetSettings {
        BudgetSettings {
            name: name.to_string(),
            total,
            floor,
            servers_max,
            voters,
            lease_duration,
            refresh_interval: lease_duration / 8,
            term_duration: lease_duration / 2,
            drift_margin: lease_duration / 50,
            use_max,
        }
    }

    /// Checks each setting.
    ///
    /// # Errors
    /// The first setting that cannot be used.
    pub fn check(&self) -> Result<(), BudgetSettingsError> {
        if self.name.is_empty() || self.name.len() > NAME_MAX {
            return Err(BudgetSettingsError::Name { length: self.name.len() });
        }
        self.check_units()?;
        let distinct: BTreeSet<&String> = self.voters.iter().collect();
        let repeated = distinct.len() != self.voters.len();
        if self.voters.len().is_multiple_of(2) || self.voters.len() > VOTERS_MAX || repeated {
            return Err(BudgetSettingsError::Voters { names: self.voters.clone() });
        }
        self.check_durations()
    }

    fn check_units(&self) -> Result<(), BudgetSettingsError> {
        if self.total == 0 || self.total > TOTAL_MAX {
            return Err(BudgetSettingsError::Total { total: self.total });
        }
        if self.servers_max == 0 || self.servers_max > SERVERS_MAX {
            return Err(BudgetSettingsError::Servers { servers: self.servers_max });
        }
        let floors = self.floors();
        if floors > self.total {
            return Err(BudgetSettingsError::Floor { servers: self.servers_max, floors, total: self.total });
        }
        Ok(())
    }

    fn check_durations(&self) -> Result<(), BudgetSettingsError> {
        let lease_duration = self.lease_duration;
        if self.refresh_interval == 0 || self.term_duration == 0 || self.drift_margin == 0 {
            return Err(BudgetSettingsError::LeaseTooShort { lease_duration });
        }
        if self.use_max.saturating_add(3 * self.refresh_interval) > lease_duration {
            return Err(BudgetSettingsError::UseTooLong { use_max: self.use_max, lease_duration });
        }
        Ok(())
    }

    /// Units set aside for the floors of all servers.
    fn floors(&self) -> u64 {
        self.floor.saturating_mul(self.servers_max)
    }

    /// Units that may be leased: the total less all floors.
    pub fn leasable(&self) -> u64 {
        self.total.saturating_sub(self.floors())
    }

    /// Votes that make a grantor.
    pub(super) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the server of this name elects the grantor.
    pub(super) fn is_voter(&self, name: &str) -> bool {
        self.voters.iter().any(|voter| voter == name)
    }
}
