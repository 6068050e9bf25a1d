//! Tests the frame reader on valid, truncated, damaged and arbitrary bytes. Also tests the predecessor on
//! unexpected frames.

use meadowstream_hot_restart::AbortReason;
use meadowstream_hot_restart::frames::{
    AnnouncedAnswer, Frame, FrameError, FrameReader, MESSAGE_BYTES_MAX, encode,
};
use meadowstream_hot_restart::predecessor::{Action, Event, Limits, Phase, Predecessor};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn frames() -> Vec<Frame> {
    let answer = AnnouncedAnswer { invocation: 7, offset: 1 << 40, bytes: b"$2\r\nhi\r\n".to_vec() };
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
        Frame::Announce(answer),
        Frame::TrialOver,
        Frame::Retired,
        Frame::Drain { grace: 5 },
    ]
}

fn encoded(frames: &[Frame]) -> Vec<u8> {
    let mut bytes = Vec::new();
    frames.iter().for_each(|frame| encode(&mut bytes, frame).unwrap());
    bytes
}

#[test]
fn frames_are_decoded_from_pieces_of_any_size() {
    let (all, bytes) = (frames(), encoded(&frames()));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20 {
        let (mut reader, mut offset, mut decoded) = (FrameReader::default(), 0, Vec::new());
        while offset < bytes.len() {
            let piece = rng.random_range(1..70_000).min(bytes.len() - offset).min(reader.capacity());
            reader.push(&bytes[offset..offset + piece]);
            offset += piece;
            while let Some(frame) = reader.next_frame().unwrap() {
                decoded.push(frame);
            }
        }
        assert!(decoded == all && !reader.has_partial_frame());
    }
}

/// A truncated frame must remain pending and not be decoded. A frame with a single flipped bit must be
/// rejected or remain pending.
#[test]
fn truncated_frames_stay_pending_and_damaged_ones_are_rejected() {
    for frame in frames().iter().filter(|frame| !matches!(frame, Frame::State { .. })) {
        let bytes = encoded(std::slice::from_ref(frame));
        for length in 0..bytes.len() {
            let mut reader = FrameReader::default();
            reader.push(&bytes[..length]);
            assert_eq!(reader.next_frame(), Ok(None));
            assert_eq!(reader.has_partial_frame(), length > 0);
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
fn errors_on_arbitrary_bytes_persist_and_lengths_are_bounded() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    for _ in 0..2000 {
        let mut bytes = vec![0; rng.random_range(8..300)];
        rng.fill_bytes(&mut bytes);
        // Half of the inputs have a correct length and checksum around random content. The other half
        // consists of random bytes only.
        if rng.random_bool(0.5) {
            let checksum = crc32fast::hash(&bytes[8..]);
            let length = (bytes.len() - 8) as u32;
            bytes[..4].copy_from_slice(&length.to_le_bytes());
            bytes[4..8].copy_from_slice(&checksum.to_le_bytes());
        }
        let mut reader = FrameReader::default();
        reader.push(&bytes);
        let first = reader.next_frame();
        if let Err(error) = first {
            assert_eq!(reader.next_frame(), Err(error), "a frame was decoded after an error");
        }
    }
    let mut reader = FrameReader::default();
    reader.push(&[0xff; 16]);
    assert_eq!(reader.next_frame(), Err(FrameError::TooLong { bytes: u32::MAX as usize }));
    let mut out = Vec::new();
    let too_long = Frame::State { part: 0, bytes: vec![0; MESSAGE_BYTES_MAX] };
    assert!(matches!(encode(&mut out, &too_long), Err(FrameError::TooLong { .. })) && out.is_empty());
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
    let mut backoffs = Vec::new();
    for _ in 0..4 {
        assert!(predecessor.handle_event(now, Event::UpgradeRequested).contains(&Action::StartSuccessor));
        assert_eq!(
            predecessor.handle_event(now, Event::UpgradeRequested),
            [Action::ReportFailure(AbortReason::Busy)]
        );
        assert_eq!(predecessor.handle_timeout(now + 10), [Action::KillSuccessor]);
        assert!(predecessor.is_active(), "the successor cannot have acted");
        assert!(
            predecessor.handle_event(now + 10, Event::SuccessorExited).is_empty(),
            "the stream has not ended yet"
        );
        assert_eq!(
            predecessor.handle_event(now + 10, Event::StreamEnded),
            [Action::ReportFailure(AbortReason::Timeout)]
        );
        let refused = predecessor.handle_event(now + 10, Event::UpgradeRequested);
        let [Action::ReportFailure(AbortReason::Backoff { wait: backoff })] = refused[..] else {
            panic!("{refused:?}")
        };
        backoffs.push(backoff);
        now += 10 + backoff;
    }
    assert_eq!(backoffs, [100, 200, 350, 350]);
}

/// In every step of an upgrade, an unexpected frame must abort the attempt. The abort returns
/// [`Action::Resume`] only in the switch. In earlier steps the predecessor is still active. In the trial, it
/// resumes only once the successor is dead.
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
    let mut aborted = 0;
    for (step, earlier_frames) in answers.iter().enumerate() {
        let expected = answers.get(step + 1).map(|next| next[step].clone());
        for frame in frames() {
            let mut predecessor = Predecessor::new(limits);
            predecessor.handle_event(0, Event::UpgradeRequested);
            earlier_frames.iter().for_each(|frame| {
                predecessor.handle_event(0, Event::Frame(frame.clone()));
            });
            let is_trial_frame = step == 4 && matches!(frame, Frame::Announce(_) | Frame::TrialOver);
            if Some(&frame) == expected.as_ref() || is_trial_frame {
                continue;
            }
            let actions = predecessor.handle_event(0, Event::Frame(frame.clone()));
            assert_eq!(actions.contains(&Action::Resume(Vec::new())), step == 3, "{step}: {frame:?}");
            assert!(actions[0] == Action::KillSuccessor && predecessor.is_active() == (step < 4));
            assert_eq!(predecessor.phase(), Phase::Aborting);
            aborted += 1;
        }
    }
    assert!(aborted > 50, "{aborted}");
}
