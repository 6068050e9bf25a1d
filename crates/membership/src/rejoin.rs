//! Announces this server to the seeds, the configured first contacts in the fleet. Announcements are sent at
//! the start. Since they may be lost, they are repeated while this server knows no other member.

use crate::runtime::FocaEffects;
use crate::{MemberId, Membership, Nanos};
use std::net::SocketAddr;

/// Addresses of the seeds, and the times at which this server announces itself to the seeds.
pub(crate) struct SeedRejoin {
    /// Addresses of the seeds. This server's own address is excluded.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Time at which this server next checks whether it knows any other member. If it knows none, it
    /// announces itself to the seeds again. `None` before the join, or if there are no seeds.
    at: Option<Nanos>,
    /// Delay between two announcements to the seeds. Doubled with each repetition, up to the announce period.
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
    /// Checks whether this server knows any other member, if the check is due. A server that knows none
    /// announces itself to the seeds again, and doubles the delay until the next check, up to the announce
    /// period. If the server knows another member, the next check follows after one announce period.
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

    /// Announces this server to the member at `addr`. The name and the incarnation of this member are not
    /// known yet, so the identity passed to foca has an empty name and incarnation 0.
    pub(crate) fn announce_to(&mut self, addr: SocketAddr) {
        let unknown = MemberId { name: String::new(), addr, incarnation: 0 };
        let mut effects = FocaEffects::default();
        // Errors can be ignored, because the announcement is repeated later.
        let _ = self.foca.announce(unknown, &mut effects);
        self.apply(effects);
    }
}
