//! Tests the stratified rank sum test. The expected normal probabilities are from published tables, and the
//! expected rank sum is calculated by hand.

use super::*;

#[test]
fn the_normal_tail_agrees_with_tables() {
    for (z, p) in [(0.0, 0.5), (1.6449, 0.05), (2.3263, 0.01), (3.0902, 0.001), (-1.0, 0.8413)] {
        assert!((upper_tail(z) - p).abs() < 1e-4, "{z}: {}", upper_tail(z));
    }
    assert!((upper_tail(4.2649) / 1e-5 - 1.0).abs() < 0.001, "{}", upper_tail(4.2649));
}

fn stratum(changed: &[f64], unchanged: &[f64]) -> Stratum {
    Stratum { changed: changed.to_vec(), unchanged: unchanged.to_vec(), ..Stratum::default() }
}

/// Compares a rank sum with a calculation by hand. The ranks of the five values are 1, 2.5, 2.5, 4 and 5. The
/// values of the changed group have the ranks 2.5 and 5.
#[test]
fn equal_values_share_their_rank_and_equal_groups_have_no_comparison() {
    let with_a_tie = stratum(&[3.0, 5.0], &[1.0, 3.0, 4.0]);
    assert_eq!(rank_sum(&with_a_tie), RankSum { rank_sum: 2.5 + 5.0, tie_correction: 6.0 });
    let all_equal = stratum(&[1.0], &[1.0, 1.0]);
    assert_eq!(compare(&[&all_equal; 8]), None);
}
