//! Tests of the codec: batches, records and replies.

use super::batch::RECORD_BYTES;
use super::event::outcome;
use super::*;
use meadowstream_overload_control::{Host, Outcome};

/// Returns an encoded batch with the given header fields and body. The simulated time of the batch is 7 µs.
fn batch(count: u32, len: u32, body: &[u8]) -> Vec<u8> {
    [&count.to_le_bytes(), &len.to_le_bytes(), &7u64.to_le_bytes()[..], body].concat()
}

#[test]
fn reads_a_record_and_its_tail() {
    let mut body = vec![0; RECORD_BYTES];
    body[0] = 30;
    body[1..9].copy_from_slice(&42u64.to_le_bytes());
    body[9..11].copy_from_slice(&254u16.to_le_bytes());
    body[11..15].copy_from_slice(&3u32.to_le_bytes());
    body[15..19].copy_from_slice(&2u32.to_le_bytes());
    body.extend_from_slice(b"abcdef");
    let mut decoded = Batch::default();
    assert!(decoded.read(&mut batch(1, 78, &body).as_slice()).unwrap());
    let record = decoded.record(0);
    assert_eq!((decoded.clock, record.code(), record.u64(1), record.duration(11)), (7_000, 30, 42, 3_000));
    assert_eq!(outcome(record).unwrap(), Outcome::NeverRan);
    assert_eq!(record.text(11).unwrap(), "de");
    assert!(!decoded.read(&mut [].as_slice()).unwrap());
}

#[test]
fn rejects_malformed_batches_and_fields() {
    let mut decoded = Batch::default();
    for frame in [batch(1, 16, &[]), batch(1, 72, &[0; 20]), batch(0, 8, &[]), vec![0; 5]] {
        assert!(decoded.read(&mut frame.as_slice()).is_err(), "{frame:?}");
    }
    let mut body = vec![0; RECORD_BYTES];
    body[1..5].copy_from_slice(&9u32.to_le_bytes());
    body[5..9].copy_from_slice(&u32::MAX.to_le_bytes());
    body[9..11].copy_from_slice(&77u16.to_le_bytes());
    body[11..15].copy_from_slice(&f32::NAN.to_le_bytes());
    assert!(decoded.read(&mut batch(1, 72, &body).as_slice()).unwrap());
    assert!(decoded.record(0).text(1).is_err());
    assert!(outcome(decoded.record(0)).is_err());
    assert!(decoded.record(0).number(11).is_err());
}

#[test]
fn replies_name_the_instance_once_and_round_times_up() {
    let (mut reply, mut frame) = (Reply::default(), Vec::new());
    reply.select_instance(5);
    reply.reject(9, true, 1_001);
    reply.log("hi");
    reply.finish(&mut frame);
    assert_eq!(frame[..8], [58, 0, 0, 0, 3, 0, 0, 0]);
    assert_eq!(frame[8..11], [90, 5, 0]);
    assert_eq!(frame[24..38], [40, 9, 0, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0]);
    assert_eq!(frame[56..], *b"hi");
}

/// Wire compatibility: each action must be encoded to the bytes recorded from release 0.2.0 (commit 22d0bb6).
#[test]
fn actions_have_the_bytes_of_release_0_2() {
    let (id, duration) = (0x0102_0304_0506_0708, 2_500_001);
    let record = |action: &dyn Fn(&mut Reply)| {
        let (mut reply, mut frame) = (Reply::default(), Vec::new());
        reply.select_instance(5);
        action(&mut reply);
        reply.finish(&mut frame);
        frame
    };
    let samples: Vec<(&str, Vec<u8>)> = vec![
        ("run", record(&|reply| reply.start_run(id))),
        ("stop", record(&|reply| reply.stop_run(id))),
        ("throttle", record(&|reply| reply.reject(id, true, duration))),
        ("give-up", record(&|reply| reply.fail(id))),
        ("call", record(&|reply| reply.start_call(id, duration))),
        ("skip-call", record(&|reply| reply.skip_call(id))),
        ("remember", record(&|reply| reply.remember_key(id, duration))),
        ("forget", record(&|reply| reply.forget_key(id))),
        ("reuse", record(&|reply| reply.replay_result(id))),
        ("health", record(&|reply| reply.set_health(true, false))),
        ("advertise", record(&|reply| reply.advertise_load(0.75))),
        ("close-idle", record(&|reply| reply.close_idle_connections(duration))),
        ("wake", record(&|reply| reply.set_timer(duration, 1))),
        ("log", record(&|reply| reply.log("line"))),
    ];
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/actions.txt");
    meadowstream_wire_fixtures::Fixtures::load(path).verify(&samples);
}
