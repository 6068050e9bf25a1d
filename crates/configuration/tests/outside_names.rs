//! Compatibility with files written for release 0.2.0 (commit 22d0bb6). Each name of that release must still
//! be in the schema with its type and default. A file that uses all of these names must be read with the same
//! meaning as before.

use meadowstream_configuration::change::{overlay_replicated, read_change};
use meadowstream_configuration::{Options, Origin, PlanFile, TenantSource, Tenants, TierService};
use meadowstream_fair_queueing::Settings;
use meadowstream_rollout::plan::{ChangeKind, OnRegression, StageSize, Thresholds};
use roxmltree::{Document, Node};
use std::collections::BTreeSet;
use std::path::Path;

const SCHEMA: &str = include_str!("../../../deploy/meadowstream.xsd");
const RECORDED: &str = include_str!("fixtures/schema-names.txt");
const EVERY_OPTION: &str = include_str!("fixtures/every-option.xml");
const MILLISECOND: u64 = 1_000_000;

/// Adds one line to `lines` for each element, attribute and choice of the schema, in the format of the
/// fixture file `schema-names.txt`.
fn schema_lines(node: Node, path: &[String], lines: &mut BTreeSet<String>) {
    for child in node.children().filter(Node::is_element) {
        let attribute = |name: &str| child.attribute(name).unwrap_or("-");
        let child_path = |step: String| [path, &[step]].concat();
        match (child.tag_name().name(), child.attribute("name")) {
            ("element", Some(name)) => {
                let path = child_path(name.to_string());
                let (kind, min, max) = (attribute("type"), attribute("minOccurs"), attribute("maxOccurs"));
                lines.insert(format!("element {} type={kind} min={min} max={max}", path.join("/")));
                schema_lines(child, &path, lines);
            }
            ("complexType", Some(name)) => schema_lines(child, &child_path(format!("type:{name}")), lines),
            ("attribute", Some(name)) => {
                let (kind, usage, default) = (attribute("type"), attribute("use"), attribute("default"));
                let parent = path.join("/");
                lines.insert(format!("attribute {parent} @{name} type={kind} use={usage} default={default}"));
                schema_lines(child, &child_path(format!("@{name}")), lines);
            }
            ("enumeration", _) => {
                lines.insert(format!("choice {} {}", path.join("/"), attribute("value")));
            }
            _ => schema_lines(child, path, lines),
        }
    }
}

#[test]
fn the_schema_has_every_recorded_name() {
    let schema = Document::parse(SCHEMA).unwrap();
    let mut lines = BTreeSet::new();
    schema_lines(schema.root_element(), &[], &mut lines);
    for recorded in RECORDED.lines() {
        assert!(lines.contains(recorded), "{recorded} is no longer in the schema");
    }
}

#[test]
fn tenants_tokens_calls_and_control_mean_the_same() {
    let options = Options::read(EVERY_OPTION).unwrap();
    let Tenants { source, origin, surplus_value, shown, fair } = options.tenants.unwrap();
    assert_eq!((source, origin), (TenantSource::Field("venue".into()), Origin::Sender));
    assert_eq!((surplus_value, shown), (0.25, 9));
    let Settings { accounts, cells, origins, promises, names_per_origin, default_weight, .. } = fair;
    assert_eq!((accounts, cells, origins, promises), (5_000, 70_000, 300, 17_000));
    assert_eq!((names_per_origin, default_weight), (2048.0, 2.0));
    assert_eq!(fair.burst, 16_000 * MILLISECOND);
    assert_eq!(fair.probation, 2_100 * MILLISECOND);
    assert_eq!(fair.return_grace, 510 * MILLISECOND);
    assert_eq!(fair.named.to_vec(), [(b"arms-park".to_vec(), 10.0), (b"rodney-parade".to_vec(), 2.0)]);
    let tokens = options.idempotency_keys.unwrap();
    assert_eq!((tokens.field.as_str(), tokens.entries, tokens.result_bytes), ("key", 5_001, 2_048 << 10));
    assert_eq!(options.skipped_call_reply.as_deref(), Some("nothing"));
    assert_eq!(options.target_utilization, Some(0.85));
}

#[test]
fn membership_means_the_same() {
    let membership = Options::read(EVERY_OPTION).unwrap().membership.unwrap();
    assert_eq!(membership.bind, "127.0.0.1:7946".parse().unwrap());
    assert_eq!(membership.advertise, Some("127.0.0.2:7947".parse().unwrap()));
    assert_eq!((membership.name.as_deref(), membership.fleet.as_str()), (Some("s1"), "quiz"));
    assert_eq!(membership.key_file, Path::new("fleet.key"));
    assert_eq!(membership.seeds, ["127.0.0.1:7948".parse().unwrap()]);
    assert_eq!(membership.probe_period, 900 * MILLISECOND);
    assert_eq!(membership.probe_rtt, 300 * MILLISECOND);
    assert_eq!((membership.suspicion_multiplier, membership.expected_members), (5, 690));
    assert_eq!(membership.gossip_period, 210 * MILLISECOND);
    assert_eq!(membership.announce_period, 11_000 * MILLISECOND);
    assert_eq!(membership.bytes_a_second, 190_000);
}

#[test]
fn shared_state_means_the_same() {
    let shared = Options::read(EVERY_OPTION).unwrap().shared_state.unwrap();
    assert_eq!(shared.gossip_interval, 510 * MILLISECOND);
    let budget = shared.budget.unwrap();
    assert_eq!((budget.name.as_str(), budget.total, budget.floor, budget.servers), ("records", 400, 3, 8));
    assert_eq!((budget.lease, budget.use_max), (4_100 * MILLISECOND, 1_100 * MILLISECOND));
    assert_eq!(budget.voters, ["s1"]);
    let tier = shared.tier.unwrap();
    assert_eq!((tier.accusers_min, tier.max_ejected_thousandths, tier.expiry), (3, 250, 5_100 * MILLISECOND));
    let service = TierService { name: "r1".to_string(), address: "127.0.0.1:8900".parse().unwrap() };
    assert_eq!(tier.services, [service]);
}

#[test]
fn rollout_and_replication_mean_the_same() {
    let options = Options::read(EVERY_OPTION).unwrap();
    let rollout = options.rollout.unwrap();
    assert_eq!((rollout.candidate.as_path(), rollout.servers), (Path::new("next.xml"), 9));
    assert_eq!(rollout.program.as_deref(), Some(Path::new("next")));
    assert_eq!((rollout.voters, rollout.lease), (vec!["s2".to_string()], 4_200 * MILLISECOND));
    let replication = options.replication.unwrap();
    assert_eq!((replication.region.as_str(), replication.zone.as_str()), ("west", "w1"));
    assert_eq!((replication.file.as_path(), replication.replicas), (Path::new("state"), vec!["c0".into()]));
    assert_eq!((replication.pull_period, replication.lease), (520 * MILLISECOND, 4_300 * MILLISECOND));
    assert_eq!((replication.bytes_a_second, replication.stale_after), (13_000, 61_000 * MILLISECOND));
}

const PLAN: &str = r#"<plan xmlns="urn:meadowstream:options:1" name="lower"
  candidate="next.xml" on-worse="stop"
  interval-ms="500" settled-ms="5100" warm-up-ms="70" patience-ms="31000" throttled="0.03" errored="0.04"
  late="0.05" latency="0.5" alpha="0.02">
  <stage servers="1" bake-ms="60000"/>
  <stage share="0.5" bake-ms="61000"/>
</plan>"#;

#[test]
fn plans_mean_the_same() {
    let PlanFile { candidate, plan } = PlanFile::read(PLAN).unwrap();
    assert_eq!((candidate.as_path(), plan.name.as_str()), (Path::new("next.xml"), "lower"));
    assert_eq!((plan.kind, plan.on_regression), (ChangeKind::Settings, OnRegression::Stop));
    assert_eq!((plan.interval, plan.settle_time), (500 * MILLISECOND, 5_100 * MILLISECOND));
    assert_eq!((plan.warm_up, plan.response_timeout), (70 * MILLISECOND, 31_000 * MILLISECOND));
    let expected = Thresholds { throttled: 0.03, errored: 0.04, late: 0.05, latency: 0.5, alpha: 0.02 };
    assert_eq!(plan.thresholds, expected);
    let stages: Vec<_> = plan.stages.iter().map(|stage| (stage.size, stage.bake_time)).collect();
    let (first, second) = (StageSize::Servers(1), StageSize::Share(0.5));
    assert_eq!(stages, [(first, 60_000 * MILLISECOND), (second, 61_000 * MILLISECOND)]);
    let program = PLAN.replace("candidate=\"next.xml\" on-worse=\"stop\"", "program=\"next\"");
    let plan = PlanFile::read(&program).unwrap().plan;
    assert_eq!((plan.kind, plan.on_regression), (ChangeKind::Program, OnRegression::RollBack));
}

#[test]
fn changes_and_replicated_keys_mean_the_same() {
    let change = r#"<change xmlns="urn:meadowstream:options:1">
      <set key="control/reference" value="0.8"/>
      <set key="tenants/tenant/arms-park" value="3"/>
      <set key="shared-state/budget/total" value="500"/>
      <remove key="tenants/tenant/gone"/>
    </change>"#;
    let changes = read_change(change).unwrap();
    let set: Vec<(&str, &str)> =
        changes.iter().filter_map(|set| Some((set.key.as_str(), set.value.as_deref()?))).collect();
    assert_eq!((changes.len(), set.len()), (4, 3));
    let mut options = Options::read(EVERY_OPTION).unwrap();
    overlay_replicated(&mut options, set.into_iter()).unwrap();
    assert_eq!(options.target_utilization, Some(0.8));
    assert_eq!(options.shared_state.unwrap().budget.unwrap().total, 500);
    assert_eq!(options.tenants.unwrap().fair.named[0], (b"arms-park".to_vec(), 3.0));
}
