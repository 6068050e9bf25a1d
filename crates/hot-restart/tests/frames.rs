//! What may come over the stream: frames in any pieces, and whatever else.

use meadowstream_hot_restart::frames::{Act, FRAME_MAX, Fault, Frame, Reader, put};
use meadowstream_hot_restart::{Why, old};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn frames() -> Vec<Frame> {
    let act = Act { invocation: 7, offset: 1 << 40, bytes: b"$2\r\nhi\r\n".to_vec() };
    vec![
        Frame::Offer { versions: vec![1, 2], build: "0.2.0".to_string() },
        Frame::Accept { version: 1 },
        Frame::Refuse { why: "no".to_string() },
        Frame::Prepare { digest: u64::MAX, parts: 3 },
        Frame::Prepared,
        Frame::State { part: 0, bytes: vec![9; FRAME_MAX - 16] },
        Frame::Warmed,
        Frame::Switch { bytes: Vec::new() },
        Frame::Confirmed,
        Frame::Release,
        Frame::Done(act),
        Frame::Settled,
        Frame::Bye,
        Frame::Leave { grace: 5 },
    ]
}

fn written(frames: &[Frame]) -> Vec<u8> {
    let mut bytes = Vec::new();
    frames.iter().for_each(|frame| put(&mut bytes, frame).unwrap());
    bytes
}

#[test]
fn frames_come_in_any_pieces() {
    let (all, bytes) = (frames(), written(&frames()));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20 {
        let (mut reader, mut at, mut read) = (Reader::default(), 0, Vec::new());
        while at < bytes.len() {
            let piece = rng.random_range(1..70_000).min(bytes.len() - at).min(reader.room());
            reader.give(&bytes[at..at + piece]);
            at += piece;
            while let Some(frame) = reader.frame().unwrap() {
                read.push(frame);
            }
        }
        assert!(read == all && !reader.is_half());
    }
}

/// Each frame cut short is waited for, and with any bit turned over is no frame, or is waited for.
#[test]
fn truncated_and_damaged_frames_are_none() {
    for frame in frames().iter().filter(|frame| !matches!(frame, Frame::State { .. })) {
        let bytes = written(std::slice::from_ref(frame));
        for cut in 0..bytes.len() {
            let mut reader = Reader::default();
            reader.give(&bytes[..cut]);
            assert_eq!(reader.frame(), Ok(None));
            assert_eq!(reader.is_half(), cut > 0);
        }
        for bit in 0..bytes.len() * 8 {
            let mut damaged = bytes.clone();
            damaged[bit / 8] ^= 1 << (bit % 8);
            let mut reader = Reader::default();
            reader.give(&damaged);
            assert!(!matches!(reader.frame(), Ok(Some(_))), "{frame:?}, bit {bit}");
        }
    }
}

#[test]
fn rubbish_is_a_fault_and_bounded() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    for _ in 0..2000 {
        let mut bytes = vec![0; rng.random_range(8..300)];
        rng.fill_bytes(&mut bytes);
        // Now and then a length and a sum that are right, round a message that is rubbish.
        if rng.random_bool(0.5) {
            let sum = crc32fast::hash(&bytes[8..]);
            let len = (bytes.len() - 8) as u32;
            bytes[..4].copy_from_slice(&len.to_le_bytes());
            bytes[4..8].copy_from_slice(&sum.to_le_bytes());
        }
        let mut reader = Reader::default();
        reader.give(&bytes);
        let first = reader.frame();
        if let Err(fault) = first {
            assert_eq!(reader.frame(), Err(fault), "nothing is read after a fault");
        }
    }
    let mut reader = Reader::default();
    reader.give(&[0xff; 16]);
    assert_eq!(reader.frame(), Err(Fault::TooLong));
    let mut out = Vec::new();
    let long = Frame::State { part: 0, bytes: vec![0; FRAME_MAX] };
    assert!(put(&mut out, &long) == Err(Fault::TooLong) && out.is_empty());
}

#[test]
fn an_answer_half_written_goes_on_where_it_stopped() {
    let act = Act { invocation: 1, offset: 100, bytes: b"answer".to_vec() };
    assert_eq!(act.rest(100), Some(&b"answer"[..]));
    assert_eq!(act.rest(103), Some(&b"wer"[..]));
    assert_eq!(act.rest(106), Some(&b""[..]));
    assert_eq!((act.rest(107), act.rest(99)), (None, None));
}

#[test]
fn a_second_attempt_is_refused_and_failures_back_off() {
    let limits = old::Limits { step: 10, switch: 10, trial: 10, pause: 100, pause_most: 350 };
    let mut old = old::Old::new(limits);
    let mut now = 0;
    let mut pauses = Vec::new();
    for _ in 0..4 {
        assert!(old.on(now, old::Event::Ask).contains(&old::Do::Start));
        assert_eq!(old.on(now, old::Event::Ask), [old::Do::Refuse(Why::Busy)]);
        assert_eq!(old.on(now + 10, old::Event::Time), [old::Do::Kill]);
        assert!(old.acts(), "the new one cannot have acted");
        assert!(old.on(now + 10, old::Event::Dead).is_empty(), "not before all is read");
        assert_eq!(old.on(now + 10, old::Event::StreamEnded), [old::Do::Refuse(Why::Late)]);
        let refused = old.on(now + 10, old::Event::Ask);
        let [old::Do::Refuse(Why::TooSoon(pause))] = refused[..] else { panic!("{refused:?}") };
        pauses.push(pause);
        now += 10 + pause;
    }
    assert_eq!(pauses, [100, 200, 350, 350]);
}

/// Each frame that is not due, in each step that it can be in, ends the attempt and nothing else.
#[test]
fn what_is_not_due_ends_the_attempt() {
    let answers = [
        vec![],
        vec![Frame::Accept { version: 1 }],
        vec![Frame::Accept { version: 1 }, Frame::Prepared],
        vec![Frame::Accept { version: 1 }, Frame::Prepared, Frame::Warmed],
        vec![Frame::Accept { version: 1 }, Frame::Prepared, Frame::Warmed, Frame::Confirmed],
    ];
    let limits = old::Limits { step: 10, switch: 10, trial: 10, pause: 0, pause_most: 0 };
    let mut failed = 0;
    for (step, before) in answers.iter().enumerate() {
        let due = answers.get(step + 1).map(|next| next[step].clone());
        for frame in frames() {
            let mut old = old::Old::new(limits);
            old.on(0, old::Event::Ask);
            before.iter().for_each(|frame| {
                old.on(0, old::Event::Frame(frame.clone()));
            });
            let trial = step == 4 && matches!(frame, Frame::Done(_) | Frame::Settled);
            if Some(&frame) == due.as_ref() || trial {
                continue;
            }
            let todo = old.on(0, old::Event::Frame(frame.clone()));
            assert_eq!(todo.contains(&old::Do::TakeBack(Vec::new())), step == 3, "{step}: {frame:?}");
            assert!(todo[0] == old::Do::Kill && old.acts() == (step < 4));
            assert_eq!(old.step(), old::Step::Reaping);
            failed += 1;
        }
    }
    assert!(failed > 50, "{failed}");
}
