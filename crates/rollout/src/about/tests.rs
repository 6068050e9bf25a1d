//! What servers tell of themselves, and how long it counts.

use super::*;

fn about(name: &str, incarnation: u64, settings: u64) -> About {
    About { name: name.into(), incarnation, settings, ..About::default() }
}

/// Sixty-four servers, each telling one other a round: a change is known to all within a few rounds,
/// and an older word that comes later does not bring the old one back.
#[test]
fn a_change_gets_round() {
    let n = 64;
    let mut fleet: Vec<Abouts> = (0..n).map(|i| Abouts::new(about(&format!("s{i}"), 1, 7), 128)).collect();
    let stale = fleet[3].tell(0);
    fleet[3].changed(8);
    let mut draw = 1u64;
    let knows = |fleet: &[Abouts]| fleet.iter().filter(|a| a.of("s3").map(|a| a.settings) == Some(8)).count();
    let mut rounds = 0;
    while knows(&fleet) < n {
        for i in 0..n {
            draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let to = ((draw >> 33) as usize) % n;
            let words = fleet[i].tell(draw >> 20);
            fleet[to].hear(words);
        }
        rounds += 1;
        assert!(rounds < 200, "{} of {n}", knows(&fleet));
    }
    fleet[9].hear(stale);
    assert_eq!(fleet[9].of("s3").unwrap().settings, 8);
    // A restart counts as later, whatever it changed before.
    fleet[9].hear(vec![about("s3", 2, 7)]);
    assert_eq!(fleet[9].of("s3").unwrap().settings, 7);
}

#[test]
fn lies_are_bounded() {
    let mut one = Abouts::new(about("s0", 1, 7), 4);
    one.hear((0..9).map(|i| about(&format!("x{i}"), 1, 1)).collect());
    one.hear(vec![About { version: "v".repeat(33), ..about("x0", 9, 9) }, about("", 1, 1)]);
    one.hear(vec![about("s0", 99, 99)]);
    assert_eq!((one.known.len(), one.refused), (4, 7));
    assert_eq!((one.of("x0").unwrap().settings, one.me().settings), (1, 7));
    one.keep(|name| name == "x1");
    assert_eq!(one.tell(5).len(), 2);
}
