//! Tests of `<replication>`, of change files, and of the keys of the replicated configuration.

use meadowstream_configuration::change::{overlay_replicated, read_change};
use meadowstream_configuration::{NAMESPACE, Options};
use test_case::test_case;

const MEMBERSHIP: &str = r#"<membership bind="127.0.0.1:1" fleet="quiz" key-file="key"/>"#;

fn options(element: &str) -> String {
    format!("<meadowstream xmlns=\"{NAMESPACE}\">\n{MEMBERSHIP}\n{element}\n</meadowstream>")
}

fn change(elements: &str) -> String {
    format!("<change xmlns=\"{NAMESPACE}\">\n{elements}\n</change>")
}

#[test]
fn the_element_is_read_with_its_defaults() {
    let text = r#"<replication region="west" zone="w1" file="state"><replica name="c0"/></replication>"#;
    let read = Options::read(&options(text)).unwrap().replication.unwrap();
    assert_eq!((read.region.as_str(), read.zone.as_str(), read.replicas.len()), ("west", "w1", 1));
    assert_eq!(
        (read.pull_period, read.bytes_a_second, read.stale_after),
        (500_000_000, 12_000, 60_000_000_000)
    );
}

#[test_case(r#"<replication zone="z" file="f"/>"#, "line 3, <replication>: region is missing")]
#[test_case(r#"<replication region="" zone="z" file="f"/>"#, "region: 1 to 64 bytes, not 0")]
#[test_case(r#"<replication region="r" zone="z"/>"#, "file is missing")]
#[test_case(r#"<replication region="r" zone="z" file="f" pull-ms="1"/>"#, "pull-ms: 1 is not within 10")]
#[test_case(r#"<replication region="r" zone="z" file="f" bytes-a-second="9"/>"#, "bytes-a-second: 9 is not")]
#[test_case(
    r#"<replication region="r" zone="z" file="f"><replica/></replication>"#,
    "<replica>: name is missing"
)]
fn refuses(element: &str, why: &str) {
    let error = format!("{:#}", Options::read(&options(element)).unwrap_err());
    assert!(error.contains(why), "{error}");
}

#[test]
fn requires_membership() {
    let text = options(r#"<replication region="r" zone="z" file="f"/>"#).replace(MEMBERSHIP, "");
    let error = format!("{:#}", Options::read(&text).unwrap_err());
    assert!(error.contains("goes with <membership>"), "{error}");
}

#[test]
fn a_change_is_read() {
    let text = "<set key=\"tenants/tenant/a\" value=\"3\"/><remove key=\"control/reference\"/>";
    let read = read_change(&change(text)).unwrap();
    assert_eq!((read[0].key.as_str(), read[0].value.as_deref()), ("tenants/tenant/a", Some("3")));
    assert_eq!((read[1].key.as_str(), read[1].value.as_deref()), ("control/reference", None));
}

#[test_case("", "<set> or <remove> is missing")]
#[test_case("<set key=\"control/reference\"/>", "line 2, <set>: value is missing")]
#[test_case("<remove key=\"control/reference\" value=\"1\"/>", "value goes with <set> alone")]
#[test_case("<set key=\"control/novelty\" value=\"1\"/>", "line 2, <set>: control/novelty: unknown element")]
#[test_case("<set key=\"control/reference\" value=\"7\"/>", "control/reference: 7 is not within")]
#[test_case("<set key=\"tenants/tenant/\" value=\"7\"/>", "tenants/tenant/: unknown element")]
#[test_case("<set key=\"tenants/tenant/a\" value=\"x\"/>", "cannot read \"x\"")]
#[test_case("<put key=\"a\"/>", "<put>: unknown element")]
fn refuses_a_change(elements: &str, why: &str) {
    let error = format!("{:#}", read_change(&change(elements)).unwrap_err());
    assert!(error.contains(why), "{error}");
}

#[test]
fn keys_replace_a_server_s_own_options() {
    let own = r#"<tenants by="peer"><ceilings accounts="24"/><tenant name="a" weight="2"/></tenants>"#;
    let own = Options::read(&options(own)).unwrap();
    let mut read = own.clone();
    let pairs = [("control/reference", "0.8"), ("tenants/tenant/a", "5"), ("tenants/tenant/b", "3")];
    overlay_replicated(&mut read, pairs.into_iter()).unwrap();
    assert_eq!(read.target_utilization, Some(0.8));
    let named = &read.tenants.as_ref().unwrap().fair.named;
    assert_eq!(named.to_vec(), vec![(b"a".to_vec(), 5.0), (b"b".to_vec(), 3.0)]);
    // Three changes must be rejected. The first has more tenants than the limit on accounts allows, the
    // second has an unknown key, and the third changes a budget that the options do not contain.
    let many: Vec<String> = (0..9).map(|n| format!("tenants/tenant/t{n}")).collect();
    let all = many.iter().map(|key| (key.as_str(), "1"));
    let refused = |pairs: Vec<(&str, &str)>| {
        format!("{:#}", overlay_replicated(&mut own.clone(), pairs.into_iter()).unwrap_err())
    };
    assert!(refused(all.collect()).contains("accounts: 24 is under"));
    assert!(refused(vec![("novel/thing", "1")]).contains("novel/thing: unknown element"));
    assert!(refused(vec![("shared-state/budget/total", "9")]).contains("no <budget>"));
}
