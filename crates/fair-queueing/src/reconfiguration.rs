//! What changes between two settings while a server runs, in parts of bounded size: the thread that decides
//! takes over one part at a time between arrivals.

use crate::{NamedTenant, Nanos, Settings};
use std::collections::HashMap;

/// Names in one part at most: 256 take under 0.1 ms (`docs/CAPACITY.md`).
const PART_NAMES: usize = 256;

/// One part of a change of settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Retune {
    /// Tenants that are named no more, and those that are new or have another weight.
    pub unnamed: Vec<Vec<u8>>,
    pub named: Vec<NamedTenant>,
    pub names: f64,
    pub weight: f64,
    pub at_once: Nanos,
    pub probation: Nanos,
}

impl Retune {
    /// The parts that lead from `old` to `new`, at least one. Those that take names away come first: room
    /// for the others is counted without them. Takes time in proportion to both lists of names, so it is not
    /// called on the thread that decides.
    pub fn between(old: &Settings, new: &Settings) -> Vec<Retune> {
        let before: HashMap<&[u8], f64> =
            old.named.iter().map(|(name, weight)| (&name[..], *weight)).collect();
        let after: HashMap<&[u8], f64> =
            new.named.iter().map(|(name, weight)| (&name[..], *weight)).collect();
        let gone = |name: &&Vec<u8>| !after.contains_key(&name[..]);
        let unnamed: Vec<Vec<u8>> = old.named.iter().map(|(name, _)| name).filter(gone).cloned().collect();
        let changed = |(name, weight): &&NamedTenant| before.get(&name[..]) != Some(weight);
        let named: Vec<NamedTenant> = new.named.iter().filter(changed).cloned().collect();
        let part = |unnamed: &[Vec<u8>], named: &[NamedTenant]| Retune {
            unnamed: unnamed.to_vec(),
            named: named.to_vec(),
            names: new.names,
            weight: new.weight,
            at_once: new.at_once,
            probation: new.probation,
        };
        let mut parts: Vec<Retune> = unnamed.chunks(PART_NAMES).map(|names| part(names, &[])).collect();
        parts.extend(named.chunks(PART_NAMES).map(|names| part(&[], names)));
        if parts.is_empty() {
            parts.push(part(&[], &[]));
        }
        parts
    }
}
