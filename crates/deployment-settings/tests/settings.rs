//! Tests that read a deployment's settings from lines and from JSON, and tests of the errors in such
//! settings.

use meadowstream_deployment_settings::DeploymentSettings;
use meadowstream_overload_control::{Advertisement, Effect, Preemption};

const GOOD: &str = "grades.count=1\ngrades.0.effect=by_key\ngrades.0.target=2000000\n\
    grades.0.give-up=5000000\ngrades.0.window=5000000\ngrades.0.worth=2.5\npeers-total=11\n\
    family-info.below=off\nfamily-info.preemption=freeze\nfamily-info.say=weight\n\
    family-info.cores=6\nfamily-info.memory-kb=1000\nfamily-info.run-factor=4\n\
    family-info.entry-kb=7\nfamily-info.own-stats=mem_used,cpu_busy\nfamily-info.idle=15000000\n\
    contract.drain-grace=2500000\n\
    contract.grace-to-answer=60000\ncontract.fall-multiple=8.0\n\
    contract.cold-from=0.2\ncontract.cold=17000000\nsome.unknown=key\n";

#[test]
fn reads_the_settings_of_the_controller() {
    let settings = DeploymentSettings::from_lines(GOOD).unwrap();
    let deployment = settings.deployment;
    assert_eq!(
        (deployment.operations[0].effect, deployment.operations[0].priority_weight),
        (Effect::IdempotentWithKey, 2.5)
    );
    assert_eq!(deployment.operations[0].latency_objective, 2_000_000_000);
    assert_eq!(
        (deployment.preemption, deployment.advertisement, deployment.retry_after_max),
        (Preemption::Pauses, Advertisement::Weight, 0)
    );
    assert_eq!((settings.utilization_gauge, settings.runnable_gauge), (Some(1), None));
}

#[test]
fn reads_the_same_from_json() {
    let json = serde_json::json!({
        "grades": [{"effect": "by_key", "target": 2_000_000, "give-up": 5_000_000, "window": 5_000_000,
            "worth": 2.5}],
        "peers-total": 11, "orgs": [], "some": {"unknown": "key"},
        "family-info": {"below": "off", "preemption": "freeze", "say": "weight", "cores": 6,
            "memory-kb": 1000, "run-factor": 4, "entry-kb": 7, "own-stats": ["mem used", "cpu_busy"],
            "idle": 15_000_000, "fresh-start": null},
        "contract": {"drain-grace": 2_500_000, "grace-to-answer": 60_000, "fall-multiple": 8.0,
            "cold-from": 0.2, "cold": 17_000_000},
    });
    let (settings, same) =
        (DeploymentSettings::from_json(&json).unwrap(), DeploymentSettings::from_lines(GOOD).unwrap());
    assert_eq!(format!("{:?}", settings.deployment), format!("{:?}", same.deployment));
    assert_eq!(
        (settings.utilization_gauge, settings.operation_names),
        (same.utilization_gauge, same.operation_names)
    );
}

#[test]
fn errors_contain_the_path() {
    for line in GOOD.lines().filter(|line| !line.starts_with("some.") && !line.contains("own-stats")) {
        let path = line.split('=').next().unwrap();
        let without = GOOD.replace(&format!("{line}\n"), "");
        let bad = GOOD.replace(line, &format!("{path}=?"));
        for config in [without, bad] {
            let error = DeploymentSettings::from_lines(&config)
                .err()
                .unwrap_or_else(|| panic!("no error without {path} or with an invalid value"));
            assert!(format!("{error:#}").contains(path), "{error:#}");
        }
    }
}
