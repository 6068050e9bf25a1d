//! Settings of one budget, and the validation of the settings.

use crate::NAME_MAX;
use crate::clock::Nanos;
use std::collections::BTreeSet;
use thiserror::Error;

/// Binary logarithm of the maximum total of a budget: the total may be at most 2 to this power, in units.
const TOTAL_MAX_LOG2: u32 = 40;
const TOTAL_MAX: u64 = 1 << TOTAL_MAX_LOG2;
/// Maximum number of servers that share a budget.
const SERVERS_MAX: u64 = 100_000;
/// Maximum number of voters of a budget. Voters are the servers that elect the grantor.
const VOTERS_MAX: usize = 9;

/// Settings of one budget. Durations are in nanoseconds. All servers must have the same settings, and only
/// `total` may change while a server runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BudgetSettings {
    /// Name of the budget, with a length of 1 to 64 bytes.
    pub name: String,
    /// Number of units that the whole fleet may use at the same time, or per second.
    pub total: u64,
    /// Guaranteed minimum of each server: the number of units that the server may use without a lease.
    pub floor: u64,
    /// Maximum number of servers that run at the same time. A floor (guaranteed minimum) is reserved for each
    /// of this many servers.
    pub servers_max: u64,
    /// Names of the voters, the servers that elect the grantor. The names must be distinct, and their number
    /// must be odd.
    pub voters: Vec<String>,
    /// Duration of a lease, in nanoseconds. The holder counts the duration from the time of its lease
    /// request.
    pub lease_duration: Nanos,
    /// Time from one lease request of a holder to its next lease request, in nanoseconds.
    pub refresh_interval: Nanos,
    /// Duration of a grantor's term of office, in nanoseconds. The term is counted from the time of the vote
    /// requests that obtained a majority.
    pub term_duration: Nanos,
    /// Additional time that a server waits before it treats another server's lease, vote or term as ended, in
    /// nanoseconds. The margin is needed because the clocks of two servers may run at different rates.
    pub drift_margin: Nanos,
    /// Maximum time that an acquired unit stays in use, in nanoseconds. The value is 0 if the budget is in
    /// units per second.
    pub use_max: Nanos,
}

/// Reason why a setting of a budget is invalid.
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
        /// Configured total, in units.
        total: u64,
    },
    /// The maximum number of servers is 0 or greater than `SERVERS_MAX`.
    #[error("servers: 1 to {SERVERS_MAX}, not {servers}")]
    Servers {
        /// Configured number of servers.
        servers: u64,
    },
    /// The sum of the floors (guaranteed minimums) of all servers exceeds the total.
    #[error("floor: {servers} servers' floors are {floors}, more than the total of {total}")]
    Floor {
        /// Configured number of servers.
        servers: u64,
        /// Sum of the floors (guaranteed minimums) of all servers, in units.
        floors: u64,
        /// Configured total, in units.
        total: u64,
    },
    /// The number of voters is even or greater than `VOTERS_MAX`, or two voters have the same name. The error
    /// text lists the valid numbers of voters.
    #[error("voter: 1, 3, 5, 7 or 9 different names, not {}", names.len())]
    Voters {
        /// Names of the voters in the invalid settings.
        names: Vec<String>,
    },
    /// The lease duration is too short: a duration derived from it, such as the interval between lease
    /// requests, is 0.
    #[error("lease-ms: {lease_duration} ns is too short")]
    LeaseTooShort {
        /// Configured lease duration, in nanoseconds.
        lease_duration: Nanos,
    },
    /// The maximum use time of a unit is too long for the lease duration. The lease duration must exceed the
    /// use time by at least three times the interval between lease requests.
    #[error(
        "use-most-ms: the lease must be longer by three eighths of its duration; {use_max} ns of \
         {lease_duration} ns"
    )]
    UseTooLong {
        /// Configured maximum time that a unit stays in use, in nanoseconds.
        use_max: Nanos,
        /// Configured lease duration, in nanoseconds.
        lease_duration: Nanos,
    },
}

impl BudgetSettings {
    /// Creates settings from a lease duration. The interval between lease requests, the term duration and the
    /// drift margin are fixed proportions of the lease duration. The drift margin is sufficient for clocks
    /// whose rates differ by up to 2 %.
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

    /// Checks that each setting is valid.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid setting.
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

    /// Returns the sum of the floors (guaranteed minimums) of all servers, in units.
    fn floors(&self) -> u64 {
        self.floor.saturating_mul(self.servers_max)
    }

    /// Returns the number of units that may be leased: the total minus the sum of the floors (guaranteed
    /// minimums) of all servers.
    pub fn leasable(&self) -> u64 {
        self.total.saturating_sub(self.floors())
    }

    /// Returns the number of votes that a candidate needs to become the grantor.
    pub(super) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the settings list the server `name` as a voter. Only voters elect the grantor or
    /// become the grantor.
    pub(super) fn is_voter(&self, name: &str) -> bool {
        self.voters.iter().any(|voter| voter == name)
    }
}
