//! Tests how repeated calls are recognized and answered, without a server.

use super::*;

const WINDOW_END: Nanos = 100;

fn table(entries_max: usize, bytes: usize) -> IdempotencyTable {
    IdempotencyTable::new(entries_max, bytes, 10)
}

#[test]
fn a_repeat_waits_and_gets_the_result_of_the_original() {
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
fn a_call_that_arrived_within_the_window_is_a_repeat_even_if_read_later() {
    let mut table = table(4, 64);
    table.insert(1, 0, b"t", 7, WINDOW_END);
    table.run_ended(1, None);
    // The call arrived before the end of the idempotency window, but its key was looked up after the end. The
    // call must still count as a repeat.
    assert_eq!(table.find(WINDOW_END + 5, WINDOW_END - 1, 0, b"t", 7), Lookup::Repeat(1));
    assert_eq!(table.find(WINDOW_END + 5, WINDOW_END, 0, b"t", 7), Lookup::New);
    assert_eq!(table.find(WINDOW_END + 11, WINDOW_END - 1, 0, b"t", 7), Lookup::New);
}

#[test]
fn a_full_table_accepts_no_key_and_never_drops_a_running_one() {
    let mut table = table(2, 64);
    table.insert(1, 0, b"a", 7, WINDOW_END);
    table.insert(2, 0, b"b", 7, WINDOW_END);
    table.run_ended(2, None);
    assert_eq!(table.find(0, 0, 0, b"c", 7), Lookup::TableFull);
    assert_eq!(table.find(0, 0, 0, b"a", 7), Lookup::Repeat(1));
    // Invocation 2 has ended and its key has expired, so the table has space for the new key `c`. The key of
    // invocation 1 is kept, because invocation 1 is still running.
    assert_eq!(table.find(WINDOW_END + 50, WINDOW_END + 50, 0, b"c", 7), Lookup::New);
    assert_eq!(table.replay(1, 9), Replay::Pending);
}

#[test]
fn evicting_a_result_keeps_its_key() {
    let mut table = table(4, 5);
    table.insert(1, 0, b"a", 7, WINDOW_END);
    table.insert(2, 0, b"b", 7, WINDOW_END);
    table.run_ended(1, Some(b"four"));
    table.run_ended(2, Some(b"four"));
    assert_eq!(table.find(0, 0, 0, b"a", 7), Lookup::Repeat(1));
    assert_eq!((table.replay(1, 8), table.replay(2, 9)), (Replay::Failed, Replay::Result(b"four".to_vec())));
}

#[test]
fn a_forgotten_key_can_be_used_again() {
    let mut table = table(4, 64);
    table.insert(1, 0, b"a", 7, WINDOW_END);
    table.replay(1, 2);
    assert_eq!(table.forget(1), vec![2]);
    assert_eq!(table.find(1, 1, 0, b"a", 7), Lookup::New);
}
