//! Who the next chunk of a checkpoint is asked of, and when another one is.

use meadowstream_replication::revision::{Position, Revision};
use meadowstream_replication::snapshot_transfer::{ChunkOutcome, SnapshotTransfer};
use meadowstream_replication::state::{State, Text};

const SECOND: u64 = 1_000_000_000;
const NUMBER: u64 = 256;

fn transfer(content: &State) -> SnapshotTransfer {
    let at = Position { epoch: 1, number: NUMBER };
    SnapshotTransfer::new(Revision { position: at, hash: content.hash() }, "offerer")
}

fn content() -> State {
    let mut content = State::default();
    ["a", "b", "c"].iter().for_each(|key| content.set(key, "1"));
    content
}

fn pair(key: &str) -> (Text, Text) {
    (Text::from(key), Text::from("1"))
}

#[test]
fn whoever_answered_in_place_of_a_lost_source_is_asked_again() {
    let mut transfer = transfer(&content());
    assert_eq!(transfer.source().map(String::as_str), Some("offerer"));
    let after = transfer.ask("offerer", 0);
    // No answer: another is asked, of whom it is not known whether it has it.
    assert!(!transfer.is_due(SECOND / 2) && transfer.is_due(SECOND));
    let again = transfer.ask("neighbour", SECOND);
    assert_eq!((after, again, transfer.source()), (None, None, None));
    assert_eq!(transfer.take(NUMBER, &None, &[pair("a")], false), ChunkOutcome::Continue);
    assert_eq!(transfer.source().map(String::as_str), Some("neighbour"));
    assert_eq!(transfer.ask("neighbour", SECOND), Some(Text::from("a")));
    assert_eq!(transfer.take(NUMBER, &Some(Text::from("a")), &[pair("b")], false), ChunkOutcome::Continue);
    assert_eq!(transfer.source().map(String::as_str), Some("neighbour"));
    transfer.ask("neighbour", SECOND);
    let done = transfer.take(NUMBER, &Some(Text::from("b")), &[pair("c")], true);
    assert!(matches!(done, ChunkOutcome::Complete(snapshot) if snapshot.state.hash() == content().hash()));
}

#[test]
fn what_was_not_asked_for_names_no_source() {
    let mut transfer = transfer(&content());
    transfer.ask("offerer", 0);
    transfer.ask("neighbour", SECOND);
    assert_eq!(transfer.take(NUMBER, &Some(Text::from("b")), &[pair("c")], true), ChunkOutcome::Ignored);
    assert_eq!(transfer.take(NUMBER + 1, &None, &[pair("a")], false), ChunkOutcome::Ignored);
    assert_eq!(transfer.source(), None);
}
