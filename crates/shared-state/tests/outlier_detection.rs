//! Judgements on services below, and the laws of counts.

use meadowstream_shared_state::ServerId;
use meadowstream_shared_state::clock::{DriftClock, Reading, Time};
use meadowstream_shared_state::counters::{CounterRow, FleetCounters, Limits, RejectedRow};
use meadowstream_shared_state::outlier_detection::{OutlierDetector, Report, ServiceHealth, Settings};
use proptest::prelude::*;
use std::collections::BTreeMap;

const S: u64 = 1_000_000_000;

fn who(i: usize) -> ServerId {
    ServerId { name: format!("s{i}"), incarnation: 1 }
}

fn settings(services: usize, max_ejected_thousandths: usize) -> Settings {
    let services = (0..services).map(|i| format!("bank-{i}")).collect();
    Settings { services, reports: 2, max_ejected_thousandths, expiry: 5 * S }
}

fn judges(n: usize, services: usize, share: usize) -> Vec<OutlierDetector> {
    (0..n).map(|i| OutlierDetector::new(who(i), settings(services, share)).unwrap()).collect()
}

/// So many calls of one server to a service.
fn calls(judge: &mut OutlierDetector, at: u64, service: usize, good: bool, took: u64) {
    (0..10).for_each(|_| judge.record_call(Time::both(at), service, good, took));
}

fn tell(judges: &mut [OutlierDetector], from: usize, to: usize, at: u64) {
    let reports = judges[from].reports(Time::both(at));
    judges[to].merge_reports(Time::both(at), &reports);
}

#[test]
fn one_accuser_is_not_enough_and_two_are() {
    let mut fleet = judges(4, 4, 500);
    calls(&mut fleet[0], 0, 1, false, S);
    for to in 1..4 {
        tell(&mut fleet, 0, to, S / 10);
    }
    // The accuser has heard others, who find nothing.
    tell(&mut fleet, 2, 0, S / 10);
    assert!(fleet.iter().all(|judge| judge.ejected(Time::both(S / 10)).is_empty()));
    calls(&mut fleet[1], 0, 1, false, S);
    // Told to one and by that one to the next: reports are relayed.
    tell(&mut fleet, 1, 2, S / 5);
    tell(&mut fleet, 2, 3, S / 5);
    tell(&mut fleet, 3, 0, S / 5);
    for judge in &fleet {
        assert_eq!(judge.ejected(Time::both(S / 5)), [1]);
    }
    // Nobody says so any more: it comes back, and one cut off goes by its own evidence.
    let late = Time::both(12 * S);
    assert!(fleet[3].ejected(late).is_empty() && fleet[3].is_isolated(late));
}

#[test]
fn one_that_hears_nobody_goes_by_its_own_evidence() {
    let mut judge = judges(1, 4, 500).remove(0);
    calls(&mut judge, 0, 2, false, S);
    assert_eq!(judge.ejected(Time::both(1)), [2]);
    (0..4).for_each(|service| calls(&mut judge, 0, service, true, if service == 3 { 9 * S } else { S }));
    assert_eq!(judge.local_health(Time::both(1), 3), ServiceHealth::Slow);
}

/// Whatever is reported: a network fault that makes every server accuse every service leaves most of the
/// tier in use.
#[test]
fn never_more_than_the_share_of_a_tier_is_ejected() {
    for (services, share, most) in [(4, 500, 2), (3, 340, 1), (2, 340, 0), (10, 300, 3), (1, 1000, 1)] {
        let mut fleet = judges(5, services, share);
        for judge in &mut fleet {
            (0..services).for_each(|service| calls(judge, 0, service, false, S));
        }
        for from in 0..5 {
            (0..5).filter(|to| *to != from).for_each(|to| tell(&mut fleet, from, to, 1));
        }
        for judge in &fleet {
            assert_eq!(judge.ejected(Time::both(1)).len(), most, "{services} services");
        }
    }
}

#[test]
fn bad_reports_are_refused_and_old_lives_are_not_believed() {
    let mut judge = judges(1, 2, 500).remove(0);
    let report = |incarnation, service, health, age| Report {
        by: ServerId { name: "s7".into(), incarnation },
        service,
        health,
        age,
    };
    let nameless = Report { by: ServerId::default(), ..report(1, 0, ServiceHealth::Failing, 0) };
    judge.merge_reports(
        Time::both(1),
        &[report(1, 9, ServiceHealth::Failing, 0), report(1, 0, ServiceHealth::Failing, 6 * S), nameless],
    );
    assert_eq!(judge.rejected, 3);
    judge.merge_reports(
        Time::both(1),
        &[report(2, 0, ServiceHealth::Healthy, S), report(1, 0, ServiceHealth::Failing, 0)],
    );
    assert_eq!(judge.accusers(Time::both(1), 0), 0, "a report of its life before");
    judge.merge_reports(Time::both(2), &[report(2, 0, ServiceHealth::Failing, 2 * S)]);
    assert_eq!(judge.accusers(Time::both(2), 0), 0, "older than what is known");
    judge.merge_reports(Time::both(2), &[report(2, 0, ServiceHealth::Failing, 0)]);
    assert_eq!(judge.accusers(Time::both(2), 0), 1);
}

#[test]
fn bad_settings_name_their_place() {
    let bad = |change: fn(&mut Settings)| {
        let mut given = settings(2, 500);
        change(&mut given);
        given.check().unwrap_err().to_string()
    };
    assert!(bad(|s| s.services[1] = "bank-0".into()).contains("service"));
    assert!(bad(|s| s.reports = 0).contains("reports"));
    assert!(bad(|s| s.max_ejected_thousandths = 1001).contains("eject-share"));
}

#[test]
fn two_clocks_give_an_early_and_a_late_time() {
    let mut watch = DriftClock::default();
    let read = |watch: &mut DriftClock, monotonic, wall| watch.read(Reading { monotonic, wall });
    assert_eq!(read(&mut watch, 100, 900), Time { fast: 0, slow: 0 });
    assert_eq!(read(&mut watch, 110, 910), Time { fast: 10, slow: 10 });
    // One stands still; one leaps back; one leaps ahead by an hour.
    assert_eq!(read(&mut watch, 110, 920), Time { fast: 20, slow: 10 });
    assert_eq!(read(&mut watch, 120, 500), Time { fast: 30, slow: 10 });
    assert_eq!(read(&mut watch, 130, 3600 * S), Time { fast: 30 + 3600 * S - 500, slow: 20 });
    assert_eq!(watch.disagreements, 1);
}

fn row() -> impl Strategy<Value = CounterRow> {
    proptest::collection::btree_map("[a-c]", 0u64..100, 0..4).prop_map(|counts| CounterRow { counts })
}

fn merged(rows: &[&CounterRow]) -> BTreeMap<String, u64> {
    let mut all = CounterRow::default();
    rows.iter().for_each(|row| {
        all.merge(row);
    });
    all.counts
}

proptest! {
    /// Merging is idempotent, commutative and associative, and never loses a count.
    #[test]
    fn merges_have_the_laws(a in row(), b in row(), c in row()) {
        prop_assert_eq!(merged(&[&a, &a]), a.counts.clone());
        prop_assert_eq!(merged(&[&a, &b]), merged(&[&b, &a]));
        let ab = CounterRow { counts: merged(&[&a, &b]) };
        let bc = CounterRow { counts: merged(&[&b, &c]) };
        prop_assert_eq!(merged(&[&ab, &c]), merged(&[&a, &bc]));
        prop_assert!(ab.version() >= a.version().max(b.version()));
    }

    /// Any bytes and any rows: bounded, counted, never a panic, and nobody raises another's own row.
    #[test]
    fn rows_of_peers_are_bounded(
        names in proptest::collection::vec("[a-z]{0,80}", 0..60),
        count in any::<u64>(),
    ) {
        let limits = Limits { rows: 8, keys: 4, rate_max: 1000 };
        let mut counts = FleetCounters::new(who(0), limits);
        counts.add("mine", 5);
        for (i, name) in names.iter().enumerate() {
            let of = ServerId { name: format!("s{}", i % 20), incarnation: 1 };
            let row = CounterRow { counts: BTreeMap::from([(name.clone(), count)]) };
            let taken = counts.merge(&of, &row, 61 * S);
            prop_assert!(count <= 121_000 || i % 20 == 0 || taken.is_err());
        }
        prop_assert!(counts.rows() <= 8 && counts.totals().len() <= 8 * 4 + 1);
        let more = CounterRow { counts: BTreeMap::from([("mine".into(), 6)]) };
        prop_assert_eq!(counts.merge(&who(0), &more, 0), Err(RejectedRow::Own));
        prop_assert_eq!(counts.total("mine"), 5);
    }
}
