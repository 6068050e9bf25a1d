//! Tests of a single replica, message by message. They check which messages the replica holds back until its
//! state is on disk, and which entries it treats as committed.

use meadowstream_replication::change::Change;
use meadowstream_replication::entry::Entry;
use meadowstream_replication::member::{Member, Settings};
use meadowstream_replication::message::{Location, Message};
use meadowstream_replication::persistence::PersistedState;
use meadowstream_replication::revision::{Position, Revision};
use meadowstream_replication::state::State;

const NOW: u64 = 1_700_000_000_000_000_000;

fn replica(disk: Option<PersistedState>) -> Member {
    let replicas = vec!["s0".to_string(), "s1".to_string(), "s2".to_string()];
    Member::new("s0", Settings::new(Location::default(), replicas), 1, NOW, disk).unwrap()
}

/// Removes all messages that the member has queued. Returns only the messages between replicas; digests and
/// reports are dropped.
fn replica_messages(member: &mut Member) -> Vec<Message> {
    let all = member.take_outgoing().into_iter().filter_map(|outgoing| Message::decode(&outgoing.body));
    all.filter(|message| !matches!(message, Message::Digest { .. } | Message::Report { .. })).collect()
}

fn persist(member: &mut Member) -> PersistedState {
    let saved = member.unsaved_state().expect("the state has changed");
    member.on_persisted(&saved, NOW);
    saved
}

fn deliver(member: &mut Member, from: &str, message: Message) {
    member.receive(NOW, from, &message.encode());
}

fn entry(epoch: u64, number: u64) -> Entry {
    let mut state = State::default();
    state.set("k", "1");
    let at = Position { epoch, number };
    Entry {
        revision: Revision { position: at, hash: state.hash() },
        changes: vec![Change::set("k", "1")],
        partial: false,
    }
}

/// A replica must remember its promise of an epoch after a restart. Without the promise, the replica could
/// store entries of an earlier leader. The leader of the promised epoch would not know of these entries.
#[test]
fn a_promise_is_on_disk_before_it_is_sent() {
    let mut member = replica(None);
    deliver(&mut member, "s1", Message::Prepare { epoch: 7, after: 0 });
    assert!(replica_messages(&mut member).is_empty(), "no promise is sent before it is on disk");
    assert_eq!(persist(&mut member).promised, 7);
    assert!(matches!(replica_messages(&mut member)[..], [Message::Promise { epoch: 7, .. }]));
    let mut restarted = replica(Some(PersistedState { promised: 7, ..PersistedState::default() }));
    deliver(
        &mut restarted,
        "s2",
        Message::Append { epoch: 5, previous: Position::default(), entries: vec![entry(5, 1)], committed: 1 },
    );
    assert!(matches!(replica_messages(&mut restarted)[..], [Message::EpochRejected { promised: 7 }]));
    assert_eq!(restarted.revision().position.number, 0);
}

#[test]
fn an_entry_is_on_disk_before_it_is_acknowledged() {
    let mut member = replica(None);
    let append =
        Message::Append { epoch: 4, previous: Position::default(), entries: vec![entry(4, 1)], committed: 0 };
    deliver(&mut member, "s1", append);
    assert!(replica_messages(&mut member).is_empty());
    let saved = persist(&mut member);
    assert_eq!((saved.promised, saved.entries.len()), (4, 1));
    assert!(matches!(replica_messages(&mut member)[..], [Message::Appended { epoch: 4, number: 1 }]));
}

/// Creates a replica that starts with the state `disk`, and has it elected as the leader. Returns the replica
/// and its epoch.
fn leader(disk: Option<PersistedState>) -> (Member, u64) {
    let mut member = replica(disk);
    member.set_holds_lease(true);
    member.advance(NOW, &Default::default());
    persist(&mut member);
    let messages = replica_messages(&mut member);
    let Some(Message::Prepare { epoch, .. }) = messages.first().cloned() else { panic!("{messages:?}") };
    let promise = Message::Promise { epoch, last: Position::default(), after: 0, entries: Vec::new() };
    deliver(&mut member, "s1", promise);
    assert!(member.is_leader());
    (member, epoch)
}

/// A leader must not count itself as having stored its own entry before the entry is on its disk. In this
/// test, the leader and one other replica form a majority of the three replicas.
#[test]
fn a_leader_s_own_entry_counts_once_it_is_on_disk() {
    let (mut member, epoch) = leader(None);
    deliver(&mut member, "s1", Message::Appended { epoch, number: 1 });
    assert_eq!(member.revision().position.number, 0, "the leader's own entry is not on disk yet");
    persist(&mut member);
    assert_eq!(member.revision().position, Position { epoch, number: 1 });
}

/// An entry of an earlier epoch must not be committed just because a majority has stored it. A leader with a
/// different entry, from an epoch in between, could still replace it.
#[test]
fn an_entry_of_an_earlier_epoch_is_committed_only_by_an_entry_of_the_leader_s_own_epoch() {
    let disk = PersistedState { promised: 1, entries: vec![entry(1, 1)], ..PersistedState::default() };
    let (mut member, epoch) = leader(Some(disk));
    persist(&mut member);
    deliver(&mut member, "s1", Message::Appended { epoch, number: 1 });
    assert_eq!(member.revision().position.number, 0, "a majority alone does not commit an entry of epoch 1");
    deliver(&mut member, "s1", Message::Appended { epoch, number: 2 });
    assert_eq!(member.revision().position, Position { epoch, number: 2 });
}
