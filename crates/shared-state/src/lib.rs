//! State that the servers of a fleet share, without I/O: readings of the clocks, the seed, the living members
//! and messages go in; messages to send, ceilings, totals and judgements come out. Three kinds:
//!
//! - [`budget`]: a global figure split into leases; the sum in use never passes it.
//! - [`counters`]: totals over the fleet as a CRDT; exact once all have been heard.
//! - [`outlier_detection`]: which services below are slow or failing in the eyes of several servers.
//!
//! `docs/shared-state.md` names the ways weighed and what is promised under partition.

pub mod budget;
pub mod clock;
pub mod counters;
pub mod outlier_detection;
pub mod permits;
pub mod sim;

use budget::{Budget, BudgetMessage, BudgetSettings};
use clock::{Nanos, Reading, Time, Watch};
use counters::{Counts, Refused, Row};
use outlier_detection::{OutlierDetector, Report};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Longest name of a server, key, service or budget, in bytes.
pub const NAME_MAX: usize = 64;
/// Servers' lives in one digest: 64 bytes of name and 20 of figures at the most fit a datagram of 1,400 bytes
/// sixteen times.
const DIGEST_MAX: usize = 16;
/// Datagrams of rows that one digest is answered with, at most.
const ANSWERS_MAX: usize = 32;
/// Members that reports go to each period.
const FANOUT: usize = 3;

/// One life of a server: its name in the fleet's view, and the start of the process in nanoseconds since the
/// epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId {
    pub name: String,
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub from: ServerId,
    pub what: Payload,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Of the budget of that name.
    Budget {
        name: String,
        say: BudgetMessage,
    },
    /// What is known of counts, of all servers' lives from the first to before the second. `reply` where the
    /// receiver's own is wanted back.
    Digest {
        from: Option<ServerId>,
        before: Option<ServerId>,
        known: Vec<(ServerId, u64)>,
        reply: bool,
    },
    Rows(Vec<(ServerId, Row)>),
    Reports(Vec<Report>),
    /// Of something else that the servers speak of, by its topic; this crate only carries it. A topic that
    /// nobody here takes is passed over, so that later releases may add some.
    Other {
        topic: u16,
        body: Vec<u8>,
    },
}

/// Topics of [`Payload::Other`].
pub const ORDERS: u16 = 1;
pub const ORDER_REPORTS: u16 = 2;
pub const ABOUTS: u16 = 3;
pub const REPLICATION: u16 = 4;
/// Bodies of other topics that may wait to be taken; more are dropped.
const OTHERS_MAX: usize = 1024;

#[derive(Clone, Debug)]
pub struct Settings {
    pub budgets: Vec<BudgetSettings>,
    pub counts: counters::Limits,
    pub judge: Option<outlier_detection::Settings>,
    /// How often counts and reports are told.
    pub gossip: Nanos,
    /// Longest body of a message, in bytes.
    pub body_max: usize,
}

impl Settings {
    pub fn check(&self) -> Result<(), String> {
        for (i, plan) in self.budgets.iter().enumerate() {
            plan.check().map_err(|fault| format!("budget {:?}: {fault}", plan.name))?;
            if self.budgets[..i].iter().any(|other| other.name == plan.name) {
                return Err(format!("budget {:?}: given twice", plan.name));
            }
        }
        if let Some(judge) = &self.judge {
            judge.check()?;
        }
        if self.gossip == 0 || self.body_max < 512 {
            return Err("gossip-ms: above 0; bodies of 512 bytes at least".into());
        }
        Ok(())
    }
}

/// Messages, from the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    /// Not one whole message of ours, a name of no length or too long, or a budget not known here.
    pub malformed: u64,
}

/// One server's part in all that is shared.
pub struct SharedState {
    me: ServerId,
    settings: Settings,
    watch: Watch,
    time: Time,
    wall: u64,
    pub budgets: Vec<Budget>,
    pub counts: Counts,
    pub judge: Option<OutlierDetector>,
    next_gossip: Nanos,
    rng: ChaCha8Rng,
    out: Vec<(String, Vec<u8>)>,
    others: Vec<(ServerId, u16, Vec<u8>)>,
    pub tally: Tally,
}

impl SharedState {
    /// `Err` names the bad setting.
    pub fn new(me: ServerId, settings: Settings, seed: u64, reading: Reading) -> Result<SharedState, String> {
        settings.check()?;
        let mut watch = Watch::default();
        let time = watch.read(reading);
        let budgets = settings.budgets.iter().map(|plan| Budget::new(me.clone(), plan.clone(), time));
        Ok(SharedState {
            budgets: budgets.collect::<Result<_, _>>()?,
            counts: Counts::new(me.clone(), settings.counts),
            judge: settings.judge.clone().map(|judge| OutlierDetector::new(me.clone(), judge)).transpose()?,
            next_gossip: time.fast,
            rng: ChaCha8Rng::seed_from_u64(seed),
            out: Vec::new(),
            others: Vec::new(),
            tally: Tally::default(),
            wall: reading.wall,
            me,
            settings,
            watch,
            time,
        })
    }

    pub fn me(&self) -> &ServerId {
        &self.me
    }

    /// Takes a reading of the clocks in; what is held is measured from then on as of that moment.
    pub fn read(&mut self, reading: Reading) -> Time {
        self.time = self.watch.read(reading);
        self.wall = reading.wall;
        self.time
    }

    /// The time of the last reading.
    pub fn time(&self) -> Time {
        self.time
    }

    /// Readings at which the two clocks went apart.
    pub fn disagreements(&self) -> u64 {
        self.watch.disagreements
    }

    /// Does what is due; `alive` are the names of the other members that the fleet's view holds alive.
    pub fn advance(&mut self, reading: Reading, alive: &[String]) {
        let time = self.read(reading);
        for i in 0..self.budgets.len() {
            let draw = self.rng.next_u64();
            let out = self.budgets[i].advance(time, draw);
            self.say(i, out);
        }
        if time.fast >= self.next_gossip {
            let part = self.settings.gossip / 4;
            self.next_gossip = time.fast + self.settings.gossip - part / 2 + self.below(part);
            self.gossip(alive);
        }
    }

    /// By when [`SharedState::advance`] is wanted again, in nanoseconds from now at most.
    pub fn due_in(&self) -> Nanos {
        let refresh = self.budgets.iter().map(|budget| budget.plan().refresh / 2).min();
        refresh.unwrap_or(Nanos::MAX).min(self.settings.gossip / 2).max(1)
    }

    fn below(&mut self, most: u64) -> u64 {
        if most == 0 { 0 } else { self.rng.next_u64() % most }
    }

    fn gossip(&mut self, alive: &[String]) {
        if alive.is_empty() {
            return;
        }
        let one = alive[self.below(alive.len() as u64) as usize].clone();
        self.send_digest(&one);
        let Some(reports) = self.judge.as_ref().map(|judge| judge.reports(self.time)) else { return };
        for _ in 0..FANOUT.min(alive.len()) {
            let to = alive[self.below(alive.len() as u64) as usize].clone();
            let parts = pack(&reports, self.room());
            parts.into_iter().for_each(|part| self.send(&to, Payload::Reports(part)));
        }
    }

    /// Room for the list in a message.
    fn room(&self) -> usize {
        self.settings.body_max - 4 * NAME_MAX - 64
    }

    /// One datagram's worth of the digest, another each time: what a period costs does not grow
    /// with the fleet.
    fn send_digest(&mut self, to: &str) {
        let start = self.below(self.counts.rows().div_ceil(DIGEST_MAX) as u64) as usize * DIGEST_MAX;
        let (known, before) = self.counts.digest(start, DIGEST_MAX);
        let from = known.first().filter(|_| start > 0).map(|(who, _)| who.clone());
        self.send(to, Payload::Digest { from, before, known, reply: true });
    }

    fn say(&mut self, budget: usize, out: budget::Out) {
        for (to, say) in out {
            let name = self.budgets[budget].plan().name.clone();
            self.send(&to, Payload::Budget { name, say });
        }
    }

    fn send(&mut self, to: &str, what: Payload) {
        let message = Message { from: self.me.clone(), what };
        let body = postcard::to_allocvec(&message).expect("no part of it refuses");
        self.tally.sent += 1;
        self.tally.sent_bytes += body.len() as u64;
        self.out.push((to.to_string(), body));
    }

    /// Sends a body of another topic, in the datagrams of the shared state.
    pub fn send_other(&mut self, to: &str, topic: u16, body: Vec<u8>) {
        self.send(to, Payload::Other { topic, body });
    }

    /// Bodies of other topics that came, with who sent them; taken once.
    pub fn others(&mut self) -> Vec<(ServerId, u16, Vec<u8>)> {
        std::mem::take(&mut self.others)
    }

    /// Messages to send, each to a member by name; taken once.
    pub fn outgoing(&mut self) -> Vec<(String, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// A body as an authenticated peer sent it; `Err` says what was wrong with it, and it is counted.
    pub fn receive(&mut self, reading: Reading, body: &[u8]) -> Result<(), &'static str> {
        let time = self.read(reading);
        self.tally.received += 1;
        let result = self.take(time, body);
        self.tally.malformed += u64::from(result.is_err());
        result
    }

    fn take(&mut self, time: Time, body: &[u8]) -> Result<(), &'static str> {
        let (message, rest) = postcard::take_from_bytes::<Message>(body).map_err(|_| "no message")?;
        let Message { from, what } = message;
        if !rest.is_empty() {
            return Err("bytes left over");
        }
        if from.name.is_empty() || from.name.len() > NAME_MAX {
            return Err("a sender's name of 1 to 64 bytes");
        }
        match what {
            Payload::Budget { name, say } => {
                let i = self.budgets.iter().position(|budget| budget.plan().name == name);
                let i = i.ok_or("a budget not known here")?;
                let out = self.budgets[i].heard(time, &from, say);
                self.say(i, out);
            }
            Payload::Digest { from: first, before, known, reply } => {
                let (newer, mut mine) = self.counts.compare(&first, &before, &known);
                let room = self.room();
                let cut: Vec<(ServerId, Row)> =
                    newer.iter().flat_map(|(who, row)| cut(who, row, room / 2)).collect();
                let mut parts = pack(&cut, room);
                parts.truncate(ANSWERS_MAX);
                parts.into_iter().for_each(|part| self.send(&from.name, Payload::Rows(part)));
                if reply {
                    // The same part of it, as far as one message holds.
                    let next = mine.get(DIGEST_MAX).map(|(who, _)| who.clone());
                    mine.truncate(DIGEST_MAX);
                    let (known, before) = (mine, next.or(before));
                    self.send(&from.name, Payload::Digest { from: first, before, known, reply: false });
                }
            }
            Payload::Rows(rows) => {
                for (who, row) in &rows {
                    if self.counts.merge(who, row, self.wall) == Err(Refused::Own) {
                        self.counts.renew(self.wall.max(self.me.incarnation) + 1);
                    }
                }
            }
            Payload::Other { topic, body } => {
                if self.others.len() >= OTHERS_MAX {
                    return Err("no room for more of other topics");
                }
                self.others.push((from, topic, body));
            }
            Payload::Reports(reports) => {
                if let Some(judge) = &mut self.judge {
                    judge.merge_reports(time, &reports);
                }
            }
        }
        Ok(())
    }
}

/// The items split over lists that each take `room` bytes at most, or one item.
fn pack<T: Clone + Serialize>(items: &[T], room: usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut held = usize::MAX;
    for item in items {
        let size = postcard::to_allocvec(item).expect("no part of it refuses").len();
        if held.saturating_add(size) > room {
            parts.push(Vec::new());
            held = 0;
        }
        held += size;
        parts.last_mut().expect("pushed before").push(item.clone());
    }
    parts
}

/// A row in parts that take `room` bytes at most: rows merge key by key, so parts are as good as the whole.
fn cut(who: &ServerId, row: &Row, room: usize) -> Vec<(ServerId, Row)> {
    let keys: Vec<(&String, &u64)> = row.of.iter().collect();
    let parts = pack(&keys, room);
    let whole = |part: Vec<(&String, &u64)>| Row {
        of: part.into_iter().map(|(key, count)| (key.clone(), *count)).collect(),
    };
    parts.into_iter().map(|part| (who.clone(), whole(part))).collect()
}
