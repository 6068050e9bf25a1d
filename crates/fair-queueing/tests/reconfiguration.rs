//! A change of named tenants in parts comes to the same as a start with the new ones, and takes nothing from
//! tenants that it does not name.

use meadowstream_fair_queueing::{FairScheduler, NamedTenant, Settings, SettingsChange, TenantKey};
use proptest::prelude::*;
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000_000;
const MANY: usize = 40;

fn settings(named: &BTreeMap<u8, u8>) -> Settings {
    let tenant = |(name, weight): (&u8, &u8)| -> NamedTenant { (vec![*name], f64::from(*weight)) };
    Settings { accounts: 1024, named: named.iter().map(tenant).collect(), ..Settings::default() }
}

/// The weight that each name counts with, asked for by an arrival of it.
fn weights(fair: &mut FairScheduler, now: u64) -> BTreeMap<String, f64> {
    for name in 0..MANY as u8 {
        fair.arrive(now, TenantKey { name: &[name], origin: 1 }, 1e6, None);
    }
    let heaviest = fair.top_tenants(now, 4 * MANY);
    heaviest.into_iter().filter(|heavy| heavy.weight != 1.0).map(|heavy| (heavy.name, heavy.weight)).collect()
}

fn named() -> impl Strategy<Value = BTreeMap<u8, u8>> {
    proptest::collection::btree_map(0..MANY as u8, 2..5_u8, 0..MANY)
}

proptest! {
    #[test]
    fn parts_come_to_the_same_as_a_start_with_the_new_names(old in named(), new in named()) {
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
fn no_part_is_longer_than_its_bound_and_names_go_before_others_come() {
    let many = |from: usize| -> Vec<NamedTenant> {
        (from..from + 1000).map(|n| (n.to_string().into_bytes(), 2.0)).collect()
    };
    let old = Settings { named: many(0).into(), ..Settings::default() };
    let new = Settings { named: many(500).into(), ..Settings::default() };
    let parts = SettingsChange::between(&old, &new);
    assert!(parts.iter().all(|part| part.named.len() + part.unnamed.len() <= 256), "{}", parts.len());
    let names = |of: fn(&SettingsChange) -> usize| parts.iter().map(of).sum::<usize>();
    assert_eq!((names(|part| part.unnamed.len()), names(|part| part.named.len())), (500, 500));
    let first_named = parts.iter().position(|part| !part.named.is_empty());
    let last_unnamed = parts.iter().rposition(|part| !part.unnamed.is_empty());
    assert!(last_unnamed < first_named);
    assert_eq!(SettingsChange::between(&new, &new).len(), 1, "the other settings are in one part");
}

/// What a tenant has used of its share is kept where its weight alone changes.
#[test]
fn a_tenant_of_another_weight_keeps_what_it_has_used() {
    let who = TenantKey { name: b"a", origin: 1 };
    let tenant =
        |weight: f64| Settings { named: vec![(b"a".to_vec(), weight)].into(), ..Settings::default() };
    let mut fair = FairScheduler::new(tenant(2.0), 1.0, 7, 0);
    for _ in 0..100 {
        fair.arrive(1, who, SECOND as f64, None);
    }
    let ahead = |fair: &mut FairScheduler| fair.top_tenants(1, 1)[0].ahead;
    let before = ahead(&mut fair);
    for part in SettingsChange::between(&tenant(2.0), &tenant(3.0)) {
        fair.reconfigure(&part, 1);
    }
    assert!(before > 1.0);
    assert_eq!((ahead(&mut fair), fair.top_tenants(1, 1)[0].weight), (before, 3.0));
}
