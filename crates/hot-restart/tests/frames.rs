//! What may come over the stream: frames in any pieces, and whatever else.

use meadowstream_hot_restart::AbortReason;
use meadowstream_hot_restart::frames::{
    AnnouncedAnswer, Frame, FrameError, FrameReader, MESSAGE_BYTES_MAX, encode,
};
use meadowstream_hot_restart::predecessor::{Action, Event, Limits, Phase, Predecessor};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn frames() -> Vec<Frame> {
    let act = AnnouncedAnswer { invocation: 7, offset: 1 << 40, bytes: b"$2\r\nhi\r\n".to_vec() };
    vec![
        Frame::Offer { versions: vec![1, 2], build: "0.2.0".to_string() },
        Frame::Accept { version: 1 },
        Frame::Refuse { reason: "no".to_string() },
        Frame::Prepare { digest: u64::MAX, parts: 3 },
        Frame::Prepared,
        Frame::State { part: 0, bytes: vec![9; MESSAGE_BYTES_MAX - 16] },
        Frame::Loaded,
        Frame::Switch { changes: Vec::new() },
        Frame::Confirmed,
        Frame::Release,
        Frame::Announce(act),
        Frame::TrialOver,
        Frame::Retired,
        Frame::Drain { grace: 5 },
    ]
}

fn written(frames: &[Frame]) -> Vec<u8> {
    let mut bytes = Vec::new();
    frames.iter().for_each(|frame| encode(&mut bytes, frame).unwrap());
    bytes
}

#[test]
fn frames_are_read_from_any_pieces() {
    let (all, bytes) = (frames(), written(&frames()));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20 {
        let (mut reader, mut at, mut read) = (FrameReader::default(), 0, Vec::new());
        while at < bytes.len() {
            let piece = rng.random_range(1..70_000).min(bytes.len() - at).min(reader.capacity());
            reader.push(&bytes[at..at + piece]);
            at += piece;
            while let Some(frame) = reader.next_frame().unwrap() {
                read.push(frame);
            }
        }
        assert!(read == all && !reader.has_partial_frame());
    }
}

/// Each frame cut short is waited for, and with any bit turned over is no frame, or is waited for.
#[test]
fn truncated_frames_are_waited_for_and_damaged_ones_are_none() {
    for frame in frames().iter().filter(|frame| !matches!(frame, Frame::State { .. })) {
        let bytes = written(std::slice::from_ref(frame));
        for cut in 0..bytes.len() {
            let mut reader = FrameReader::default();
            reader.push(&bytes[..cut]);
            assert_eq!(reader.next_frame(), Ok(None));
            assert_eq!(reader.has_partial_frame(), cut > 0);
        }
        for bit in 0..bytes.len() * 8 {
            let mut damaged = bytes.clone();
            damaged[bit / 8] ^= 1 << (bit % 8);
            let mut reader = FrameReader::default();
            reader.push(&damaged);
            assert!(!matches!(reader.next_frame(), Ok(Some(_))), "{frame:?}, bit {bit}");
        }
    }
}

#[test]
fn arbitrary_bytes_are_an_error_that_lasts_and_lengths_are_bounded() {
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
        let mut reader = FrameReader::default();
        reader.push(&bytes);
        let first = reader.next_frame();
        if let Err(fault) = first {
            assert_eq!(reader.next_frame(), Err(fault), "nothing is read after a fault");
        }
    }
    let mut reader = FrameReader::default();
    reader.push(&[0xff; 16]);
    assert_eq!(reader.next_frame(), Err(FrameError::TooLong { bytes: u32::MAX as usize }));
    let mut out = Vec::new();
    let long = Frame::State { part: 0, bytes: vec![0; MESSAGE_BYTES_MAX] };
    assert!(matches!(encode(&mut out, &long), Err(FrameError::TooLong { .. })) && out.is_empty());
}

#[test]
fn a_partly_written_answer_continues_where_it_stopped() {
    let answer = AnnouncedAnswer { invocation: 1, offset: 100, bytes: b"answer".to_vec() };
    assert_eq!(answer.unwritten(100), Some(&b"answer"[..]));
    assert_eq!(answer.unwritten(103), Some(&b"wer"[..]));
    assert_eq!(answer.unwritten(106), Some(&b""[..]));
    assert_eq!((answer.unwritten(107), answer.unwritten(99)), (None, None));
}

#[test]
fn a_second_upgrade_is_refused_and_failures_back_off() {
    let limits = Limits { step: 10, switch: 10, trial: 10, backoff: 100, backoff_max: 350 };
    let mut predecessor = Predecessor::new(limits);
    let mut now = 0;
    let mut pauses = Vec::new();
    for _ in 0..4 {
        assert!(predecessor.handle_event(now, Event::UpgradeRequested).contains(&Action::StartSuccessor));
        assert_eq!(
            predecessor.handle_event(now, Event::UpgradeRequested),
            [Action::ReportFailure(AbortReason::Busy)]
        );
        assert_eq!(predecessor.handle_timeout(now + 10), [Action::KillSuccessor]);
        assert!(predecessor.is_active(), "the new one cannot have acted");
        assert!(
            predecessor.handle_event(now + 10, Event::SuccessorExited).is_empty(),
            "not before all is read"
        );
        assert_eq!(
            predecessor.handle_event(now + 10, Event::StreamEnded),
            [Action::ReportFailure(AbortReason::Timeout)]
        );
        let refused = predecessor.handle_event(now + 10, Event::UpgradeRequested);
        let [Action::ReportFailure(AbortReason::Backoff { wait: pause })] = refused[..] else {
            panic!("{refused:?}")
        };
        pauses.push(pause);
        now += 10 + pause;
    }
    assert_eq!(pauses, [100, 200, 350, 350]);
}

/// Each frame that is not due, in each step that it can be in, ends the attempt and nothing else.
#[test]
fn an_unexpected_frame_ends_the_attempt() {
    let answers = [
        vec![],
        vec![Frame::Accept { version: 1 }],
        vec![Frame::Accept { version: 1 }, Frame::Prepared],
        vec![Frame::Accept { version: 1 }, Frame::Prepared, Frame::Loaded],
        vec![Frame::Accept { version: 1 }, Frame::Prepared, Frame::Loaded, Frame::Confirmed],
    ];
    let limits = Limits { step: 10, switch: 10, trial: 10, backoff: 0, backoff_max: 0 };
    let mut failed = 0;
    for (step, before) in answers.iter().enumerate() {
        let due = answers.get(step + 1).map(|next| next[step].clone());
        for frame in frames() {
            let mut predecessor = Predecessor::new(limits);
            predecessor.handle_event(0, Event::UpgradeRequested);
            before.iter().for_each(|frame| {
                predecessor.handle_event(0, Event::Frame(frame.clone()));
            });
            let trial = step == 4 && matches!(frame, Frame::Announce(_) | Frame::TrialOver);
            if Some(&frame) == due.as_ref() || trial {
                continue;
            }
            let todo = predecessor.handle_event(0, Event::Frame(frame.clone()));
            assert_eq!(todo.contains(&Action::TakeBack(Vec::new())), step == 3, "{step}: {frame:?}");
            assert!(todo[0] == Action::KillSuccessor && predecessor.is_active() == (step < 4));
            assert_eq!(predecessor.phase(), Phase::Aborting);
            failed += 1;
        }
    }
    assert!(failed > 50, "{failed}");
}
