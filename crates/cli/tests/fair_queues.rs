//! The program itself on loopback, with stand-ins round it: many small tenants and one that floods.

use meadowstream_test_doubles::night::{self, Outcome};
use meadowstream_test_doubles::table::table;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// One night at a time: each wants the machine's cores for itself.
static STAGE: Mutex<()> = Mutex::new(());

fn play(plan: night::Plan) -> Outcome {
    let _alone = STAGE.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let program = Path::new(env!("CARGO_BIN_EXE_meadowstream"));
    let outcome = night::play(program, plan, |line| println!("{line}")).unwrap();
    println!("{}\n{}", table(&outcome.tallies), outcome.shares.join("\n"));
    outcome
}

/// The four rules as they can be seen from outside, and counters that add up.
fn all_in_order(outcome: &Outcome) {
    let count = |name: &str| outcome.counters[name];
    assert_eq!(outcome.exit, Some(0));
    assert_eq!((outcome.stray, outcome.broken), (0, 0), "each is answered once, on its own connection");
    assert_eq!(outcome.seen.twice.load(Relaxed), 0, "nothing runs twice");
    let answered = count("succeeded") + count("throttled") + count("errored") + count("unanswered");
    assert_eq!(count("invocations"), answered, "{:?}", outcome.counters);
    assert_eq!((count("errored"), count("bad_commands"), count("malformed")), (0, 0, 0));
    assert!(outcome.seen.crowd.load(Relaxed) <= 16, "the cores survive eight times as many runs");
    assert!(outcome.peak_kib < 64 << 10, "{} KiB", outcome.peak_kib);
    let shares = outcome.shares.iter().find(|line| line.contains(" bytes=")).expect("asked for");
    let bytes = shares.split(" bytes=").nth(1).and_then(|rest| rest.split(' ').next()?.parse::<usize>().ok());
    let ceiling = meadowstream_fair_queueing::Settings::default().bytes_max();
    assert!(bytes.is_some_and(|bytes| bytes <= ceiling), "{bytes:?} of {ceiling}");
}

/// A count of the shares' log line, `counts: Counts { within: 7509, ..., broken: 13, ... }`.
fn count_of(outcome: &Outcome, name: &str) -> u64 {
    let line = outcome.shares.iter().find(|line| line.contains(" counts=")).expect("asked for");
    let rest = line.split(&format!(" {name}: ")).nth(1).expect("a count");
    rest.split([',', ' ']).next().and_then(|count| count.parse().ok()).expect("a number")
}

#[test]
fn light_tenants_keep_their_shares_and_advice_is_kept() {
    let plan = night::busy_night(Duration::from_secs(5), Duration::from_secs(12), 200);
    let outcome = play(plan);
    all_in_order(&outcome);
    let [light, flood] = &outcome.tallies[..] else { panic!("two groups") };
    let all = light.sent + flood.sent;
    assert!(light.tenants >= 200 && flood.sent as f64 > 0.85 * all as f64);
    assert!(light.share() >= 0.95, "{}", light.share());
    assert!(
        light.worst() >= 0.95 || light.each.iter().all(|(sent, good)| sent - good <= 1),
        "{:?}",
        light.each
    );
    // The server does not keep advice where its learned running limit has since fallen to under half, as it
    // does where the machine under the test is taken away for a moment, and counts that as broken itself:
    // 14 in one of three runs beside six busy processes, 0 in most. Of the others nearly all are kept;
    // it was 0.73 where those who return had no place in the order.
    let returns = light.returns + flood.returns;
    let broken = count_of(&outcome, "broken");
    let kept = (light.kept + flood.kept) as f64 / returns.saturating_sub(broken) as f64;
    assert!(returns > 100 && broken * 20 <= returns, "{broken} broken of {returns}");
    assert!(kept >= 0.97, "{kept} of {returns} less {broken}");
    assert!(flood.in_time > 0, "what others leave is the flood's");
}

#[test]
fn a_drain_while_promises_stand_answers_all() {
    let plan = night::busy_night(Duration::from_secs(2), Duration::from_secs(3), 200);
    let outcome = play(night::Plan { leave_early: true, seed: 12, ..plan });
    all_in_order(&outcome);
    let shares = outcome.shares.iter().find(|line| line.contains("promises=")).unwrap();
    assert!(!shares.contains("promises=0 "), "promises stood when it was told to leave: {shares}");
}

#[test]
fn one_that_makes_up_names_gains_nothing() {
    let mut plan = night::busy_night(Duration::from_secs(5), Duration::from_secs(6), 200);
    plan.groups[1].names = 1_000_000_000;
    let outcome = play(night::Plan { seed: 13, ..plan });
    all_in_order(&outcome);
    assert!(outcome.tallies[0].share() >= 0.95, "{}", outcome.tallies[0].share());
}

/// Four calls would be in its hands in the mean if all were made; the share is one.
#[test]
fn a_dependency_that_slows_eightfold_is_not_overloaded() {
    let plan = night::slow_dependency(Duration::from_secs(3), Duration::from_secs(8));
    let outcome = play(plan);
    all_in_order(&outcome);
    let [all] = &outcome.tallies[..] else { panic!("one group") };
    println!("{} calls at night, {:.3} in hand", outcome.calls, outcome.in_hand);
    assert!(outcome.in_hand <= 1.0, "{} calls in hand of a share of 1", outcome.in_hand);
    assert!(outcome.calls > 0 && outcome.counters["calls_left_out"] > 0, "{:?}", outcome.counters);
    assert!(all.in_time * 20 >= all.sent * 19, "{} of {} in time", all.in_time, all.sent);
}
