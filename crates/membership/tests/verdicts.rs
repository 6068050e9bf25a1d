//! Tests of verdicts, the messages that report a member as suspect or down. The tests check how a member
//! reacts to a verdict that a third member is down. They also check which members are notified if a received
//! list contains a member that the receiver has recorded as down.

use foca::{Member, State};
use meadowstream_membership::envelope::{PayloadKind, Sealer};
use meadowstream_membership::messages::{AntiEntropyMessage, AntiEntropyPayload};
use meadowstream_membership::simulation::SimulatedFleet;
use meadowstream_membership::{MemberId, MemberState, Membership, Settings};

const SECOND: u64 = 1_000_000_000;
const ME: usize = 0;
const SENDER: usize = 1;
const THIRD: usize = 2;

fn settings() -> Settings {
    Settings::lan("quiz", b"sixteen byte key")
}

fn id(member: usize, incarnation: u64) -> MemberId {
    MemberId { name: format!("s{member}"), addr: SimulatedFleet::addr(member), incarnation }
}

/// Creates a member that has recorded the two other members of the fleet, [`SENDER`] and [`THIRD`], as alive.
fn member_knowing_both() -> Membership {
    let mut membership = Membership::new(id(ME, 1), &settings(), 1, 0).expect("valid settings");
    membership.restore([id(SENDER, 1), id(THIRD, 1)].into_iter(), 0);
    membership.take_transmits();
    membership
}

fn sealer() -> Sealer {
    Sealer::new("quiz", b"sixteen byte key", settings().packet_max)
}

fn receive(membership: &mut Membership, sequence: u64, payload: AntiEntropyPayload, now: u64) {
    let message = AntiEntropyMessage { from: id(SENDER, 1), payload };
    let datagram =
        sealer().seal(PayloadKind::AntiEntropy, 1, sequence, &message.encode()).expect("short body");
    membership.handle_datagram(SimulatedFleet::addr(SENDER), &datagram, now).expect("authentic datagram");
}

fn state_of_third(membership: &mut Membership, now: u64) -> Option<MemberState> {
    let view = membership.observe_view(now);
    view.iter().find(|seen| seen.addr == SimulatedFleet::addr(THIRD)).map(|seen| seen.state)
}

/// Returns the addresses to which the member sends a verdict that the third member is down.
fn receivers_of_verdict_on_third(membership: &mut Membership) -> Vec<std::net::SocketAddr> {
    let is_verdict = |datagram: &[u8]| {
        let opened = sealer().open(datagram).ok().filter(|opened| opened.kind == PayloadKind::AntiEntropy);
        let message = opened.and_then(|opened| AntiEntropyMessage::decode(opened.body));
        let down = |member: &Member<MemberId>| {
            member.id().addr == SimulatedFleet::addr(THIRD) && member.state() == State::Down
        };
        message.is_some_and(
            |message| matches!(message.payload, AntiEntropyPayload::Verdict { member } if down(&member)),
        )
    };
    let transmits = membership.take_transmits().into_iter();
    transmits.filter(|transmit| is_verdict(&transmit.datagram)).map(|transmit| transmit.to).collect()
}

#[test]
fn a_member_that_another_declares_down_is_suspected_and_then_down_without_an_answer() {
    let mut membership = member_knowing_both();
    receive(
        &mut membership,
        1,
        AntiEntropyPayload::Verdict { member: Member::down(id(THIRD, 1)) },
        SECOND / 10,
    );
    assert_eq!(state_of_third(&mut membership, SECOND / 10), Some(MemberState::Suspect));
    // The suspect does not answer, so this member must declare it down. Suspicions are checked once per probe
    // period. One check records the suspicion. A later check declares the suspect down, once at least twice
    // the suspicion time has passed. Each of the two checks can be up to one probe period late.
    let end = SECOND / 10 + 2 * settings().suspicion() + 2 * settings().probe_period;
    (1..=end / (SECOND / 10)).for_each(|tenth| membership.handle_timeout(tenth * SECOND / 10));
    assert_ne!(state_of_third(&mut membership, end), Some(MemberState::Alive));
    assert_ne!(state_of_third(&mut membership, end), Some(MemberState::Suspect));
}

#[test]
fn a_verdict_on_an_earlier_incarnation_changes_nothing() {
    let mut membership = member_knowing_both();
    membership.restore(std::iter::once(id(THIRD, 2)), 0);
    receive(
        &mut membership,
        1,
        AntiEntropyPayload::Verdict { member: Member::down(id(THIRD, 1)) },
        SECOND / 10,
    );
    assert_eq!(state_of_third(&mut membership, SECOND / 10), Some(MemberState::Alive));
}

#[test]
fn another_member_s_suspicion_is_not_treated_as_a_verdict() {
    let mut membership = member_knowing_both();
    receive(
        &mut membership,
        1,
        AntiEntropyPayload::Verdict { member: Member::new(id(THIRD, 1), 0, State::Suspect) },
        SECOND / 10,
    );
    assert_eq!(state_of_third(&mut membership, SECOND / 10), Some(MemberState::Alive));
}

#[test]
fn a_list_with_a_member_recorded_as_down_is_answered_with_a_verdict_to_both() {
    let mut membership = member_knowing_both();
    let suspected = Member::new(id(THIRD, 1), 0, State::Suspect);
    receive(
        &mut membership,
        1,
        AntiEntropyPayload::Members { requested_buckets: 0, members: vec![suspected] },
        SECOND / 10,
    );
    let end = 2 * settings().suspicion() + 2 * settings().probe_period;
    (1..=end / (SECOND / 10)).for_each(|tenth| membership.handle_timeout(tenth * SECOND / 10));
    membership.take_transmits();
    let members = vec![Member::alive(id(THIRD, 1))];
    receive(&mut membership, 2, AntiEntropyPayload::Members { requested_buckets: 0, members }, end + SECOND);
    let receivers = receivers_of_verdict_on_third(&mut membership);
    assert!(receivers.contains(&SimulatedFleet::addr(SENDER)), "the sender is not notified: {receivers:?}");
    assert!(receivers.contains(&SimulatedFleet::addr(THIRD)), "the member is not notified: {receivers:?}");
}
