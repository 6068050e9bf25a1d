//! The fleet's view as each server keeps it: SWIM with suspicion and piggybacked updates, by the `foca`
//! crate, without I/O. Time (whole nanoseconds), the seed and datagrams go in; datagrams to send and the view
//! come out. `docs/membership.md` names the ways weighed and the bounds.
//!
//! What this crate adds to foca: an identity of name, address and incarnation whose later incarnation wins
//! (a restarted server takes its old place at once), the authenticated datagram of [`envelope`], the
//! [`messages`] of views, verdicts and doubts beside gossip, a bound on the bytes of a second, counts of what
//! was dropped and why, a timer queue on the caller's clock, and the time each member last changed.

mod anti_entropy;
pub mod directory;
pub mod envelope;
mod identity;
pub mod messages;
mod runtime;
mod settings;
pub mod simulation;
mod suspicion;
mod view;

pub use identity::{MemberId, NAME_BYTES_MAX};
pub use settings::{BYTES_A_SECOND, Settings};
pub use view::{Change, Counts, MemberState, MemberStatus};

use envelope::{DropReason, PayloadKind, ReplayWindows, Sealer};
use foca::{Foca, PostcardCodec, Timer};
use meadowstream_rate_limit::SlidingWindow;
use messages::AntiEntropyMessage;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use runtime::FocaEffects;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use suspicion::RaisedSuspicion;

/// Nanoseconds by the caller's clock, which does not go back.
pub type Nanos = u64;

/// About what an update of a member takes in a packet, and what is round each body, in bytes.
const UPDATE_BYTES: usize = 64;
const ENVELOPE_BYTES: usize = envelope::HEADER_BYTES + envelope::TAG_BYTES;
/// Part of the budget that gossip and lists of members leave alone.
const RESERVE_PARTS: u64 = 8;
/// Members that foca gossips to at a time.
const GOSSIP_MEMBERS: usize = 3;

/// Bodies of shared state that may wait to be taken; more are dropped.
const SHARED_STATE_BODIES_MAX: usize = 1024;

/// The membership of one server.
pub struct Membership {
    foca: Foca<MemberId, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    sealer: Sealer,
    replays: ReplayWindows,
    timers: BTreeMap<(Nanos, u64), Timer<MemberId>>,
    timer_seq: u64,
    sequence: u64,
    now: Nanos,
    out: Vec<(SocketAddr, Vec<u8>)>,
    changes: Vec<(Nanos, Change)>,
    since: HashMap<SocketAddr, (u64, MemberState, Nanos)>,
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
    bytes_per_second: u64,
    gossip_packet: usize,
    gossip_period: Nanos,
    probe_period: Nanos,
    announce_period: Nanos,
    suspicion: Nanos,
    /// When suspects were last looked at; see [`Membership::expire_suspects`].
    suspects_looked: Nanos,
    /// Since when each is held suspect: address, incarnation, refutations.
    suspected: HashMap<(SocketAddr, u64, u16), Nanos>,
    doubts: Vec<RaisedSuspicion>,
    /// Bodies of shared state that came and were not taken yet.
    shared_state_bodies: Vec<Vec<u8>>,
    /// When the view is next compared with another member's, and the seeds outside it effects.
    exchange_at: Nanos,
    rng: ChaCha8Rng,
}

impl Membership {
    /// A member that knows nobody yet. `Err` names the bad setting.
    pub fn new(me: MemberId, settings: &Settings, seed: u64, now: Nanos) -> Result<Membership, String> {
        settings.check()?;
        if me.name.is_empty() || me.name.len() > NAME_BYTES_MAX {
            return Err(format!("name: 1 to {NAME_BYTES_MAX} bytes"));
        }
        let foca = Foca::new(me, settings.foca(), ChaCha8Rng::seed_from_u64(seed), PostcardCodec);
        Ok(Membership {
            foca,
            sealer: Sealer::new(&settings.fleet, &settings.key, settings.packet_max),
            replays: ReplayWindows::new((settings.expected_members as usize).saturating_mul(4).max(64)),
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
            budget: SlidingWindow::new(settings.bytes_per_second, now),
            bytes_per_second: settings.bytes_per_second,
            gossip_packet: settings.gossip_packet(),
            gossip_period: settings.gossip_period,
            probe_period: settings.probe_period,
            announce_period: settings.announce_period,
            suspicion: settings.suspicion(),
            suspects_looked: now,
            suspected: HashMap::new(),
            doubts: Vec::new(),
            shared_state_bodies: Vec::new(),
            exchange_at: now + settings.probe_period,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x0065_7863_6861_6e67),
        })
    }

    pub fn identity(&self) -> &MemberId {
        self.foca.identity()
    }

    /// Asks the seeds to let this server in: an announce to each address (a seed's name is not known).
    /// While it then knows nobody, it asks them again, first after a probe period, then after twice as long,
    /// up to the announce period.
    pub fn join(&mut self, seeds: &[SocketAddr], now: Nanos) {
        self.now = self.now.max(now);
        let mine = self.identity().addr;
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
        let seed = MemberId { name: String::new(), addr, incarnation: 0 };
        let mut effects = FocaEffects::default();
        let _ = self.foca.announce(seed, &mut effects);
        self.absorb(effects);
    }

    /// A datagram as it came from `from`; `Err` says why it was dropped (and it is counted).
    pub fn handle_datagram(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
        now: Nanos,
    ) -> Result<(), DropReason> {
        self.now = self.now.max(now);
        self.counts.received += 1;
        self.counts.received_bytes += datagram.len() as u64;
        let result = self.take(from, datagram);
        if let Err(why) = result {
            self.counts.dropped[DropReason::ALL.iter().position(|d| *d == why).expect("listed")] += 1;
        }
        result
    }

    fn take(&mut self, from: SocketAddr, datagram: &[u8]) -> Result<(), DropReason> {
        let opened = self.sealer.open(datagram)?;
        if !self.replays.take(from, opened.incarnation, opened.sequence, self.now) {
            return Err(DropReason::Replay);
        }
        match opened.kind {
            PayloadKind::Swim => {
                let mut effects = FocaEffects::default();
                let handled = self.foca.handle_data(opened.body, &mut effects);
                self.absorb(effects);
                handled.map_err(|_| DropReason::Protocol)
            }
            PayloadKind::AntiEntropy => {
                let exchange = AntiEntropyMessage::decode(opened.body).ok_or(DropReason::Protocol)?;
                self.heard(exchange)
            }
            PayloadKind::SharedState if self.shared_state_bodies.len() < SHARED_STATE_BODIES_MAX => {
                self.shared_state_bodies.push(opened.body.to_vec());
                Ok(())
            }
            PayloadKind::SharedState => Err(DropReason::Protocol),
        }
    }

    /// Fires every timer due by `now`.
    pub fn handle_timeout(&mut self, now: Nanos) {
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
            let mut effects = FocaEffects::default();
            let _ = self.foca.handle_timer(timer, &mut effects);
            self.absorb(effects);
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

    /// When [`Membership::handle_timeout`] is next wanted.
    pub fn poll_timeout(&self) -> Option<Nanos> {
        let timer = self.timers.keys().next().map(|k| k.0);
        let doubts = self.doubts.iter().map(|doubt| doubt.next.min(doubt.until));
        timer.into_iter().chain(self.rejoin_at).chain(doubts).chain(Some(self.exchange_at)).min()
    }

    /// Takes members over as alive without telling the fleet of them, as one does that kept its view over a
    /// restart: what no longer stands, probes and gossip put right.
    pub fn restore(&mut self, members: impl Iterator<Item = MemberId>, now: Nanos) {
        self.now = self.now.max(now);
        let mine = self.identity().addr;
        let mut effects = FocaEffects::default();
        let others = members.filter(|id| id.addr != mine).map(foca::Member::alive);
        let _ = self.foca.apply_many(others, false, &mut effects);
        self.absorb(effects);
    }

    /// Says to the fleet that this server leaves; it is then seen down at once, not after suspicion.
    pub fn leave(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        let mut effects = FocaEffects::default();
        let _ = self.foca.leave_cluster(&mut effects);
        self.absorb(effects);
    }

    fn absorb(&mut self, effects: FocaEffects) {
        for (after, timer) in effects.timers {
            let due = self.now.saturating_add(after.as_nanos().min(u64::MAX as u128) as u64);
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                // This one's own probe failed: it decides, so it tells the suspect.
                let (suspect, refutations) = (member_id.clone(), *incarnation);
                self.doubts.push(RaisedSuspicion { suspect, refutations, next: self.now, until: due });
            }
            self.schedule(due, timer);
        }
        for (to, body) in effects.send {
            self.send(to.addr, PayloadKind::Swim, &body);
        }
        for note in effects.notes {
            if matches!(note, Change::Up(_) | Change::Down(_) | Change::Renamed(..) | Change::Rejoined(_)) {
                self.last_change = self.now;
            }
            self.changes.push((self.now, note));
        }
    }

    fn schedule(&mut self, due: Nanos, timer: Timer<MemberId>) {
        self.timer_seq += 1;
        self.timers.insert((due, self.timer_seq), timer);
    }

    /// Whether the budget has room for a round of gossip; where few updates wait, its packets are short.
    fn may_gossip(&mut self) -> bool {
        let updates = UPDATE_BYTES * (self.foca.updates_backlog() + 1);
        let packet = updates.min(self.gossip_packet) + ENVELOPE_BYTES;
        (GOSSIP_MEMBERS * packet) as u64 <= self.room()
    }

    /// Bytes that what may wait can take now; an eighth is left to what may not.
    fn room(&mut self) -> u64 {
        self.budget.room(self.now).saturating_sub(self.bytes_per_second / RESERVE_PARTS)
    }

    fn send(&mut self, to: SocketAddr, kind: PayloadKind, body: &[u8]) {
        self.sequence += 1;
        let incarnation = self.foca.identity().incarnation;
        match self.sealer.seal(kind, incarnation, self.sequence, body) {
            Some(datagram) => {
                self.counts.sent += 1;
                self.counts.sent_bytes += datagram.len() as u64;
                if kind != PayloadKind::SharedState {
                    self.budget.charge(datagram.len() as u64, self.now);
                }
                self.out.push((to, datagram));
            }
            None => self.counts.unsendable += 1,
        }
    }

    /// Sends a body of shared state, which this core only carries.
    pub fn send_shared_state(&mut self, to: SocketAddr, body: &[u8], now: Nanos) {
        self.now = self.now.max(now);
        self.send(to, PayloadKind::SharedState, body);
    }

    /// Bodies of shared state that came from peers; taken once.
    pub fn take_shared_state(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.shared_state_bodies)
    }

    /// Longest body that [`Membership::send_shared_state`] sends, in bytes.
    pub fn body_max(&self) -> usize {
        self.sealer.body_max()
    }

    /// Datagrams to send, to whom; taken once.
    pub fn take_transmits(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// Changes of the view since last effects, each with when it was learnt.
    pub fn take_changes(&mut self) -> Vec<(Nanos, Change)> {
        std::mem::take(&mut self.changes)
    }
}
