//! Announces to the seeds: at the start, and again while no member is known, since the first announce may be
//! lost on the way.

use crate::runtime::FocaEffects;
use crate::{MemberId, Membership, Nanos};
use std::net::SocketAddr;

/// The seeds, and when they are next announced to.
pub(crate) struct SeedRejoin {
    /// Addresses of the seeds, this server's own excluded.
    pub(crate) seeds: Vec<SocketAddr>,
    /// When to look again whether any member is known; absent before the join and without seeds.
    at: Option<Nanos>,
    /// Backoff before the next announce.
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
    /// Announces to the seeds again, with a doubled backoff, while no member is known.
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

    /// Announces this server to an address whose member is not known yet.
    pub(crate) fn announce_to(&mut self, addr: SocketAddr) {
        let unknown = MemberId { name: String::new(), addr, incarnation: 0 };
        let mut effects = FocaEffects::default();
        // Best effort: while no member is known the announcement is repeated.
        let _ = self.foca.announce(unknown, &mut effects);
        self.apply(effects);
    }
}
