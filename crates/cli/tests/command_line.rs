//! Tests that commands, options and exit codes are unchanged since release 0.2.0 (commit 22d0bb6).

use std::process::{Command, Output};
use test_case::test_case;

const FAILED: Option<i32> = Some(1);
const USAGE_ERROR: Option<i32> = Some(2);

fn run(arguments: &[&str]) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_meadowstream"));
    program.args(arguments).env_remove("ROUTER_CONFIG").output().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test_case("serve", &["--config", "--options", "--log json"])]
#[test_case("check", &["--options"])]
#[test_case("rehearse", &["--tenants", "--seconds", "--log"])]
#[test_case("fleet", &["rehearse", "--servers", "capacity", "--quick", "--seed", "--json"])]
#[test_case("rollout", &["--options", "--state", "--wait", "status", "abort"])]
#[test_case("control", &["--options", "--log json"])]
#[test_case("publish", &["--options", "--wait", "revert", "status"])]
#[test_case("version", &[])]
fn each_command_has_a_help_page_with_its_options(command: &str, options: &[&str]) {
    let output = run(&[command, "--help"]);
    assert_eq!(output.status.code(), Some(0));
    let page = String::from_utf8(output.stdout).unwrap();
    assert!(page.starts_with(&format!("meadowstream {command}")), "{page}");
    for option in options {
        assert!(page.contains(option), "{option}");
    }
}

/// Each command line is valid, but names a file that does not exist. The command must fail because of the
/// file, and not because of its arguments.
#[test_case(&["serve", "--config", "/no/file", "--options", "/no/options", "--log", "json"])]
#[test_case(&["serve", "--config", "/no/file", "--log", "text"])]
#[test_case(&["check", "/no/file", "--options", "/no/options"])]
#[test_case(&["rollout", "/no/plan", "--options", "/no/options", "--state", "/no/state", "--wait", "3"])]
#[test_case(&["rollout", "status", "/no/plan", "--state", "/no/state"])]
#[test_case(&["rollout", "abort", "/no/plan", "--state", "/no/state"])]
#[test_case(&["control", "--options", "/no/options", "--log", "json"])]
#[test_case(&["publish", "/no/change", "--options", "/no/options", "--wait", "3"])]
#[test_case(&["publish", "revert", "4", "--options", "/no/options", "--wait", "3"])]
#[test_case(&["publish", "status", "--options", "/no/options", "--wait", "3"])]
fn options_are_accepted(arguments: &[&str]) {
    let output = run(arguments);
    assert_eq!(output.status.code(), FAILED, "{}", stderr(&output));
    assert!(stderr(&output).contains("/no/"), "{}", stderr(&output));
}

#[test_case(&[], "meadowstream: a server with overload control inside")]
#[test_case(&["shrug"], "meadowstream: a server with overload control inside")]
#[test_case(&["serve"], "neither --config nor $ROUTER_CONFIG names a configuration")]
#[test_case(&["serve", "--config", "/no/file", "--log", "xml"], "--log: \"xml\" is neither text nor json")]
#[test_case(&["serve", "--config", "/no/file", "more"], "not understood")]
#[test_case(&["check"], "meadowstream check FILE")]
#[test_case(&["rehearse", "--tenants", "0"], "--tenants: 0 is not within 1 and 2000")]
#[test_case(&["rehearse", "--seconds", "5", "--log"], "--seconds: 5 is not within 6 and 50")]
#[test_case(&["fleet"], "fleet: say rehearse or capacity")]
#[test_case(&["fleet", "sing"], "fleet: \"sing\" is neither rehearse nor capacity")]
#[test_case(&["fleet", "rehearse", "--servers", "3"], "--servers: 3 is not within 4 and 64")]
#[test_case(&["fleet", "capacity", "--quick", "--seed", "4", "--json", "f", "--servers", "1"], "--servers:")]
#[test_case(&["rollout"], "rollout: name a plan")]
#[test_case(&["rollout", "plan"], "rollout: --options is to name the fleet's settings")]
#[test_case(&["control"], "control: --options is to name the fleet's settings")]
#[test_case(&["publish", "change"], "publish: --options is to name the fleet's settings")]
#[test_case(&["publish", "--options", "o"], "publish: name the file of a change, or status, or revert")]
#[test_case(&["publish", "revert", "x", "--options", "o"], "revert: \"x\" is no number")]
fn usage_errors_are_reported(arguments: &[&str], message: &str) {
    let output = run(arguments);
    assert_eq!(output.status.code(), USAGE_ERROR, "{}", stderr(&output));
    assert!(stderr(&output).contains(message), "{}", stderr(&output));
}

#[test]
fn the_environment_may_name_the_configuration() {
    let mut program = Command::new(env!("CARGO_BIN_EXE_meadowstream"));
    let output = program.arg("serve").env("ROUTER_CONFIG", "/no/file").output().unwrap();
    assert_eq!(output.status.code(), FAILED);
    assert!(stderr(&output).contains("/no/file"), "{}", stderr(&output));
}

/// The configuration file that the README uses in its first commands must be valid.
#[test]
fn the_example_configuration_passes_the_check() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/server-example.json");
    let output = run(&["check", example]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert!(stdout.contains("n3 would listen on 127.0.0.4:6565 for load"), "{stdout}");
}
