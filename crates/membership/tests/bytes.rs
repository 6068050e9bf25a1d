//! The limit on the bytes that a member sends per second, in the situation with the most traffic: a partition
//! heals, and every member takes a new incarnation because the other part of the fleet had declared it down.

use meadowstream_membership::digest::BUCKETS;
use meadowstream_membership::envelope::{PayloadKind, Sealer};
use meadowstream_membership::messages::{AntiEntropyMessage, AntiEntropyPayload};
use meadowstream_membership::simulation::{NetworkConditions, SimulatedFleet};
use meadowstream_membership::{MemberId, Membership, Settings};
use test_case::test_case;

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;
const MEMBERS: usize = 300;
/// Much less than the halves of the fleet would send without a limit, which is about 30,000.
const BYTES_PER_SECOND: u64 = 12_000;
const PARTITION_SECONDS: u64 = 30;
/// Number of seconds after the heal in which the traffic of each second is checked. The views must agree by
/// then.
const CHECKED_SECONDS: u64 = 40;

fn settings() -> Settings {
    let mut settings = Settings::lan("quiz", b"sixteen byte key");
    settings.expected_members = MEMBERS as u32;
    settings.bytes_per_second = BYTES_PER_SECOND;
    settings
}

/// A fleet whose halves have been partitioned for [`PARTITION_SECONDS`].
fn partitioned_fleet(seed: u64) -> SimulatedFleet {
    let net = NetworkConditions { loss: 0.0, delay: MILLISECOND, jitter: 2 * MILLISECOND, duplicate: 0.0 };
    let mut fleet = SimulatedFleet::new(MEMBERS, settings(), seed, net);
    fleet.start_with_complete_views();
    fleet.run_until(5 * SECOND);
    (MEMBERS / 2..MEMBERS).for_each(|member| fleet.assign_group(member, 1));
    fleet.cut_one_way(0, 1);
    fleet.cut_one_way(1, 0);
    let heals_at = fleet.now() + PARTITION_SECONDS * SECOND;
    fleet.run_until(heals_at);
    fleet
}

/// Bytes that each member has sent since the start.
fn sent_bytes(fleet: &SimulatedFleet) -> Vec<u64> {
    let of_member = |member| fleet.member(member).map_or(0, |membership| membership.counts().sent_bytes);
    (0..MEMBERS).map(of_member).collect()
}

#[test_case(3)]
#[test_case(8)]
fn no_member_exceeds_its_byte_limit_in_any_second_after_a_heal(seed: u64) {
    let mut fleet = partitioned_fleet(seed);
    fleet.heal();
    // A crash at the same time is detected too, since probes are not postponed when the budget is used up.
    fleet.crash(MEMBERS - 1);
    let mut most = 0;
    for _ in 0..CHECKED_SECONDS {
        let before = sent_bytes(&fleet);
        let next = fleet.now() + SECOND;
        fleet.run_until(next);
        let after = sent_bytes(&fleet);
        most = before.iter().zip(&after).take(MEMBERS - 1).map(|(from, to)| to - from).fold(most, u64::max);
    }
    let rest: Vec<usize> = (0..MEMBERS - 1).collect();
    assert!(fleet.views_agree(&rest), "views do not agree {CHECKED_SECONDS} s after the heal");
    assert!(most <= settings().bytes_per_second, "a member sent {most} bytes in a second");
}

/// A member with a large view receives digests from several members at once and must answer each with its
/// view.
#[test]
fn lists_of_members_beyond_the_budget_are_sent_in_a_later_exchange() {
    let id = |member: usize| MemberId {
        name: format!("s{member}"),
        addr: SimulatedFleet::addr(member),
        incarnation: 1,
    };
    let mut membership = Membership::new(id(0), &settings(), 1, 0).expect("valid settings");
    membership.restore((1..1_000).map(id), 0);
    // After the first comparison of views, the next one is due an announce period later.
    membership.handle_timeout(2 * SECOND);
    membership.take_transmits();
    let sealer = Sealer::new("quiz", b"sixteen byte key", settings().packet_max);
    let digest = AntiEntropyMessage {
        from: id(1),
        payload: AntiEntropyPayload::Digest { bucket_hashes: vec![0; BUCKETS] },
    }
    .encode();
    // Delivers a digest and returns the number of bytes sent in answer.
    let send_digest = |membership: &mut Membership, now: u64, sequence: u64| {
        let datagram = sealer.seal(PayloadKind::AntiEntropy, 1, sequence, &digest).expect("short body");
        membership.handle_datagram(SimulatedFleet::addr(1), &datagram, now).expect("authentic datagram");
        membership.take_transmits().iter().map(|transmit| transmit.datagram.len() as u64).sum::<u64>()
    };
    let at_once: u64 = (1..=5).map(|sequence| send_digest(&mut membership, 4 * SECOND, sequence)).sum();
    // An eighth of the budget is reserved for probes, answers and verdicts.
    let most = BYTES_PER_SECOND - BYTES_PER_SECOND / 8;
    assert!(at_once > BYTES_PER_SECOND / 2 && at_once <= most, "{at_once} bytes at once");
    let later = send_digest(&mut membership, 4 * SECOND + 1_100 * MILLISECOND, 6);
    assert!(later > BYTES_PER_SECOND / 2, "{later} bytes one second later");
    // The member compares its view again soon, since the views still differ in the members that it did not
    // send.
    membership.handle_timeout(4 * SECOND + 2 * settings().probe_period);
    let is_digest = |datagram: &[u8]| {
        let opened = sealer.open(datagram).expect("a datagram of this fleet");
        let message =
            AntiEntropyMessage::decode(opened.body).filter(|_| opened.kind == PayloadKind::AntiEntropy);
        message.is_some_and(|message| matches!(message.payload, AntiEntropyPayload::Digest { .. }))
    };
    let transmits = membership.take_transmits();
    assert!(transmits.iter().any(|transmit| is_digest(&transmit.datagram)), "no early comparison of views");
}

#[test]
fn a_byte_limit_below_four_packets_per_second_is_an_error() {
    let mut settings = settings();
    settings.bytes_per_second = 5_000;
    let error = settings.check().expect_err("the limit is too low");
    assert!(error.to_string().starts_with("bytes-a-second: 5848 at least"), "{error}");
}
