//! Tests the table of recent runs.

use super::*;

#[test]
fn a_reference_is_remembered_until_its_time() {
    let mut runs = RecentRuns::default();
    runs.insert(1, 100);
    runs.insert(2, 200);
    assert!(runs.contains(99, 1) && runs.contains(99, 2) && !runs.contains(99, 3));
    assert!(!runs.contains(100, 1) && runs.contains(100, 2));
    runs.insert(1, 300);
    assert!(runs.contains(299, 1) && !runs.contains(299, 2));
}

#[test]
fn the_number_of_references_is_bounded() {
    let mut runs = RecentRuns::default();
    (0..=REFERENCES_MAX as u64).for_each(|reference| runs.insert(reference, 1_000));
    assert_eq!(runs.by_age.len(), REFERENCES_MAX);
    assert!(!runs.contains(0, 0) && runs.contains(0, 1) && runs.contains(0, REFERENCES_MAX as u64));
}
