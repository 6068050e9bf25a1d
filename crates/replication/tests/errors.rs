//! Tests of the error texts for invalid settings and changes. The texts must be the same as in release 0.2.0.
//! Each text about a setting, key or value states the allowed range.

use meadowstream_replication::change::{Change, ChangeError, KEY_BYTES_MAX, VALUE_BYTES_MAX};
use meadowstream_replication::member::{Member, Settings, SettingsError};
use meadowstream_replication::message::Location;
use meadowstream_replication::replica::ProposeError;
use test_case::test_case;

fn settings(replicas: &[&str]) -> Settings {
    Settings::new(Location::default(), replicas.iter().map(|name| name.to_string()).collect())
}

#[test_case(settings(&[]), "replica: 1, 3, 5, 7 or 9 different names, not 0"; "no replica")]
#[test_case(settings(&["a", "b"]), "replica: 1, 3, 5, 7 or 9 different names, not 2"; "an even number")]
#[test_case(settings(&["a", "b", "a"]), "replica: 1, 3, 5, 7 or 9 different names, not 3"; "one name twice")]
#[test_case(
    Settings { pull_period: 9_999_999, ..settings(&["a"]) },
    "pull-ms: 10 at least";
    "pulls too fast"
)]
#[test_case(
    Settings { bytes_per_second: 2_199, ..settings(&["a"]) },
    "bytes-a-second: 2200 at least";
    "too few bytes"
)]
fn a_setting_out_of_bounds_is_named(settings: Settings, text: &str) {
    let error: SettingsError = settings.check().unwrap_err();
    assert_eq!(error.to_string(), text);
    assert!(Member::new("a", settings, 1, 0, None).is_err_and(|other| other == error));
}

#[test_case("", 0, "a key of 1 to 128 bytes, not 0"; "empty key")]
#[test_case(&"k".repeat(KEY_BYTES_MAX + 1), 0, "a key of 1 to 128 bytes, not 129"; "long key")]
#[test_case("a/b", VALUE_BYTES_MAX + 1, "\"a/b\": a value of 512 bytes at most, not 513"; "long value")]
fn a_change_out_of_bounds_is_named(key: &str, value_bytes: usize, text: &str) {
    let error: ChangeError = Change::set(key, &"v".repeat(value_bytes)).check().unwrap_err();
    assert_eq!(error.to_string(), text);
    assert_eq!(ProposeError::from(error).to_string(), text);
}

#[test]
fn a_change_at_its_bounds_is_valid() {
    let change = Change::set(&"k".repeat(KEY_BYTES_MAX), &"v".repeat(VALUE_BYTES_MAX));
    assert_eq!(change.check(), Ok(()));
}

#[test_case(&ProposeError::NotLeader, "not the publisher any more"; "not the leader")]
#[test_case(&ProposeError::Busy, "too much waits to be committed: try again"; "busy")]
#[test_case(
    &ProposeError::TooManyKeys { keys: 100_001 },
    "100001 keys are more than 100000";
    "too many keys"
)]
fn a_change_that_is_not_appended_is_answered_with_a_reason(error: &ProposeError, text: &str) {
    assert_eq!(error.to_string(), text);
}
