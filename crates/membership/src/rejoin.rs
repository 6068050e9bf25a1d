//! Announcements to the seeds: at the start, and repeatedly while no other member is known, since the first
//! announcement may be lost.

use crate::runtime::FocaEffects;
use crate::{MemberId, Membership, Nanos};
use std::net::SocketAddr;

/// The seeds, and the schedule of announcements to them.
pub(crate) struct SeedRejoin {
    /// Addresses of the seeds, excluding this server's own.
    pub(crate) seeds: Vec<SocketAddr>,
    /// When to check again whether any other member is known; `None` before the join and if there are no
    /// seeds.
    at: Option<Nanos>,
    /// Delay before the next announcement.
    backoff: Nanos,
}

impl SeedRejoin {
    pub(crate) fn new(first_backoff: Nanos) -> SeedRejoin {
        SeedRejoin { seeds: Vec::new(), at: None, backoff: first_backoff }
    }

    pub(crate) fn start(&mut self, seeds: Vec<SocketAddr>, first_backoff: Nanos) {
        self.seeds = seeds;
        self.backoff = first_backoff;
    }

    pub(crate) fn deadline(&self) -> Option<Nanos> {
        self.at
    }
}

impl Membership {
    /// If the check is due and no other member is known, announces to the seeds again and doubles the
    /// backoff.
    pub(crate) fn rejoin_if_due(&mut self) {
        if self.rejoin.at.is_none_or(|at| at > self.now) {
            return;
        }
        if self.foca.num_members() == 0 {
            self.rejoin.backoff = (self.rejoin.backoff * 2).min(self.announce_period);
            self.announce_to_seeds();
        } else {
            self.rejoin.backoff = self.probe_period;
            self.rejoin.at = Some(self.now + self.announce_period);
        }
    }

    pub(crate) fn announce_to_seeds(&mut self) {
        let next = self.now + self.rejoin.backoff;
        self.rejoin.at = (!self.rejoin.seeds.is_empty()).then_some(next);
        for addr in self.rejoin.seeds.clone() {
            self.announce_to(addr);
        }
    }

    /// Announces this server to the member at `addr`, whose name and incarnation are not known yet.
    pub(crate) fn announce_to(&mut self, addr: SocketAddr) {
        let unknown = MemberId { name: String::new(), addr, incarnation: 0 };
        let mut effects = FocaEffects::default();
        // Best effort: the announcement is repeated while no other member is known.
        let _ = self.foca.announce(unknown, &mut effects);
        self.apply(effects);
    }
}
