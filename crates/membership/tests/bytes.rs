//! The bound on what a member sends of its own in any second, where that is most: when parts of a fleet that
//! held each other down find each other again and every member takes a new incarnation.

use meadowstream_membership::digest::BUCKETS;
use meadowstream_membership::envelope::{PayloadKind, Sealer};
use meadowstream_membership::messages::{AntiEntropyMessage, AntiEntropyPayload};
use meadowstream_membership::simulation::{NetworkConditions, SimulatedFleet};
use meadowstream_membership::{MemberId, Membership, Settings};
use test_case::test_case;

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;
const MEMBERS: usize = 300;
/// Far less than the half fleets would take without a bound, about 30,000.
const BYTES_PER_SECOND: u64 = 12_000;
const CUT_SECONDS: u64 = 30;
/// Seconds after the heal in which each second is looked at; one view has to stand by then.
const LOOK_SECONDS: u64 = 40;

fn settings() -> Settings {
    let mut settings = Settings::lan("quiz", b"sixteen byte key");
    settings.expected_members = MEMBERS as u32;
    settings.bytes_per_second = BYTES_PER_SECOND;
    settings
}

fn halves_at_the_end_of_a_cut(seed: u64) -> SimulatedFleet {
    let net = NetworkConditions { loss: 0.0, delay: MILLISECOND, jitter: 2 * MILLISECOND, duplicate: 0.0 };
    let mut fleet = SimulatedFleet::new(MEMBERS, settings(), seed, net);
    fleet.start_with_complete_views();
    fleet.run_until(5 * SECOND);
    (MEMBERS / 2..MEMBERS).for_each(|member| fleet.assign_group(member, 1));
    fleet.cut_one_way(0, 1);
    fleet.cut_one_way(1, 0);
    let healed_at = fleet.now() + CUT_SECONDS * SECOND;
    fleet.run_until(healed_at);
    fleet
}

fn sent(fleet: &SimulatedFleet) -> Vec<u64> {
    let of = |member| fleet.member(member).map_or(0, |core| core.counts().sent_bytes);
    (0..MEMBERS).map(of).collect()
}

#[test_case(3)]
#[test_case(8)]
fn no_member_sends_more_than_its_bound_in_any_second_after_a_heal(seed: u64) {
    let mut fleet = halves_at_the_end_of_a_cut(seed);
    fleet.heal();
    // A death meanwhile is found out as well: probes do not wait for the budget.
    fleet.crash(MEMBERS - 1);
    let mut most = 0;
    for _ in 0..LOOK_SECONDS {
        let before = sent(&fleet);
        let next = fleet.now() + SECOND;
        fleet.run_until(next);
        let after = sent(&fleet);
        most = before.iter().zip(&after).take(MEMBERS - 1).map(|(from, to)| to - from).fold(most, u64::max);
    }
    let rest: Vec<usize> = (0..MEMBERS - 1).collect();
    assert!(fleet.views_agree(&rest), "no one view {LOOK_SECONDS} s after the heal");
    assert!(most <= settings().bytes_per_second, "{most} bytes in a second");
}

/// A member that knows many is asked for its view by several others at once.
#[test]
fn lists_of_members_wait_for_the_budget_and_are_sent_with_a_later_exchange() {
    let id = |member: usize| MemberId {
        name: format!("s{member}"),
        addr: SimulatedFleet::addr(member),
        incarnation: 1,
    };
    let mut asked = Membership::new(id(0), &settings(), 1, 0).expect("good settings");
    asked.restore((1..1_000).map(id), 0);
    // Its first comparison is over; the next one would come an announce period later.
    asked.handle_timeout(2 * SECOND);
    asked.take_transmits();
    let sealer = Sealer::new("quiz", b"sixteen byte key", settings().packet_max);
    let digest = AntiEntropyMessage {
        from: id(1),
        payload: AntiEntropyPayload::Digest { bucket_hashes: vec![0; BUCKETS] },
    }
    .encode();
    let send_digest = |asked: &mut Membership, now: u64, sequence: u64| {
        let datagram = sealer.seal(PayloadKind::AntiEntropy, 1, sequence, &digest).expect("short");
        asked.handle_datagram(SimulatedFleet::addr(1), &datagram, now).expect("authentic");
        asked.take_transmits().iter().map(|one| one.datagram.len() as u64).sum::<u64>()
    };
    let at_once: u64 = (1..=5).map(|sequence| send_digest(&mut asked, 4 * SECOND, sequence)).sum();
    // An eighth is left to probes, answers and verdicts.
    let most = BYTES_PER_SECOND - BYTES_PER_SECOND / 8;
    assert!(at_once > BYTES_PER_SECOND / 2 && at_once <= most, "{at_once} bytes at once");
    let later = send_digest(&mut asked, 4 * SECOND + 1_100 * MILLISECOND, 6);
    assert!(later > BYTES_PER_SECOND / 2, "{later} bytes a second later");
    // It compares again soon, since what it did not send is known to differ.
    asked.handle_timeout(4 * SECOND + 2 * settings().probe_period);
    let compares = |datagram: &[u8]| {
        let opened = sealer.open(datagram).expect("its own");
        let exchange =
            AntiEntropyMessage::decode(opened.body).filter(|_| opened.kind == PayloadKind::AntiEntropy);
        exchange.is_some_and(|exchange| matches!(exchange.payload, AntiEntropyPayload::Digest { .. }))
    };
    assert!(asked.take_transmits().iter().any(|one| compares(&one.datagram)), "no comparison soon");
}

#[test]
fn a_bound_below_four_packets_a_second_is_an_error() {
    let mut settings = settings();
    settings.bytes_per_second = 5_000;
    let fault = settings.check().expect_err("too little");
    assert!(fault.to_string().starts_with("bytes-a-second: 5848 at least"), "{fault}");
}
