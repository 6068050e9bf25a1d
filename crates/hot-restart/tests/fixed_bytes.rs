//! Tests the wire compatibility of frames. Each frame must encode to the bytes recorded from release 0.2.0
//! (commit 22d0bb6), and these bytes must decode to the same frame.

use meadowstream_hot_restart::frames::{AnnouncedAnswer, Frame, FrameReader, encode};
use meadowstream_wire_fixtures::Fixtures;

fn frames() -> Vec<(&'static str, Frame)> {
    vec![
        ("offer", Frame::Offer { versions: vec![1, 300], build: "0.2.0".into() }),
        ("accept", Frame::Accept { version: 1 }),
        ("refuse", Frame::Refuse { reason: "another configuration".into() }),
        ("prepare", Frame::Prepare { digest: u64::MAX - 1, parts: 300 }),
        ("prepared", Frame::Prepared),
        ("state", Frame::State { part: 299, bytes: vec![1, 2, 3] }),
        ("warmed", Frame::Loaded),
        ("switch", Frame::Switch { changes: vec![4, 5] }),
        ("confirmed", Frame::Confirmed),
        ("release", Frame::Release),
        ("done", Frame::Announce(AnnouncedAnswer { invocation: 42, offset: 1_000, bytes: b"good".to_vec() })),
        ("settled", Frame::TrialOver),
        ("bye", Frame::Retired),
        ("leave", Frame::Drain { grace: 2_500_000_000 }),
    ]
}

fn encoded(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(&mut bytes, frame).unwrap();
    bytes
}

#[test]
fn frames_have_the_bytes_of_release_0_2_and_are_decoded() {
    let fixtures = Fixtures::load(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/frames.txt"));
    fixtures.verify(&frames().iter().map(|(name, frame)| (*name, encoded(frame))).collect::<Vec<_>>());
    for (name, frame) in frames() {
        let mut reader = FrameReader::default();
        reader.push(fixtures.bytes(name));
        let decoded = reader.next_frame().unwrap().unwrap();
        assert_eq!(decoded, frame, "{name}");
        assert_eq!(encoded(&decoded), fixtures.bytes(name), "{name}");
        assert!(!reader.has_partial_frame(), "{name}");
    }
}
