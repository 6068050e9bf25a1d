//! Tests the parsers with complete, truncated, malformed and oversized input. A parser must not panic on any
//! input.

mod outside_names;

use super::{Parsed, http, interpreter, resp, ring::Ring, rpc};
use meadowstream_overload_control::Outcome;
use test_case::test_case;

/// Replaces the parsed value by `()`, so that a test can check only the length of the message.
fn length_only<T>(parsed: Parsed<T>) -> Parsed<()> {
    match parsed {
        Parsed::Complete(_, used) => Parsed::Complete((), used),
        Parsed::Incomplete => Parsed::Incomplete,
        Parsed::Malformed(error) => Parsed::Malformed(error),
    }
}

/// Checks two properties of a parser. A message is parsed correctly if other bytes follow it. A message
/// without its last bytes is reported as incomplete.
fn assert_prefixes_incomplete(message: &[u8], parse: impl Fn(&[u8]) -> Parsed<()>) {
    for end in 0..message.len() {
        assert!(matches!(parse(&message[..end]), Parsed::Incomplete), "cut at {end}");
    }
    for suffix in [&b""[..], b"*", b"HTTP", b"\r\n{"] {
        let Parsed::Complete(_, used) = parse(&[message, suffix].concat()) else {
            panic!("expected a complete message")
        };
        assert_eq!(used, message.len());
    }
}

/// Checks that modified messages do not make the parser panic or report a length beyond the input. Each byte
/// of the message is replaced in turn by several other values. The parser is then called with each prefix
/// that contains the replaced byte.
fn assert_mutations_do_not_panic(message: &[u8], parse: impl Fn(&[u8]) -> Parsed<()>) {
    for at in 0..message.len() {
        for byte in [0, b'\r', b'\n', b'-', b'9', b'$', b'"', b':', 0xff] {
            let mut mutated = message.to_vec();
            mutated[at] = byte;
            for end in at..=mutated.len() {
                if let Parsed::Complete(_, used) = parse(&mutated[..end]) {
                    assert!(used <= end);
                }
            }
        }
    }
}

const ARRAY: &[u8] = b"*3\r\n$8\r\nRPC.CALL\r\n$1\r\n7\r\n$4\r\na\r\nb\r\n";
const REPLY: &[u8] = b"HTTP/1.1 503 Busy\r\nop-not-begun: 1\r\nContent-Length: 3\r\n\r\nabc";
const LINE: &[u8] = b"{\"verb\":\"VALUE\",\"index\":3,\"task\":\"00000000000000ab\",\"outcome\":\"ok\",\
    \"spent\":2,\"bytes\":\"aGk=\"}\n";

#[test]
fn arrays_are_parsed_and_encoded() {
    assert_prefixes_incomplete(ARRAY, |bytes| length_only(resp::array(bytes)));
    assert_mutations_do_not_panic(ARRAY, |bytes| length_only(resp::array(bytes)));
    assert_eq!(resp::array(ARRAY), Parsed::Complete(vec![&b"RPC.CALL"[..], b"7", b"a\r\nb"], ARRAY.len()));
    let mut written = Vec::new();
    resp::put_array(&mut written, &[b"RPC.CALL", b"7", b"a\r\nb"]);
    assert_eq!(written, ARRAY);
}

#[test_case(b"+OK\r\n"; "unexpected type")]
#[test_case(b"*0\r\n"; "no word")]
#[test_case(b"*9\r\n"; "too many words")]
#[test_case(b"*1\n"; "line end without carriage return")]
#[test_case(b"*-1\r\n"; "a negative count")]
#[test_case(b"*1\r\n$-1\r\n"; "a null word")]
#[test_case(b"*1\r\n$4097\r\n"; "a word too long")]
#[test_case(b"*1\r\n$99999999999"; "number too long")]
#[test_case(b"*1\r\n$2\r\nabc\r\n"; "length differs from announcement")]
fn malformed_arrays_are_rejected(bytes: &[u8]) {
    assert!(matches!(resp::array(bytes), Parsed::Malformed(_)));
}

#[test]
fn the_longest_array_fits_the_ring() {
    let mut written = Vec::new();
    resp::put_array(&mut written, &[&[b'x'; resp::WORD_MAX][..]; resp::WORDS_MAX]);
    assert!(Ring::new(resp::ARRAY_MAX).put(&written));
    assert!(matches!(resp::array(&written), Parsed::Complete(..)));
}

#[test]
fn calls_and_health_checks_are_parsed() {
    let fields: &[u8] =
        b"x,room=24.5,new=,ref=9b1f03aa5c7e2d41,since=1764576000123,sender=4,ticket=00000000000000ff";
    let call = rpc::Call {
        tag: 7,
        operation: "checkout",
        reference: 0x9b1f_03aa_5c7e_2d41,
        arrival_unix_ms: 1_764_576_000_123,
        held_kb: 24.5,
        body: b"\0\xff",
        sender: Some(4),
        ticket: Some(0x00ff),
        fields: "",
    };
    let words = [&b"RPC.CALL"[..], b"7", b"checkout", fields, b"\0\xff"];
    let rpc::Command::Call(read) = rpc::command(&words) else { panic!("expected a call") };
    assert_eq!((read.field("new"), read.field("x"), read.field("room")), (Some(""), None, Some("24.5")));
    assert_eq!(rpc::Call { fields: "", ..read }, call);
    assert_eq!(rpc::command(&[b"RPC.HEALTH", b"8", b""]), rpc::Command::Health { tag: 8 });
}

#[test_case("ref=9b1f03aa5c7e2d4,since=1,room=1"; "short ref")]
#[test_case("ref=+b1f03aa5c7e2d41,since=1,room=1"; "signed ref")]
#[test_case("since=1,room=1"; "no ref")]
#[test_case("ref=9b1f03aa5c7e2d41,since=-1,room=1"; "negative since")]
#[test_case("ref=9b1f03aa5c7e2d41,since=99999999999999999999,room=1"; "since too large")]
#[test_case("ref=9b1f03aa5c7e2d41,since=1,room=NaN"; "room is no number")]
#[test_case("ref=9b1f03aa5c7e2d41,since=1,room=2000"; "room too large")]
#[test_case("ref=9b1f03aa5c7e2d41,since=1,room=1,class_rank=1"; "rank too large")]
#[test_case("ref=9b1f03aa5c7e2d41,since=1,room=1,class_rank=-0.5"; "negative rank")]
#[test_case("ref=9b1f03aa5c7e2d41,since=1,room=1,class_rank=high"; "rank is no number")]
#[test_case("ref=9b1f03aa5c7e2d41,since=1,room=1,sender=x"; "sender is no number")]
fn calls_with_bad_fields_are_invalid(fields: &str) {
    let words = [&b"RPC.CALL"[..], b"7", b"checkout", fields.as_bytes(), b""];
    assert!(matches!(rpc::command(&words), rpc::Command::Invalid { tag: Some(7), .. }));
}

#[test_case(&[b"RPC.CALL"]; "no tag")]
#[test_case(&[b"RPC.CALL", b"0", b"x", b"", b""]; "tag 0")]
#[test_case(&[b"RPC.CALL", b"+1", b"x", b"", b""]; "signed tag")]
fn commands_without_a_valid_tag_are_invalid(words: &[&[u8]]) {
    assert!(matches!(rpc::command(words), rpc::Command::Invalid { tag: None, .. }));
}

#[test]
fn answers_are_encoded() {
    let answer = |answer, advertised| {
        let mut out = Vec::new();
        rpc::put_answer(&mut out, 7, &answer, advertised);
        let Parsed::Complete(words, _) = resp::array(&out) else { panic!("expected an array") };
        words.iter().map(|word| String::from_utf8_lossy(word).into_owned()).collect::<Vec<_>>()
    };
    assert_eq!(
        answer(rpc::Answer::Succeeded(b"hi".to_vec()), Some(0.5)),
        ["7", "good", "pressure=0.5", "hi"]
    );
    let rejected = rpc::Answer::Rejected { no_retry: true, retry_after: 1_000_001, ticket: None };
    assert_eq!(answer(rejected, Some(0.0)), ["7", "refused", "pressure=0,cooldown=2,nowhere=1", ""]);
    let rejected = rpc::Answer::Rejected { no_retry: false, retry_after: 5_000_000, ticket: Some(10) };
    assert_eq!(answer(rejected, None), ["7", "refused", "cooldown=5,ticket=000000000000000a", ""]);
    let rejected = rpc::Answer::Rejected { no_retry: false, retry_after: 0, ticket: None };
    assert_eq!(answer(rejected, None), ["7", "refused", "", ""]);
    assert_eq!(answer(rpc::Answer::Health(false), None), ["7", "unfit", "", ""]);
}

#[test]
fn replies_are_parsed() {
    assert_prefixes_incomplete(REPLY, |bytes| length_only(http::reply(bytes)));
    assert_mutations_do_not_panic(REPLY, |bytes| length_only(http::reply(bytes)));
}

#[test]
fn interim_responses_are_skipped() {
    let with_interim =
        [b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n", REPLY].concat();
    assert_prefixes_incomplete(&with_interim, |bytes| length_only(http::reply(bytes)));
    let Parsed::Complete(reply, _) = http::reply(&with_interim) else {
        panic!("expected a complete message")
    };
    assert_eq!((reply.outcome, reply.body), (Outcome::NeverRan, b"abc".to_vec()));
}

#[test_case("200", "", Outcome::Succeeded)]
#[test_case("503", "Op-Not-Begun: 1\r\n", Outcome::NeverRan)]
#[test_case("409", "op-not-begun:1\r\n", Outcome::NeverRan)]
#[test_case("503", "", Outcome::Unknown; "503 unmarked")]
#[test_case("503", "Op-Not-Begun: 0\r\n", Outcome::Unknown; "503 marked as begun")]
#[test_case("500", "Op-Not-Begun: 1\r\n", Outcome::Failed)]
#[test_case("504", "", Outcome::Unknown; "504")]
#[test_case("418", "", Outcome::Unknown; "any other")]
fn replies_prove_their_outcome(status: &str, header: &str, outcome: Outcome) {
    let reply = format!("HTTP/1.1 {status} X\r\n{header}Content-Length: 2\r\n\r\nhi");
    let Parsed::Complete(reply, _) = http::reply(reply.as_bytes()) else {
        panic!("expected a complete message")
    };
    assert_eq!((reply.outcome, reply.body, reply.is_reusable), (outcome, b"hi".to_vec(), true));
}

#[test_case(b"HTTP/1.0 200 OK\r\n\r\n"; "unsupported version")]
#[test_case(b"HTTP/1.1 2x0 OK\r\n\r\n"; "no status")]
#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n"; "a body too long")]
#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"; "a negative length")]
#[test_case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; "transfer encoding")]
#[test_case(b"HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n"; "a signed status")]
#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nhi"; "a signed length")]
#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi"; "two lengths")]
#[test_case(b"HTTP/1.1 200 OK\r\n\r\nhi"; "a result without length")]
#[test_case(b"HTTP/1.1 200 OK\r\nnoise\r\nContent-Length: 2\r\n\r\nhi"; "invalid header")]
#[test_case(&b"HTTP/1.1 102 Wait\r\n\r\n".repeat(200); "interim responses too long")]
#[test_case(&[b'x'; http::REPLY_MAX]; "head too long")]
fn malformed_replies_are_rejected(bytes: &[u8]) {
    assert!(matches!(http::reply(bytes), Parsed::Malformed(_)));
}

#[test]
fn a_call_names_its_invocation_and_timeout() {
    let call = http::call("127.0.0.1:1", 0xab, 250_000_001, b"body");
    let text = String::from_utf8(call).unwrap();
    assert!(
        text.starts_with("POST /records/op HTTP/1.1\r\nHost: 127.0.0.1:1\r\nOp-Of: 00000000000000ab\r\n")
    );
    assert!(text.ends_with("Op-Wait-Ms: 251\r\nContent-Length: 4\r\n\r\nbody"));
}

#[test]
fn notices_are_parsed() {
    assert_prefixes_incomplete(LINE, |bytes| length_only(interpreter::line(bytes)));
    assert_mutations_do_not_panic(LINE, |bytes| {
        if let Parsed::Complete(line, _) = interpreter::line(bytes) {
            let _ = interpreter::notice(line);
        }
        length_only(interpreter::line(bytes))
    });
    let ended =
        interpreter::Notice::Ended { task: 0xab, outcome: Outcome::Succeeded, result: b"hi".to_vec() };
    assert_eq!(interpreter::notice(LINE).unwrap(), (Some(3), ended));
    assert!(matches!(interpreter::line(&[b'x'; interpreter::LINE_MAX + 1]), Parsed::Malformed(_)));
}

#[test_case("7"; "no object")]
#[test_case(r#"{"verb":"VALUE","task":"00000000000000ab","outcome":"gone"}"#; "unknown end")]
#[test_case(r#"{"verb":"VALUE","task":"ab","outcome":"failed"}"#; "short task")]
#[test_case(r#"{"verb":"VALUE","task":"00000000000000ab","outcome":"ok","bytes":"*"}"#; "no base64")]
#[test_case(r#"{"verb":"BANNER","outcome":"hot"}"#; "unknown state")]
#[test_case(r#"{"verb":"TOPS","nonce":"1","readings":[1,"x"]}"#; "a reading that is no number")]
fn bad_notices_are_rejected(line: &str) {
    assert!(interpreter::notice(line.as_bytes()).is_err());
}

#[test]
fn a_ring_is_bounded_and_keeps_the_order() {
    let mut ring = Ring::new(8);
    for round in 0..20u8 {
        assert!(ring.put(&[round, round + 1, round + 2]));
        assert!(!ring.put(&[0; 6]));
        ring.make_contiguous();
        assert_eq!(ring.front(), [round, round + 1, round + 2]);
        ring.drop_front(3);
        assert!(ring.is_empty() && ring.free() == 8);
    }
}
