//! Tests what `rollout status` says of a rollout's state file: who runs the change, and who may still run it.

use std::process::Command;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use test_case::test_case;

/// Returns what `rollout status` prints for a state file with the fields `fields`.
fn status(fields: &str) -> String {
    static STATE_FILES: AtomicUsize = AtomicUsize::new(0);
    let number = STATE_FILES.fetch_add(1, Relaxed);
    let name = format!("meadowstream-status-{}-{number}.state", std::process::id());
    let path = std::env::temp_dir().join(name);
    let text = format!(r#"{{"plan":"p","candidate":255,"stage":0,"baselines":{{"of":{{}}}},{fields}}}"#);
    std::fs::write(&path, text).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_meadowstream"));
    let output = program.args(["rollout", "status", "plan", "--state"]).arg(&path).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// Guards against a status that says that no server has the change although some have not confirmed that they
/// went back, and against one that takes an order for its execution.
#[test_case(
    r#""phase":"Baking","changed":["s0"]"#,
    "baking\n1 servers are ordered to run the change: s0\n";
    "a stage under way")]
#[test_case(
    r#""phase":{"RollingBack":{"why":"w"}},"changed":[],"pending_rollback":["s0"]"#,
    "rolling back: w\n1 servers have not confirmed yet that they went back: s0\n";
    "a rollback under way")]
#[test_case(
    r#""phase":{"RollingBack":{"why":"w"}},"changed":[]"#,
    "rolling back: w\nthe state does not say which servers have to go back\n";
    "a rollback of the last release")]
#[test_case(
    r#""phase":{"RolledBack":{"why":"w","left":["s0","s2"]}},"changed":[],"pending_rollback":["s0"]"#,
    "rolled back: w; NOT CONFIRMED by s0, s2\n1 servers may still run the change: s0\n";
    "a rollback that a changed and an unchanged server did not confirm")]
#[test_case(
    r#""phase":{"RolledBack":{"why":"w","left":["s0"]}},"changed":[]"#,
    "rolled back: w; NOT CONFIRMED by s0\n1 servers may still run the change: s0\n";
    "a rollback that the last release ended")]
#[test_case(
    r#""phase":{"RolledBack":{"why":"w","left":[]}},"changed":[],"pending_rollback":[]"#,
    "rolled back: w\nall changed servers have confirmed that they went back\n";
    "a complete rollback")]
#[test_case(
    r#""phase":{"Stopped":{"why":"w"}},"changed":["s0"]"#,
    "stopped: w; NOT ROLLED BACK: s0\n1 servers were ordered to run the change and keep it: s0\n";
    "a stop")]
#[test_case(
    r#""phase":{"Stopped":{"why":"w"}},"changed":[]"#,
    "stopped: w\n0 servers were ordered to run the change\n";
    "a stop before any change")]
#[test_case(
    r#""phase":"Done","changed":["s0","s1"],"left_out":["s2"]"#,
    "done: all stages went through; NOT CHANGED: s2\n2 servers have adopted the change: s0, s1\n";
    "an end that left a server out")]
fn status_names_who_has_the_change(fields: &str, expected: &str) {
    let printed = status(fields);
    assert_eq!(printed, format!("plan \"p\", settings 00000000000000ff, stage 1\n{expected}"));
}
