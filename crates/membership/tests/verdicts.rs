//! What a member does that hears another hold a third one down, and what it says to whoever still hears one
//! that it holds down itself.

use foca::{Member, State};
use meadowstream_membership::envelope::{Kind, Sealer};
use meadowstream_membership::exchange::{Exchange, What};
use meadowstream_membership::sim::Fleet;
use meadowstream_membership::{Id, Membership, Settings, Standing};

const SECOND: u64 = 1_000_000_000;
const ME: usize = 0;
const TELLER: usize = 1;
const THIRD: usize = 2;

fn settings() -> Settings {
    Settings::lan("quiz", b"sixteen byte key")
}

fn id(member: usize, incarnation: u64) -> Id {
    Id { name: format!("s{member}"), addr: Fleet::addr(member), incarnation }
}

/// A member that knows the two others, both alive.
fn knows_both() -> Membership {
    let mut core = Membership::new(id(ME, 1), &settings(), 1, 0).expect("good settings");
    core.restore([id(TELLER, 1), id(THIRD, 1)].into_iter(), 0);
    core.outgoing();
    core
}

fn sealer() -> Sealer {
    Sealer::new("quiz", b"sixteen byte key", settings().packet_max)
}

fn hear(core: &mut Membership, sequence: u64, what: What, now: u64) {
    let said = Exchange { from: id(TELLER, 1), what };
    let datagram = sealer().seal(Kind::Exchange, 1, sequence, &said.encode()).expect("short");
    core.receive(Fleet::addr(TELLER), &datagram, now).expect("authentic");
}

fn standing(core: &mut Membership, now: u64) -> Option<Standing> {
    let view = core.view(now);
    view.iter().find(|seen| seen.addr == Fleet::addr(THIRD)).map(|seen| seen.state)
}

/// To whom it says that it holds the third one down.
fn told_of_the_third(core: &mut Membership) -> Vec<std::net::SocketAddr> {
    let says = |datagram: &[u8]| {
        let opened = sealer().open(datagram).ok().filter(|opened| opened.kind == Kind::Exchange);
        let exchange = opened.and_then(|opened| Exchange::decode(opened.body));
        let down =
            |member: &Member<Id>| member.id().addr == Fleet::addr(THIRD) && member.state() == State::Down;
        exchange.is_some_and(|exchange| matches!(exchange.what, What::Held(member) if down(&member)))
    };
    core.outgoing().into_iter().filter(|(_, datagram)| says(datagram)).map(|(to, _)| to).collect()
}

#[test]
fn one_that_another_holds_down_is_suspected_and_ends_without_an_answer() {
    let mut core = knows_both();
    hear(&mut core, 1, What::Held(Member::down(id(THIRD, 1))), SECOND / 10);
    assert_eq!(standing(&mut core, SECOND / 10), Some(Standing::Suspect));
    // Nothing comes of it: it is down within twice the suspicion and the period in which that is looked at.
    let end = SECOND / 10 + 2 * settings().suspicion() + 2 * settings().probe_period;
    (1..=end / (SECOND / 10)).for_each(|tenth| core.advance(tenth * SECOND / 10));
    assert_ne!(standing(&mut core, end), Some(Standing::Alive));
    assert_ne!(standing(&mut core, end), Some(Standing::Suspect));
}

#[test]
fn a_verdict_on_an_incarnation_that_is_no_more_changes_nothing() {
    let mut core = knows_both();
    core.restore(std::iter::once(id(THIRD, 2)), 0);
    hear(&mut core, 1, What::Held(Member::down(id(THIRD, 1))), SECOND / 10);
    assert_eq!(standing(&mut core, SECOND / 10), Some(Standing::Alive));
}

#[test]
fn a_suspicion_of_another_is_not_taken_as_a_verdict() {
    let mut core = knows_both();
    hear(&mut core, 1, What::Held(Member::new(id(THIRD, 1), 0, State::Suspect)), SECOND / 10);
    assert_eq!(standing(&mut core, SECOND / 10), Some(Standing::Alive));
}

#[test]
fn whoever_still_hears_one_that_is_held_down_is_told_so() {
    let mut core = knows_both();
    let suspected = Member::new(id(THIRD, 1), 0, State::Suspect);
    hear(&mut core, 1, What::Members { want: 0, members: vec![suspected] }, SECOND / 10);
    let end = 2 * settings().suspicion() + 2 * settings().probe_period;
    (1..=end / (SECOND / 10)).for_each(|tenth| core.advance(tenth * SECOND / 10));
    core.outgoing();
    let heard = vec![Member::alive(id(THIRD, 1))];
    hear(&mut core, 2, What::Members { want: 0, members: heard }, end + SECOND);
    let told = told_of_the_third(&mut core);
    assert!(told.contains(&Fleet::addr(TELLER)), "the one that hears it: {told:?}");
    assert!(told.contains(&Fleet::addr(THIRD)), "the one that is held down: {told:?}");
}
