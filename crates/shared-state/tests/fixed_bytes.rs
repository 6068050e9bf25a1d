//! Messages have the bytes that release 0.2.0 (commit 22d0bb6) wrote, and are read back to the same.

use meadowstream_shared_state::budget::{Say, Term};
use meadowstream_shared_state::counts::Row;
use meadowstream_shared_state::judge::{Report, Verdict};
use meadowstream_shared_state::{ABOUTS, Message, ORDER_REPORTS, ORDERS, REPLICATION, What, Who};
use meadowstream_wire_fixtures::Fixtures;

fn server(name: &str) -> Who {
    Who { name: name.into(), incarnation: 1_700_000_000_000_000_000 }
}

fn budget(say: Say) -> What {
    What::Budget { name: "records".into(), say }
}

fn report(service: u32, verdict: Verdict) -> Report {
    Report { by: server("s2"), service, verdict, age: 1_500_000_000 }
}

fn row() -> Row {
    Row { of: [("succeeded/basic".to_string(), 300), ("throttled/premium/a".to_string(), 2)].into() }
}

fn contents() -> Vec<(&'static str, What)> {
    let term = Term { incarnation: 1_700_000_000_000_000_001, rank: 2, election: 3 };
    let known = vec![(server("s1"), 17), (server("s2"), 400)];
    let reports = vec![report(0, Verdict::Good), report(1, Verdict::Slow), report(2, Verdict::Failing)];
    vec![
        ("budget-ask", budget(Say::Ask { number: 300 })),
        ("budget-vote", budget(Say::Vote { to: 7, number: 300, given: true })),
        ("budget-vote-refused", budget(Say::Vote { to: 7, number: 300, given: false })),
        ("budget-want", budget(Say::Want { number: 4, wants: 500, uses: 6, adopted: (term, 9) })),
        ("budget-grant", budget(Say::Grant { to: 7, number: 4, term, id: 10, amount: 250 })),
        ("budget-refer", budget(Say::Refer { to: Some("s3".into()) })),
        ("budget-refer-nobody", budget(Say::Refer { to: None })),
        ("digest", What::Digest { from: Some(server("s1")), before: Some(server("s4")), known, reply: true }),
        ("digest-whole", What::Digest { from: None, before: None, known: Vec::new(), reply: false }),
        ("rows", What::Rows(vec![(server("s1"), row())])),
        ("reports", What::Reports(reports)),
        ("other-orders", What::Other { topic: ORDERS, body: vec![1, 2, 3] }),
        ("other-order-reports", What::Other { topic: ORDER_REPORTS, body: vec![1, 2, 3] }),
        ("other-abouts", What::Other { topic: ABOUTS, body: vec![1, 2, 3] }),
        ("other-replication", What::Other { topic: REPLICATION, body: vec![1, 2, 3] }),
    ]
}

fn messages() -> Vec<(&'static str, Message)> {
    contents().into_iter().map(|(name, what)| (name, Message { from: server("s0"), what })).collect()
}

fn fixtures() -> Fixtures {
    Fixtures::load(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt"))
}

#[test]
fn messages_have_the_bytes_of_release_0_2() {
    let encoded = messages().into_iter().map(|(name, one)| (name, postcard::to_allocvec(&one).unwrap()));
    fixtures().verify(&encoded.collect::<Vec<_>>());
}

#[test]
fn recorded_messages_are_read_and_written_to_the_same_bytes() {
    let fixtures = fixtures();
    for (name, message) in messages() {
        let bytes = fixtures.bytes(name);
        let (read, rest) = postcard::take_from_bytes::<Message>(bytes).unwrap();
        assert!(rest.is_empty(), "{name}");
        assert_eq!(read, message, "{name}");
        assert_eq!(postcard::to_allocvec(&read).unwrap(), bytes, "{name}");
    }
}
