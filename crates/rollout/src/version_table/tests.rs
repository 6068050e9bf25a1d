//! Announcements spread, later entries hold, and the table is bounded.

use super::*;

fn entry(name: &str, incarnation: u64, settings_hash: u64) -> ServerVersion {
    ServerVersion { name: name.into(), incarnation, settings_hash, ..ServerVersion::default() }
}

/// Sixty-four servers, each announcing to one other a round: a change is known to all within a few rounds,
/// and an older entry that comes later does not bring the old one back.
#[test]
fn a_change_reaches_every_server_and_an_older_entry_does_not_undo_it() {
    let n = 64;
    let mut fleet: Vec<VersionTable> =
        (0..n).map(|i| VersionTable::new(entry(&format!("s{i}"), 1, 7), 128)).collect();
    let stale = fleet[3].announcement(0);
    fleet[3].set_settings(8);
    let mut draw = 1u64;
    let knows = |fleet: &[VersionTable]| {
        fleet.iter().filter(|a| a.get("s3").map(|a| a.settings_hash) == Some(8)).count()
    };
    let mut rounds = 0;
    while knows(&fleet) < n {
        for i in 0..n {
            draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let to = ((draw >> 33) as usize) % n;
            let announcement = fleet[i].announcement(draw >> 20);
            fleet[to].merge(announcement);
        }
        rounds += 1;
        assert!(rounds < 200, "{} of {n}", knows(&fleet));
    }
    fleet[9].merge(stale);
    assert_eq!(fleet[9].get("s3").unwrap().settings_hash, 8);
    // A restart counts as later, whatever it changed before.
    fleet[9].merge(vec![entry("s3", 2, 7)]);
    assert_eq!(fleet[9].get("s3").unwrap().settings_hash, 7);
}

#[test]
fn the_table_and_its_entries_are_bounded() {
    let mut one = VersionTable::new(entry("s0", 1, 7), 4);
    one.merge((0..9).map(|i| entry(&format!("x{i}"), 1, 1)).collect());
    one.merge(vec![ServerVersion { version: "v".repeat(33), ..entry("x0", 9, 9) }, entry("", 1, 1)]);
    one.merge(vec![entry("s0", 99, 99)]);
    assert_eq!((one.others.len(), one.rejected), (4, 7));
    assert_eq!((one.get("x0").unwrap().settings_hash, one.own().settings_hash), (1, 7));
    one.retain(|name| name == "x1");
    assert_eq!(one.announcement(5).len(), 2);
}
