//! Tests the order in which timers fire.

use super::*;

#[test]
fn timers_fire_by_time_and_then_in_the_order_they_were_set() {
    let mut timers = TimerQueue::default();
    timers.set(20, Timer::Controller(1));
    timers.set(10, Timer::GaugesOverdue { nonce: 9 });
    timers.set(10, Timer::Controller(0));
    assert_eq!(timers.next_at(), Some(10));
    assert_eq!(timers.pop_due(9), None);
    assert_eq!(timers.pop_due(10), Some(Timer::GaugesOverdue { nonce: 9 }));
    assert_eq!(timers.pop_due(10), Some(Timer::Controller(0)));
    assert_eq!(timers.pop_due(10), None);
    assert_eq!(timers.pop_due(25), Some(Timer::Controller(1)));
    assert_eq!(timers.next_at(), None);
}
