//! One replica by itself, message by message: what it sends only once its state is on disk, and what it
//! counts as committed.

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

/// Messages between replicas that go out now.
fn replica_messages(member: &mut Member) -> Vec<Message> {
    let all = member.take_outgoing().into_iter().filter_map(|one| Message::decode(&one.body));
    all.filter(|message| !matches!(message, Message::Digest { .. } | Message::Report { .. })).collect()
}

fn persist(member: &mut Member) -> PersistedState {
    let saved = member.unsaved_state().expect("something to save");
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

/// Otherwise a replica that forgets its promise with a restart would store for an earlier leader what the
/// later one does not know of.
#[test]
fn a_promise_is_on_disk_before_it_is_given() {
    let mut member = replica(None);
    deliver(&mut member, "s1", Message::Prepare { epoch: 7, after: 0 });
    assert!(replica_messages(&mut member).is_empty(), "nothing is promised before it is written");
    assert_eq!(persist(&mut member).promised, 7);
    assert!(matches!(replica_messages(&mut member)[..], [Message::Promise { epoch: 7, .. }]));
    let mut again = replica(Some(PersistedState { promised: 7, ..PersistedState::default() }));
    deliver(
        &mut again,
        "s2",
        Message::Append { epoch: 5, previous: Position::default(), entries: vec![entry(5, 1)], committed: 1 },
    );
    assert!(matches!(replica_messages(&mut again)[..], [Message::EpochRejected { promised: 7 }]));
    assert_eq!(again.revision().position.number, 0);
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

/// A leader of this epoch, with what was on its disk.
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

/// One other's acknowledgement and the leader's own disk are a majority, one without the other is none.
#[test]
fn a_leader_s_own_entry_counts_once_it_is_on_disk() {
    let (mut member, epoch) = leader(None);
    deliver(&mut member, "s1", Message::Appended { epoch, number: 1 });
    assert_eq!(member.revision().position.number, 0, "its own is not on disk yet");
    persist(&mut member);
    assert_eq!(member.revision().position, Position { epoch, number: 1 });
}

/// Otherwise an entry of an earlier epoch that a majority stores would count as committed, and a leader with
/// another entry of an epoch between would replace it.
#[test]
fn an_entry_of_an_earlier_epoch_is_committed_by_one_of_its_own_alone() {
    let disk = PersistedState { promised: 1, entries: vec![entry(1, 1)], ..PersistedState::default() };
    let (mut member, epoch) = leader(Some(disk));
    persist(&mut member);
    deliver(&mut member, "s1", Message::Appended { epoch, number: 1 });
    assert_eq!(member.revision().position.number, 0, "an entry of epoch 1 is not committed by its copies");
    deliver(&mut member, "s1", Message::Appended { epoch, number: 2 });
    assert_eq!(member.revision().position, Position { epoch, number: 2 });
}
