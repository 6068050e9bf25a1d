//! Compatibility with release 0.2.0 (commit 22d0bb6). Messages and stored files must be encoded to the bytes
//! recorded from that release, and the recorded bytes must be decoded to the same values. Servers, which
//! store their last applied revision, and replicas, which store their state, use the same file format.

use meadowstream_replication::change::Change;
use meadowstream_replication::entry::Entry;
use meadowstream_replication::message::{
    Freshness, LaggingSummary, Location, Message, Rejection, Report, RequestId, RequestOutcome,
};
use meadowstream_replication::persistence;
use meadowstream_replication::persistence::PersistedState;
use meadowstream_replication::revision::{Position, Revision};
use meadowstream_replication::snapshot::Snapshot;
use meadowstream_replication::state::{Pair, State};
use meadowstream_wire_fixtures::Fixtures;

const AT: Position = Position { epoch: 3, number: 300 };

/// Creates a configuration from several changes: one key is set once, one is set twice, and one is set and
/// then removed.
fn state() -> State {
    let mut state = State::default();
    state.apply(&[
        Change::set("control/reference", "0.8"),
        Change::set("tenants/tenant/arms-park", "2"),
        Change::set("tenants/tenant/gone", "1"),
    ]);
    state.apply(&[Change::set("control/reference", "0.85"), Change::remove("tenants/tenant/gone")]);
    state
}

fn revision() -> Revision {
    Revision { position: AT, hash: state().hash() }
}

fn entry(number: u64, partial: bool) -> Entry {
    let changes = vec![Change::set("tenants/tenant/a", "3"), Change::remove("tenants/tenant/b")];
    let revision = Revision { position: Position { epoch: 4, number }, hash: state().hash() };
    Entry { revision, changes, partial }
}

fn request() -> RequestId {
    RequestId { from: "publish-00c0ffee".into(), number: 2 }
}

fn location() -> Location {
    Location { region: "west".into(), zone: "w1".into() }
}

fn pair(key: &str, value: &str) -> Pair {
    Pair { key: key.into(), value: value.into() }
}

fn messages() -> Vec<(&'static str, Message)> {
    let entries = vec![entry(301, true), entry(302, false)];
    let pairs = vec![pair("control/reference", "0.85"), pair("tenants/tenant/a", "3")];
    let after = Some("control/reference".into());
    let reason = "tenants/tenant/: the options name no <tenants>".to_string();
    let rejected = Rejection { number: 299, reason };
    let report = Report { applied: 298, committed: 300, rejected: Some(rejected) };
    let neighbours = vec!["s1".to_string(), "s2".to_string()];
    let digest = |wants_reply, neighbours| Message::Digest {
        number: 300,
        freshness: Freshness { at_ms: 1_700_000_000_000, number: 300 },
        location: location(),
        neighbours,
        wants_reply,
    };
    vec![
        ("have", digest(true, neighbours)),
        ("have-nobody", digest(false, Vec::new())),
        (
            "entries",
            Message::Entries {
                entries: entries.clone(),
                leader: Some("c0".into()),
                pushed: true,
                newest: 302,
            },
        ),
        ("offer", Message::SnapshotOffer { checkpoint: revision(), newest: 302 }),
        ("fetch", Message::FetchChunk { checkpoint: 300, after: after.clone() }),
        ("fetch-first", Message::FetchChunk { checkpoint: 300, after: None }),
        ("chunk", Message::SnapshotChunk { checkpoint: 300, after, pairs, last: true }),
        ("report", Message::Report { report, location: location() }),
        ("ask-report", Message::PollReport),
        ("prepare", Message::Prepare { epoch: 5, after: 300 }),
        ("promise", Message::Promise { epoch: 5, last: AT, after: 299, entries: entries.clone() }),
        ("refuse", Message::EpochRejected { promised: 6 }),
        ("append", Message::Append { epoch: 5, previous: AT, entries, committed: 299 }),
        ("appended", Message::Appended { epoch: 5, number: 301 }),
        ("missing", Message::AppendRejected { epoch: 5, matched: 298 }),
        (
            "submit",
            Message::Submit {
                request: request(),
                part: 1,
                parts: 2,
                changes: vec![Change::set("tenants/tenant/a", "3")],
            },
        ),
        ("revert", Message::Revert { request: request(), number: 299 }),
        (
            "submitted",
            Message::Submitted { request: request(), outcome: RequestOutcome::Committed { number: 303 } },
        ),
        (
            "submitted-refused",
            Message::Submitted {
                request: request(),
                outcome: RequestOutcome::Rejected { reason: "no".into() },
            },
        ),
        ("not-publisher", Message::NotLeader { request: request(), leader: Some("c1".into()) }),
        ("ask-status", Message::PollStatus { request: request() }),
        (
            "status",
            Message::Status {
                request: request(),
                number: 303,
                members: 40,
                applied: 38,
                lagging: vec![LaggingSummary { name: "s9".into(), applied: 298, reason: "refused".into() }],
            },
        ),
    ]
}

fn saved() -> PersistedState {
    let committed = Snapshot { revision: revision(), state: state() };
    PersistedState { promised: 5, committed, entries: vec![entry(301, true), entry(302, false)] }
}

fn last_good() -> PersistedState {
    PersistedState {
        promised: 0,
        committed: Snapshot { revision: revision(), state: state() },
        entries: Vec::new(),
    }
}

fn load(name: &str) -> Fixtures {
    Fixtures::load(format!("{}/tests/fixtures/{name}.txt", env!("CARGO_MANIFEST_DIR")))
}

#[test]
fn messages_have_the_bytes_of_release_0_2() {
    let encoded = messages().into_iter().map(|(name, message)| (name, message.encode()));
    load("messages").verify(&encoded.collect::<Vec<_>>());
}

#[test]
fn recorded_messages_are_read_and_written_to_the_same_bytes() {
    let fixtures = load("messages");
    for (name, message) in messages() {
        let decoded =
            Message::decode(fixtures.bytes(name)).unwrap_or_else(|| panic!("{name} cannot be decoded"));
        assert_eq!(decoded, message, "{name}");
        assert_eq!(decoded.encode(), fixtures.bytes(name), "{name}");
    }
}

#[test]
fn files_have_the_bytes_of_release_0_2_and_are_read_back() {
    let files = [("checkpoint", saved()), ("last-good", last_good()), ("empty", PersistedState::default())];
    let fixtures = load("files");
    let encode = |(name, state): &(&'static str, PersistedState)| (*name, persistence::encode(state));
    fixtures.verify(&files.iter().map(encode).collect::<Vec<_>>());
    for (name, state) in &files {
        let decoded = persistence::decode(fixtures.bytes(name)).unwrap();
        assert_eq!(decoded, *state, "{name}");
        assert_eq!(persistence::encode(&decoded), fixtures.bytes(name), "{name}");
    }
}

#[test]
fn the_hash_of_a_content_is_that_of_release_0_2() {
    let bytes = postcard::to_allocvec(&state().hash()).unwrap();
    load("content-hash").verify(&[("after-two-changes", bytes)]);
}
