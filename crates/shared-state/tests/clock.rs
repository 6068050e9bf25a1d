//! Tests the bounds of the elapsed time. The bounds are computed from two clocks, of which one may be wrong.

use meadowstream_shared_state::clock::{DriftClock, Reading, Time};

const S: u64 = 1_000_000_000;

#[test]
fn two_clocks_bound_the_elapsed_time() {
    let mut clock = DriftClock::default();
    let read = |clock: &mut DriftClock, monotonic, wall| clock.read(Reading { monotonic, wall });
    assert_eq!(read(&mut clock, 100, 900), Time { fast: 0, slow: 0 });
    assert_eq!(read(&mut clock, 110, 910), Time { fast: 10, slow: 10 });
    // In the next three readings, first the monotonic clock stops, then the wall clock jumps back, and then
    // the wall clock jumps ahead by an hour. The fast bound follows the larger advance of the two clocks, and
    // the slow bound follows the smaller advance.
    assert_eq!(read(&mut clock, 110, 920), Time { fast: 20, slow: 10 });
    assert_eq!(read(&mut clock, 120, 500), Time { fast: 30, slow: 10 });
    assert_eq!(read(&mut clock, 130, 3600 * S), Time { fast: 30 + 3600 * S - 500, slow: 20 });
    assert_eq!(clock.disagreements, 1);
}
