//! Plays the scenario files against the program itself, on loopback, with stand-ins for all it speaks to.
//! The stand-ins and the notation are in stand_ins.rs.

mod stand_ins;

use test_case::test_case;

#[test_case("answers_in_any_order")]
#[test_case("health_at_any_time")]
#[test_case("bad_calls")]
#[test_case("made_up_calls")]
#[test_case("malformed")]
#[test_case("split_at_every_byte")]
#[test_case("calls_out")]
#[test_case("call_broken_halfway")]
#[test_case("call_refused")]
#[test_case("call_given_up")]
#[test_case("link_lost")]
#[test_case("link_lost_at_a_call")]
#[test_case("link_sends_rubbish")]
#[test_case("command_not_done")]
#[test_case("late_result")]
#[test_case("half_closed")]
#[test_case("reset")]
#[test_case("slow_reader")]
#[test_case("descriptors_gone")]
#[test_case("connections_full")]
#[test_case("calls_wait_for_descriptors")]
#[test_case("idle_connection")]
#[test_case("idle_gives_way")]
#[test_case("silent")]
#[test_case("drain")]
#[test_case("drain_late")]
#[test_case("drain_takes_the_backlog")]
#[test_case("drain_before_the_banner")]
#[test_case("log_unread")]
#[test_case("killed_and_started_again")]
#[test_case("catalog")]
#[test_case("gauges_late")]
#[test_case("adds_up")]
#[test_case("reload")]
#[test_case("cannot_be_served")]
#[test_case("tenants")]
#[test_case("tenants_faulty")]
#[test_case("tokens")]
#[test_case("tokens_full")]
#[test_case("tokens_killed")]
#[test_case("mixed_shapes")]
#[test_case("shared_shape")]
fn scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"));
    stand_ins::play(name, &text);
}
