//! What a member does that hears another hold a third one down, and what it says to whoever still hears one
//! that it holds down itself.

use foca::{Member, State};
use meadowstream_membership::envelope::{PayloadKind, Sealer};
use meadowstream_membership::messages::{AntiEntropyMessage, AntiEntropyPayload};
use meadowstream_membership::simulation::SimulatedFleet;
use meadowstream_membership::{MemberId, MemberState, Membership, Settings};

const SECOND: u64 = 1_000_000_000;
const ME: usize = 0;
const TELLER: usize = 1;
const THIRD: usize = 2;

fn settings() -> Settings {
    Settings::lan("quiz", b"sixteen byte key")
}

fn id(member: usize, incarnation: u64) -> MemberId {
    MemberId { name: format!("s{member}"), addr: SimulatedFleet::addr(member), incarnation }
}

/// A member that knows the two others, both alive.
fn knows_both() -> Membership {
    let mut core = Membership::new(id(ME, 1), &settings(), 1, 0).expect("good settings");
    core.restore([id(TELLER, 1), id(THIRD, 1)].into_iter(), 0);
    core.take_transmits();
    core
}

fn sealer() -> Sealer {
    Sealer::new("quiz", b"sixteen byte key", settings().packet_max)
}

fn hear(core: &mut Membership, sequence: u64, payload: AntiEntropyPayload, now: u64) {
    let said = AntiEntropyMessage { from: id(TELLER, 1), payload };
    let datagram = sealer().seal(PayloadKind::AntiEntropy, 1, sequence, &said.encode()).expect("short");
    core.handle_datagram(SimulatedFleet::addr(TELLER), &datagram, now).expect("authentic");
}

fn standing(core: &mut Membership, now: u64) -> Option<MemberState> {
    let view = core.view(now);
    view.iter().find(|seen| seen.addr == SimulatedFleet::addr(THIRD)).map(|seen| seen.state)
}

/// To whom it says that it holds the third one down.
fn told_of_the_third(core: &mut Membership) -> Vec<std::net::SocketAddr> {
    let says = |datagram: &[u8]| {
        let opened = sealer().open(datagram).ok().filter(|opened| opened.kind == PayloadKind::AntiEntropy);
        let exchange = opened.and_then(|opened| AntiEntropyMessage::decode(opened.body));
        let down = |member: &Member<MemberId>| {
            member.id().addr == SimulatedFleet::addr(THIRD) && member.state() == State::Down
        };
        exchange.is_some_and(
            |exchange| matches!(exchange.payload, AntiEntropyPayload::Verdict { member } if down(&member)),
        )
    };
    core.take_transmits().into_iter().filter(|one| says(&one.datagram)).map(|one| one.to).collect()
}

#[test]
fn one_that_another_holds_down_is_suspected_and_ends_without_an_answer() {
    let mut core = knows_both();
    hear(&mut core, 1, AntiEntropyPayload::Verdict { member: Member::down(id(THIRD, 1)) }, SECOND / 10);
    assert_eq!(standing(&mut core, SECOND / 10), Some(MemberState::Suspect));
    // Nothing comes of it: it is down within twice the suspicion and the period in which that is looked at.
    let end = SECOND / 10 + 2 * settings().suspicion() + 2 * settings().probe_period;
    (1..=end / (SECOND / 10)).for_each(|tenth| core.handle_timeout(tenth * SECOND / 10));
    assert_ne!(standing(&mut core, end), Some(MemberState::Alive));
    assert_ne!(standing(&mut core, end), Some(MemberState::Suspect));
}

#[test]
fn a_verdict_on_an_incarnation_that_is_no_more_changes_nothing() {
    let mut core = knows_both();
    core.restore(std::iter::once(id(THIRD, 2)), 0);
    hear(&mut core, 1, AntiEntropyPayload::Verdict { member: Member::down(id(THIRD, 1)) }, SECOND / 10);
    assert_eq!(standing(&mut core, SECOND / 10), Some(MemberState::Alive));
}

#[test]
fn a_suspicion_of_another_is_not_taken_as_a_verdict() {
    let mut core = knows_both();
    hear(
        &mut core,
        1,
        AntiEntropyPayload::Verdict { member: Member::new(id(THIRD, 1), 0, State::Suspect) },
        SECOND / 10,
    );
    assert_eq!(standing(&mut core, SECOND / 10), Some(MemberState::Alive));
}

#[test]
fn whoever_still_hears_one_that_is_held_down_is_told_so() {
    let mut core = knows_both();
    let suspected = Member::new(id(THIRD, 1), 0, State::Suspect);
    hear(
        &mut core,
        1,
        AntiEntropyPayload::Members { requested_buckets: 0, members: vec![suspected] },
        SECOND / 10,
    );
    let end = 2 * settings().suspicion() + 2 * settings().probe_period;
    (1..=end / (SECOND / 10)).for_each(|tenth| core.handle_timeout(tenth * SECOND / 10));
    core.take_transmits();
    let heard = vec![Member::alive(id(THIRD, 1))];
    hear(&mut core, 2, AntiEntropyPayload::Members { requested_buckets: 0, members: heard }, end + SECOND);
    let told = told_of_the_third(&mut core);
    assert!(told.contains(&SimulatedFleet::addr(TELLER)), "the one that hears it: {told:?}");
    assert!(told.contains(&SimulatedFleet::addr(THIRD)), "the one that is held down: {told:?}");
}
