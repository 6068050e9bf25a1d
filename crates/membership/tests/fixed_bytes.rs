//! Wire compatibility with release 0.2.0 (commit 22d0bb6). Datagrams must be encoded to the bytes recorded
//! from that release, and the recorded bytes must be decoded to the same values.

use foca::{Codec, Header, Member, Message, PostcardCodec, State};
use meadowstream_membership::MemberId;
use meadowstream_membership::digest::{BUCKETS, digest};
use meadowstream_membership::envelope::{PayloadKind, Sealer};
use meadowstream_membership::messages::{AntiEntropyMessage, AntiEntropyPayload};
use meadowstream_wire_fixtures::Fixtures;

const PACKET_MAX: usize = 1_400;
const INCARNATION: u64 = 1_700_000_000_000_000_000;

fn fixtures() -> Fixtures {
    Fixtures::load(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/datagrams.txt"))
}

fn sealer() -> Sealer {
    Sealer::new("quiz", b"sixteen byte key", PACKET_MAX)
}

fn id(name: &str, port: u16) -> MemberId {
    MemberId {
        name: name.into(),
        addr: ([127, 0, 0, 1], port).into(),
        incarnation: INCARNATION + u64::from(port),
    }
}

fn swim_messages() -> Vec<(&'static str, Message<MemberId>)> {
    let (origin, target) = (id("a", 1), id("b", 2));
    vec![
        ("swim-ping", Message::Ping(7)),
        ("swim-ack", Message::Ack(7)),
        ("swim-ping-request", Message::PingReq { target, probe_number: 8 }),
        ("swim-indirect-ping", Message::IndirectPing { origin: origin.clone(), probe_number: 8 }),
        ("swim-indirect-ack", Message::IndirectAck { target: origin.clone(), probe_number: 8 }),
        ("swim-forwarded-ack", Message::ForwardedAck { origin, probe_number: 8 }),
        ("swim-announce", Message::Announce),
        ("swim-feed", Message::Feed),
        ("swim-gossip", Message::Gossip),
        ("swim-broadcast", Message::Broadcast),
        ("swim-turn-undead", Message::TurnUndead),
    ]
}

/// Returns a packet in foca's format, which consists of a header and the state of one member.
fn swim_body(message: Message<MemberId>) -> Vec<u8> {
    let header = Header { src: id("a", 1), src_incarnation: 3, dst: id("b", 2), message };
    let mut body = Vec::new();
    let mut codec = PostcardCodec;
    Codec::<MemberId>::encode_header(&mut codec, &header, &mut body).unwrap();
    codec.encode_member(&Member::new(id("c", 3), 4, State::Suspect), &mut body).unwrap();
    body
}

fn exchanges() -> Vec<(&'static str, AntiEntropyMessage)> {
    let held = |port, state| Member::new(id("held", port), 5, state);
    let all = vec![held(5, State::Alive), held(6, State::Suspect), held(7, State::Down)];
    let bucket_hashes: Vec<u32> = (0..BUCKETS as u32).map(|bucket| bucket * 0x0101_0101).collect();
    let exchange = |payload| AntiEntropyMessage { from: id("a", 1), payload };
    vec![
        ("exchange-digest", exchange(AntiEntropyPayload::Digest { bucket_hashes })),
        (
            "exchange-members",
            exchange(AntiEntropyPayload::Members { requested_buckets: 1 << 40, members: all }),
        ),
        ("exchange-held", exchange(AntiEntropyPayload::Verdict { member: held(9, State::Down) })),
    ]
}

#[test]
fn datagrams_have_the_bytes_of_release_0_2() {
    let seal = |kind, body: Vec<u8>| sealer().seal(kind, INCARNATION, 300, &body).unwrap();
    let seal_swim = |(name, message)| (name, seal(PayloadKind::Swim, swim_body(message)));
    let swim = swim_messages().into_iter().map(seal_swim);
    let exchange = exchanges()
        .into_iter()
        .map(|(name, message)| (name, seal(PayloadKind::AntiEntropy, message.encode())));
    let shared = [("shared-state", seal(PayloadKind::SharedState, b"carried as it is".to_vec()))];
    let samples: Vec<(&str, Vec<u8>)> = swim.chain(exchange).chain(shared).collect();
    fixtures().verify(&samples);
}

#[test]
fn recorded_datagrams_are_read_and_sealed_to_the_same_bytes() {
    let fixtures = fixtures();
    let sealer = sealer();
    let names = swim_messages().into_iter().map(|(name, _)| name);
    for name in names.chain(exchanges().into_iter().map(|(name, _)| name)).chain(["shared-state"]) {
        let datagram = fixtures.bytes(name);
        let opened = sealer.open(datagram).unwrap();
        assert_eq!((opened.incarnation, opened.sequence), (INCARNATION, 300), "{name}");
        let again = sealer.seal(opened.kind, opened.incarnation, opened.sequence, opened.body).unwrap();
        assert_eq!(again, datagram, "{name}");
    }
    for (name, exchange) in exchanges() {
        let opened = sealer.open(fixtures.bytes(name)).unwrap();
        assert_eq!(AntiEntropyMessage::decode(opened.body), Some(exchange), "{name}");
    }
}

#[test]
fn recorded_swim_packets_are_decoded_to_their_messages() {
    let fixtures = fixtures();
    for (name, message) in swim_messages() {
        let opened = sealer().open(fixtures.bytes(name)).unwrap();
        let mut rest = opened.body;
        let mut codec = PostcardCodec;
        let header: Header<MemberId> = Codec::<MemberId>::decode_header(&mut codec, &mut rest).unwrap();
        assert_eq!(header.message, message, "{name}");
        let member: Member<MemberId> = codec.decode_member(&mut rest).unwrap();
        assert_eq!((member.id().addr.port(), member.state()), (3, State::Suspect), "{name}");
        assert!(rest.is_empty(), "{name}");
    }
}

/// The hashes in a digest must not change, because servers of different releases compare their views by these
/// hashes.
#[test]
fn the_digest_of_a_view_has_the_hashes_of_release_0_2() {
    let members = [id("a", 1), id("b", 2), id("c", 3)];
    let hashes: Vec<u8> = digest(members.iter()).into_iter().flat_map(u32::to_le_bytes).collect();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/digest.txt");
    Fixtures::load(path).verify(&[("digest-of-three", hashes)]);
}
