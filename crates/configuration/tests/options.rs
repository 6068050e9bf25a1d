//! Tests of options files, rollout plans and the schema. The example file must be accepted. Invalid files
//! must be rejected with the position of the error.

use meadowstream_configuration::{NAMESPACE, Options, Origin, TenantSource, attributes};
use std::collections::BTreeSet;
use std::path::PathBuf;
use test_case::test_case;

fn deploy(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name)
}

fn file(tenants: &str) -> String {
    format!("<meadowstream xmlns=\"{NAMESPACE}\">\n{tenants}\n</meadowstream>")
}

#[test]
fn reads_the_example() {
    let tenants = Options::load(&deploy("tenants-example.xml")).unwrap().tenants.unwrap();
    assert_eq!((tenants.source, tenants.origin), (TenantSource::Field("venue".to_string()), Origin::Peer));
    assert_eq!(tenants.fair.named[0], (b"arms-park".to_vec(), 10.0));
    assert_eq!((tenants.fair.burst, tenants.fair.accounts), (15_000_000_000, 4096));
    assert!(Options::read(&file("")).unwrap().tenants.is_none());
}

#[test_case("<tenants/>", "line 2, <tenants>: by is missing")]
#[test_case("<tokens/>", "line 2, <tokens>: field is missing")]
#[test_case("<tokens field=\"since\"/>", "\"since\" cannot name a token")]
#[test_case("<tokens field=\"t\" entries=\"15\"/>", "entries: 15 is not within")]
#[test_case("<tokens field=\"t\"/><tokens field=\"u\"/>", "given twice")]
#[test_case("<tenants by=\"field\" field=\"t\"/><tokens field=\"t\"/>", "names tenants already")]
#[test_case("<calls leftout=\"x\"/>", "unknown attribute \"leftout\"")]
#[test_case("<tenants by=\"name\"/>", "by: unknown choice \"name\"")]
#[test_case("<tenants by=\"field\"/>", "needs a field")]
#[test_case("<tenants by=\"field\" field=\"ref\"/>", "\"ref\" cannot name a tenant")]
#[test_case("<tenants by=\"peer\" field=\"x\"/>", "field goes with")]
#[test_case("<tenants by=\"peer\" wieght=\"2\"/>", "line 2, <tenants>: unknown attribute \"wieght\"")]
#[test_case("<tenants by=\"peer\" default-weight=\"0\"/>", "default-weight: 0 is not within")]
#[test_case("<tenants by=\"peer\" default-weight=\"NaN\"/>", "default-weight: NaN is not within")]
#[test_case(
    "<tenants by=\"peer\">\n<tenant name=\"a\" weight=\"-1\"/></tenants>",
    "line 3, <tenant>: weight: -1"
)]
#[test_case(
    "<tenants by=\"peer\">\n<tenant name=\"a\" weight=\"inf\"/></tenants>",
    "line 3, <tenant>: weight: inf"
)]
#[test_case("<tenants by=\"peer\"><tenant weight=\"1\"/></tenants>", "name is missing")]
#[test_case(
    "<tenants by=\"peer\"><tenant name=\"a\"/>\n<tenant name=\"a\"/></tenants>",
    "line 3, <tenant>: name: \"a\" is given twice"
)]
#[test_case("<tenants by=\"peer\"><ceilings accounts=\"15\"/></tenants>", "accounts: 15 is not within")]
#[test_case("<tenants by=\"peer\"><ceilings cells=\"some\"/></tenants>", "cells: cannot read \"some\"")]
#[test_case("<tenants by=\"peer\"><ceilings/><ceilings/></tenants>", "<ceilings>: given twice")]
#[test_case("<tenants by=\"peer\"><share late-ms=\"0\"/></tenants>", "late-ms: 0 is not within")]
#[test_case("<tenants by=\"peer\">text</tenants>", "text where elements are due")]
#[test_case("<tenants by=\"peer\"><other/></tenants>", "<other>: unknown element")]
#[test_case("<tenants by=\"peer\"/>\n<tenants by=\"peer\"/>", "line 3, <tenants>: given twice")]
#[test_case("<tenants by=\"peer\">", "line 3, column")]
fn refuses(tenants: &str, why: &str) {
    let error = format!("{:#}", Options::read(&file(tenants)).unwrap_err());
    assert!(error.contains(why) && !error.contains('\n'), "{error}");
}

#[test]
fn refuses_another_root_and_more_named_tenants_than_accounts_allow() {
    for text in ["<meadowstream/>", "<other xmlns=\"urn:meadowstream:options:1\"/>"] {
        assert!(format!("{:#}", Options::read(text).unwrap_err()).contains("the root is to be"));
    }
    let named: String = (0..20).map(|n| format!("<tenant name=\"{n}\"/>")).collect();
    let text = file(&format!("<tenants by=\"peer\"><ceilings accounts=\"32\"/>{named}</tenants>"));
    let error = format!("{:#}", Options::read(&text).unwrap_err());
    assert!(error.contains("accounts: 32 is under 56"), "{error}");
}

fn reader_source_code() -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    files.map(|file| std::fs::read_to_string(file).unwrap()).collect()
}

/// The reader and the schema must agree: the reader accepts exactly the attributes that the schema defines,
/// and knows each element of the schema.
#[test]
fn schema_and_reader_have_the_same_names() {
    let text = std::fs::read_to_string(deploy("meadowstream.xsd")).unwrap();
    let schema = roxmltree::Document::parse(&text).unwrap();
    let named = |tag: &str| -> BTreeSet<String> {
        let nodes = schema.descendants().filter(|node| node.tag_name().name() == tag);
        nodes.filter_map(|node| Some(node.attribute("name")?.to_string())).collect()
    };
    let source = reader_source_code();
    for name in named("attribute").union(&named("element")) {
        assert!(source.contains(&format!("\"{name}\"")), "{name} is only in the schema");
    }
    let known = ["by", "field", "origin", "default-weight", "surplus-value", "shown", "name", "weight"];
    let ceilings = ["accounts", "cells", "origins", "promises", "names-per-origin"];
    let shares = ["at-once-ms", "probation-ms", "late-ms"];
    let others = ["entries", "results-kb", "left-out", "address", "gossip-ms"];
    let read: BTreeSet<String> = known
        .iter()
        .chain(&ceilings)
        .chain(&shares)
        .chain(&others)
        .chain(attributes::MEMBERSHIP)
        .chain(attributes::BUDGET)
        .chain(attributes::TIER)
        .chain(attributes::ROLLOUT)
        .chain(attributes::REPLICATION)
        .chain(attributes::CHANGE)
        .chain(attributes::PLAN)
        .chain(attributes::STAGE)
        .chain(&["reference"])
        .map(|name| name.to_string())
        .collect();
    assert_eq!(named("attribute"), read);
}

const MEMBERSHIP_XML: &str = r#"<meadowstream xmlns="urn:meadowstream:options:1">
  <membership bind="127.0.0.1:7946" fleet="quiz" key-file="fleet.key" probe-period-ms="500">
    <seed address="127.0.0.1:7947"/>
    <seed address="127.0.0.2:7946"/>
  </membership>
</meadowstream>"#;

#[test]
fn membership_is_read_with_its_defaults() {
    let read = Options::read(MEMBERSHIP_XML).unwrap();
    let m = read.membership.unwrap();
    assert_eq!(m.bind, "127.0.0.1:7946".parse().unwrap());
    assert_eq!(m.seeds.len(), 2);
    assert_eq!((m.probe_period, m.probe_rtt), (500_000_000, 200_000_000));
    assert_eq!((m.suspicion_multiplier, m.expected_members, m.bytes_a_second), (4, 64, 200_000));
    assert!(
        Options::read("<meadowstream xmlns=\"urn:meadowstream:options:1\"/>").unwrap().membership.is_none()
    );
}

#[test_case("bind=\"127.0.0.1:7946\"", "bind=\"nowhere\"", "line 2, <membership>: bind: \"nowhere\" is no"
    ; "bad bind")]
#[test_case("fleet=\"quiz\"", "fleet=\"a fleet\"", "line 2, <membership>: fleet: 1 to 64" ; "spaced fleet")]
#[test_case("fleet=\"quiz\"", "fleet=\"quiz\" bytes-a-second=\"5000\"",
    "line 2, <membership>: bytes-a-second: 5000 is not" ; "too few bytes")]
#[test_case("fleet=\"quiz\" ", "", "line 2, <membership>: fleet is missing" ; "no fleet")]
#[test_case("probe-period-ms=\"500\"", "probe-period-ms=\"500\" probe-rtt-ms=\"500\"", "probe-rtt-ms: under"
    ; "rtt at period")]
#[test_case("127.0.0.2:7946", "127.0.0.2", "line 4, <seed>: address" ; "seed without port")]
#[test_case("probe-period-ms=\"500\"", "probe-period-ms=\"500\" colour=\"red\"", "unknown attribute"
    ; "unknown attribute")]
fn errors_in_membership_contain_line_and_element(from: &str, to: &str, expected: &str) {
    let text = MEMBERSHIP_XML.replacen(from, to, 1);
    let fault = format!("{:#}", Options::read(&text).unwrap_err());
    assert!(fault.contains(expected), "{fault}");
}

/// Errors in `<shared-state>` must contain the line and the element. The schema must define the attributes of
/// `<budget>`.
#[test]
fn shared_state_is_read_and_its_errors_contain_line_and_element() {
    let file = |inside: &str| {
        format!(
            "<meadowstream xmlns=\"urn:meadowstream:options:1\">\n<membership bind=\"127.0.0.1:0\" \
             fleet=\"f\" key-file=\"key\"/>\n{inside}\n</meadowstream>"
        )
    };
    let good = file(
        "<shared-state><budget name=\"records\" total=\"40\" servers=\"8\"><voter name=\"s0\"/></budget>\
         </shared-state>",
    );
    let read = Options::read(&good).unwrap().shared_state.unwrap();
    let budget = read.budget.unwrap();
    assert_eq!(
        (read.gossip_interval, budget.total, budget.floor, budget.lease),
        (500_000_000, 40, 0, 4_000_000_000)
    );
    for (inside, place) in [
        (
            "<shared-state><budget name=\"r\" servers=\"8\"/></shared-state>",
            "line 3, <budget>: total is missing",
        ),
        (
            "<shared-state>\n<budget name=\"r\" total=\"0\" servers=\"8\"/></shared-state>",
            "line 4, <budget>: total: 0",
        ),
        ("<shared-state gossip=\"1\"/>", "line 3, <shared-state>: unknown attribute \"gossip\""),
        (
            "<shared-state><budget name=\"r\" total=\"9\" servers=\"8\"><voter/></budget></shared-state>",
            "<voter>: name is missing",
        ),
        ("<shared-state><tier reports=\"2\"/></shared-state>", "line 3, <tier>: service is missing"),
        (
            "<shared-state><tier>\n<service name=\"r\" address=\"there\"/></tier></shared-state>",
            "line 4, <service>: address: \"there\" is no address and port",
        ),
        (
            "<shared-state><tier><service name=\"r\" address=\"127.0.0.1:1\"/>\n\
             <service name=\"s\" address=\"127.0.0.1:1\"/></tier></shared-state>",
            "line 4, <service>: name, address: \"s\" or 127.0.0.1:1 is given twice",
        ),
        (
            "<shared-state><tier eject-share=\"1.5\"><service name=\"r\" address=\"127.0.0.1:1\"/></tier>\
             </shared-state>",
            "line 3, <tier>: eject-share: 1.5 is not within 0 and 1",
        ),
    ] {
        let fault = format!("{:#}", Options::read(&file(inside)).unwrap_err());
        assert!(fault.contains(place), "{fault}");
    }
    let without_membership =
        "<meadowstream xmlns=\"urn:meadowstream:options:1\"><shared-state/></meadowstream>";
    assert!(Options::read(without_membership).unwrap_err().to_string().contains("goes with <membership>"));
    let schema = include_str!("../../../deploy/meadowstream.xsd");
    let start = schema.find("complexType name=\"budget\"").expect("type budget in the schema");
    let length = schema[start..].find("</xs:complexType>\n  <!--").expect("end of type budget");
    let budget_type = &schema[start..start + length];
    for name in attributes::BUDGET {
        assert!(budget_type.contains(&format!("attribute name=\"{name}\"")), "{name} is not in the schema");
    }
}

const PLAN_XML: &str = r#"<plan xmlns="urn:meadowstream:options:1" name="lower reference" candidate="next.xml"
  interval-ms="500">
  <stage servers="1" bake-ms="60000"/>
  <stage share="0.5" bake-ms="60000"/>
</plan>"#;

#[test]
fn a_plan_is_read_and_errors_in_plans_are_one_line_with_the_place() {
    let file = meadowstream_configuration::PlanFile::read(PLAN_XML).unwrap();
    assert_eq!((file.plan.stages.len(), file.plan.interval), (2, 500_000_000));
    for (from, to, place) in [
        ("share=\"0.5\"", "share=\"0\"", "line 1, <plan>: stage 2: share: 0 is not above 0 and at most 1"),
        (
            "share=\"0.5\"",
            "share=\"1.2\"",
            "line 1, <plan>: stage 2: share: 1.2 is not above 0 and at most 1",
        ),
        ("servers=\"1\" bake-ms=\"60000\"", "servers=\"1\"", "line 3, <stage>: stage 1: bake-ms is missing"),
        ("servers=\"1\" bake-ms=\"60000\"", "servers=\"1\" bake-ms=\"0\"", "stage 1: bake-ms: at least 6"),
        ("servers=\"1\"", "servers=\"1\" share=\"0.1\"", "line 3, <stage>: stage 1: either servers or share"),
        ("name=\"lower reference\"", "", "line 1, <plan>: name is missing"),
        ("<stage share", "<step share", "line 4, <step>: unknown element"),
        ("interval-ms", "alpha=\"0.9\" interval-ms", "alpha: 0.9 is not within"),
        ("interval-ms", "on-worse=\"shrug\" interval-ms", "on-worse: unknown choice \"shrug\""),
    ] {
        let fault = meadowstream_configuration::PlanFile::read(&PLAN_XML.replacen(from, to, 1)).unwrap_err();
        let fault = format!("{fault:#}");
        assert!(fault.contains(place) && !fault.contains('\n'), "{fault}");
    }
}

/// Regression test for slow reading of many tenants. Reading 64,000 tenants once took 36 to 42 s, for two
/// reasons. The line of each tenant was counted from the start of the file, and each name was compared with
/// all previous names. A debug build now takes under 2 s.
#[test]
fn time_to_read_many_tenants_is_not_quadratic() {
    let started = std::time::Instant::now();
    let tenants = Options::read(&many_tenants(64_000)).unwrap().tenants.unwrap();
    assert_eq!(tenants.fair.named.len(), 64_000);
    assert!(started.elapsed() < std::time::Duration::from_secs(10), "{:?}", started.elapsed());
}

#[test]
fn one_tenant_more_than_the_accounts_allow_is_refused_with_its_line() {
    let error = format!("{:#}", Options::read(&many_tenants(64_001)).unwrap_err());
    // The tenants begin at line 4, after the lines of the root element, <tenants> and <ceilings>.
    assert!(error.starts_with("line 64004, <tenant>: accounts: 128016 is under 128018"), "{error}");
}

/// Returns an options file with `count` named tenants. Its limit on the number of accounts suffices for
/// 64,000 tenants.
fn many_tenants(count: usize) -> String {
    let tenants: String = (0..count).map(|n| format!("<tenant name=\"tenant-{n}\"/>\n")).collect();
    file(&format!("<tenants by=\"peer\">\n<ceilings accounts=\"128016\"/>\n{tenants}</tenants>"))
}
