//! Tests of the transfer of a checkpoint. They check from which member the next chunk is requested.

use meadowstream_replication::revision::{Position, Revision};
use meadowstream_replication::snapshot_transfer::{ChunkOutcome, SnapshotTransfer};
use meadowstream_replication::state::{Chunk, Pair, State, Text};

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

/// A chunk of one pair.
fn chunk(key: &str, is_last: bool) -> Chunk {
    Chunk { pairs: vec![Pair { key: Text::from(key), value: Text::from("1") }], is_last }
}

#[test]
fn the_member_that_answered_instead_of_a_lost_source_is_the_next_source() {
    let mut transfer = transfer(&content());
    assert_eq!(transfer.source().map(String::as_str), Some("offerer"));
    let after = transfer.request_chunk("offerer", 0);
    // The member that offered the checkpoint does not answer. After a second, the request must be due again.
    // The repetition may be sent to any member.
    assert!(!transfer.is_due(SECOND / 2) && transfer.is_due(SECOND));
    let after_repeated = transfer.request_chunk("neighbour", SECOND);
    assert_eq!((after, after_repeated, transfer.source()), (None, None, None));
    assert_eq!(transfer.on_chunk(NUMBER, &None, &chunk("a", false)), ChunkOutcome::Continue);
    assert_eq!(transfer.source().map(String::as_str), Some("neighbour"));
    assert_eq!(transfer.request_chunk("neighbour", SECOND), Some(Text::from("a")));
    assert_eq!(transfer.on_chunk(NUMBER, &Some(Text::from("a")), &chunk("b", false)), ChunkOutcome::Continue);
    assert_eq!(transfer.source().map(String::as_str), Some("neighbour"));
    transfer.request_chunk("neighbour", SECOND);
    let done = transfer.on_chunk(NUMBER, &Some(Text::from("b")), &chunk("c", true));
    assert!(matches!(done, ChunkOutcome::Complete(snapshot) if snapshot.state.hash() == content().hash()));
}

#[test]
fn a_chunk_that_was_not_requested_does_not_set_the_source() {
    let mut transfer = transfer(&content());
    transfer.request_chunk("offerer", 0);
    transfer.request_chunk("neighbour", SECOND);
    assert_eq!(transfer.on_chunk(NUMBER, &Some(Text::from("b")), &chunk("c", true)), ChunkOutcome::Ignored);
    assert_eq!(transfer.on_chunk(NUMBER + 1, &None, &chunk("a", false)), ChunkOutcome::Ignored);
    assert_eq!(transfer.source(), None);
}
