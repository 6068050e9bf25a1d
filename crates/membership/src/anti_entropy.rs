//! Anti-entropy and verdicts as one member plays them; [`crate::messages`] describes the exchange.

use crate::digest;
use crate::envelope::{DropReason, ENVELOPE_BYTES, PayloadKind};
use crate::identity::{MemberId, NAME_BYTES_MAX};
use crate::messages::{self, AntiEntropyMessage, AntiEntropyPayload};
use crate::runtime::FocaEffects;
use crate::{Membership, Nanos};
use foca::{Member, State};
use rand_chacha::rand_core::Rng;
use std::collections::HashSet;
use std::net::SocketAddr;

/// The period of anti-entropy varies at random by this part of the announce period, so that members that were
/// started together do not stay in step.
const JITTER_DIVISOR: Nanos = 8;
/// Views that are known to differ are compared again after so many probe periods.
const REPEAT_PROBE_PERIODS: Nanos = 2;

impl Membership {
    pub(crate) fn handle_anti_entropy(&mut self, message: AntiEntropyMessage) -> Result<(), DropReason> {
        let AntiEntropyMessage { from, payload } = message;
        if !has_valid_name(&from) || from.addr == self.identity().addr {
            return Err(DropReason::Protocol);
        }
        match payload {
            AntiEntropyPayload::Digest { bucket_hashes } => {
                self.handle_digest(&from, &bucket_hashes);
                Ok(())
            }
            AntiEntropyPayload::Members { requested_buckets, members } => {
                self.handle_members(&from, requested_buckets, members)
            }
            AntiEntropyPayload::Verdict { member } => self.handle_verdict(from, member),
        }
    }

    /// Answers with the members of the buckets that differ, and requests the sender's.
    fn handle_digest(&mut self, from: &MemberId, bucket_hashes: &[u32]) {
        let differing = digest::differing_buckets(&self.digest(), bucket_hashes);
        if differing != 0 {
            self.send_members(from, differing, differing);
        }
    }

    fn handle_members(
        &mut self,
        from: &MemberId,
        requested_buckets: u64,
        members: Vec<Member<MemberId>>,
    ) -> Result<(), DropReason> {
        // A list has only members alive or suspect: a death spreads by gossip or a verdict, which the member
        // itself can refute.
        if members.iter().any(|member| !has_valid_name(member.id()) || member.state() == State::Down) {
            return Err(DropReason::Protocol);
        }
        // Sent before the list is applied, so that what the sender knows is not sent back to it.
        if requested_buckets != 0 {
            self.send_members(from, requested_buckets, 0);
            self.repeat_anti_entropy_soon();
        }
        self.send_verdict_on_one_held_down(from, &members);
        let own = self.identity().addr;
        let others = members.into_iter().filter(|member| member.id().addr != own);
        let mut effects = FocaEffects::default();
        let applied = self.foca.apply_many(others, true, &mut effects);
        self.apply(effects);
        applied.map_err(|_| DropReason::Protocol)
    }

    fn handle_verdict(&mut self, from: MemberId, member: Member<MemberId>) -> Result<(), DropReason> {
        if member.state() == State::Alive {
            return Ok(());
        }
        let own = self.identity();
        if member.id() != own {
            // A verdict on an earlier incarnation of this server is void: the present one is known already.
            if member.id().addr != own.addr && member.state() == State::Down {
                self.suspect(member.id());
            }
            return Ok(());
        }
        let mut effects = FocaEffects::default();
        let applied = self.foca.apply_many(std::iter::once(member), true, &mut effects);
        // The header of each packet of foca's has the sender's SWIM incarnation, which is the refutation.
        let _ = self.foca.announce(from, &mut effects);
        self.apply(effects);
        applied.map_err(|_| DropReason::Protocol)
    }

    /// The digest of this view: the members alive or suspect, and this one.
    fn digest(&self) -> Vec<u32> {
        let members = self.foca.iter_members().map(|member| member.id());
        digest::digest(members.chain(std::iter::once(self.identity())))
    }

    /// Sends the members alive or suspect of these buckets, as far as the send budget has capacity.
    fn send_members(&mut self, to: &MemberId, buckets: u64, requested_buckets: u64) {
        let me = self.identity().clone();
        let own = Member::alive(me.clone());
        let known = self.foca.iter_members().cloned().chain(std::iter::once(own));
        let mut members: Vec<_> = known.filter(|member| digest::is_in(buckets, member.id())).collect();
        // Starts at random, so that members beyond the budget or the limit of an answer come with a later
        // one.
        let start = self.random_below(members.len());
        members.rotate_left(start);
        for body in messages::encode_members(&me, requested_buckets, &members, self.sealer.body_max()) {
            if (body.len() + ENVELOPE_BYTES) as u64 > self.budget.available(self.now) {
                self.repeat_anti_entropy_soon();
                return;
            }
            self.send(to.addr, PayloadKind::AntiEntropy, &body);
        }
    }

    /// Compares views again before an announce period is over, since this one is known to differ.
    fn repeat_anti_entropy_soon(&mut self) {
        let soon = self.now + REPEAT_PROBE_PERIODS * self.probe_period;
        self.anti_entropy_at = self.anti_entropy_at.min(soon);
    }

    /// Of the listed members that this one holds down in the same incarnation, picks one at random and sends
    /// the verdict to that member and to the sender of the list. One for each list, so that what is sent
    /// stays in proportion to what is received.
    fn send_verdict_on_one_held_down(&mut self, from: &MemberId, listed: &[Member<MemberId>]) {
        let known = self.foca.iter_membership_state();
        let down: HashSet<&MemberId> =
            known.filter(|member| member.state() == State::Down).map(|member| member.id()).collect();
        let mut held_down: Vec<MemberId> = Vec::new();
        for member in listed {
            if down.contains(member.id()) {
                held_down.push(member.id().clone());
            }
        }
        if held_down.is_empty() {
            return;
        }
        let chosen = held_down[self.random_below(held_down.len())].clone();
        self.send_verdict(chosen.addr, Member::down(chosen.clone()));
        self.send_verdict(from.addr, Member::down(chosen));
    }

    /// Suspects a member that another holds down and this one alive in the same incarnation. Without it a
    /// death that gossip did not bring here is found by this member's own probes only, after as many probe
    /// periods as there are members. A member that lives refutes it or takes its next incarnation.
    fn suspect(&mut self, id: &MemberId) {
        let is_alive = |member: &&Member<MemberId>| member.id() == id && member.state() == State::Alive;
        let alive = self.foca.iter_members().find(is_alive);
        let Some(refutations) = alive.map(Member::incarnation) else { return };
        let suspected = Member::new(id.clone(), refutations, State::Suspect);
        let mut effects = FocaEffects::default();
        // Where foca does not apply it, the next comparison of views suspects the member again.
        let _ = self.foca.apply_many(std::iter::once(suspected), true, &mut effects);
        self.apply(effects);
    }

    /// Sends to a member the state in which this one holds it, or another.
    pub(crate) fn send_verdict(&mut self, to: SocketAddr, member: Member<MemberId>) {
        self.send_payload(to, AntiEntropyPayload::Verdict { member });
    }

    fn send_payload(&mut self, to: SocketAddr, payload: AntiEntropyPayload) {
        let message = AntiEntropyMessage { from: self.identity().clone(), payload };
        self.send(to, PayloadKind::AntiEntropy, &message.encode());
    }

    /// Sends the digest to one other member, alive or down, and announces this server to one seed outside
    /// its view.
    pub(crate) fn start_anti_entropy(&mut self) {
        let jitter = self.announce_period / JITTER_DIVISOR;
        let late = self.rng.next_u64() % jitter.max(1);
        self.anti_entropy_at = self.now + self.announce_period - jitter / 2 + late;
        let known = self.foca.iter_membership_state().len();
        let peer = self.random_below(known);
        let to = self.foca.iter_membership_state().nth(peer).map(|member| member.id().addr);
        if let Some(to) = to {
            let bucket_hashes = self.digest();
            self.send_payload(to, AntiEntropyPayload::Digest { bucket_hashes });
        }
        self.announce_to_unknown_seed();
    }

    /// Announces to one seed that is not in the view: parts of a fleet cut from each other for longer than
    /// members down are remembered find each other again by their seeds.
    fn announce_to_unknown_seed(&mut self) {
        let known: HashSet<SocketAddr> = self.foca.iter_members().map(|member| member.id().addr).collect();
        let seeds = self.rejoin.seeds.iter().copied();
        let unknown: Vec<SocketAddr> = seeds.filter(|seed| !known.contains(seed)).collect();
        // A member that knows no other announces to all seeds, see `rejoin`.
        if known.is_empty() || unknown.is_empty() {
            return;
        }
        let seed = unknown[self.random_below(unknown.len())];
        self.announce_to(seed);
    }

    /// A random number below `bound`; 0 where that is 0.
    fn random_below(&mut self, bound: usize) -> usize {
        if bound == 0 { 0 } else { (self.rng.next_u64() % bound as u64) as usize }
    }
}

fn has_valid_name(id: &MemberId) -> bool {
    !id.name.is_empty() && id.name.len() <= NAME_BYTES_MAX
}
