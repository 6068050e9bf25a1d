//! One replica by itself, message by message: what it says only once it is on disk, and what it counts as
//! committed.

use meadowstream_replication::member::{Member, Settings};
use meadowstream_replication::message::{Location, Message};
use meadowstream_replication::replica::PersistedState;
use meadowstream_replication::revision::{Change, Entry, Position, Revision};
use meadowstream_replication::state::State;

const NOW: u64 = 1_700_000_000_000_000_000;

fn replica(disk: Option<PersistedState>) -> Member {
    let replicas = vec!["s0".to_string(), "s1".to_string(), "s2".to_string()];
    Member::new("s0", Settings::new(Location::default(), replicas), 1, NOW, disk).unwrap()
}

/// Messages between replicas that go out now.
fn said(member: &mut Member) -> Vec<Message> {
    let all = member.outgoing().into_iter().filter_map(|(_, body)| Message::decode(&body));
    all.filter(|message| !matches!(message, Message::Digest { .. } | Message::Report { .. })).collect()
}

fn save(member: &mut Member) -> PersistedState {
    let saved = member.unsaved_state().expect("something to save");
    member.on_persisted(&saved, NOW);
    saved
}

fn tell(member: &mut Member, from: &str, message: Message) {
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

/// Guards against a replica that has promised a later epoch, forgets it with a restart, and stores for an
/// earlier leader what the later one does not know of.
#[test]
fn a_promise_is_on_disk_before_it_is_given() {
    let mut member = replica(None);
    tell(&mut member, "s1", Message::Prepare { epoch: 7, after: 0 });
    assert!(said(&mut member).is_empty(), "nothing is promised before it is written");
    assert_eq!(save(&mut member).promised, 7);
    assert!(matches!(said(&mut member)[..], [Message::Promise { epoch: 7, .. }]));
    let mut again = replica(Some(PersistedState { promised: 7, ..PersistedState::default() }));
    tell(
        &mut again,
        "s2",
        Message::Append { epoch: 5, previous: Position::default(), entries: vec![entry(5, 1)], committed: 1 },
    );
    assert!(matches!(said(&mut again)[..], [Message::EpochRejected { promised: 7 }]));
    assert_eq!(again.revision().position.number, 0);
}

#[test]
fn an_entry_is_on_disk_before_it_is_acknowledged() {
    let mut member = replica(None);
    let append =
        Message::Append { epoch: 4, previous: Position::default(), entries: vec![entry(4, 1)], committed: 0 };
    tell(&mut member, "s1", append);
    assert!(said(&mut member).is_empty());
    let saved = save(&mut member);
    assert_eq!((saved.promised, saved.entries.len()), (4, 1));
    assert!(matches!(said(&mut member)[..], [Message::Appended { epoch: 4, number: 1 }]));
}

/// A leader of this epoch, with what was on its disk.
fn leader(disk: Option<PersistedState>) -> (Member, u64) {
    let mut member = replica(disk);
    member.set_holds_lease(true);
    member.advance(NOW, &Default::default());
    save(&mut member);
    let messages = said(&mut member);
    let Some(Message::Prepare { epoch, .. }) = messages.first().cloned() else { panic!("{messages:?}") };
    let promise = Message::Promise { epoch, last: Position::default(), after: 0, entries: Vec::new() };
    tell(&mut member, "s1", promise);
    assert!(member.is_leader());
    (member, epoch)
}

/// One other's acknowledgement and the leader's own disk are a majority, one without the other is none.
#[test]
fn a_leader_s_own_entry_counts_once_it_is_on_disk() {
    let (mut member, epoch) = leader(None);
    tell(&mut member, "s1", Message::Appended { epoch, number: 1 });
    assert_eq!(member.revision().position.number, 0, "its own is not on disk yet");
    save(&mut member);
    assert_eq!(member.revision().position, Position { epoch, number: 1 });
}

/// Guards against an entry of an earlier epoch that a majority stores, which is counted as committed, and
/// which a leader with another entry of an epoch between replaces.
#[test]
fn an_entry_of_an_earlier_epoch_is_committed_by_one_of_its_own_alone() {
    let disk = PersistedState { promised: 1, entries: vec![entry(1, 1)], ..PersistedState::default() };
    let (mut member, epoch) = leader(Some(disk));
    save(&mut member);
    tell(&mut member, "s1", Message::Appended { epoch, number: 1 });
    assert_eq!(member.revision().position.number, 0, "an entry of epoch 1 is not committed by its copies");
    tell(&mut member, "s1", Message::Appended { epoch, number: 2 });
    assert_eq!(member.revision().position, Position { epoch, number: 2 });
}
