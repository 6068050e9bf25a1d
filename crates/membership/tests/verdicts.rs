//! Verdicts: what a member does when another declares a third one down, and whom it notifies when another
//! lists a member that it holds down itself.

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

/// A member that knows the two others, both alive.
fn knowing_both() -> Membership {
    let mut core = Membership::new(id(ME, 1), &settings(), 1, 0).expect("good settings");
    core.restore([id(SENDER, 1), id(THIRD, 1)].into_iter(), 0);
    core.take_transmits();
    core
}

fn sealer() -> Sealer {
    Sealer::new("quiz", b"sixteen byte key", settings().packet_max)
}

fn receive(core: &mut Membership, sequence: u64, payload: AntiEntropyPayload, now: u64) {
    let message = AntiEntropyMessage { from: id(SENDER, 1), payload };
    let datagram = sealer().seal(PayloadKind::AntiEntropy, 1, sequence, &message.encode()).expect("short");
    core.handle_datagram(SimulatedFleet::addr(SENDER), &datagram, now).expect("authentic");
}

fn state_of_third(core: &mut Membership, now: u64) -> Option<MemberState> {
    let view = core.observe_view(now);
    view.iter().find(|seen| seen.addr == SimulatedFleet::addr(THIRD)).map(|seen| seen.state)
}

/// Addresses to which it sends the verdict that the third member is down.
fn notified_of_the_third(core: &mut Membership) -> Vec<std::net::SocketAddr> {
    let is_verdict = |datagram: &[u8]| {
        let opened = sealer().open(datagram).ok().filter(|opened| opened.kind == PayloadKind::AntiEntropy);
        let exchange = opened.and_then(|opened| AntiEntropyMessage::decode(opened.body));
        let down = |member: &Member<MemberId>| {
            member.id().addr == SimulatedFleet::addr(THIRD) && member.state() == State::Down
        };
        exchange.is_some_and(
            |exchange| matches!(exchange.payload, AntiEntropyPayload::Verdict { member } if down(&member)),
        )
    };
    core.take_transmits().into_iter().filter(|one| is_verdict(&one.datagram)).map(|one| one.to).collect()
}

#[test]
fn a_member_that_another_declares_down_is_suspected_and_goes_down_without_an_answer() {
    let mut core = knowing_both();
    receive(&mut core, 1, AntiEntropyPayload::Verdict { member: Member::down(id(THIRD, 1)) }, SECOND / 10);
    assert_eq!(state_of_third(&mut core, SECOND / 10), Some(MemberState::Suspect));
    // Nothing comes of it: it is down within twice the suspicion and the period in which that is looked at.
    let end = SECOND / 10 + 2 * settings().suspicion() + 2 * settings().probe_period;
    (1..=end / (SECOND / 10)).for_each(|tenth| core.handle_timeout(tenth * SECOND / 10));
    assert_ne!(state_of_third(&mut core, end), Some(MemberState::Alive));
    assert_ne!(state_of_third(&mut core, end), Some(MemberState::Suspect));
}

#[test]
fn a_verdict_on_an_earlier_incarnation_changes_nothing() {
    let mut core = knowing_both();
    core.restore(std::iter::once(id(THIRD, 2)), 0);
    receive(&mut core, 1, AntiEntropyPayload::Verdict { member: Member::down(id(THIRD, 1)) }, SECOND / 10);
    assert_eq!(state_of_third(&mut core, SECOND / 10), Some(MemberState::Alive));
}

#[test]
fn a_suspicion_of_another_is_not_taken_as_a_verdict() {
    let mut core = knowing_both();
    receive(
        &mut core,
        1,
        AntiEntropyPayload::Verdict { member: Member::new(id(THIRD, 1), 0, State::Suspect) },
        SECOND / 10,
    );
    assert_eq!(state_of_third(&mut core, SECOND / 10), Some(MemberState::Alive));
}

#[test]
fn a_list_with_a_member_held_down_is_answered_by_a_verdict_to_both() {
    let mut core = knowing_both();
    let suspected = Member::new(id(THIRD, 1), 0, State::Suspect);
    receive(
        &mut core,
        1,
        AntiEntropyPayload::Members { requested_buckets: 0, members: vec![suspected] },
        SECOND / 10,
    );
    let end = 2 * settings().suspicion() + 2 * settings().probe_period;
    (1..=end / (SECOND / 10)).for_each(|tenth| core.handle_timeout(tenth * SECOND / 10));
    core.take_transmits();
    let members = vec![Member::alive(id(THIRD, 1))];
    receive(&mut core, 2, AntiEntropyPayload::Members { requested_buckets: 0, members }, end + SECOND);
    let notified = notified_of_the_third(&mut core);
    assert!(notified.contains(&SimulatedFleet::addr(SENDER)), "the sender of the list: {notified:?}");
    assert!(notified.contains(&SimulatedFleet::addr(THIRD)), "the member held down: {notified:?}");
}
