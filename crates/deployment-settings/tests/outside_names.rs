//! Compatibility with the platform's settings of release 0.2.0 (commit 22d0bb6). All paths of that release
//! must still be read with the same meaning.

use meadowstream_deployment_settings::DeploymentSettings;
use meadowstream_overload_control::{Advertisement, Downstream, Effect, Preemption};
use test_case::test_case;

/// Settings that contain each path that this crate reads.
const EVERY_PATH: &str = "grades.count=2\ngrades.0.name=load\ngrades.0.effect=by_key\n\
    grades.0.target=2000000\ngrades.0.give-up=5000000\ngrades.0.window=6000000\ngrades.0.worth=2.5\n\
    grades.0.late-worth=0.5\ngrades.1.name=save\ngrades.1.effect=once\ngrades.1.target=1000000\n\
    grades.1.give-up=4000000\ngrades.1.worth=1\norgs.count=2\norgs.0.name=red\n\
    orgs.0.allowance-per-s=30\norgs.1.name=blue\norgs.1.allowance-per-s=40\nover-share-worth=0.25\n\
    peers-total=11\ntier=1\nfamily-info.callers=9\nfamily-info.below=one_for_all\n\
    family-info.dep-share=12\nfamily-info.lingers=300000\nfamily-info.calls-over=1000000\n\
    family-info.degraded-worth=0.5,0\nfamily-info.class-calls=true,false\nfamily-info.preemption=freeze\n\
    family-info.say=weight\nfamily-info.cores=6\nfamily-info.memory-kb=22548\nfamily-info.run-factor=16\n\
    family-info.entry-kb=7\nfamily-info.own-stats=mem_used,cpu_busy,runnable\nfamily-info.idle=15000000\n\
    family-info.fresh-start=true\nfamily-info.share-for=50000\nfamily-info.tells-gone=true\n\
    family-info.passes-deadline=true\nlimits.retry-after=true\nlimits.max-retry-after=3000000\n\
    clients.marks-retry=true\ncontract.drain-grace=2500000\ncontract.grace-to-answer=60000\n\
    contract.fall-multiple=8\ncontract.cold-from=0.23\ncontract.cold=17000000\n";
const MICROSECOND: u64 = 1_000;

fn settings_with_every_path() -> DeploymentSettings {
    DeploymentSettings::from_lines(EVERY_PATH).unwrap()
}

#[test]
fn operations_and_tenants_mean_the_same() {
    let settings = settings_with_every_path();
    let deployment = settings.deployment;
    let (load, save) = (&deployment.operations[0], &deployment.operations[1]);
    assert_eq!((load.effect, save.effect), (Effect::IdempotentWithKey, Effect::NonIdempotent));
    assert_eq!(load.latency_objective, 2_000_000 * MICROSECOND);
    assert_eq!(load.client_timeout, 5_000_000 * MICROSECOND);
    assert_eq!(load.idempotency_window, 6_000_000 * MICROSECOND);
    assert_eq!((load.priority_weight, load.late_value), (2.5, 0.5));
    assert_eq!((load.degraded_value_ratio, load.makes_calls, save.makes_calls), (0.5, true, false));
    assert_eq!(deployment.tenant_allowance, [30.0, 40.0]);
    assert_eq!(deployment.over_quota_value_ratio, 0.25);
    assert_eq!((settings.operation_names, settings.tenant_names), (words("load save"), words("red blue")));
}

fn words(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_string).collect()
}

#[test]
fn sizes_and_times_mean_the_same() {
    let deployment = settings_with_every_path().deployment;
    assert_eq!((deployment.peers, deployment.callers, deployment.is_downstream_tier), (11.0, 9.0, true));
    assert_eq!(
        (
            deployment.cores,
            deployment.memory_kb,
            deployment.run_memory_factor,
            deployment.idempotency_entry_kb
        ),
        (6.0, 22_548.0, 16.0, 7.0)
    );
    assert_eq!(
        (deployment.preemption, deployment.advertisement),
        (Preemption::Pauses, Advertisement::Weight)
    );
    let (linger, window) = (300_000 * MICROSECOND, 1_000_000 * MICROSECOND);
    assert_eq!(deployment.downstream, Downstream::Shared { quota: 12.0, linger, window });
    assert_eq!(deployment.retry_after_max, 3_000_000 * MICROSECOND);
    assert_eq!(deployment.idle_timeout_max, 15_000_000 * MICROSECOND);
    assert_eq!((deployment.retries_marked, deployment.starts_cold), (true, true));
    assert_eq!(deployment.drain_grace, 2_500_000 * MICROSECOND);
    assert_eq!(deployment.answer_grace, 60_000 * MICROSECOND);
    assert_eq!((deployment.survivable_concurrency_ratio, deployment.cold_speed_ratio), (8.0, 0.23));
    assert_eq!(deployment.warm_up, 17_000_000 * MICROSECOND);
}

#[test]
fn settings_of_the_server_alone_mean_the_same() {
    let settings = settings_with_every_path();
    assert_eq!((settings.utilization_gauge, settings.runnable_gauge), (Some(1), Some(2)));
    assert_eq!(settings.read_sharing_window, 50_000 * MICROSECOND);
    assert!(settings.notifies_cancellation && settings.passes_deadline);
    assert_eq!(settings.dependency_quota, 12.0);
}

fn with(path: &str, value: &str) -> DeploymentSettings {
    let line = |line: &str| match line.split_once('=') {
        Some((name, _)) if name == path => format!("{path}={value}\n"),
        _ => format!("{line}\n"),
    };
    DeploymentSettings::from_lines(&EVERY_PATH.lines().map(line).collect::<String>()).unwrap()
}

#[test_case("off", Advertisement::None)]
#[test_case("floor", Advertisement::MinimumRank)]
#[test_case("allowance", Advertisement::ConcurrencyAllowance)]
#[test_case("weight", Advertisement::Weight)]
fn advertised_load_has_the_same_words(word: &str, advertisement: Advertisement) {
    assert_eq!(with("family-info.say", word).deployment.advertisement, advertisement);
}

#[test_case("off", Preemption::Unsupported)]
#[test_case("discard", Preemption::Discards)]
#[test_case("freeze", Preemption::Pauses)]
fn preemption_has_the_same_words(word: &str, preemption: Preemption) {
    assert_eq!(with("family-info.preemption", word).deployment.preemption, preemption);
}

#[test_case("off", Downstream::None)]
#[test_case("tier", Downstream::Tier)]
fn downstream_kinds_have_the_same_words(word: &str, downstream: Downstream) {
    assert_eq!(with("family-info.below", word).deployment.downstream, downstream);
}

#[test_case("repeatable", Effect::Idempotent)]
#[test_case("by_key", Effect::IdempotentWithKey)]
#[test_case("once", Effect::NonIdempotent)]
fn effects_have_the_same_words(word: &str, effect: Effect) {
    assert_eq!(with("grades.0.effect", word).deployment.operations[0].effect, effect);
}

/// Nested JSON, the format of the server's settings file, must be read like `path=value` lines.
#[test]
fn nested_settings_are_read_like_lines() {
    let mut root = serde_json::json!({});
    for (path, value) in EVERY_PATH.lines().filter_map(|line| line.split_once('=')) {
        let pointer = path.split('.').collect::<Vec<_>>();
        let node = pointer.iter().fold(&mut root, |object, name| &mut object[*name]);
        *node = serde_json::Value::String(value.to_string());
    }
    let lists = ["degraded-worth", "class-calls", "own-stats"];
    for name in lists {
        let text = root["family-info"][name].as_str().unwrap().to_string();
        root["family-info"][name] = text.split(',').collect();
    }
    let nested = DeploymentSettings::from_json(&root).unwrap();
    assert_eq!(format!("{:?}", nested.deployment), format!("{:?}", settings_with_every_path().deployment));
}
