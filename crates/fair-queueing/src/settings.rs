//! Settings of fair queueing and their check.

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
/// Accounts that are never given to named tenants.
const UNNAMED_ACCOUNTS: usize = 16;
/// Fewest cells of the sketch.
const CELLS_LEAST: usize = 64;
/// Cells of the sketch for each known name.
const CELLS_PER_KNOWN_NAME: usize = 4;

/// Settings of fair queueing. The limits bound all memory; nothing that peers choose takes more.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Tenants with an account of their own.
    pub accounts: usize,
    /// Cells of the sketch for all others, rounded up to a power of two; a quarter as many names are known.
    pub cells: usize,
    /// Origins told apart; those beyond them share places.
    pub origins: usize,
    /// Promises that may stand at the same time.
    pub promises: usize,
    /// Names of one origin beyond which each of them weighs less, so that more names bring it no more.
    pub names_per_origin: f64,
    /// Weight of a tenant that is not named.
    pub default_weight: f64,
    /// Named tenants and their weights; they have accounts from the start.
    pub named: Arc<[NamedTenant]>,
    /// How much of its share a tenant may use at once, in nanoseconds of its share.
    pub burst: Nanos,
    /// A name counts as known once it has been seen several times over so many nanoseconds.
    pub probation: Nanos,
    /// Longest time that may be promised, in nanoseconds.
    pub promise_max: Nanos,
    /// How long after the promised time a return is still as promised, in nanoseconds.
    pub return_grace: Nanos,
}

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// The weight of a named tenant is not a finite number above 0.
    #[error("weight: {weight} of {name:?} is no weight")]
    Weight {
        /// Name of the tenant.
        name: String,
        /// Its weight.
        weight: f64,
    },
    /// The default weight is not a finite number above 0.
    #[error("default: {weight} is no weight")]
    DefaultWeight {
        /// The weight.
        weight: f64,
    },
    /// Fewer than one name for each origin, or no number.
    #[error("names: {names} is under 1")]
    NamesPerOrigin {
        /// The number of names.
        names: f64,
    },
    /// A limit is too low.
    #[error("{attribute}: {given} is under {least}")]
    Limit {
        /// Which limit: `accounts`, `cells`, `origins` or `promises`.
        attribute: &'static str,
        /// The limit given.
        given: usize,
        /// Its least value.
        least: usize,
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
    /// Checks each setting.
    ///
    /// # Errors
    /// The first setting that cannot be used.
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
        let accounts_least = 2 * self.named.len() + UNNAMED_ACCOUNTS;
        check_limit("accounts", self.accounts, accounts_least)?;
        check_limit("cells", self.cells, CELLS_LEAST)?;
        check_limit("origins", self.origins, 1)?;
        check_limit("promises", self.promises, 1)
    }

    /// How many tenants may be named: half of the accounts stay for those that are not.
    pub fn named_max(&self) -> usize {
        self.accounts.saturating_sub(UNNAMED_ACCOUNTS) / 2
    }

    /// Names that are known at the same time.
    pub(crate) fn known_names(&self) -> usize {
        self.cells / CELLS_PER_KNOWN_NAME
    }

    /// All bytes that the parts of a scheduler with these settings may ever hold.
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

fn check_limit(attribute: &'static str, given: usize, least: usize) -> Result<(), SettingsError> {
    if given < least {
        return Err(SettingsError::Limit { attribute, given, least });
    }
    Ok(())
}
