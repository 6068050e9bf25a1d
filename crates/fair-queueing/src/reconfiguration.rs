//! Changes of settings while the server runs, split into parts of bounded size. The scheduler thread applies
//! one part at a time between arrivals.

use crate::Nanos;
use crate::settings::Settings;
use crate::tenant::NamedTenant;
use std::collections::HashMap;

/// Maximum number of names in one part, which bounds the time to apply it (`docs/CAPACITY.md`).
const NAMES_PER_PART: usize = 256;

/// One part of a change of settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsChange {
    /// Tenants that the new settings no longer name.
    pub unnamed: Vec<Vec<u8>>,
    /// Tenants that are newly named or have a different weight.
    pub named: Vec<NamedTenant>,
    /// New value of [`Settings::names_per_origin`].
    pub names_per_origin: f64,
    /// New value of [`Settings::default_weight`].
    pub default_weight: f64,
    /// New value of [`Settings::burst`].
    pub burst: Nanos,
    /// New value of [`Settings::probation`].
    pub probation: Nanos,
}

impl SettingsChange {
    /// Returns the parts that change `old` into `new`, at least one. Parts that remove names come first,
    /// since the limit on named tenants applies to the remaining ones. The time is proportional to the length
    /// of both lists of names, so this must not run on the scheduler thread.
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
