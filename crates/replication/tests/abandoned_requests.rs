//! Tests of operators' commands that end before all parts of their changes have arrived. The parts that have
//! arrived must not keep later changes from being published.

use meadowstream_replication::change::Change;
use meadowstream_replication::member::{Member, Settings};
use meadowstream_replication::message::{Location, Message, RequestId, RequestOutcome};
use meadowstream_replication::simulation::{Delay, Fleet, Layout};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::sync::Arc;
use test_case::test_case;

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;
const REPLICAS: usize = 3;
/// Node from which operators send their requests.
const OPERATOR: usize = 3;
/// Number of parts of a large change.
const PARTS: u32 = 20;
/// Interval at which an operator's command sends its request again.
const REPEAT_INTERVAL: u64 = 300 * MS;
/// Time within which a change must be committed: the default time limit of an operator's command.
const COMMIT_WITHIN: u64 = 10 * S;
const START: u64 = 1_700_000_000_000_000_000;

fn layout() -> Layout {
    Layout {
        size: OPERATOR + 1,
        replicas: REPLICAS,
        location: |_| Location::default(),
        delay: |_, _| Delay { least: MS, jitter: MS },
        loss: 0.0,
        duplicate: 0.0,
        view_lag: 2 * S,
        apply_time: 5 * MS,
        pull_period: S / 2,
    }
}

fn request(command: usize) -> RequestId {
    RequestId { from: format!("publish-{command}"), number: 1 }
}

fn part(command: usize, part: u32, parts: u32) -> Message {
    let changes = vec![Change::set(&format!("command-{command}/{part}"), "1")];
    Message::Submit { request: request(command), part, parts, changes }
}

/// Commands of operators, whose datagrams may be lost.
struct Operators {
    fleet: Fleet,
    rng: ChaCha8Rng,
    commands: usize,
}

impl Operators {
    fn new(seed: u64) -> Operators {
        let mut fleet = Fleet::started(layout(), seed);
        fleet.run_for(5 * S);
        assert!(fleet.leader().is_some());
        Operators { fleet, rng: ChaCha8Rng::seed_from_u64(seed), commands: 0 }
    }

    /// Returns true with the probability `percent` / 100.
    fn draw(&mut self, percent: u64) -> bool {
        self.rng.next_u64() % 100 < percent
    }

    /// Sends the parts of a command's change to the leader, of which `loss` percent are lost.
    fn send(&mut self, command: usize, parts: u32, loss: u64) {
        for index in 0..parts {
            if !self.draw(loss)
                && let Some(leader) = self.fleet.leader()
            {
                self.fleet.inject(leader, OPERATOR, part(command, index, parts).encode());
            }
        }
    }

    /// Runs a command that ends after a random number of repetitions, at the latest after a second.
    fn run_short_command(&mut self) {
        self.commands += 1;
        for _ in 0..1 + self.rng.next_u64() % 3 {
            self.send(self.commands, PARTS, 20);
            self.fleet.run_for(REPEAT_INTERVAL);
        }
    }

    /// Runs a command with a small change until the change is committed. Returns the time that this takes.
    fn publish_small_change(&mut self) -> Option<u64> {
        self.commands += 1;
        let (command, started) = (self.commands, self.fleet.now());
        let key = format!("command-{command}/0");
        while self.fleet.now() - started < COMMIT_WITHIN {
            self.send(command, 1, 0);
            self.fleet.run_for(REPEAT_INTERVAL);
            let leader = self.fleet.leader().and_then(|leader| self.fleet.member(leader));
            if leader.is_some_and(|leader| leader.log().state().get(&key).is_some()) {
                return Some(self.fleet.now() - started);
            }
        }
        None
    }
}

/// Case 10 of the second review: the leader kept the parts of abandoned commands for good. With sixteen of
/// them, it passed over every new change without an answer.
#[test_case(31)]
#[test_case(32)]
#[test_case(33)]
fn a_small_change_is_committed_after_many_commands_that_ended_between_parts(seed: u64) {
    let mut operators = Operators::new(seed);
    for command in 0..200 {
        operators.run_short_command();
        if command % 70 == 10 {
            // The lease moves to another replica, and later back.
            let leader = operators.fleet.leader().expect("a leader");
            operators.fleet.crash(leader);
            operators.fleet.run_for(6 * S);
            operators.fleet.start(leader);
        }
    }
    operators.fleet.run_for(5 * S);
    let taken = operators.publish_small_change();
    assert!(taken.is_some(), "the change is not committed within {} s", COMMIT_WITHIN / S);
    println!("committed after {} ms", taken.unwrap_or(0) / MS);
}

/// A member that is the only replica, and the leader.
fn leader() -> Member {
    let settings = Settings::new(Location::default(), vec!["c0".to_string()]);
    let mut member = Member::new("c0", settings, 1, START, None).unwrap();
    member.set_holds_lease(true);
    member.advance(START, &Arc::new(vec!["c0".to_string()]));
    answers(&mut member, START);
    assert!(member.is_leader());
    member
}

/// Writes the member's state to disk, as its host does. Returns the outcomes that the member then sends.
fn answers(member: &mut Member, now: u64) -> Vec<(RequestId, RequestOutcome)> {
    while let Some(state) = member.unsaved_state() {
        member.on_persisted(&state, now);
    }
    let messages = member.take_outgoing().into_iter().filter_map(|outgoing| Message::decode(&outgoing.body));
    let outcome = |message| match message {
        Message::Submitted { request, outcome } => Some((request, outcome)),
        _ => None,
    };
    messages.filter_map(outcome).collect()
}

fn send(member: &mut Member, message: &Message, now: u64) -> Vec<(RequestId, RequestOutcome)> {
    member.receive(now, "operator", &message.encode());
    answers(member, now)
}

fn is_committed(outcomes: &[(RequestId, RequestOutcome)]) -> bool {
    matches!(outcomes, [(_, RequestOutcome::Committed { .. })])
}

/// While too many commands send parts at the same time, a further command must be told so. It must not wait
/// for its time limit in vain, and it may repeat its request later.
#[test]
fn a_change_that_finds_no_place_is_rejected_at_once_and_accepted_later() {
    let mut member = leader();
    for command in 0..16 {
        assert_eq!(send(&mut member, &part(command, 0, 2), START), []);
    }
    let reason = "too many changes are being received: try again".to_string();
    let rejected = [(request(16), RequestOutcome::Rejected { reason })];
    assert_eq!(send(&mut member, &part(16, 0, 2), START), rejected);
    assert_eq!(send(&mut member, &part(16, 1, 2), START), [], "one answer for all parts");
    assert_eq!(member.counts.incomplete_rejected, 2);
    // The first command completes its change, which frees a place.
    assert!(is_committed(&send(&mut member, &part(0, 1, 2), START)));
    assert_eq!(send(&mut member, &part(16, 0, 2), START), []);
    assert!(is_committed(&send(&mut member, &part(16, 1, 2), START)));
}

/// An operator's command sends all parts again several times in three seconds, unless it has ended.
#[test]
fn a_change_is_given_up_three_seconds_after_its_last_part() {
    let mut member = leader();
    for command in 0..16 {
        send(&mut member, &part(command, 0, 3), START);
    }
    let before = START + 3 * S - MS;
    send(&mut member, &part(0, 1, 3), before);
    let after = START + 3 * S;
    assert!(is_committed(&send(&mut member, &part(16, 0, 1), after)), "fifteen changes are given up");
    assert!(is_committed(&send(&mut member, &part(0, 2, 3), after)), "the first one is not");
}

#[test]
fn a_further_request_of_an_operator_ends_its_incomplete_one() {
    let mut member = leader();
    let submit = |number, part, parts| Message::Submit {
        request: RequestId { from: "publish-1".to_string(), number },
        part,
        parts,
        changes: vec![Change::set(&format!("{number}/{part}"), "1")],
    };
    for number in 1..=40 {
        assert_eq!(send(&mut member, &submit(number, 0, 2), START), []);
    }
    assert!(is_committed(&send(&mut member, &submit(41, 0, 1), START)));
}

/// The parts that a leader has received are of no use once another replica leads.
#[test]
fn incomplete_changes_end_with_the_leadership() {
    let mut member = leader();
    for command in 0..16 {
        send(&mut member, &part(command, 0, 2), START);
    }
    let alive = Arc::new(vec!["c0".to_string()]);
    member.set_holds_lease(false);
    member.advance(START, &alive);
    member.set_holds_lease(true);
    member.advance(START, &alive);
    answers(&mut member, START);
    assert!(is_committed(&send(&mut member, &part(16, 0, 1), START)));
}
