//! Tests changes of the named tenants while the scheduler runs. Applying a change in parts must have the same
//! result as a start with the new settings, and must not affect tenants that the change does not name.

use meadowstream_fair_queueing::{FairScheduler, NamedTenant, Settings, SettingsChange, TenantKey};
use proptest::prelude::*;
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000_000;
const TENANTS: usize = 40;

fn settings(named: &BTreeMap<u8, u8>) -> Settings {
    let tenant = |(name, weight): (&u8, &u8)| -> NamedTenant { (vec![*name], f64::from(*weight)) };
    Settings { accounts: 1024, named: named.iter().map(tenant).collect(), ..Settings::default() }
}

/// Returns the name and weight of each tenant whose weight differs from the default weight 1. The function
/// records an arrival of each tenant, since an arrival sets the tenant's weight.
fn weights(fair: &mut FairScheduler, now: u64) -> BTreeMap<String, f64> {
    for name in 0..TENANTS as u8 {
        fair.arrive(now, TenantKey { name: &[name], origin: 1 }, 1e6, None);
    }
    let top = fair.top_tenants(now, 4 * TENANTS);
    top.into_iter().filter(|tenant| tenant.weight != 1.0).map(|tenant| (tenant.name, tenant.weight)).collect()
}

fn named() -> impl Strategy<Value = BTreeMap<u8, u8>> {
    proptest::collection::btree_map(0..TENANTS as u8, 2..5_u8, 0..TENANTS)
}

proptest! {
    #[test]
    fn applying_all_parts_equals_a_start_with_the_new_names(old in named(), new in named()) {
        let (old, new) = (settings(&old), settings(&new));
        let mut fair = FairScheduler::new(old.clone(), 2.0, 7, 0);
        for part in SettingsChange::between(&old, &new) {
            fair.reconfigure(&part, SECOND);
        }
        let mut fresh = FairScheduler::new(new, 2.0, 7, 0);
        prop_assert_eq!(weights(&mut fair, 2 * SECOND), weights(&mut fresh, 2 * SECOND));
    }
}

#[test]
fn parts_are_bounded_and_removals_come_before_additions() {
    let tenants = |from: usize| -> Vec<NamedTenant> {
        (from..from + 1000).map(|n| (n.to_string().into_bytes(), 2.0)).collect()
    };
    let old = Settings { named: tenants(0).into(), ..Settings::default() };
    let new = Settings { named: tenants(500).into(), ..Settings::default() };
    let parts = SettingsChange::between(&old, &new);
    assert!(parts.iter().all(|part| part.named.len() + part.unnamed.len() <= 256), "{}", parts.len());
    let names = |of: fn(&SettingsChange) -> usize| parts.iter().map(of).sum::<usize>();
    assert_eq!((names(|part| part.unnamed.len()), names(|part| part.named.len())), (500, 500));
    let first_named = parts.iter().position(|part| !part.named.is_empty());
    let last_unnamed = parts.iter().rposition(|part| !part.unnamed.is_empty());
    assert!(last_unnamed < first_named);
    assert_eq!(SettingsChange::between(&new, &new).len(), 1, "a change without names is one part");
}

/// A change of settings that changes only a tenant's weight must keep the tenant's recorded usage.
#[test]
fn a_change_of_weight_keeps_recorded_usage() {
    let key = TenantKey { name: b"a", origin: 1 };
    let tenant =
        |weight: f64| Settings { named: vec![(b"a".to_vec(), weight)].into(), ..Settings::default() };
    let mut fair = FairScheduler::new(tenant(2.0), 1.0, 7, 0);
    for _ in 0..100 {
        fair.arrive(1, key, SECOND as f64, None);
    }
    let ahead = |fair: &mut FairScheduler| fair.top_tenants(1, 1)[0].ahead;
    let before = ahead(&mut fair);
    for part in SettingsChange::between(&tenant(2.0), &tenant(3.0)) {
        fair.reconfigure(&part, 1);
    }
    assert!(before > 1.0);
    assert_eq!((ahead(&mut fair), fair.top_tenants(1, 1)[0].weight), (before, 3.0));
}
