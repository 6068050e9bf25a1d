//! What becomes of repeats, played without a server.

use super::*;

const WINDOW_END: Nanos = 100;

fn table(entries_max: usize, bytes: usize) -> IdempotencyTable {
    IdempotencyTable::new(entries_max, bytes, 10)
}

#[test]
fn a_repeat_waits_and_hears_what_its_forerunner_heard() {
    let mut table = table(4, 64);
    assert_eq!(table.find(0, 0, 1, b"t", 7), Lookup::New);
    table.insert(1, 1, b"t", 7, WINDOW_END);
    assert_eq!(table.find(1, 1, 1, b"t", 7), Lookup::Repeat(1));
    assert_eq!(table.find(1, 1, 1, b"t", 8), Lookup::BodyMismatch);
    assert_eq!(table.find(1, 1, 0, b"t", 7), Lookup::New);
    assert_eq!((table.replay(1, 2), table.replay(1, 3)), (Replay::Pending, Replay::Pending));
    assert_eq!(table.replay(1, 5), Replay::Pending);
    table.stop_waiting(1, 5);
    assert_eq!(table.run_ended(1, Some(b"done")), vec![2, 3]);
    assert_eq!(table.replay(1, 4), Replay::Result(b"done".to_vec()));
}

#[test]
fn the_window_counts_from_when_one_reached_the_machine() {
    let mut table = table(4, 64);
    table.insert(1, 0, b"t", 7, WINDOW_END);
    table.run_ended(1, None);
    // Read after the window, but here before its end.
    assert_eq!(table.find(WINDOW_END + 5, WINDOW_END - 1, 0, b"t", 7), Lookup::Repeat(1));
    assert_eq!(table.find(WINDOW_END + 5, WINDOW_END, 0, b"t", 7), Lookup::New);
    assert_eq!(table.find(WINDOW_END + 11, WINDOW_END - 1, 0, b"t", 7), Lookup::New);
}

#[test]
fn a_full_table_takes_none_and_a_run_is_never_dropped() {
    let mut table = table(2, 64);
    table.insert(1, 0, b"a", 7, WINDOW_END);
    table.insert(2, 0, b"b", 7, WINDOW_END);
    table.run_ended(2, None);
    assert_eq!(table.find(0, 0, 0, b"c", 7), Lookup::TableFull);
    assert_eq!(table.find(0, 0, 0, b"a", 7), Lookup::Repeat(1));
    // The second is over; the first runs on.
    assert_eq!(table.find(WINDOW_END + 50, WINDOW_END + 50, 0, b"c", 7), Lookup::New);
    assert_eq!(table.replay(1, 9), Replay::Pending);
}

#[test]
fn results_give_way_but_not_that_they_ran() {
    let mut table = table(4, 5);
    table.insert(1, 0, b"a", 7, WINDOW_END);
    table.insert(2, 0, b"b", 7, WINDOW_END);
    table.run_ended(1, Some(b"four"));
    table.run_ended(2, Some(b"four"));
    assert_eq!(table.find(0, 0, 0, b"a", 7), Lookup::Repeat(1));
    assert_eq!((table.replay(1, 8), table.replay(2, 9)), (Replay::Failed, Replay::Result(b"four".to_vec())));
}

#[test]
fn what_never_ran_is_new_again() {
    let mut table = table(4, 64);
    table.insert(1, 0, b"a", 7, WINDOW_END);
    table.replay(1, 2);
    assert_eq!(table.forget(1), vec![2]);
    assert_eq!(table.find(1, 1, 0, b"a", 7), Lookup::New);
}
