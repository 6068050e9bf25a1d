//! Settings of fair queueing and their validation.

use crate::Nanos;
use crate::accounts::Accounts;
use crate::finish_sketch::FinishSketch;
use crate::known_names::KnownNames;
use crate::origins::Origins;
use crate::promises::Promises;
use crate::tenant::NamedTenant;
use std::sync::Arc;
use thiserror::Error;

const SECOND_NS: Nanos = 1_000_000_000;
/// Minimum number of accounts (usage records) for tenants that the settings do not list by name.
const UNNAMED_ACCOUNTS: usize = 16;
/// Minimum value of [`Settings::cells`], the number of cells in the sketch of used shares.
const CELLS_MIN: usize = 64;
/// Number of cells of the sketch for each name that fits into the table of known names. The sketch is the
/// array of hashed cells that records the usage of tenants without an account.
const CELLS_PER_KNOWN_NAME: usize = 4;

/// Settings of fair queueing. The limits in the settings bound the memory use for any number of tenant names
/// and origins.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of tenants that have an account (a usage record) of their own.
    pub accounts: usize,
    /// Number of cells of the sketch that records the usage of tenants without an account. The number is
    /// rounded up to a power of two. The table of known names has capacity for a quarter as many names.
    pub cells: usize,
    /// Maximum number of origins that have a slot of their own in the table of origins. If there are more
    /// origins, the additional origins share these slots.
    pub origins: usize,
    /// Maximum number of promises that are active at the same time. A promise states that one retry of a
    /// rejected arrival will be admitted.
    pub promises: usize,
    /// Maximum number of tenant names that one origin may send at full weight. If an origin sends more names,
    /// the weight of each name decreases. The origin therefore gains nothing from additional names.
    pub names_per_origin: f64,
    /// Weight of each tenant that [`Settings::named`] does not list.
    pub default_weight: f64,
    /// Tenants that are listed by name, with their weights. Each of these tenants has an account from the
    /// start.
    pub named: Arc<[NamedTenant]>,
    /// Time by which a tenant may use its share in advance, in nanoseconds. If a tenant has used its share
    /// further in advance, its arrivals count as surplus (beyond the share).
    pub burst: Nanos,
    /// Minimum time after the first visit of a tenant name (an arrival with the name) before the name can
    /// become established, in nanoseconds.
    pub probation: Nanos,
    /// Longest wait that may be promised to a rejected arrival, in nanoseconds.
    pub promise_max: Nanos,
    /// Length of the grace period after the promised time of a retry, in nanoseconds. A retry within the
    /// grace period still redeems its promise.
    pub return_grace: Nanos,
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// The weight of a tenant that the settings list by name is not a finite number above 0.
    #[error("weight: {weight} of {name:?} is not a finite number above 0")]
    Weight {
        /// Name of the tenant.
        name: String,
        /// Configured weight.
        weight: f64,
    },
    /// The default weight is not a finite number above 0.
    #[error("default: {weight} is not a finite number above 0")]
    DefaultWeight {
        /// Configured weight.
        weight: f64,
    },
    /// The maximum number of full-weight names per origin is less than 1 or not finite.
    #[error("names: {names} is not a finite number of at least 1")]
    NamesPerOrigin {
        /// Configured number of names.
        names: f64,
    },
    /// A limit in the settings is less than its minimum.
    #[error("{attribute}: {value} is under {minimum}")]
    Limit {
        /// Name of the configuration attribute whose value is too small: `accounts`, `cells`, `origins` or
        /// `promises`.
        attribute: &'static str,
        /// Configured value.
        value: usize,
        /// Minimum value.
        minimum: usize,
    },
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            accounts: 4096,
            cells: 1 << 16,
            origins: 256,
            promises: 16_384,
            names_per_origin: 1024.0,
            default_weight: 1.0,
            named: Arc::default(),
            burst: 15 * SECOND_NS,
            probation: 2 * SECOND_NS,
            promise_max: SECOND_NS,
            return_grace: SECOND_NS / 2,
        }
    }
}

impl Settings {
    /// Checks that each setting is valid.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        if let Some((name, weight)) = self.named.iter().find(|(_, weight)| !is_weight(*weight)) {
            let name = String::from_utf8_lossy(name).into_owned();
            return Err(SettingsError::Weight { name, weight: *weight });
        }
        if !is_weight(self.default_weight) {
            return Err(SettingsError::DefaultWeight { weight: self.default_weight });
        }
        if !self.names_per_origin.is_finite() || self.names_per_origin < 1.0 {
            return Err(SettingsError::NamesPerOrigin { names: self.names_per_origin });
        }
        let accounts_min = 2 * self.named.len() + UNNAMED_ACCOUNTS;
        check_limit("accounts", self.accounts, accounts_min)?;
        check_limit("cells", self.cells, CELLS_MIN)?;
        check_limit("origins", self.origins, 1)?;
        check_limit("promises", self.promises, 1)
    }

    /// Returns the maximum number of tenants that the settings may list by name. At least half of the
    /// accounts are left for other tenants.
    pub fn named_max(&self) -> usize {
        self.accounts.saturating_sub(UNNAMED_ACCOUNTS) / 2
    }

    /// Returns the capacity of the table of known names, as a number of names.
    pub(crate) fn known_names(&self) -> usize {
        self.cells / CELLS_PER_KNOWN_NAME
    }

    /// Returns the maximum memory that all data structures of a scheduler with these settings can use
    /// together, in bytes.
    pub(crate) fn parts_bytes_max(&self) -> usize {
        Accounts::bytes_max(self.accounts)
            + FinishSketch::bytes_max(self.cells)
            + KnownNames::bytes_max(self.known_names())
            + Origins::bytes_max(self.origins)
            + Promises::bytes_max(self.promises)
    }
}

fn is_weight(weight: f64) -> bool {
    weight.is_finite() && weight > 0.0
}

fn check_limit(attribute: &'static str, value: usize, minimum: usize) -> Result<(), SettingsError> {
    if value < minimum {
        return Err(SettingsError::Limit { attribute, value, minimum });
    }
    Ok(())
}
