//! Who gets how much, played through the pure core: tenants that send at a given rate, a server that works
//! what is within shares and refuses the rest. All from seeds; no clock but the one that is passed in.

use meadowstream_fair_queueing::{FairScheduler, Nanos, ServiceOutcome, Settings, TenantKey};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use test_case::test_case;

const SECOND: Nanos = 1_000_000_000;
const MS: Nanos = 1_000_000;

/// Tenants that are alike.
#[derive(Clone)]
struct Group {
    many: usize,
    /// Of each, in invocations a second.
    rate: f64,
    work: Nanos,
    weight: f64,
    /// Names that each of them goes through; 1 for honest ones.
    names: u64,
    origin: u64,
}

impl Default for Group {
    fn default() -> Self {
        Self { many: 1, rate: 1.0, work: 10 * MS, weight: 1.0, names: 1, origin: 1 }
    }
}

/// Seconds of core time that each tenant of each group had within its share, after a while to learn in.
fn play(groups: &[Group], cores: f64, seconds: u64, settings: Settings) -> Vec<Vec<f64>> {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let named = groups.iter().enumerate().filter(|(_, group)| group.weight != 1.0);
    let named = named.flat_map(|(g, group)| (0..group.many).map(move |i| (name(g, i, 0), group.weight)));
    let settings = Settings { named: named.collect(), ..settings };
    let ceiling = settings.bytes_max();
    let mut fair = FairScheduler::new(settings, cores, 1, 0);
    let mut had: Vec<Vec<f64>> = groups.iter().map(|group| vec![0.0; group.many]).collect();
    let mut coming: BTreeMap<(Nanos, usize, usize), ()> = BTreeMap::new();
    let gap = |rng: &mut ChaCha8Rng, rate: f64| {
        (-rng.random_range(1e-9_f64..1.0).ln() / rate * 1e9).min(1e15) as Nanos + 1
    };
    for (g, group) in groups.iter().enumerate() {
        for i in 0..group.many {
            coming.insert((gap(&mut rng, group.rate), g, i), ());
        }
    }
    let (mut period, mut sent) = (SECOND / 2, 0u64);
    while let Some(((now, g, i), ())) = coming.pop_first() {
        if now > seconds * SECOND {
            break;
        }
        while period <= now {
            fair.update_fair_rate(period, cores * 0.9, f64::INFINITY);
            period += SECOND / 2;
        }
        let group = &groups[g];
        sent += 1;
        let name = name(g, i, sent % group.names);
        // Guesses are of the usual work; what an invocation really needs is known at its end.
        let admission = fair.arrive(now, TenantKey { name: &name, origin: group.origin }, 10e6, None);
        if admission.surplus {
            fair.end(now, &admission, ServiceOutcome::NeverRan);
        } else {
            fair.end(now, &admission, ServiceOutcome::Ran(group.work));
            if now > seconds * SECOND / 3 {
                had[g][i] += group.work as f64 / 1e9;
            }
        }
        coming.insert((now + gap(&mut rng, group.rate), g, i), ());
    }
    assert!(fair.bytes() <= ceiling, "{} bytes held where {ceiling} are stated", fair.bytes());
    let counts = fair.counters;
    assert_eq!(counts.within + counts.surplus, sent - 1 + 1, "{counts:?}");
    had
}

fn name(group: usize, i: usize, n: u64) -> Vec<u8> {
    format!("{group}/{i}/{n}").into_bytes()
}

fn jain(had: &[f64]) -> f64 {
    let (sum, squares) = had.iter().fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
    sum * sum / (had.len() as f64 * squares)
}

fn total(had: &[f64]) -> f64 {
    had.iter().sum()
}

/// Core seconds that count: the last two thirds.
fn counted(seconds: u64) -> f64 {
    (seconds - seconds / 3) as f64
}

#[test]
fn one_that_sends_most_leaves_the_others_their_shares() {
    let light = Group { many: 100, rate: 1.0, ..Group::default() };
    let flood = Group { rate: 2000.0, ..Group::default() };
    let had = play(&[light, flood], 4.0, 60, Settings::default());
    let asked = 100.0 * 0.01 * counted(60);
    assert!(total(&had[0]) > 0.99 * asked, "{} of {asked}", total(&had[0]));
    let left = 4.0 * 0.9 * counted(60) - asked;
    assert!((total(&had[1]) / left - 1.0).abs() < 0.1, "{} of {left}", total(&had[1]));
}

#[test]
fn few_large_ones_win_nothing_over_many_small_ones() {
    let small = Group { many: 10, rate: 500.0, work: MS, ..Group::default() };
    let large = Group { many: 10, rate: 5.0, work: 400 * MS, ..Group::default() };
    let had = play(&[small, large], 2.0, 120, Settings::default());
    let (small, large) = (total(&had[0]), total(&had[1]));
    assert!((small / large - 1.0).abs() < 0.15, "{small} and {large}");
}

#[test]
fn weights_from_1_to_100_are_kept() {
    let of = |weight: f64| Group { rate: 4000.0, weight, ..Group::default() };
    let had = play(&[of(1.0), of(2.0), of(10.0), of(100.0)], 8.0, 120, Settings::default());
    let unit = total(&had[3]) / 100.0;
    for (g, weight) in [1.0, 2.0, 10.0].into_iter().enumerate() {
        let got = total(&had[g]) / weight;
        assert!((got / unit - 1.0).abs() < 0.1, "{had:?} {weight}: {got} and {unit}");
    }
}

#[test]
fn all_over_their_shares_have_the_same() {
    let had = play(&[Group { many: 50, rate: 100.0, ..Group::default() }], 2.0, 60, Settings::default());
    assert!(jain(&had[0]) > 0.999, "{}", jain(&had[0]));
    let all = 2.0 * 0.9 * counted(60);
    assert!((total(&had[0]) / all - 1.0).abs() < 0.05, "{} of {all}", total(&had[0]));
}

/// Each of 10,000 names sends as little as an honest tenant; together they are a flood.
#[test_case(1_000_000_000; "made up for one invocation each")]
#[test_case(10_000; "used again and again")]
fn made_up_names_bring_little(names: u64) {
    let honest = Group { many: 100, rate: 1.0, origin: 1, ..Group::default() };
    let liar = Group { rate: 5000.0, names, origin: 2, ..Group::default() };
    let settings = Settings { names_per_origin: 128.0, accounts: 512, ..Settings::default() };
    let had = play(&[honest, liar], 4.0, 60, settings);
    let asked = 100.0 * 0.01 * counted(60);
    assert!(total(&had[0]) > 0.95 * asked, "{} of {asked}", total(&had[0]));
    // At the most what as many honest names as an origin may have would get.
    let share = 4.0 * 0.9 * counted(60) - asked;
    assert!(total(&had[1]) < 1.1 * share, "{} of {share}", total(&had[1]));
}

#[test]
fn more_tenants_than_accounts_still_have_their_shares() {
    let settings = Settings { accounts: 64, cells: 1 << 16, names_per_origin: 1e6, ..Settings::default() };
    let light = Group { many: 2000, rate: 0.5, work: MS, ..Group::default() };
    let flood = Group { rate: 2000.0, ..Group::default() };
    let had = play(&[light, flood], 4.0, 60, settings);
    let asked = 2000.0 * 0.5 * 0.001 * counted(60);
    assert!(total(&had[0]) > 0.95 * asked, "{} of {asked}", total(&had[0]));
}

/// The crowd comes within a moment and is new; whoever was known before has its share all the same.
#[test]
fn a_hundred_thousand_tenants_at_once_starve_nobody() {
    let light = Group { many: 100, rate: 1.0, ..Group::default() };
    let crowd = Group { many: 100_000, rate: 0.02, origin: 2, ..Group::default() };
    let had = play(&[light, crowd], 4.0, 60, Settings::default());
    let asked = 100.0 * 0.01 * counted(60);
    assert!(total(&had[0]) > 0.95 * asked, "{} of {asked}", total(&had[0]));
    assert!(total(&had[1]) > 0.0, "what is left is the crowd's");
}

#[test]
fn one_that_comes_after_long_silence_has_its_share_and_no_more() {
    let mut fair = FairScheduler::new(Settings::default(), 1.0, 1, 0);
    let quiet = TenantKey { name: b"quiet", origin: 1 };
    let loud = TenantKey { name: b"loud", origin: 1 };
    let mut now = 0;
    let mut step = |fair: &mut FairScheduler, who: TenantKey, gap: Nanos| {
        now += gap;
        if (now / SECOND) != ((now - gap) / SECOND) {
            fair.update_fair_rate(now, 0.9, f64::INFINITY);
        }
        let admission = fair.arrive(now, who, 10e6, None);
        let outcome = if admission.surplus { ServiceOutcome::NeverRan } else { ServiceOutcome::Ran(10 * MS) };
        fair.end(now, &admission, outcome);
        !admission.surplus
    };
    // Known, then silent for four minutes while the other takes all there is.
    (0..40).for_each(|_| assert!(step(&mut fair, quiet, SECOND / 10)));
    (0..60_000).for_each(|_| {
        step(&mut fair, loud, 4 * MS);
    });
    let at_once = (0..4000).filter(|_| step(&mut fair, quiet, 1000)).count();
    // What it may use at once, fifteen seconds of its share, and not what it left in four minutes.
    let most = 15.0 * 0.9 / 0.01;
    assert!(at_once > 300 && (at_once as f64) < 1.1 * most, "{at_once} of {most}");
}

#[test]
fn a_clock_that_stands_still_or_jumps_gives_nothing_away() {
    let mut fair = FairScheduler::new(Settings { burst: SECOND, ..Settings::default() }, 1.0, 1, 0);
    let who = TenantKey { name: b"one", origin: 1 };
    let within = |fair: &mut FairScheduler, now: Nanos, many: u32| {
        (0..many).filter(|_| !fair.arrive(now, who, 10e6, None).surplus).count()
    };
    assert!(within(&mut fair, 0, 1000) <= 102);
    assert_eq!(within(&mut fair, 0, 1000), 0, "it stands still");
    let after = within(&mut fair, 3600 * SECOND, 1000);
    assert!(after <= 102, "an hour's jump brought {after}");
    assert_eq!(within(&mut fair, 5 * SECOND, 1000), 0, "it went back");
    // Nor does a jump forgive what was used beyond a share.
    let start = 3600 * SECOND;
    fair.update_fair_rate(start, 0.01, f64::INFINITY);
    let admission = fair.arrive(start + 100 * SECOND, who, 10e6, None);
    fair.end(start + 100 * SECOND, &admission, ServiceOutcome::Ran(5 * SECOND));
    assert_eq!(within(&mut fair, start + 4000 * SECOND, 100), 0, "an hour's jump forgave a long run");
}

#[test_case(b""; "of no bytes")]
#[test_case(&[b'x'; 2048]; "of 2048 bytes")]
#[test_case(b"\xff\xfe\x00\n"; "not UTF-8")]
fn any_name_is_a_tenant(name: &[u8]) {
    let mut fair = FairScheduler::new(Settings::default(), 1.0, 1, 0);
    let other = [name, b"."].concat();
    for second in 0..10 {
        let now = second * SECOND;
        assert!(!fair.arrive(now, TenantKey { name, origin: 1 }, 1e6, None).surplus);
        assert!(!fair.arrive(now, TenantKey { name: &other, origin: 1 }, 2e6, None).surplus);
    }
    assert_eq!(fair.accounts(), 2);
    let heavy = fair.top_tenants(10 * SECOND, 8);
    assert_eq!(heavy.len(), 2);
    assert!(
        heavy[0].demand > heavy[1].demand && heavy.iter().all(|h| h.name.len() < 250 && h.name.is_ascii())
    );
}

/// What falls out of the index has used as much as before.
#[test]
fn nobody_gains_by_falling_out_of_the_index() {
    let settings = Settings { accounts: 16, burst: 5 * SECOND, ..Settings::default() };
    let mut fair = FairScheduler::new(settings, 1.0, 1, 0);
    let name = |n: u64| n.to_be_bytes();
    let mut now = 0;
    let visit = |fair: &mut FairScheduler, now: Nanos, n: u64, work: f64| {
        let admission = fair.arrive(now, TenantKey { name: &name(n), origin: 1 }, work, None);
        (admission.surplus, admission)
    };
    for _ in 0..20 {
        now += SECOND / 2;
        (0..32).for_each(|n| {
            visit(&mut fair, now, n, 1e6);
        });
    }
    assert_eq!(fair.accounts(), 16, "the index is full and all are active");
    assert!(fair.counters.sketched > 0 && fair.counters.evicted == 0);
    // The 32nd stands in the sketch; a long run puts it far over its share, and there it stays.
    fair.update_fair_rate(now, 0.032, f64::INFINITY);
    let (over, admission) = visit(&mut fair, now, 31, 1e6);
    assert!(!over, "{admission:?}");
    fair.end(now, &admission, ServiceOutcome::Ran(20 * SECOND));
    for second in 1..40 {
        let now = now + second * SECOND;
        assert!(visit(&mut fair, now, 31, 1e6).0, "after {second} s");
    }
}

/// One with an account that is far ahead keeps it while it is idle, so that what it used is not forgotten.
#[test]
fn an_account_that_owes_is_not_given_up() {
    let settings = Settings { accounts: 16, burst: 5 * SECOND, ..Settings::default() };
    let mut fair = FairScheduler::new(settings, 1.0, 1, 0);
    let name = |n: u64| n.to_be_bytes();
    let mut now = 0;
    for _ in 0..8 {
        now += SECOND;
        (0..16u64).for_each(|n| {
            fair.arrive(now, TenantKey { name: &name(n), origin: 1 }, 1e6, None);
        });
    }
    fair.update_fair_rate(now, 0.005, f64::INFINITY);
    let admission = fair.arrive(now, TenantKey { name: &name(0), origin: 1 }, 1e6, None);
    assert!(!admission.surplus);
    fair.end(now, &admission, ServiceOutcome::Ran(20 * SECOND));
    // Others want its account, for longer than an idle one may stay.
    for n in 0..400u64 {
        now += SECOND / 4;
        fair.arrive(now, TenantKey { name: &name(100 + n % 40), origin: 1 }, 1e6, None);
    }
    assert!(fair.counters.evicted > 4, "{:?}", fair.counters);
    let back = fair.arrive(now, TenantKey { name: &name(0), origin: 1 }, 1e6, None);
    assert!(back.surplus, "{back:?}");
}

/// 1,000,000 equal tenants, all but 4,096 of them in the sketch, ask for twice of what there is. Counted once
/// all are known and have used what they may at once.
#[test]
fn a_million_equal_tenants_have_equal_shares() {
    let many = 1_000_000u64;
    let settings = Settings {
        cells: 1 << 23,
        names_per_origin: 1e9,
        probation: 0,
        burst: 35 * SECOND,
        ..Settings::default()
    };
    let ceiling = settings.bytes_max();
    assert!(ceiling < 56 << 20, "{ceiling}");
    let mut fair = FairScheduler::new(settings, 40.0, 3, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut had = vec![0u32; many as usize];
    // 40 cores, 1 ms each: 36,000 a second within shares; 72,000 a second come.
    let gap = SECOND / 72_000;
    let (mut now, mut period) = (0, 0);
    for n in 0..41_000_000u64 {
        now += gap;
        if now > period {
            fair.update_fair_rate(now, 36.0, f64::INFINITY);
            period += SECOND / 2;
        }
        let tenant = rng.random_range(0..many);
        let admission =
            fair.arrive(now, TenantKey { name: &tenant.to_be_bytes(), origin: tenant % 64 }, 1e6, None);
        if n > 14_000_000 && !admission.surplus {
            had[tenant as usize] += 1;
        }
    }
    let had: Vec<f64> = had.into_iter().map(f64::from).collect();
    let (index, mean) = (jain(&had), total(&had) / many as f64);
    println!("Jain's index {index:.4}, mean {mean:.2}, {} bytes of {ceiling}", fair.bytes());
    assert!(index >= 0.99, "{index}, mean {mean}");
    assert!(fair.bytes() <= ceiling);
}
