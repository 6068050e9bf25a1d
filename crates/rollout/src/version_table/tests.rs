//! Tests of the version table. Announcements must reach all servers, later entries must replace earlier
//! entries, and the size of the table must be bounded.

use super::*;

fn entry(name: &str, incarnation: u64, settings_hash: u64) -> ServerVersion {
    ServerVersion { name: name.into(), incarnation, settings_hash, ..ServerVersion::default() }
}

/// Simulates a fleet of 64 servers. In each round, every server sends its announcement to one random server.
/// A change must reach all servers within 200 rounds, and an older entry that arrives late must not undo the
/// change.
#[test]
fn a_change_reaches_every_server_and_an_older_entry_does_not_undo_it() {
    let servers = 64;
    let mut fleet: Vec<VersionTable> =
        (0..servers).map(|i| VersionTable::new(entry(&format!("s{i}"), 1, 7), 128)).collect();
    let stale = fleet[3].announcement(0);
    fleet[3].set_settings(8);
    let mut draw = 1u64;
    let informed = |fleet: &[VersionTable]| {
        fleet.iter().filter(|table| table.get("s3").map(|entry| entry.settings_hash) == Some(8)).count()
    };
    let mut rounds = 0;
    while informed(&fleet) < servers {
        for sender in 0..servers {
            draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let receiver = ((draw >> 33) as usize) % servers;
            let announcement = fleet[sender].announcement(draw >> 20);
            fleet[receiver].merge(announcement);
        }
        rounds += 1;
        assert!(rounds < 200, "{} of {servers} servers are informed", informed(&fleet));
    }
    fleet[9].merge(stale);
    assert_eq!(fleet[9].get("s3").unwrap().settings_hash, 8);
    // An entry of a later incarnation replaces an entry of an earlier incarnation, even if the earlier
    // incarnation has a higher sequence number.
    fleet[9].merge(vec![entry("s3", 2, 7)]);
    assert_eq!(fleet[9].get("s3").unwrap().settings_hash, 7);
}

#[test]
fn the_table_and_its_entries_are_bounded() {
    let mut table = VersionTable::new(entry("s0", 1, 7), 4);
    table.merge((0..9).map(|i| entry(&format!("x{i}"), 1, 1)).collect());
    table.merge(vec![ServerVersion { version: "v".repeat(33), ..entry("x0", 9, 9) }, entry("", 1, 1)]);
    table.merge(vec![entry("s0", 99, 99)]);
    assert_eq!((table.others.len(), table.rejected), (4, 7));
    assert_eq!((table.get("x0").unwrap().settings_hash, table.own().settings_hash), (1, 7));
    table.retain(|name| name == "x1");
    assert_eq!(table.announcement(5).len(), 2);
}
