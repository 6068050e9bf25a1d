//! A day of configuration on the fleet: changes at their stated number, restarts and failures at their
//! rates, a rack, a zone and a region away, all control machines away; and when each change was in force
//! everywhere.

use crate::meter::thread_time;
use crate::topology::{self, Place};
use meadowstream_membership::Nanos;
use meadowstream_replication::change::Change;
use meadowstream_replication::message::Location;
use meadowstream_replication::simulation::{Fleet, Layout};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;
const MILLISECOND: Nanos = 1_000_000;
pub const CHANGES: usize = 790;
const RESTARTS: usize = 870;
const FAILURES: usize = 51;
/// A machine that failed is replaced, with an empty disk, after so long; one restarted is back after this.
const REPLACED_AFTER: Nanos = 300 * SECOND;
const BACK_AFTER: Nanos = 5 * SECOND;
const REPLICAS: usize = 3;
/// Changes that are told of by name since they took longest.
const SLOWEST: usize = 8;
/// Keys of the configuration at the start of the day.
const KEYS: usize = 2_000;
/// In force everywhere within so long, as the issue wants it.
pub const IN_FORCE_BOUND: f64 = 4.0;

/// How long the parts of the day last, in seconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Scale {
    pub servers: usize,
    pub seed: u64,
    /// The day's length; what happens in it happens as often as in a whole one.
    pub day: u64,
    pub region_apart: u64,
    pub zone_away: u64,
    pub control_away: u64,
}

impl Scale {
    /// All that happens in a day, in a tenth of one; what is away is so for its stated time.
    pub fn full(servers: usize, seed: u64) -> Scale {
        Scale { servers, seed, day: 8_640, region_apart: 3_600, zone_away: 600, control_away: 300 }
    }

    /// All that happens in a day, in a tenth of an hour.
    pub fn quick(servers: usize, seed: u64) -> Scale {
        Scale { servers, seed, day: 360, region_apart: 40, zone_away: 20, control_away: 20 }
    }
}

/// What came of it. Seconds, and of each server.
#[derive(Clone, Debug, Serialize)]
pub struct Day {
    pub scale: Scale,
    pub changes: usize,
    /// Changes that found no publisher, while control was away or changed hands.
    pub not_published: usize,
    pub restarts: usize,
    /// Until in force on a server, over all changes and servers that ran and were reached all the time.
    pub p50: f64,
    pub p99: f64,
    pub worst: f64,
    /// Until in force on the last such server, over all changes.
    pub everywhere_p50: f64,
    pub everywhere_p99: f64,
    /// Until a server that was cut off or came back had the newest of then, and the worst of them; and those
    /// that began with an empty disk.
    pub caught_up_worst: f64,
    pub empty_caught_up_worst: f64,
    pub caught_up: usize,
    /// The slowest of all, for whoever looks for a cause.
    pub slowest: Vec<String>,
    /// Bytes a second of each server on the mean, without envelopes, and of the publisher.
    pub bytes: f64,
    pub control_bytes: f64,
    /// Percent of a core of each member.
    pub processor: f64,
}

fn location(server: usize) -> Location {
    let place = Place::of(server);
    Location { region: place.region_name(), zone: place.zone_name() }
}

fn delay(from: usize, to: usize) -> (Nanos, Nanos) {
    topology::delay(Place::of(from), Place::of(to))
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Change(usize),
    Restart,
    Fail,
    Back(usize),
    RackLost,
    RackBack,
    ZoneCut,
    RegionCut,
    Heal,
    ControlLost,
    ControlBack,
}

/// A change that was published: when, with which number, and who ran and was reached then.
struct Published {
    at: Nanos,
    number: u64,
    who: Vec<usize>,
}

/// One that came back, and the newest number of then.
struct Returned {
    at: Nanos,
    server: usize,
    number: u64,
    empty: bool,
}

/// The events of the day, in order of time.
fn schedule(scale: &Scale, rng: &mut ChaCha8Rng) -> BTreeMap<(Nanos, usize), Event> {
    let day = scale.day * SECOND;
    let mut events = BTreeMap::new();
    let mut put = |at: Nanos, event: Event| {
        let order = events.len();
        events.insert((at, order), event);
    };
    (0..CHANGES).for_each(|n| put(rng.next_u64() % day, Event::Change(n)));
    (0..RESTARTS).for_each(|_| put(rng.next_u64() % day, Event::Restart));
    (0..FAILURES).for_each(|_| put(rng.next_u64() % day, Event::Fail));
    let part = day / 10;
    put(part, Event::RackLost);
    put(part + 60 * SECOND.min(part / 100), Event::RackBack);
    put(3 * part, Event::ZoneCut);
    put(3 * part + scale.zone_away * SECOND, Event::Heal);
    put(5 * part, Event::RegionCut);
    put(5 * part + scale.region_apart * SECOND, Event::Heal);
    put(8 * part, Event::ControlLost);
    put(8 * part + scale.control_away * SECOND, Event::ControlBack);
    events
}

struct Play {
    fleet: Fleet,
    began: Nanos,
    servers: usize,
    /// Who is cut off now.
    away: Vec<usize>,
    published: Vec<Published>,
    returned: Vec<Returned>,
    /// Those that came back and have not come to the number of then.
    returning: BTreeMap<usize, u64>,
    not_published: usize,
    restarts: usize,
    newest: u64,
}

impl Play {
    fn start(scale: &Scale) -> Play {
        let layout = Layout {
            size: scale.servers,
            replicas: REPLICAS,
            location,
            delay,
            loss: 0.001,
            duplicate: 0.001,
            view_lag: 6 * SECOND,
            apply_time: 60 * MILLISECOND,
            pull_period: SECOND / 2,
        };
        let mut fleet = Fleet::started(layout, scale.seed);
        fleet.run_for(60 * SECOND);
        for part in 0..KEYS / 200 {
            let key = |n: usize| Change::set(&format!("tenants/tenant/tenant-{n:05}"), "2");
            fleet.propose((200 * part..200 * part + 200).map(key).collect());
            fleet.run_for(5 * SECOND);
        }
        Play {
            began: fleet.now(),
            fleet,
            servers: scale.servers,
            away: Vec::new(),
            published: Vec::new(),
            returned: Vec::new(),
            returning: BTreeMap::new(),
            not_published: 0,
            restarts: 0,
            newest: 0,
        }
    }

    fn change(&mut self, n: usize) {
        let key = format!("tenants/tenant/tenant-{:05}", n % KEYS);
        let change = vec![Change::set(&key, &format!("{}", 1 + n % 9))];
        let Some(number) = self.fleet.propose(change) else {
            self.not_published += 1;
            return;
        };
        self.newest = number;
        // Who was away or not there is counted from its return, until it has come up.
        let fleet = &self.fleet;
        self.returning
            .retain(|server, number| fleet.member(*server).is_some_and(|member| member.applied() < *number));
        let counts = |server: &usize| !self.away.contains(server) && !self.returning.contains_key(server);
        let who = self.fleet.running().into_iter().filter(counts).collect();
        self.published.push(Published { at: self.fleet.now(), number, who });
    }

    fn crash(&mut self, server: usize) {
        self.fleet.crash(server);
        self.restarts += 1;
        // It ran no more while these were on their way.
        self.published.iter_mut().rev().take(20).for_each(|one| one.who.retain(|other| *other != server));
    }

    fn start_again(&mut self, server: usize, empty: bool) {
        if self.fleet.member(server).is_some() {
            return;
        }
        if empty {
            self.fleet.truncate_disk(server, 0.0);
        }
        self.fleet.start(server);
        if !self.away.contains(&server) {
            self.returned.push(Returned { at: self.fleet.now(), server, number: self.newest, empty });
            self.returning.insert(server, self.newest);
        }
    }

    fn cut(&mut self, side: impl Fn(Place) -> bool) {
        for server in 0..self.servers {
            self.fleet.set_group(server, u32::from(side(Place::of(server))));
        }
        self.away = (0..self.servers).filter(|server| side(Place::of(*server))).collect();
        let away = &self.away;
        self.published
            .iter_mut()
            .rev()
            .take(20)
            .for_each(|one| one.who.retain(|other| !away.contains(other)));
        self.fleet.cut(0, 1);
    }

    fn heal(&mut self) {
        self.fleet.heal();
        let (at, number) = (self.fleet.now(), self.newest);
        let mut back = std::mem::take(&mut self.away);
        back.retain(|server| self.fleet.member(*server).is_some());
        self.returning.extend(back.iter().map(|server| (*server, number)));
        self.returned.extend(back.into_iter().map(|server| Returned { at, server, number, empty: false }));
    }

    fn rack(&self) -> Vec<usize> {
        let rack = Place::of(self.servers - 1).rack;
        (REPLICAS..self.servers).filter(|server| Place::of(*server).rack == rack).collect()
    }
}

/// Plays the day; `progress` hears of each tenth.
pub fn play(scale: &Scale, progress: &dyn Fn(&str)) -> Day {
    let mut rng = ChaCha8Rng::seed_from_u64(scale.seed);
    let mut play = Play::start(scale);
    let mut events = schedule(scale, &mut rng);
    let (began, processor) = (play.fleet.now(), thread_time());
    let (bytes, publisher) = (play.fleet.sent_bytes, play.fleet.leader());
    let control =
        publisher.and_then(|node| play.fleet.member(node)).map_or(0, |member| member.counts.sent_bytes);
    let mut tenth = 1;
    let mut control_bytes = 0.0;
    while let Some(((at, _), event)) = events.pop_first() {
        let next = began + at;
        if next > play.fleet.now() {
            let wait = next - play.fleet.now();
            play.fleet.run_for(wait);
        }
        if at >= tenth * scale.day * SECOND / 10 {
            progress(&format!("{} tenths of the day, {} changes", tenth, play.published.len()));
            if tenth == 1 {
                // Before anything befalls the control machines.
                let member = publisher.and_then(|node| play.fleet.member(node));
                let sent = member.map_or(0, |member| member.counts.sent_bytes.saturating_sub(control));
                control_bytes = sent as f64 / (at as f64 / SECOND as f64);
            }
            tenth += 1;
        }
        handle(&mut play, event, at, &mut events, &mut rng);
    }
    play.fleet.run_for(300 * SECOND);
    let span = (play.fleet.now() - began) as f64 / SECOND as f64;
    let spent = (thread_time() - processor) as f64 / SECOND as f64;
    let each = span * scale.servers as f64;
    let sent = play.fleet.sent_bytes - bytes;
    summary(scale, &play, sent as f64 / each, control_bytes, spent / each * 100.0)
}

fn handle(
    play: &mut Play,
    event: Event,
    at: Nanos,
    events: &mut BTreeMap<(Nanos, usize), Event>,
    rng: &mut ChaCha8Rng,
) {
    let mut later = |after: Nanos, event: Event| {
        let order = CHANGES + RESTARTS + FAILURES + events.len();
        events.insert((at + after, order), event);
    };
    let mut any = || REPLICAS + (rng.next_u64() % (play.servers - REPLICAS) as u64) as usize;
    match event {
        Event::Change(n) => play.change(n),
        Event::Restart => {
            let server = any();
            play.crash(server);
            later(BACK_AFTER, Event::Back(server));
        }
        Event::Fail => {
            let server = any();
            play.crash(server);
            play.fleet.truncate_disk(server, 0.0);
            later(REPLACED_AFTER, Event::Back(server));
        }
        Event::Back(server) => {
            let empty = play.fleet.is_disk_empty(server);
            play.start_again(server, empty);
        }
        Event::RackLost => play.rack().into_iter().for_each(|server| play.crash(server)),
        Event::RackBack => play.rack().into_iter().for_each(|server| play.start_again(server, false)),
        Event::ZoneCut => play.cut(|place| place.zone == 9),
        Event::RegionCut => play.cut(|place| place.region == 2),
        Event::Heal => play.heal(),
        Event::ControlLost => (0..REPLICAS).for_each(|replica| play.fleet.crash(replica)),
        Event::ControlBack => (0..REPLICAS).for_each(|replica| play.fleet.start(replica)),
    }
}

/// The quantile of sorted seconds.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * part).round() as usize).copied().unwrap_or(f64::NAN)
}

fn summary(scale: &Scale, play: &Play, bytes: f64, control_bytes: f64, processor: f64) -> Day {
    // When each server first went by each number or a later one.
    let mut times: BTreeMap<usize, Vec<(Nanos, u64)>> = BTreeMap::new();
    for one in &play.fleet.applied {
        times.entry(one.node).or_default().push((one.at, one.number));
    }
    let reached = |server: usize, from: Nanos, number: u64| {
        let mine = times.get(&server)?;
        let first = mine.iter().find(|(_, reached)| *reached >= number)?;
        Some(first.0.saturating_sub(from) as f64 / SECOND as f64)
    };
    let (mut all, mut everywhere) = (Vec::new(), Vec::new());
    for one in &play.published {
        let each: Vec<f64> = one
            .who
            .iter()
            .map(|server| reached(*server, one.at, one.number).unwrap_or(f64::INFINITY))
            .collect();
        everywhere.push(each.iter().copied().fold(0.0, f64::max));
        all.extend(each);
    }
    all.sort_by(f64::total_cmp);
    everywhere.sort_by(f64::total_cmp);
    let caught = |empty: bool| {
        let those = play.returned.iter().filter(|one| one.empty == empty);
        // One that was restarted again meanwhile is counted from its last return.
        let last = |one: &&Returned| {
            !play.returned.iter().any(|other| other.server == one.server && other.at > one.at)
        };
        let seconds = those.filter(last).filter_map(|one| reached(one.server, one.at, one.number));
        seconds.fold(0.0, f64::max)
    };
    let mut slow: Vec<(f64, String)> = Vec::new();
    for one in &play.published {
        let latest =
            one.who.iter().map(|server| (reached(*server, one.at, one.number).unwrap_or(1e9), *server));
        if let Some((took, server)) = latest.max_by(|a, b| a.0.total_cmp(&b.0)) {
            let at = (one.at - play.began) as f64 / SECOND as f64;
            slow.push((took, format!("{took:.1} s: s{server} to {} published at {at:.0} s", one.number)));
        }
    }
    slow.sort_by(|a, b| b.0.total_cmp(&a.0));
    let slowest = slow.into_iter().take(SLOWEST).map(|(_, what)| what).collect();
    Day {
        scale: *scale,
        changes: play.published.len(),
        not_published: play.not_published,
        restarts: play.restarts,
        p50: quantile(&all, 0.5),
        p99: quantile(&all, 0.99),
        worst: quantile(&all, 1.0),
        everywhere_p50: quantile(&everywhere, 0.5),
        everywhere_p99: quantile(&everywhere, 0.99),
        caught_up_worst: caught(false),
        empty_caught_up_worst: caught(true),
        caught_up: play.returned.len(),
        slowest,
        bytes,
        control_bytes,
        processor,
    }
}
