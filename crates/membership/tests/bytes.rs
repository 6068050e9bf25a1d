//! Tests of the limit on the bytes that a member sends per second. The main test covers the situation with
//! the most traffic, the end of a partition. During the partition, each part of the fleet has declared the
//! members of the other part down, so every member takes a new incarnation.

use meadowstream_membership::digest::BUCKETS;
use meadowstream_membership::envelope::{PayloadKind, Sealer};
use meadowstream_membership::messages::{AntiEntropyMessage, AntiEntropyPayload};
use meadowstream_membership::simulation::{NetworkConditions, SimulatedFleet};
use meadowstream_membership::{MemberId, Membership, Settings};
use test_case::test_case;

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;
const MEMBERS: usize = 300;
/// Limit on the bytes that each member sends per second. Without a limit, each member would send about 30,000
/// bytes per second after the partition of the two halves ends.
const BYTES_PER_SECOND: u64 = 12_000;
const PARTITION_SECONDS: u64 = 30;
/// Duration of the check after the end of the partition, in seconds. During the check, no member may exceed
/// its byte limit in any second. At the end of the check, the views must agree.
const CHECKED_SECONDS: u64 = 40;

fn settings() -> Settings {
    let mut settings = Settings::lan("quiz", b"sixteen byte key");
    settings.expected_members = MEMBERS as u32;
    settings.bytes_per_second = BYTES_PER_SECOND;
    settings
}

/// Creates a fleet whose two halves have been partitioned from each other for [`PARTITION_SECONDS`] seconds.
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

/// Returns the bytes that each member has sent since its start.
fn sent_bytes(fleet: &SimulatedFleet) -> Vec<u64> {
    let of_member = |member| fleet.member(member).map_or(0, |membership| membership.counts().sent_bytes);
    (0..MEMBERS).map(of_member).collect()
}

#[test_case(3)]
#[test_case(8)]
fn no_member_exceeds_its_byte_limit_in_any_second_after_a_heal(seed: u64) {
    let mut fleet = partitioned_fleet(seed);
    fleet.heal();
    // Crash a member when the partition ends. The other members must detect the crash although their byte
    // budgets are used up, since probes are never postponed.
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

/// Several digests of another member's view arrive at a member whose own view has 1,000 members. Each digest
/// requires an answer with the whole view. The member must send only as many lists of members as its byte
/// budget allows.
#[test]
fn lists_of_members_beyond_the_budget_are_sent_in_a_later_exchange() {
    let id = |member: usize| MemberId {
        name: format!("s{member}"),
        addr: SimulatedFleet::addr(member),
        incarnation: 1,
    };
    let mut membership = Membership::new(id(0), &settings(), 1, 0).expect("valid settings");
    membership.restore((1..1_000).map(id), 0);
    // Run the first regular comparison of views. The next regular comparison is due only one announce period
    // later, after the end of this test.
    membership.handle_timeout(2 * SECOND);
    membership.take_transmits();
    let sealer = Sealer::new("quiz", b"sixteen byte key", settings().packet_max);
    let digest = AntiEntropyMessage {
        from: id(1),
        payload: AntiEntropyPayload::Digest { bucket_hashes: vec![0; BUCKETS] },
    }
    .encode();
    // Delivers the digest of another member's view to the member, and returns the number of bytes that the
    // member sends in answer.
    let send_digest = |membership: &mut Membership, now: u64, sequence: u64| {
        let datagram = sealer.seal(PayloadKind::AntiEntropy, 1, sequence, &digest).expect("short body");
        membership.handle_datagram(SimulatedFleet::addr(1), &datagram, now).expect("authentic datagram");
        membership.take_transmits().iter().map(|transmit| transmit.datagram.len() as u64).sum::<u64>()
    };
    let at_once: u64 = (1..=5).map(|sequence| send_digest(&mut membership, 4 * SECOND, sequence)).sum();
    // An eighth of the byte budget is reserved for failure detection (probes, their answers and verdicts).
    // Lists of members may not use this part.
    let most = BYTES_PER_SECOND - BYTES_PER_SECOND / 8;
    assert!(
        at_once > BYTES_PER_SECOND / 2 && at_once <= most,
        "sent {at_once} bytes in answer to five digests"
    );
    let later = send_digest(&mut membership, 4 * SECOND + 1_100 * MILLISECOND, 6);
    assert!(later > BYTES_PER_SECOND / 2, "sent {later} bytes in answer to a digest one second later");
    // The member could not send all members, so the views may still differ. The member must therefore compare
    // its view again after two probe periods, and not only after an announce period.
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
