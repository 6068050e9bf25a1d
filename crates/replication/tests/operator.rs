//! Tests of operators' requests to a fleet with a single replica, and of the leader's answers. The texts in
//! the answers must be the same as in release 0.2.0.

use meadowstream_replication::change::Change;
use meadowstream_replication::member::{Member, Settings};
use meadowstream_replication::message::{
    LaggingSummary, Location, Message, Rejection, Report, RequestId, RequestOutcome,
};
use std::sync::Arc;
use test_case::test_case;

const NOW: u64 = 1_700_000_000_000_000_000;
const OPERATOR: &str = "publish-1";

/// Writes the member's state to disk, as its host does. Returns the messages that the member then sends to
/// the operator.
fn answers(member: &mut Member) -> Vec<Message> {
    while let Some(state) = member.unsaved_state() {
        member.on_persisted(&state, NOW);
    }
    let outgoing = member.take_outgoing().into_iter();
    let to_operator = outgoing.filter(|outgoing| outgoing.to == OPERATOR);
    to_operator
        .map(|outgoing| Message::decode(&outgoing.body).expect("a message within its bounds"))
        .collect()
}

/// Creates the leader of a fleet with three members: this one replica, a server, and an operator's command.
fn leader() -> Member {
    let settings = Settings::new(Location::default(), vec!["c0".to_string()]);
    let mut member = Member::new("c0", settings, 1, NOW, None).unwrap();
    member.set_holds_lease(true);
    let alive = ["c0", OPERATOR, "s1"].map(str::to_string).to_vec();
    member.advance(NOW, &Arc::new(alive));
    assert!(answers(&mut member).iter().all(|message| *message == Message::PollReport));
    assert!(member.is_leader());
    member
}

fn request(number: u64) -> RequestId {
    RequestId { from: OPERATOR.to_string(), number }
}

/// Delivers a message from the operator to the member. Returns the member's answers.
fn send_request(member: &mut Member, message: &Message) -> Vec<Message> {
    member.receive(NOW, OPERATOR, &message.encode());
    answers(member)
}

fn submit(member: &mut Member, number: u64, key: &str, value: &str) -> Vec<Message> {
    let changes = vec![Change::set(key, value)];
    send_request(member, &Message::Submit { request: request(number), part: 0, parts: 1, changes })
}

fn committed(number: u64, at: u64) -> Vec<Message> {
    let outcome = RequestOutcome::Committed { number: at };
    vec![Message::Submitted { request: request(number), outcome }]
}

fn rejected(number: u64, reason: &str) -> Vec<Message> {
    let outcome = RequestOutcome::Rejected { reason: reason.to_string() };
    vec![Message::Submitted { request: request(number), outcome }]
}

/// The first entry in the log is appended by the leader when it is elected. The operator's first change
/// therefore has number 2.
#[test]
fn a_change_is_answered_once_it_is_committed_and_a_repetition_commits_nothing() {
    let mut member = leader();
    assert_eq!(submit(&mut member, 1, "k", "1"), committed(1, 2));
    assert_eq!(submit(&mut member, 1, "k", "1"), committed(1, 2));
    assert_eq!(member.revision().number(), 2);
    assert_eq!(member.log().state().get("k"), Some("1"));
}

#[test]
fn a_change_in_parts_is_committed_once_all_parts_are_received() {
    let mut member = leader();
    let part = |part, key| Message::Submit {
        request: request(1),
        part,
        parts: 2,
        changes: vec![Change::set(key, "1")],
    };
    assert_eq!(send_request(&mut member, &part(1, "b")), []);
    assert_eq!(send_request(&mut member, &part(2, "c")), [], "a third of two parts is ignored");
    assert_eq!(send_request(&mut member, &part(0, "a")), committed(1, 2));
    assert_eq!(member.log().state().iter().collect::<Vec<_>>(), [("a", "1"), ("b", "1")]);
}

#[test]
fn a_revert_restores_the_values_before_the_change() {
    let mut member = leader();
    submit(&mut member, 1, "k", "1");
    submit(&mut member, 2, "k", "2");
    let revert = Message::Revert { request: request(3), number: 3 };
    assert_eq!(send_request(&mut member, &revert), committed(3, 4));
    assert_eq!(member.log().state().get("k"), Some("1"));
}

/// Guards against a status that says that all members go by a revision and does not name a member that is
/// away and lacks it.
#[test]
fn the_status_names_a_member_that_is_away_and_lacks_the_newest_revision() {
    let mut member = leader();
    submit(&mut member, 1, "k", "1");
    let report = Report { applied: 2, committed: 2, rejected: None };
    member.receive(NOW, "s1", &Message::Report { report, location: Location::default() }.encode());
    let alive = Arc::new(["c0", OPERATOR].map(str::to_string).to_vec());
    // It is forgotten an hour after it was first seen to be away.
    for (number, seconds, away) in [(2, 1, true), (3, 3600, true), (4, 3601, false)] {
        member.advance(NOW + seconds * 1_000_000_000, &alive);
        submit(&mut member, number, "k", &number.to_string());
        let answer = send_request(&mut member, &Message::PollStatus { request: request(number + 100) });
        let Some(Message::Status { members: 0, applied: 0, lagging, .. }) = answer.first() else {
            panic!("{answer:?}")
        };
        let names: Vec<_> = lagging.iter().map(|member| (member.name.as_str(), member.applied)).collect();
        assert_eq!(names, if away { vec![("s1", 2)] } else { vec![] });
        assert!(lagging.iter().all(LaggingSummary::is_away));
    }
}

/// Guards against a leader that names itself as away: it keeps its own report, and its host does not list it
/// among the members that are alive.
#[test]
fn the_status_does_not_name_the_leader_itself() {
    let mut member = leader();
    member.on_applied(1, NOW);
    member.advance(NOW + 1_000_000_000, &Arc::new(vec![OPERATOR.to_string()]));
    submit(&mut member, 1, "k", "1");
    let answer = send_request(&mut member, &Message::PollStatus { request: request(101) });
    let Some(Message::Status { lagging, .. }) = answer.first() else { panic!("{answer:?}") };
    assert_eq!(*lagging, []);
}

#[test_case(99, "no change that is still held ends at 99"; "not held")]
#[test_case(2, "\"k\" was changed again by 3"; "changed since")]
fn a_revert_that_is_not_possible_is_answered_with_the_reason(number: u64, reason: &str) {
    let mut member = leader();
    submit(&mut member, 1, "k", "1");
    submit(&mut member, 2, "k", "2");
    let revert = Message::Revert { request: request(3), number };
    assert_eq!(send_request(&mut member, &revert), rejected(3, reason));
    assert_eq!(send_request(&mut member, &revert), rejected(3, reason));
    assert_eq!(member.revision().number(), 3);
}

/// The status must count the server `s1`, which has sent a report. It must not count the operator's command,
/// which is a member but applies no revisions.
#[test]
fn a_status_lists_the_lagging_members_with_the_start_of_their_reason() {
    let mut member = leader();
    submit(&mut member, 1, "k", "1");
    let reason = "a reason that is longer than a status shows".to_string();
    let rejection = Some(Rejection { number: 2, reason });
    let report = Report { applied: 1, committed: 2, rejected: rejection };
    member.receive(NOW, "s1", &Message::Report { report, location: Location::default() }.encode());
    let status = send_request(&mut member, &Message::PollStatus { request: request(2) });
    let [Message::Status { number: 2, members: 1, applied: 0, lagging, .. }] = &status[..] else {
        panic!("{status:?}")
    };
    assert_eq!((lagging[0].name.as_str(), lagging[0].applied), ("s1", 1));
    assert_eq!(lagging[0].reason, "a reason that is longer than a s");
}

#[test]
fn a_replica_that_is_not_the_leader_answers_with_the_last_known_leader() {
    let mut member = leader();
    member.set_holds_lease(false);
    let expected = Message::NotLeader { request: request(1), leader: None };
    assert_eq!(submit(&mut member, 1, "k", "1"), [expected]);
    member.receive(NOW, "c1", &Message::PollReport.encode());
    let expected = Message::NotLeader { request: request(2), leader: Some("c1".to_string()) };
    assert_eq!(submit(&mut member, 2, "k", "1"), [expected]);
}
