//! Tests outlier detection: when a service is ejected, and which received reports are rejected.

use meadowstream_shared_state::ServerId;
use meadowstream_shared_state::clock::Time;
use meadowstream_shared_state::outlier_detection::{OutlierDetector, Report, ServiceHealth, Settings};

const S: u64 = 1_000_000_000;

fn server(i: usize) -> ServerId {
    ServerId { name: format!("s{i}"), incarnation: 1 }
}

fn settings(services: usize, max_ejected_thousandths: usize) -> Settings {
    let services = (0..services).map(|i| format!("bank-{i}")).collect();
    Settings { services, accusers_min: 2, max_ejected_thousandths, expiry: 5 * S }
}

fn detectors(n: usize, services: usize, share: usize) -> Vec<OutlierDetector> {
    (0..n).map(|i| OutlierDetector::new(server(i), settings(services, share)).unwrap()).collect()
}

/// Records ten calls from one server to a service. All ten calls have the given result and duration.
fn record_calls(detector: &mut OutlierDetector, at: u64, service: usize, succeeded: bool, duration: u64) {
    (0..10).for_each(|_| detector.record_call(Time::from_agreeing_clocks(at), service, succeeded, duration));
}

fn gossip(detectors: &mut [OutlierDetector], from: usize, to: usize, at: u64) {
    let reports = detectors[from].reports(Time::from_agreeing_clocks(at));
    detectors[to].merge_reports(Time::from_agreeing_clocks(at), &reports);
}

#[test]
fn two_accusers_eject_a_service_and_one_does_not() {
    let mut fleet = detectors(4, 4, 500);
    record_calls(&mut fleet[0], 0, 1, false, S);
    for to in 1..4 {
        gossip(&mut fleet, 0, to, S / 10);
    }
    // Server 0 finds a service unhealthy. It receives reports from server 2, which state that every service
    // is healthy. Because it receives these reports, server 0 does not count as isolated.
    gossip(&mut fleet, 2, 0, S / 10);
    assert!(fleet.iter().all(|detector| detector.ejected(Time::from_agreeing_clocks(S / 10)).is_empty()));
    record_calls(&mut fleet[1], 0, 1, false, S);
    // The report of server 1 reaches servers 3 and 0 through other servers.
    gossip(&mut fleet, 1, 2, S / 5);
    gossip(&mut fleet, 2, 3, S / 5);
    gossip(&mut fleet, 3, 0, S / 5);
    for detector in &fleet {
        assert_eq!(detector.ejected(Time::from_agreeing_clocks(S / 5)), [1]);
    }
    // Once the reports have expired, the service is no longer ejected. Server 3 then counts as isolated and
    // relies on its own evidence. By this evidence, the service is healthy.
    let late = Time::from_agreeing_clocks(12 * S);
    assert!(fleet[3].ejected(late).is_empty() && fleet[3].is_isolated(late));
}

#[test]
fn an_isolated_server_relies_on_its_own_evidence() {
    let mut detector = detectors(1, 4, 500).remove(0);
    record_calls(&mut detector, 0, 2, false, S);
    assert_eq!(detector.ejected(Time::from_agreeing_clocks(1)), [2]);
    (0..4).for_each(|service| {
        record_calls(&mut detector, 0, service, true, if service == 3 { 9 * S } else { S })
    });
    assert_eq!(detector.local_health(Time::from_agreeing_clocks(1), 3), ServiceHealth::Slow);
}

/// Even if a network fault makes every server find every service unhealthy, at most the configured share of
/// the tier may be ejected.
#[test]
fn at_most_the_configured_share_of_a_tier_is_ejected() {
    for (services, share, ejected) in [(4, 500, 2), (3, 340, 1), (2, 340, 0), (10, 300, 3), (1, 1000, 1)] {
        let mut fleet = detectors(5, services, share);
        for detector in &mut fleet {
            (0..services).for_each(|service| record_calls(detector, 0, service, false, S));
        }
        for from in 0..5 {
            (0..5).filter(|to| *to != from).for_each(|to| gossip(&mut fleet, from, to, 1));
        }
        for detector in &fleet {
            assert_eq!(detector.ejected(Time::from_agreeing_clocks(1)).len(), ejected, "{services} services");
        }
    }
}

#[test]
fn invalid_reports_and_those_of_earlier_incarnations_are_rejected() {
    let mut detector = detectors(1, 2, 500).remove(0);
    let report = |incarnation, service, health, age| Report {
        by: ServerId { name: "s7".into(), incarnation },
        service,
        health,
        age,
    };
    let nameless = Report { by: ServerId::default(), ..report(1, 0, ServiceHealth::Failing, 0) };
    detector.merge_reports(
        Time::from_agreeing_clocks(1),
        &[report(1, 9, ServiceHealth::Failing, 0), report(1, 0, ServiceHealth::Failing, 6 * S), nameless],
    );
    assert_eq!(detector.rejected, 3);
    detector.merge_reports(
        Time::from_agreeing_clocks(1),
        &[report(2, 0, ServiceHealth::Healthy, S), report(1, 0, ServiceHealth::Failing, 0)],
    );
    assert_eq!(detector.accusers(Time::from_agreeing_clocks(1), 0), 0, "a report of an earlier incarnation");
    detector.merge_reports(Time::from_agreeing_clocks(2), &[report(2, 0, ServiceHealth::Failing, 2 * S)]);
    assert_eq!(detector.accusers(Time::from_agreeing_clocks(2), 0), 0, "a report older than the stored one");
    detector.merge_reports(Time::from_agreeing_clocks(2), &[report(2, 0, ServiceHealth::Failing, 0)]);
    assert_eq!(detector.accusers(Time::from_agreeing_clocks(2), 0), 1);
}

#[test]
fn errors_name_the_invalid_setting() {
    let error = |change: fn(&mut Settings)| {
        let mut invalid = settings(2, 500);
        change(&mut invalid);
        invalid.check().unwrap_err().to_string()
    };
    assert!(error(|s| s.services[1] = "bank-0".into()).contains("service"));
    assert!(error(|s| s.accusers_min = 0).contains("reports"));
    assert!(error(|s| s.max_ejected_thousandths = 1001).contains("eject-share"));
}
