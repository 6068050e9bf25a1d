//! The fleet's view as each server keeps it: SWIM with suspicion and piggybacked updates, by the `foca`
//! crate, without I/O. Time (whole nanoseconds), the seed and datagrams go in; datagrams to send and the view
//! come out. `docs/membership.md` names the ways weighed and the bounds.
//!
//! What this crate adds to foca: an identity of name, address and incarnation whose later incarnation wins
//! (a restarted server takes its old place at once), the authenticated datagram of [`envelope`], the
//! [`exchange`] of views, verdicts and doubts beside gossip, counts of what was dropped and why, a
//! timer queue
//! on the caller's clock, and the time each member last changed.

pub mod directory;
pub mod envelope;
pub mod exchange;
pub mod sim;

use envelope::{Drop, Kind, Replays, Sealer};
use exchange::{Exchange, What};
use foca::{Config, Foca, Identity, Notification, PostcardCodec, Runtime, State, Timer};
use meadowstream_rate_limit::SlidingWindow;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

pub type Nanos = u64;

const SECOND: Nanos = 1_000_000_000;

/// Longest name of a member, in bytes.
pub const NAME_MAX: usize = 64;

/// Who a member is. Two identities at one address are one member: the higher incarnation wins, so a server
/// restarted under its old name and address replaces its old self as soon as it is heard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Id {
    pub name: String,
    pub addr: SocketAddr,
    /// Raised at each start of the process (the server takes its start time in nanoseconds since the epoch),
    /// and by one where the fleet had declared this identity down while it lived.
    pub incarnation: u64,
}

impl Identity for Id {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Id { incarnation: self.incarnation.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}

/// Settings of the core, in whole nanoseconds. Bad values are refused by [`Settings::check`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub fleet: String,
    pub key: Vec<u8>,
    /// How often a member probes another.
    pub probe_period: Nanos,
    /// How long a direct probe waits before asking others to probe; under the period.
    pub probe_rtt: Nanos,
    /// A suspect is declared down after this many probe periods.
    pub suspicion_multiplier: u32,
    /// Largest body of a datagram in bytes; those of gossip are shorter, see [`Settings::bytes_a_second`].
    pub packet_max: usize,
    /// Fleet size that the dissemination is tuned for; updates are sent about 4 log10(n+1) times.
    pub expected_members: u32,
    /// How often each member gossips to three others, and how often it announces itself to one again.
    pub gossip_period: Nanos,
    pub announce_period: Nanos,
    /// Bytes that the view's own datagrams take in any second. Gossip in full packets takes half of them;
    /// gossip and members' lists wait where there is no room, probes, answers and verdicts do not. What
    /// carries shared state is not counted.
    pub bytes_a_second: u64,
}

impl Settings {
    /// Defaults for a fleet on one network: a probe a second, suspicion of four periods.
    pub fn lan(fleet: &str, key: &[u8]) -> Settings {
        Settings {
            fleet: fleet.to_string(),
            key: key.to_vec(),
            probe_period: 1_000_000_000,
            probe_rtt: 400_000_000,
            suspicion_multiplier: 4,
            packet_max: 1400,
            expected_members: 64,
            gossip_period: 200_000_000,
            announce_period: 10_000_000_000,
            bytes_a_second: BYTES_A_SECOND,
        }
    }

    /// Suspicion time: period times multiplier.
    pub fn suspicion(&self) -> Nanos {
        self.probe_period.saturating_mul(self.suspicion_multiplier as u64)
    }

    /// What is wrong, naming the setting; `Ok` where all may be used.
    pub fn check(&self) -> Result<(), String> {
        if self.fleet.is_empty() || self.fleet.len() > NAME_MAX {
            return Err(format!("fleet: a name of 1 to {NAME_MAX} bytes, not {}", self.fleet.len()));
        }
        if self.key.len() < 16 {
            return Err(format!("key: at least 16 bytes, not {}", self.key.len()));
        }
        if self.probe_period < 10_000_000 {
            return Err("probe-period: at least 10 ms".into());
        }
        if self.probe_rtt == 0 || self.probe_rtt >= self.probe_period {
            return Err("probe-rtt: above 0 and under the probe period".into());
        }
        if !(1..=60).contains(&self.suspicion_multiplier) {
            return Err("suspicion-multiplier: 1 to 60".into());
        }
        if !(PACKET_LEAST..=envelope::DATAGRAM_MAX - envelope::HEAD - envelope::TAG)
            .contains(&self.packet_max)
        {
            return Err("packet-max: 256 to 65,445 bytes".into());
        }
        let least = (BYTES_LEAST_PACKETS * (self.packet_max + ENVELOPE)) as u64;
        if self.bytes_a_second < least {
            return Err(format!("bytes-a-second: {least} at least with packets of {}", self.packet_max));
        }
        if self.expected_members == 0 || self.gossip_period == 0 || self.announce_period == 0 {
            return Err("expected-members, gossip-period and announce-period: above 0".into());
        }
        Ok(())
    }

    /// Longest body of gossip, probes and their answers: half of the bytes of a second go to gossip where all
    /// its packets are full, and half to what else there is. Guards against a second in which gossip alone
    /// takes 22 kB a member, after a long cut of a large fleet; it may hurt how soon a large fleet joins.
    fn gossip_packet(&self) -> usize {
        let packets = GOSSIP_MEMBERS as u64 * SECOND.div_ceil(self.gossip_period);
        let full = (self.bytes_a_second / (2 * packets)) as usize;
        full.saturating_sub(ENVELOPE).clamp(PACKET_LEAST, self.packet_max)
    }

    fn foca(&self) -> Config {
        let transmissions = (4.0 * ((self.expected_members as f64) + 1.0).log10()).ceil().clamp(1.0, 255.0);
        let periodic = |every: Nanos, members: usize| {
            Some(foca::PeriodicParams {
                frequency: Duration::from_nanos(every),
                num_members: NonZeroUsize::new(members).expect("above 0"),
            })
        };
        Config {
            probe_period: Duration::from_nanos(self.probe_period),
            probe_rtt: Duration::from_nanos(self.probe_rtt),
            num_indirect_probes: NonZeroUsize::new(3).expect("3"),
            max_transmissions: NonZeroU8::new(transmissions as u8).expect("above 0"),
            suspect_to_down_after: Duration::from_nanos(self.suspicion()),
            // Down members are forgotten after a while, so that memory stays bounded by the live fleet.
            remove_down_after: Some(Duration::from_nanos(self.suspicion().saturating_mul(30))),
            max_packet_size: NonZeroUsize::new(self.gossip_packet()).expect("above 0"),
            notify_down_members: true,
            periodic_announce: periodic(self.announce_period, 1),
            periodic_announce_to_down_members: periodic(self.announce_period, 2),
            periodic_gossip: periodic(self.gossip_period, GOSSIP_MEMBERS),
        }
    }
}

/// A member as this server sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Seen {
    pub name: String,
    pub addr: SocketAddr,
    pub incarnation: u64,
    /// foca's SWIM incarnation: raised each time the member refuted a suspicion of itself.
    pub refutations: u16,
    pub state: Standing,
    /// When this server first saw the present state (of this incarnation).
    pub since: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Standing {
    Alive,
    Suspect,
    Down,
}

impl From<State> for Standing {
    fn from(state: State) -> Standing {
        match state {
            State::Alive => Standing::Alive,
            State::Suspect => Standing::Suspect,
            State::Down => Standing::Down,
        }
    }
}

/// A change of the view, as this server learnt it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Change {
    Up(Id),
    Down(Id),
    /// The one before was replaced by a later incarnation at the same address.
    Renamed(Id, Id),
    /// This server is known to one other at least.
    Active,
    /// It knows no live member.
    Idle,
    /// The fleet declared this server down and it took a higher incarnation.
    Rejoined(Id),
}

/// Counts, from the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// Dropped datagrams by reason, in the order of [`Drop::ALL`].
    pub dropped: [u64; 9],
    /// Bodies that foca would not send because they were longer than allowed.
    pub unsendable: u64,
}

impl Counts {
    pub fn dropped(&self, why: Drop) -> u64 {
        self.dropped[Drop::ALL.iter().position(|d| *d == why).expect("listed")]
    }

    pub fn dropped_all(&self) -> u64 {
        self.dropped.iter().sum()
    }
}

/// What foca asks for while it is handled; drained into the core after each call.
#[derive(Default)]
struct Asked {
    send: Vec<(Id, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Id>)>,
    notes: Vec<Change>,
}

impl Runtime<Id> for Asked {
    fn notify(&mut self, note: Notification<'_, Id>) {
        self.notes.push(match note {
            Notification::MemberUp(id) => Change::Up(id.clone()),
            Notification::MemberDown(id) => Change::Down(id.clone()),
            Notification::Rename(old, new) => Change::Renamed(old.clone(), new.clone()),
            Notification::Active => Change::Active,
            Notification::Idle => Change::Idle,
            Notification::Rejoin(id) => Change::Rejoined(id.clone()),
            // Defunct cannot come: identities renew themselves.
            _ => return,
        });
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// A suspicion that this member raised: the suspect is told of it until it is refuted or ends.
struct Doubt {
    suspect: Id,
    refutations: u16,
    next: Nanos,
    until: Nanos,
}

/// How often a suspect is told within the suspicion time. At 20% loss each way an eighth part of the time
/// leaves 0.36^8, under 1 in 3,000, that no answer comes.
const TELLS: u64 = 8;

/// About what an update of a member takes in a packet, and what is round each body, in bytes.
const UPDATE_BYTES: usize = 64;
const ENVELOPE: usize = envelope::HEAD + envelope::TAG;

/// By default more than a member of a thousand sends: the fleet has one view soonest. A
/// smaller figure keeps to a bound on the network's load, and one view of a large fleet takes longer.
pub const BYTES_A_SECOND: u64 = 200_000;
/// Smallest packet that holds the names of two members, and full ones that a second has to have room for.
const PACKET_LEAST: usize = 256;
const BYTES_LEAST_PACKETS: usize = 4;
/// Part of the budget that gossip and lists of members leave alone.
const RESERVE_PARTS: u64 = 8;
/// Members that foca gossips to at a time.
const GOSSIP_MEMBERS: usize = 3;

/// Bodies of shared state that may wait to be taken; more are dropped.
const CARRIED_MAX: usize = 1024;

/// The membership of one server.
pub struct Membership {
    foca: Foca<Id, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    sealer: Sealer,
    replays: Replays,
    timers: BTreeMap<(Nanos, u64), Timer<Id>>,
    timer_seq: u64,
    sequence: u64,
    now: Nanos,
    out: Vec<(SocketAddr, Vec<u8>)>,
    changes: Vec<(Nanos, Change)>,
    since: HashMap<SocketAddr, (u64, Standing, Nanos)>,
    last_change: Nanos,
    counts: Counts,
    seeds: Vec<SocketAddr>,
    /// While no member is known, the seeds are asked again at this time; the wait doubles up to the announce
    /// period. Guards against a first announce lost on the way: without it a server stays alone for good.
    rejoin_at: Option<Nanos>,
    rejoin_wait: Nanos,
    /// What the view's own datagrams take. Guards against a burst of gossip and of members' lists when parts
    /// of a large fleet find each other again; it may hurt how soon one view comes there. Probes, answers to
    /// them and verdicts never wait.
    budget: SlidingWindow,
    bytes_a_second: u64,
    gossip_packet: usize,
    gossip_period: Nanos,
    probe_period: Nanos,
    announce_period: Nanos,
    suspicion: Nanos,
    /// When suspects were last looked at; see [`Membership::expire_suspects`].
    suspects_looked: Nanos,
    /// Since when each is held suspect: address, incarnation, refutations.
    suspected: HashMap<(SocketAddr, u64, u16), Nanos>,
    doubts: Vec<Doubt>,
    /// Bodies of shared state that came and were not taken yet.
    carried: Vec<Vec<u8>>,
    /// When the view is next compared with another member's, and the seeds outside it asked.
    exchange_at: Nanos,
    rng: ChaCha8Rng,
}

impl Membership {
    /// A member that knows nobody yet. `Err` names the bad setting.
    pub fn new(me: Id, settings: &Settings, seed: u64, now: Nanos) -> Result<Membership, String> {
        settings.check()?;
        if me.name.is_empty() || me.name.len() > NAME_MAX {
            return Err(format!("name: 1 to {NAME_MAX} bytes"));
        }
        let foca = Foca::new(me, settings.foca(), ChaCha8Rng::seed_from_u64(seed), PostcardCodec);
        Ok(Membership {
            foca,
            sealer: Sealer::new(&settings.fleet, &settings.key, settings.packet_max),
            replays: Replays::new((settings.expected_members as usize).saturating_mul(4).max(64)),
            timers: BTreeMap::new(),
            timer_seq: 0,
            sequence: 0,
            now,
            out: Vec::new(),
            changes: Vec::new(),
            since: HashMap::new(),
            last_change: now,
            counts: Counts::default(),
            seeds: Vec::new(),
            rejoin_at: None,
            rejoin_wait: settings.probe_period,
            budget: SlidingWindow::new(settings.bytes_a_second, now),
            bytes_a_second: settings.bytes_a_second,
            gossip_packet: settings.gossip_packet(),
            gossip_period: settings.gossip_period,
            probe_period: settings.probe_period,
            announce_period: settings.announce_period,
            suspicion: settings.suspicion(),
            suspects_looked: now,
            suspected: HashMap::new(),
            doubts: Vec::new(),
            carried: Vec::new(),
            exchange_at: now + settings.probe_period,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x0065_7863_6861_6e67),
        })
    }

    pub fn me(&self) -> &Id {
        self.foca.identity()
    }

    /// Asks the seeds to let this server in: an announce to each address (a seed's name is not known).
    /// While it then knows nobody, it asks them again, first after a probe period, then after twice as long,
    /// up to the announce period.
    pub fn join(&mut self, seeds: &[SocketAddr], now: Nanos) {
        self.now = self.now.max(now);
        let mine = self.me().addr;
        self.seeds = seeds.iter().copied().filter(|a| *a != mine).collect();
        self.rejoin_wait = self.probe_period;
        self.announce_seeds();
    }

    fn announce_seeds(&mut self) {
        self.rejoin_at = (!self.seeds.is_empty()).then_some(self.now + self.rejoin_wait);
        for addr in self.seeds.clone() {
            self.announce_to(addr);
        }
    }

    /// An announce to an address whose member is not known yet.
    fn announce_to(&mut self, addr: SocketAddr) {
        let seed = Id { name: String::new(), addr, incarnation: 0 };
        let mut asked = Asked::default();
        let _ = self.foca.announce(seed, &mut asked);
        self.absorb(asked);
    }

    /// A datagram as it came from `from`; `Err` says why it was dropped (and it is counted).
    pub fn receive(&mut self, from: SocketAddr, datagram: &[u8], now: Nanos) -> Result<(), Drop> {
        self.now = self.now.max(now);
        self.counts.received += 1;
        self.counts.received_bytes += datagram.len() as u64;
        let result = self.take(from, datagram);
        if let Err(why) = result {
            self.counts.dropped[Drop::ALL.iter().position(|d| *d == why).expect("listed")] += 1;
        }
        result
    }

    fn take(&mut self, from: SocketAddr, datagram: &[u8]) -> Result<(), Drop> {
        let opened = self.sealer.open(datagram)?;
        if !self.replays.take(from, opened.incarnation, opened.sequence, self.now) {
            return Err(Drop::Replay);
        }
        match opened.kind {
            Kind::Swim => {
                let mut asked = Asked::default();
                let handled = self.foca.handle_data(opened.body, &mut asked);
                self.absorb(asked);
                handled.map_err(|_| Drop::Protocol)
            }
            Kind::Exchange => {
                let exchange = Exchange::decode(opened.body).ok_or(Drop::Protocol)?;
                self.heard(exchange)
            }
            Kind::State if self.carried.len() < CARRIED_MAX => {
                self.carried.push(opened.body.to_vec());
                Ok(())
            }
            Kind::State => Err(Drop::Protocol),
        }
    }

    /// One of the messages of [`exchange`].
    fn heard(&mut self, Exchange { from, what }: Exchange) -> Result<(), Drop> {
        let named = |id: &Id| !id.name.is_empty() && id.name.len() <= NAME_MAX;
        let mine = self.me().clone();
        if !named(&from) || from.addr == mine.addr {
            return Err(Drop::Protocol);
        }
        match what {
            What::Digest(marks) => {
                let differing = exchange::differing(&self.marks(), &marks);
                if differing != 0 {
                    self.answer(&from, differing, differing);
                }
            }
            What::Members { want, members } => {
                // Only the living are told of: a death is gossip's to tell, and the member's own to refute.
                if members.iter().any(|m| !named(m.id()) || m.state() == State::Down) {
                    return Err(Drop::Protocol);
                }
                // Answered first, so that what just came from it does not go back.
                if want != 0 {
                    self.answer(&from, want, 0);
                    self.compare_soon();
                }
                self.tell_one_held_down(&from, &members);
                let mut asked = Asked::default();
                let others = members.into_iter().filter(|m| m.id().addr != mine.addr);
                let applied = self.foca.apply_many(others, true, &mut asked);
                self.absorb(asked);
                applied.map_err(|_| Drop::Protocol)?;
            }
            What::Held(member) => {
                if member.state() == State::Alive {
                    return Ok(());
                }
                if *member.id() != mine {
                    // Of an incarnation that is no more: the later one has been told of already.
                    if member.id().addr != mine.addr && member.state() == State::Down {
                        self.suspect(member.id());
                    }
                    return Ok(());
                }
                let mut asked = Asked::default();
                let applied = self.foca.apply_many(std::iter::once(member), true, &mut asked);
                // Whatever foca sends carries the refutation in its head, so the teller hears it at once.
                let _ = self.foca.announce(from, &mut asked);
                self.absorb(asked);
                applied.map_err(|_| Drop::Protocol)?;
            }
        }
        Ok(())
    }

    /// The marks of this view: the members alive or suspect, and this one.
    fn marks(&self) -> Vec<u32> {
        let living = self.foca.iter_members().map(|m| m.id());
        exchange::digest(living.chain(std::iter::once(self.foca.identity())))
    }

    /// Sends the living members of these buckets to `to`, asking for its own of `want`.
    fn answer(&mut self, to: &Id, buckets: u64, want: u64) {
        let me = self.me().clone();
        let mine = foca::Member::alive(me.clone());
        let living = self.foca.iter_members().cloned().chain(std::iter::once(mine));
        let mut members: Vec<_> = living.filter(|m| buckets & (1 << exchange::bucket(m.id())) != 0).collect();
        // Another start each time, so that what one answer has no room for comes with the next.
        let start = self.below(members.len());
        members.rotate_left(start);
        for body in exchange::answers(&me, want, &members, self.sealer.body_max()) {
            if (body.len() + ENVELOPE) as u64 > self.room() {
                self.compare_soon();
                return;
            }
            self.send(to.addr, Kind::Exchange, &body);
        }
    }

    /// Compares views again before an announce period is over, since this one is known to differ.
    fn compare_soon(&mut self) {
        self.exchange_at = self.exchange_at.min(self.now + 2 * self.probe_period);
    }

    /// Of the members that another hears and this one holds down in the same incarnation, one at random is
    /// told itself, and so is the one that hears it. One for each datagram, so that what is sent stays in
    /// proportion to what came.
    fn tell_one_held_down(&mut self, from: &Id, heard: &[foca::Member<Id>]) {
        let down: std::collections::HashSet<&Id> =
            self.foca.iter_membership_state().filter(|m| m.state() == State::Down).map(|m| m.id()).collect();
        let wronged: Vec<Id> = heard.iter().map(|m| m.id()).filter(|id| down.contains(id)).cloned().collect();
        if !wronged.is_empty() {
            let one = wronged[self.below(wronged.len())].clone();
            self.tell(one.addr, foca::Member::down(one.clone()));
            self.tell(from.addr, foca::Member::down(one));
        }
    }

    /// Suspects a member that another holds down and this one alive, in the same incarnation. Guards against
    /// a death that gossip did not bring here: this one's own probes come round to it after as many periods
    /// as there are members. It may hurt a member that lives and was declared down wrongly; that one
    /// refutes the suspicion, or takes its next incarnation.
    fn suspect(&mut self, id: &Id) {
        let known = self.foca.iter_members().find(|m| m.id() == id && m.state() == State::Alive);
        let Some(refutations) = known.map(foca::Member::incarnation) else { return };
        let suspected = foca::Member::new(id.clone(), refutations, State::Suspect);
        let mut asked = Asked::default();
        let _ = self.foca.apply_many(std::iter::once(suspected), true, &mut asked);
        self.absorb(asked);
    }

    /// Tells a member in what state this one holds it, or another.
    fn tell(&mut self, to: SocketAddr, held: foca::Member<Id>) {
        let said = Exchange { from: self.me().clone(), what: What::Held(held) };
        self.send(to, Kind::Exchange, &said.encode());
    }

    fn below(&mut self, most: usize) -> usize {
        if most == 0 { 0 } else { (self.rng.next_u64() % most as u64) as usize }
    }

    /// Suspects of this member's own probes are told so, until they are no suspects any more.
    fn tell_suspects(&mut self) {
        let now = self.now;
        if self.doubts.iter().all(|doubt| doubt.next > now && doubt.until > now) {
            return;
        }
        let mut doubts = std::mem::take(&mut self.doubts);
        doubts.retain(|doubt| now < doubt.until && self.stands_suspect(doubt));
        for doubt in &mut doubts {
            if doubt.next <= now {
                doubt.next = now + (self.suspicion / TELLS).max(1);
                let held = foca::Member::new(doubt.suspect.clone(), doubt.refutations, State::Suspect);
                self.tell(doubt.suspect.addr, held);
            }
        }
        self.doubts = doubts;
    }

    fn stands_suspect(&self, doubt: &Doubt) -> bool {
        let mut members = self.foca.iter_members();
        members.any(|m| *m.id() == doubt.suspect && m.state() == State::Suspect)
    }

    /// Compares the view with one other member's, alive or held down, and asks one seed that is not in it:
    /// a fleet cut for longer than those held down are remembered finds itself again by its seeds.
    fn compare(&mut self) {
        let part = self.announce_period / 8;
        let late = self.rng.next_u64() % part.max(1);
        self.exchange_at = self.now + self.announce_period - part / 2 + late;
        let known = self.foca.iter_membership_state().len();
        let at = self.below(known);
        let to = self.foca.iter_membership_state().nth(at).map(|m| m.id().addr);
        if let Some(to) = to {
            let said = Exchange { from: self.me().clone(), what: What::Digest(self.marks()) };
            self.send(to, Kind::Exchange, &said.encode());
        }
        let living: std::collections::HashSet<SocketAddr> =
            self.foca.iter_members().map(|m| m.id().addr).collect();
        let mut strange: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|seed| !living.contains(seed)).collect();
        if !living.is_empty() && !strange.is_empty() {
            let seed = strange.swap_remove(self.below(strange.len()));
            self.announce_to(seed);
        }
    }

    /// Fires every timer due by `now`.
    pub fn advance(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        if self.rejoin_at.is_some_and(|at| at <= self.now) {
            if self.foca.num_members() == 0 {
                self.rejoin_wait = (self.rejoin_wait * 2).min(self.announce_period);
                self.announce_seeds();
            } else {
                self.rejoin_wait = self.probe_period;
                self.rejoin_at = Some(self.now + self.announce_period);
            }
        }
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let timer = entry.remove();
            if matches!(timer, Timer::PeriodicGossip(_)) && !self.may_gossip() {
                self.schedule(self.now.saturating_add(self.gossip_period), timer);
                continue;
            }
            let mut asked = Asked::default();
            let _ = self.foca.handle_timer(timer, &mut asked);
            self.absorb(asked);
        }
        if self.now >= self.suspects_looked + self.probe_period {
            self.suspects_looked = self.now;
            self.expire_suspects();
        }
        if self.now >= self.exchange_at {
            self.compare();
        }
        self.tell_suspects();
    }

    /// Declares down each member held suspect for twice the suspicion time. foca leaves the timeout to
    /// the member whose probe failed; where that one's timer is lost (it crashed, or took a new
    /// incarnation, which voids its timers) and the suspect never heard of the suspicion, the suspect
    /// stayed so in every view for good: seen between five processes after a one-way cut. SWIM's own
    /// rule is that each member times out a suspicion by itself; twice the time lets the prober act first.
    fn expire_suspects(&mut self) {
        let (mut expired, mut suspected) = (Vec::new(), HashMap::new());
        for member in self.foca.iter_members().filter(|m| m.state() == State::Suspect) {
            let (id, refutations) = (member.id(), member.incarnation());
            // A suspicion raised again after a refutation has its whole time.
            let key = (id.addr, id.incarnation, refutations);
            let since = self.suspected.get(&key).copied().unwrap_or(self.now);
            if self.now.saturating_sub(since) >= 2 * self.suspicion {
                expired.push(foca::Member::new(id.clone(), refutations, State::Down));
            }
            suspected.insert(key, since);
        }
        self.suspected = suspected;
        if expired.is_empty() {
            return;
        }
        let mut asked = Asked::default();
        let _ = self.foca.apply_many(expired.into_iter(), true, &mut asked);
        self.absorb(asked);
    }

    /// When [`Membership::advance`] is next wanted.
    pub fn next_due(&self) -> Option<Nanos> {
        let timer = self.timers.keys().next().map(|k| k.0);
        let doubts = self.doubts.iter().map(|doubt| doubt.next.min(doubt.until));
        timer.into_iter().chain(self.rejoin_at).chain(doubts).chain(Some(self.exchange_at)).min()
    }

    /// Takes members over as alive without telling the fleet of them, as one does that kept its view over a
    /// restart: what no longer stands, probes and gossip put right.
    pub fn restore(&mut self, members: impl Iterator<Item = Id>, now: Nanos) {
        self.now = self.now.max(now);
        let mine = self.me().addr;
        let mut asked = Asked::default();
        let others = members.filter(|id| id.addr != mine).map(foca::Member::alive);
        let _ = self.foca.apply_many(others, false, &mut asked);
        self.absorb(asked);
    }

    /// Says to the fleet that this server leaves; it is then seen down at once, not after suspicion.
    pub fn leave(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        let mut asked = Asked::default();
        let _ = self.foca.leave_cluster(&mut asked);
        self.absorb(asked);
    }

    fn absorb(&mut self, asked: Asked) {
        for (after, timer) in asked.timers {
            let due = self.now.saturating_add(after.as_nanos().min(u64::MAX as u128) as u64);
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                // This one's own probe failed: it decides, so it tells the suspect.
                let (suspect, refutations) = (member_id.clone(), *incarnation);
                self.doubts.push(Doubt { suspect, refutations, next: self.now, until: due });
            }
            self.schedule(due, timer);
        }
        for (to, body) in asked.send {
            self.send(to.addr, Kind::Swim, &body);
        }
        for note in asked.notes {
            if matches!(note, Change::Up(_) | Change::Down(_) | Change::Renamed(..) | Change::Rejoined(_)) {
                self.last_change = self.now;
            }
            self.changes.push((self.now, note));
        }
    }

    fn schedule(&mut self, due: Nanos, timer: Timer<Id>) {
        self.timer_seq += 1;
        self.timers.insert((due, self.timer_seq), timer);
    }

    /// Whether the budget has room for a round of gossip; where few updates wait, its packets are short.
    fn may_gossip(&mut self) -> bool {
        let updates = UPDATE_BYTES * (self.foca.updates_backlog() + 1);
        let packet = updates.min(self.gossip_packet) + ENVELOPE;
        (GOSSIP_MEMBERS * packet) as u64 <= self.room()
    }

    /// Bytes that what may wait can take now; an eighth is left to what may not.
    fn room(&mut self) -> u64 {
        self.budget.room(self.now).saturating_sub(self.bytes_a_second / RESERVE_PARTS)
    }

    fn send(&mut self, to: SocketAddr, kind: Kind, body: &[u8]) {
        self.sequence += 1;
        let incarnation = self.foca.identity().incarnation;
        match self.sealer.seal(kind, incarnation, self.sequence, body) {
            Some(datagram) => {
                self.counts.sent += 1;
                self.counts.sent_bytes += datagram.len() as u64;
                if kind != Kind::State {
                    self.budget.charge(datagram.len() as u64, self.now);
                }
                self.out.push((to, datagram));
            }
            None => self.counts.unsendable += 1,
        }
    }

    /// Sends a body of shared state, which this core only carries.
    pub fn carry(&mut self, to: SocketAddr, body: &[u8], now: Nanos) {
        self.now = self.now.max(now);
        self.send(to, Kind::State, body);
    }

    /// Bodies of shared state that came from peers; taken once.
    pub fn carried(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.carried)
    }

    /// Longest body that [`Membership::carry`] sends, in bytes.
    pub fn body_max(&self) -> usize {
        self.sealer.body_max()
    }

    /// Datagrams to send, to whom; taken once.
    pub fn outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// Changes of the view since last asked, each with when it was learnt.
    pub fn changes(&mut self) -> Vec<(Nanos, Change)> {
        std::mem::take(&mut self.changes)
    }

    /// Every member this server knows of (down ones until forgotten), itself excluded, by address. `since`
    /// is the first time a view was asked for in which the member stood so: ask each probe period.
    pub fn view(&mut self, now: Nanos) -> Vec<Seen> {
        self.now = self.now.max(now);
        let mut seen: Vec<Seen> = Vec::with_capacity(self.foca.iter_membership_state().len());
        for member in self.foca.iter_membership_state() {
            let id = member.id();
            let state = Standing::from(member.state());
            let (since, changed) = note(&mut self.since, id, state, self.now);
            if changed {
                self.last_change = self.last_change.max(self.now);
            }
            seen.push(Seen {
                name: id.name.clone(),
                addr: id.addr,
                incarnation: id.incarnation,
                refutations: member.incarnation(),
                state,
                since,
            });
        }
        let live: std::collections::HashSet<SocketAddr> = seen.iter().map(|s| s.addr).collect();
        self.since.retain(|addr, _| live.contains(addr));
        seen.sort_by_key(|s| s.addr);
        seen
    }

    /// Members alive or suspect, itself excluded.
    pub fn active(&self) -> usize {
        self.foca.num_members()
    }

    /// Alive members' addresses, itself excluded, sorted: cheap enough for large simulations.
    pub fn alive(&self) -> Vec<SocketAddr> {
        let mut alive: Vec<SocketAddr> =
            self.foca.iter_members().filter(|m| m.state() == State::Alive).map(|m| m.id().addr).collect();
        alive.sort();
        alive
    }

    /// Members alive or suspect, itself excluded, as address and incarnation, sorted.
    pub fn members(&self) -> Vec<(SocketAddr, u64)> {
        let mut members: Vec<(SocketAddr, u64)> =
            self.foca.iter_members().map(|m| (m.id().addr, m.id().incarnation)).collect();
        members.sort();
        members
    }

    /// When the view last changed: a member came, went, was renamed or changed state.
    pub fn last_change(&self) -> Nanos {
        self.last_change
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Updates waiting to be piggybacked.
    pub fn backlog(&self) -> usize {
        self.foca.updates_backlog()
    }
}

/// Since when the member at `id`'s address has stood so, in this incarnation, and whether that is `now`
/// because it changed; a member first seen counts from `now` without a change.
fn note(
    since: &mut HashMap<SocketAddr, (u64, Standing, Nanos)>,
    id: &Id,
    state: Standing,
    now: Nanos,
) -> (Nanos, bool) {
    let entry = since.entry(id.addr).or_insert((id.incarnation, state, now));
    let changed = (entry.0, entry.1) != (id.incarnation, state);
    if changed {
        *entry = (id.incarnation, state, now);
    }
    (entry.2, changed)
}
