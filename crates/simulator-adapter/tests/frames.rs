//! Test of wire compatibility with release 0.2.0 (commit 22d0bb6). The program must reply to recorded event
//! frames with the bytes recorded from that release. Log records and their texts are not part of the
//! protocol. They are removed before the comparison.

use meadowstream_wire_fixtures::Fixtures;
use std::io::{Read, Write};
use std::process::{Command, Stdio};

/// Length of each event record in a batch, in bytes.
const EVENT_BYTES: usize = 56;
/// Length of the header of a reply, in bytes.
const REPLY_HEADER_BYTES: usize = 8;
/// Length of each action record in a reply, in bytes.
const ACTION_BYTES: usize = 16;
/// Code of a log record.
const LOG: u8 = 10;

const SETTINGS: &str = "grades.count=3\ngrades.0.effect=repeatable\ngrades.0.target=2000000\n\
    grades.0.give-up=5000000\ngrades.0.worth=1\ngrades.1.effect=by_key\ngrades.1.target=2000000\n\
    grades.1.give-up=5000000\ngrades.1.window=5000000\ngrades.1.worth=4\ngrades.2.effect=once\n\
    grades.2.target=1000000\ngrades.2.give-up=3000000\ngrades.2.worth=2\npeers-total=11\n\
    family-info.below=tier\nfamily-info.preemption=discard\nfamily-info.say=weight\n\
    family-info.cores=6\nfamily-info.memory-kb=22548\nfamily-info.run-factor=4\n\
    family-info.entry-kb=7\nfamily-info.own-stats=mem_used,cpu_busy,runnable\nfamily-info.idle=15000000\n\
    family-info.degraded-worth=0,0,0.5\nlimits.retry-after=true\nlimits.max-retry-after=5000000\n\
    contract.drain-grace=2500000\ncontract.grace-to-answer=60000\ncontract.fall-multiple=8.0\n\
    contract.cold-from=0.2\ncontract.cold=17000000\n";

/// Returns an encoded event record of 56 bytes. It contains the code and the given fields, each with its
/// offset.
fn record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0; EVENT_BYTES];
    record[0] = code;
    for (offset, field) in fields {
        record[*offset..*offset + field.len()].copy_from_slice(field);
    }
    record
}

fn select_instance(number: u16) -> Vec<u8> {
    record(100, &[(1, &number.to_le_bytes())])
}

fn instance_started() -> Vec<u8> {
    let text = [0_u32.to_le_bytes(), (SETTINGS.len() as u32).to_le_bytes()].concat();
    record(10, &[(1, &7_u64.to_le_bytes()), (9, &text)])
}

/// Returns the record of an arrival: an invocation that reached the server `age_us` microseconds ago.
/// `repeats` is the identifier of an earlier invocation with the same idempotency key, or 0 if there is none.
fn arrived(id: u64, operation: u8, age_us: u32, repeats: u64) -> Vec<u8> {
    record(
        20,
        &[
            (1, &id.to_le_bytes()),
            (9, &age_us.to_le_bytes()),
            (13, &repeats.to_le_bytes()),
            (21, &1_500_000_u32.to_le_bytes()),
            (25, &[1]),
            (30, &20_000_u32.to_le_bytes()),
            (38, &8_f32.to_le_bytes()),
            (46, &[operation]),
        ],
    )
}

fn run_finished(id: u64, outcome: u16) -> Vec<u8> {
    record(30, &[(1, &id.to_le_bytes()), (9, &outcome.to_le_bytes())])
}

fn call_needed(id: u64) -> Vec<u8> {
    record(40, &[(1, &id.to_le_bytes())])
}

fn call_finished(id: u64, outcome: u16) -> Vec<u8> {
    record(50, &[(1, &id.to_le_bytes()), (9, &outcome.to_le_bytes()), (11, &9_000_u32.to_le_bytes())])
}

fn drain_notice() -> Vec<u8> {
    record(60, &[(1, &4_000_000_u32.to_le_bytes())])
}

fn caller_gone(id: u64) -> Vec<u8> {
    record(70, &[(1, &id.to_le_bytes())])
}

fn timer_fired(timer: u32, utilization: f32) -> Vec<u8> {
    let gauges = [100_f32, utilization, 3.0].map(f32::to_le_bytes).concat();
    record(80, &[(1, &timer.to_le_bytes()), (5, &[3]), (6, &gauges)])
}

fn instance_ended() -> Vec<u8> {
    record(90, &[])
}

/// Returns an encoded batch with the given records and tail. `clock_us` is the simulated time of the batch,
/// in microseconds.
fn frame(clock_us: u64, records: &[Vec<u8>], tail: &str) -> Vec<u8> {
    let body = [records.concat().as_slice(), tail.as_bytes()].concat();
    let length = 16 + body.len() as u32;
    let header = [(records.len() as u32).to_le_bytes(), length.to_le_bytes()].concat();
    [header.as_slice(), &clock_us.to_le_bytes(), &body].concat()
}

/// Returns batches with every kind of event for one instance, within a few seconds of simulated time.
fn input() -> Vec<Vec<u8>> {
    let overload = |first: u64| (first..first + 40).map(|id| arrived(id, (id % 3) as u8, 200, 0));
    let with_instance = |records: Vec<Vec<u8>>| [vec![select_instance(3)], records].concat();
    let mut frames = vec![
        frame(1_000, &[select_instance(3), instance_started()], SETTINGS),
        frame(
            2_000,
            &[select_instance(3), arrived(1, 0, 100, 0), arrived(2, 1, 100, 0), arrived(3, 2, 100, 0)],
            "",
        ),
        frame(12_000, &with_instance(vec![call_needed(1), call_needed(2), call_needed(3)]), ""),
        frame(
            30_000,
            &with_instance(vec![call_finished(1, 0), call_finished(2, 252), call_finished(3, 253)]),
            "",
        ),
        frame(40_000, &with_instance(vec![run_finished(1, 0), run_finished(2, 0), run_finished(3, 255)]), ""),
        frame(50_000, &with_instance(vec![arrived(4, 1, 0, 2), caller_gone(4)]), ""),
    ];
    for period in 1..=6_u64 {
        let mut records = vec![timer_fired(0, 5.9)];
        records.extend(overload(100 * period));
        frames.push(frame(500_000 * period, &with_instance(records), ""));
        let running = 100 * period..100 * period + 6;
        let outcomes = [0, 255, 254, 250, 251, 249];
        let endings = running.zip(outcomes).map(|(id, outcome)| run_finished(id, outcome)).collect();
        frames.push(frame(500_000 * period + 200_000, &with_instance(endings), ""));
    }
    frames.push(frame(3_300_000, &with_instance(vec![drain_notice()]), ""));
    frames.push(frame(3_400_000, &with_instance(vec![timer_fired(1, 4.0), arrived(900, 0, 0, 0)]), ""));
    frames.push(frame(7_400_000, &with_instance(vec![timer_fired(1, 1.0), instance_ended()]), ""));
    frames
}

/// Reads one reply of the program. Returns its action records without the log records and their texts.
fn read_reply(output: &mut impl Read) -> Vec<u8> {
    let mut header = [0; REPLY_HEADER_BYTES];
    output.read_exact(&mut header).unwrap();
    let word = |offset: usize| u32::from_le_bytes(header[offset..offset + 4].try_into().unwrap()) as usize;
    let (length, count) = (word(0), word(4));
    let mut body = vec![0; length - REPLY_HEADER_BYTES];
    output.read_exact(&mut body).unwrap();
    let records = body[..count * ACTION_BYTES].chunks(ACTION_BYTES);
    records.filter(|record| record[0] != LOG).flatten().copied().collect()
}

#[test]
fn frames_are_answered_with_the_bytes_of_release_0_2() {
    let mut program = Command::new(env!("CARGO_BIN_EXE_meadowstream-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let (mut input_pipe, mut output_pipe) = (program.stdin.take().unwrap(), program.stdout.take().unwrap());
    let (mut sent, mut received) = (Vec::new(), Vec::new());
    for frame in input() {
        input_pipe.write_all(&frame).unwrap();
        sent.extend(frame);
        received.extend(read_reply(&mut output_pipe));
    }
    drop(input_pipe);
    assert!(program.wait().unwrap().success());
    let fixtures = Fixtures::load(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/frames.txt"));
    fixtures.verify(&[("input", sent), ("actions", received)]);
}

/// Runs the program with one frame that it cannot handle. Returns its standard error output and its exit
/// code.
fn run_with_invalid_frame(frame: &[u8]) -> (String, Option<i32>) {
    let mut program = Command::new(env!("CARGO_BIN_EXE_meadowstream-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    program.stdin.take().unwrap().write_all(frame).unwrap();
    let output = program.wait_with_output().unwrap();
    (String::from_utf8(output.stderr).unwrap(), output.status.code())
}

#[test]
fn errors_name_the_batch_the_record_and_the_value() {
    let start = || vec![select_instance(3), instance_started()];
    let after_start = |record: Vec<u8>| frame(1_000, &[start(), vec![record]].concat(), SETTINGS);
    let cases = [
        (frame(1_000, &[instance_started()], SETTINGS), "batch 0: record 0: no instance was selected before"),
        (
            frame(1_000, &[select_instance(3), call_needed(1)], ""),
            "batch 0: record 1: event 40 for instance 3, which has not started",
        ),
        (after_start(arrived(1, 9, 0, 0)), "batch 0: record 2: unknown operation 9"),
        (after_start(run_finished(1, 77)), "batch 0: record 2: unknown outcome code 77"),
        (after_start(record(33, &[])), "batch 0: record 2: unknown event code 33"),
        (after_start(record(80, &[(5, &[5])])), "batch 0: record 2: 5 gauges, but at most 4 are allowed"),
        (
            frame(1_000, &start(), &SETTINGS.replace("cores=6", "cores=x")),
            "batch 0: record 1: setting family-info.cores: cannot read \"x\"",
        ),
        (vec![0; 5], "batch 0: batch header truncated after 5 bytes"),
    ];
    for (frame, text) in cases {
        assert_eq!(
            run_with_invalid_frame(&frame),
            (format!("meadowstream-simulator-adapter: {text}\n"), Some(1))
        );
    }
}
