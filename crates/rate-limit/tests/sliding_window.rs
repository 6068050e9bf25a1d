//! Tests of the rate limit in any window of one second. Further tests acquire amounts above the limit by
//! force, or use a clock that stops or goes back.

use meadowstream_rate_limit::{Nanos, SlidingWindow};
use proptest::prelude::*;

const SECOND: Nanos = 1_000_000_000;

#[test]
fn an_amount_is_available_again_after_a_second() {
    let mut window = SlidingWindow::new(100, 0);
    assert!(window.try_acquire(60, 0) && window.try_acquire(40, SECOND / 2));
    assert!(!window.try_acquire(1, SECOND - 1));
    // The first amount was used in a slot of a twentieth of a second. It becomes available one second after
    // the end of this slot. One nanosecond earlier, no amount can be acquired.
    assert!(!window.try_acquire(1, SECOND + SECOND / 20 - 1));
    assert!(window.try_acquire(60, SECOND + SECOND / 20));
    assert_eq!(window.available(SECOND + SECOND / 20), 0);
    assert_eq!(window.available(60 * SECOND), 100);
}

#[test]
fn a_forced_amount_counts_against_later_ones() {
    let mut window = SlidingWindow::new(100, 5 * SECOND);
    window.force_acquire(250, 5 * SECOND);
    assert_eq!(window.available(6 * SECOND), 0);
    assert!(window.try_acquire(100, 6 * SECOND + SECOND / 20));
}

#[test]
fn a_clock_that_goes_back_frees_nothing() {
    let mut window = SlidingWindow::new(100, 10 * SECOND);
    assert!(window.try_acquire(100, 10 * SECOND));
    assert!(!window.try_acquire(1, 0));
    assert!(!window.try_acquire(1, 10 * SECOND));
}

#[test]
fn a_long_pause_frees_everything() {
    let mut window = SlidingWindow::new(100, 0);
    (0..20).for_each(|slot| window.force_acquire(100, slot * SECOND / 20));
    assert_eq!(window.available(u64::MAX), 100);
}

proptest! {
    #[test]
    fn no_second_exceeds_the_limit(
        steps in proptest::collection::vec((0u64..SECOND / 2, 0u64..50), 1..200),
        limit in 1u64..400,
        start in any::<u32>(),
    ) {
        let mut now = u64::from(start);
        let mut window = SlidingWindow::new(limit, now);
        let mut acquired = Vec::new();
        for (gap, amount) in steps {
            now += gap;
            if window.try_acquire(amount, now) {
                acquired.push((now, amount));
            }
        }
        for (from, _) in &acquired {
            let within = acquired.iter().filter(|(at, _)| at >= from && *at < from + SECOND);
            let sum: u64 = within.map(|(_, amount)| amount).sum();
            prop_assert!(sum <= limit, "acquired {}, limit {}", sum, limit);
        }
    }
}
