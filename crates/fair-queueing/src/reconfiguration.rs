//! Changes of fair-queueing settings while the server runs. Each change is split into parts of bounded size,
//! and the scheduler thread applies the parts one at a time between arrivals.

use crate::Nanos;
use crate::settings::Settings;
use crate::tenant::NamedTenant;
use std::collections::HashMap;

/// Maximum number of tenant names in one part of a change of settings. The limit bounds the time that the
/// scheduler thread needs to apply a part (`docs/CAPACITY.md`).
const NAMES_PER_PART: usize = 256;

/// One part of a change of settings. The part contains some of the tenants whose settings change, and the new
/// values of all other settings that can change at run time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsChange {
    /// Names of tenants that the old settings list by name, but the new settings do not.
    pub unnamed: Vec<Vec<u8>>,
    /// Names and new weights of tenants that the new settings list by name. Tenants that the old settings
    /// list with the same weight are left out.
    pub named: Vec<NamedTenant>,
    /// New value of [`Settings::names_per_origin`], the maximum number of tenant names that one origin may
    /// send at full weight.
    pub names_per_origin: f64,
    /// New value of [`Settings::default_weight`], the weight of each tenant that the settings do not list by
    /// name.
    pub default_weight: f64,
    /// New value of [`Settings::burst`], the time by which a tenant may use its share in advance, in
    /// nanoseconds.
    pub burst: Nanos,
    /// New value of [`Settings::probation`], the minimum time before a new tenant name becomes established,
    /// in nanoseconds.
    pub probation: Nanos,
}

impl SettingsChange {
    /// Returns the parts that together change the settings from `old` to `new`. There is at least one part.
    /// Parts that remove named tenants are first, so that the number of named tenants never exceeds its
    /// limit.
    ///
    /// The running time is proportional to the number of named tenants in `old` and `new`. The scheduler
    /// thread must therefore not call this function.
    pub fn between(old: &Settings, new: &Settings) -> Vec<SettingsChange> {
        let old_weights = weights(old);
        let new_weights = weights(new);
        let mut unnamed = Vec::new();
        for (name, _) in old.named.iter() {
            if !new_weights.contains_key(name.as_slice()) {
                unnamed.push(name.clone());
            }
        }
        let mut named = Vec::new();
        for (name, weight) in new.named.iter() {
            if old_weights.get(name.as_slice()) != Some(weight) {
                named.push((name.clone(), *weight));
            }
        }
        let mut parts = Vec::new();
        for names in unnamed.chunks(NAMES_PER_PART) {
            parts.push(SettingsChange { unnamed: names.to_vec(), ..Self::without_names(new) });
        }
        for tenants in named.chunks(NAMES_PER_PART) {
            parts.push(SettingsChange { named: tenants.to_vec(), ..Self::without_names(new) });
        }
        if parts.is_empty() {
            parts.push(Self::without_names(new));
        }
        parts
    }

    fn without_names(new: &Settings) -> SettingsChange {
        SettingsChange {
            unnamed: Vec::new(),
            named: Vec::new(),
            names_per_origin: new.names_per_origin,
            default_weight: new.default_weight,
            burst: new.burst,
            probation: new.probation,
        }
    }
}

fn weights(settings: &Settings) -> HashMap<&[u8], f64> {
    settings.named.iter().map(|(name, weight)| (name.as_slice(), *weight)).collect()
}
