//! Checks that each protocol still uses the same words and field names as in release 0.2.0 (commit 22d0bb6).

use crate::wire::catalog;
use crate::wire::http;
use crate::wire::interpreter;
use crate::wire::interpreter::Notice;
use crate::wire::rpc;
use meadowstream_overload_control::Outcome;
use test_case::test_case;

fn answer(answer: &rpc::Answer, advertised: Option<f64>) -> String {
    let mut out = Vec::new();
    rpc::put_answer(&mut out, 7, answer, advertised);
    String::from_utf8(out).unwrap()
}

fn rejected(no_retry: bool, retry_after: u64, ticket: Option<u64>) -> rpc::Answer {
    rpc::Answer::Rejected { no_retry, retry_after, ticket }
}

#[test]
fn answers_have_the_same_words_and_fields() {
    let cases = [
        (rpc::Answer::Succeeded(b"x".to_vec()), "good", "pressure=0.5", "x"),
        (
            rejected(true, 1_000_001, Some(255)),
            "refused",
            "pressure=0.5,cooldown=2,nowhere=1,ticket=00000000000000ff",
            "",
        ),
        (rejected(false, 0, None), "refused", "pressure=0.5", ""),
        (rpc::Answer::Failed, "broken", "pressure=0.5", ""),
        (rpc::Answer::Health(true), "fit", "pressure=0.5", ""),
        (rpc::Answer::Health(false), "unfit", "pressure=0.5", ""),
    ];
    for (value, word, fields, body) in cases {
        let words = [("7"), word, fields, body].map(|field| format!("${}\r\n{field}\r\n", field.len()));
        assert_eq!(answer(&value, Some(0.5)), format!("*4\r\n{}", words.concat()));
    }
    assert!(!answer(&rpc::Answer::Failed, None).contains("pressure"));
}

#[test]
fn commands_have_the_same_words() {
    assert_eq!(rpc::command(&[b"RPC.HEALTH", b"8"]), rpc::Command::Health { tag: 8 });
    assert_eq!(rpc::command(&[b"RPC.CANCEL", b"8"]), rpc::Command::Cancel { tag: 8 });
    let mut out = Vec::new();
    rpc::put_drain(&mut out);
    assert_eq!(out, b"*2\r\n$1\r\n0\r\n$6\r\nenough\r\n");
}

#[test]
fn commands_to_the_interpreter_have_the_same_lines() {
    let lines = [
        (interpreter::connect(3), r#"{"index":3,"verb":"CONNECT"}"#),
        (
            interpreter::apply(0xab, "load", b"hi"),
            r#"{"bytes":"aGk=","handler":"load","task":"00000000000000ab","verb":"APPLY"}"#,
        ),
        (interpreter::stop(0xab), r#"{"task":"00000000000000ab","verb":"BREAK"}"#),
        (interpreter::resolve(0xab, b"hi"), r#"{"bytes":"aGk=","task":"00000000000000ab","verb":"RESOLVE"}"#),
        (interpreter::request_gauges(9), r#"{"nonce":"9","verb":"TOP"}"#),
    ];
    for (line, expected) in lines {
        assert_eq!(String::from_utf8(line).unwrap(), format!("{expected}\n"));
    }
}

#[test_case("ok", Outcome::Succeeded, b"hi")]
#[test_case("failed", Outcome::Failed, b"")]
#[test_case("halted", Outcome::Cancelled, b"")]
#[test_case("void", Outcome::NeverRan, b"")]
fn outcomes_of_runs_have_the_same_words(word: &str, outcome: Outcome, result: &[u8]) {
    let line = format!(
        r#"{{"verb":"VALUE","index":3,"task":"00000000000000ab","outcome":"{word}","bytes":"aGk="}}"#
    );
    let ended = Notice::Ended { task: 0xab, outcome, result: result.to_vec() };
    assert_eq!(interpreter::notice(line.as_bytes()).unwrap(), (Some(3), ended));
}

#[test]
fn other_notices_have_the_same_words() {
    let notices = [
        (r#"{"verb":"BANNER","outcome":"cold","spent":1.5}"#, Notice::Banner { cold: true, age: 1_500_000 }),
        (r#"{"verb":"BANNER","outcome":"warm"}"#, Notice::Banner { cold: false, age: 0 }),
        (
            r#"{"verb":"AWAIT","task":"00000000000000ab","bytes":"aGk="}"#,
            Notice::AwaitsCall { task: 0xab, body: b"hi".to_vec() },
        ),
        (
            r#"{"verb":"TOPS","nonce":"9","readings":[0.5,3]}"#,
            Notice::Gauges { nonce: 9, readings: vec![0.5, 3.0] },
        ),
        (
            r#"{"verb":"ERROR","outcome":"APPLY","task":"00000000000000ab"}"#,
            Notice::CommandFailed { command: "APPLY".into(), task: Some(0xab) },
        ),
        (r#"{"verb":"TRACE"}"#, Notice::Trace),
    ];
    for (line, notice) in notices {
        assert_eq!(interpreter::notice(line.as_bytes()).unwrap(), (None, notice), "{line}");
    }
}

#[test]
fn messages_to_records_and_catalog_are_the_same() {
    let call = http::call("records:80", 0xab, 1_000_001, b"hi");
    assert_eq!(
        String::from_utf8(call).unwrap(),
        "POST /records/op HTTP/1.1\r\nHost: records:80\r\nOp-Of: 00000000000000ab\r\n\
         Op-Wait-Ms: 2\r\nContent-Length: 2\r\n\r\nhi"
    );
    assert_eq!(catalog::report("n3", true), "alive n3 passing");
    assert_eq!(catalog::report("n3", false), "alive n3 critical");
}
