//! Tests with untrusted datagrams. Every kind of invalid datagram is dropped and counted by its reason, and
//! none causes a panic.

use meadowstream_membership::envelope::{
    DATAGRAM_BYTES_MAX, DropReason, HEADER_BYTES, PayloadKind, Sealer, TAG_BYTES,
};
use meadowstream_membership::{MemberId, Membership, Settings};
use proptest::prelude::*;
use std::net::SocketAddr;

const KEY: &[u8] = b"sixteen byte key";

fn membership() -> Membership {
    let me = MemberId { name: "a".into(), addr: "127.0.0.1:7001".parse().unwrap(), incarnation: 1 };
    Membership::new(me, &Settings::lan("quiz", KEY), 1, 0).unwrap()
}

fn from() -> SocketAddr {
    "127.0.0.1:7002".parse().unwrap()
}

/// Returns a valid datagram by which another member of the fleet announces itself.
fn announce() -> Vec<u8> {
    let me = MemberId { name: "b".into(), addr: from(), incarnation: 1 };
    let mut b = Membership::new(me, &Settings::lan("quiz", KEY), 2, 0).unwrap();
    b.join(&["127.0.0.1:7001".parse().unwrap()], 0);
    b.take_transmits().pop().unwrap().datagram
}

#[test]
fn an_authentic_announcement_is_accepted_once_and_a_replay_is_dropped() {
    let mut a = membership();
    let datagram = announce();
    assert_eq!(a.handle_datagram(from(), &datagram, 1), Ok(()));
    assert_eq!(a.handle_datagram(from(), &datagram, 2), Err(DropReason::Replay));
    assert_eq!(a.counts().dropped(DropReason::Replay), 1);
    assert_eq!(a.members().len(), 1);
}

#[test]
fn each_kind_of_invalid_datagram_is_dropped_and_counted_by_its_reason() {
    let good = announce();
    let mut forged = good.clone();
    forged[HEADER_BYTES] ^= 1;
    let foreign = {
        let sealer = Sealer::new("other-fleet", KEY, 1400);
        sealer.seal(PayloadKind::Swim, 1, 1, &good[HEADER_BYTES..good.len() - TAG_BYTES]).unwrap()
    };
    let other_key = {
        let sealer = Sealer::new("quiz", b"another key of sixteen", 1400);
        sealer.seal(PayloadKind::Swim, 1, 1, &good[HEADER_BYTES..good.len() - TAG_BYTES]).unwrap()
    };
    let mut wrong_length = good.clone();
    wrong_length[28] = wrong_length[28].wrapping_add(1);
    let mut version = good.clone();
    version[2] = 9;
    let cases: Vec<(Vec<u8>, DropReason)> = vec![
        (Vec::new(), DropReason::Short),
        (good[..good.len() - 1].to_vec(), DropReason::Length),
        (good[..HEADER_BYTES + TAG_BYTES - 1].to_vec(), DropReason::Short),
        (vec![0; DATAGRAM_BYTES_MAX], DropReason::Oversized),
        (forged, DropReason::Tag),
        (foreign, DropReason::Fleet),
        (other_key, DropReason::Tag),
        (wrong_length, DropReason::Length),
        (version, DropReason::Version),
        (b"XX-not-ours-at-all-but-long-enough-to-have-a-head-and-a-tag-here".to_vec(), DropReason::Magic),
    ];
    let mut a = membership();
    for (bytes, reason) in &cases {
        assert_eq!(a.handle_datagram(from(), bytes, 1), Err(*reason), "{reason:?}");
    }
    assert_eq!(a.counts().dropped_all(), cases.len() as u64);
    assert_eq!(a.members().len(), 0);
}

#[test]
fn an_authentic_datagram_with_an_invalid_payload_is_dropped_as_protocol() {
    let sealer = Sealer::new("quiz", KEY, 1400);
    let mut a = membership();
    let bytes = sealer.seal(PayloadKind::Swim, 1, 1, &[0xff; 40]).unwrap();
    assert_eq!(a.handle_datagram(from(), &bytes, 1), Err(DropReason::Protocol));
}

#[test]
fn an_older_incarnation_from_an_address_is_a_replay() {
    let sealer = Sealer::new("quiz", KEY, 1400);
    let good = announce();
    let body = &good[HEADER_BYTES..good.len() - TAG_BYTES];
    let mut a = membership();
    assert_eq!(a.handle_datagram(from(), &sealer.seal(PayloadKind::Swim, 5, 1, body).unwrap(), 1), Ok(()));
    assert_eq!(
        a.handle_datagram(from(), &sealer.seal(PayloadKind::Swim, 4, 99, body).unwrap(), 2),
        Err(DropReason::Replay)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    /// Arbitrary bytes must be dropped and counted. They must neither cause a panic nor add a member to the
    /// view.
    #[test]
    fn arbitrary_bytes_are_counted_and_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        let mut a = membership();
        prop_assert!(a.handle_datagram(from(), &bytes, 1).is_err());
        prop_assert_eq!(a.counts().dropped_all(), 1);
        prop_assert_eq!(a.members().len(), 0);
    }

    /// Authentic datagrams whose bodies are arbitrary bytes may be rejected, but must not cause a panic.
    #[test]
    fn an_authentic_datagram_with_an_arbitrary_body_never_panics(
        body in proptest::collection::vec(any::<u8>(), 0..1400),
        seq in 1u64..,
    ) {
        let sealer = Sealer::new("quiz", KEY, 1400);
        let mut a = membership();
        let _ = a.handle_datagram(from(), &sealer.seal(PayloadKind::Swim, 1, seq, &body).unwrap(), 1);
        prop_assert!(a.counts().received == 1);
    }

    /// A datagram must be dropped if any one byte of it is changed.
    #[test]
    fn one_changed_byte_is_dropped(at in 0usize..10_000, by in 1u8..) {
        let mut bytes = announce();
        let at = at % bytes.len();
        bytes[at] ^= by;
        let mut a = membership();
        prop_assert!(a.handle_datagram(from(), &bytes, 1).is_err());
    }
}
