//! Tests the wire compatibility of messages. Messages must be encoded to the same bytes as in release 0.2.0
//! (commit 22d0bb6), and the recorded bytes must be decoded to the same messages.

use meadowstream_shared_state::budget::{BudgetMessage, GrantId, Term};
use meadowstream_shared_state::counters::CounterRow;
use meadowstream_shared_state::outlier_detection::{Report, ServiceHealth};
use meadowstream_shared_state::{
    Message, Payload, REPLICATION, ROLLOUT_ORDERS, ROLLOUT_REPORTS, ServerId, VERSION_ANNOUNCEMENTS,
};
use meadowstream_wire_fixtures::Fixtures;

fn server(name: &str) -> ServerId {
    ServerId { name: name.into(), incarnation: 1_700_000_000_000_000_000 }
}

fn budget(message: BudgetMessage) -> Payload {
    Payload::Budget { name: "records".into(), message }
}

fn report(service: u32, health: ServiceHealth) -> Report {
    Report { by: server("s2"), service, health, age: 1_500_000_000 }
}

fn row() -> CounterRow {
    CounterRow {
        counts: [("succeeded/basic".to_string(), 300), ("throttled/premium/a".to_string(), 2)].into(),
    }
}

fn payloads() -> Vec<(&'static str, Payload)> {
    let term = Term { incarnation: 1_700_000_000_000_000_001, rank: 2, election: 3 };
    let versions = vec![(server("s1"), 17), (server("s2"), 400)];
    let reports = vec![
        report(0, ServiceHealth::Healthy),
        report(1, ServiceHealth::Slow),
        report(2, ServiceHealth::Failing),
    ];
    vec![
        ("budget-ask", budget(BudgetMessage::VoteRequest { ballot: 300 })),
        ("budget-vote", budget(BudgetMessage::VoteResponse { incarnation: 7, ballot: 300, granted: true })),
        (
            "budget-vote-refused",
            budget(BudgetMessage::VoteResponse { incarnation: 7, ballot: 300, granted: false }),
        ),
        (
            "budget-want",
            budget(BudgetMessage::LeaseRequest {
                number: 4,
                wanted: 500,
                in_use: 6,
                adopted: GrantId { term, number: 9 },
            }),
        ),
        (
            "budget-grant",
            budget(BudgetMessage::LeaseGrant {
                incarnation: 7,
                request_number: 4,
                term,
                grant_number: 10,
                amount: 250,
            }),
        ),
        ("budget-refer", budget(BudgetMessage::Redirect { grantor: Some("s3".into()) })),
        ("budget-refer-nobody", budget(BudgetMessage::Redirect { grantor: None })),
        (
            "digest",
            Payload::Digest {
                start: Some(server("s1")),
                end: Some(server("s4")),
                versions,
                wants_reply: true,
            },
        ),
        (
            "digest-whole",
            Payload::Digest { start: None, end: None, versions: Vec::new(), wants_reply: false },
        ),
        ("rows", Payload::Rows(vec![(server("s1"), row())])),
        ("reports", Payload::Reports(reports)),
        ("other-orders", Payload::Other { topic: ROLLOUT_ORDERS, body: vec![1, 2, 3] }),
        ("other-order-reports", Payload::Other { topic: ROLLOUT_REPORTS, body: vec![1, 2, 3] }),
        ("other-abouts", Payload::Other { topic: VERSION_ANNOUNCEMENTS, body: vec![1, 2, 3] }),
        ("other-replication", Payload::Other { topic: REPLICATION, body: vec![1, 2, 3] }),
    ]
}

fn messages() -> Vec<(&'static str, Message)> {
    payloads().into_iter().map(|(name, payload)| (name, Message { from: server("s0"), payload })).collect()
}

fn fixtures() -> Fixtures {
    Fixtures::load(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt"))
}

#[test]
fn messages_are_encoded_as_in_release_0_2() {
    let encoded =
        messages().into_iter().map(|(name, message)| (name, postcard::to_allocvec(&message).unwrap()));
    fixtures().verify(&encoded.collect::<Vec<_>>());
}

#[test]
fn recorded_messages_survive_decoding_and_encoding() {
    let fixtures = fixtures();
    for (name, message) in messages() {
        let bytes = fixtures.bytes(name);
        let (decoded, rest) = postcard::take_from_bytes::<Message>(bytes).unwrap();
        assert!(rest.is_empty(), "{name}");
        assert_eq!(decoded, message, "{name}");
        assert_eq!(postcard::to_allocvec(&decoded).unwrap(), bytes, "{name}");
    }
}
