//! Tests of the encoding of state files. Valid files are decoded, and invalid files are rejected with the
//! error that matches the fault.

use meadowstream_replication::persistence::PersistedState;
use meadowstream_replication::persistence::{DecodeError, decode, encode};
use meadowstream_replication::revision::{Position, Revision};
use meadowstream_replication::snapshot::Snapshot;
use meadowstream_replication::state::State;

fn saved() -> PersistedState {
    let mut state = State::default();
    (0..100).for_each(|n| state.set(&format!("tenants/tenant/t{n}"), "2"));
    let at = Position { epoch: 3, number: 7 };
    let revision = Revision { position: at, hash: state.hash() };
    PersistedState { promised: 3, committed: Snapshot { revision, state }, entries: Vec::new() }
}

#[test]
fn a_written_state_is_read_back() {
    assert_eq!(decode(&encode(&saved())), Ok(saved()));
}

#[test]
fn every_truncation_and_every_changed_byte_is_detected() {
    let bytes = encode(&saved());
    (0..bytes.len()).for_each(|len| assert!(decode(&bytes[..len]).is_err(), "truncated to {len} bytes"));
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert!(decode(&changed).is_err(), "changed byte {at}");
    }
}

#[test]
fn each_fault_has_its_error() {
    let bytes = encode(&saved());
    assert_eq!(decode(b"something else"), Err(DecodeError::Version));
    assert_eq!(decode(&bytes[..bytes.len() - 1]), Err(DecodeError::Length));
    let longer = [&bytes[..], &[0]].concat();
    assert_eq!(decode(&longer), Err(DecodeError::Length));
    let mut changed = bytes.clone();
    *changed.last_mut().unwrap() ^= 1;
    assert_eq!(decode(&changed), Err(DecodeError::Checksum));
    let mut with_wrong_hash = saved();
    with_wrong_hash.committed.revision.hash = State::default().hash();
    assert_eq!(decode(&encode(&with_wrong_hash)), Err(DecodeError::Content));
}
