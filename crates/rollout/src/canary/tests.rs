//! The comparison of the changed servers with the others.

use super::*;

#[test]
fn the_normal_tail_agrees_with_tables() {
    for (z, p) in [(0.0, 0.5), (1.6449, 0.05), (2.3263, 0.01), (3.0902, 0.001), (-1.0, 0.8413)] {
        assert!((upper_tail(z) - p).abs() < 1e-4, "{z}: {}", upper_tail(z));
    }
    assert!((upper_tail(4.2649) / 1e-5 - 1.0).abs() < 0.001, "{}", upper_tail(4.2649));
}

/// Against a rank sum worked by hand: new 3, 5; old 1, 3, 4.
#[test]
fn ranks_and_ties() {
    let stratum = Stratum { new: vec![3.0, 5.0], old: vec![1.0, 3.0, 4.0], doubt: 0.0, answered: 0 };
    assert_eq!(rank_sum(&stratum), (2.5 + 5.0, 6.0));
    // All equal: nothing to say.
    let flat = Stratum { new: vec![1.0], old: vec![1.0, 1.0], doubt: 0.0, answered: 0 };
    assert_eq!(compare(&[&flat; 8]), None);
}
