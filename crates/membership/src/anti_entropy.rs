//! One member's part in anti-entropy and verdicts. [`crate::messages`] describes the protocol.

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

/// Divisor of the announce period that yields the jitter of the anti-entropy period. The jitter prevents
/// members that were started together from staying in step.
const JITTER_DIVISOR: Nanos = 8;
/// Number of probe periods after which views that are known to differ are compared again.
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

    /// Answers a digest with this member's entries of the differing buckets, and requests the sender's
    /// entries.
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
        // A list may contain only alive and suspect members. Members that are down are reported by gossip or
        // verdicts, which the member itself can refute.
        if members.iter().any(|member| !has_valid_name(member.id()) || member.state() == State::Down) {
            return Err(DropReason::Protocol);
        }
        // Answer before applying the list, so that its entries are not sent back to the sender.
        if requested_buckets != 0 {
            self.send_members(from, requested_buckets, 0);
            self.repeat_anti_entropy_soon();
        }
        self.send_verdict_on_random_down_member(from, &members);
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
            // Ignore verdicts on earlier incarnations of this server: the current incarnation replaces them.
            if member.id().addr != own.addr && member.state() == State::Down {
                self.suspect(member.id());
            }
            return Ok(());
        }
        let mut effects = FocaEffects::default();
        let applied = self.foca.apply_many(std::iter::once(member), true, &mut effects);
        // Every foca packet contains the sender's SWIM incarnation in its header, so that any packet to the
        // sender of the verdict acts as the refutation.
        let _ = self.foca.announce(from, &mut effects);
        self.apply(effects);
        applied.map_err(|_| DropReason::Protocol)
    }

    /// Digest of this member's view: the alive and suspect members, and this member itself.
    fn digest(&self) -> Vec<u32> {
        let members = self.foca.iter_members().map(|member| member.id());
        digest::digest(members.chain(std::iter::once(self.identity())))
    }

    /// Sends the alive and suspect members of `buckets`, as far as the send budget allows.
    fn send_members(&mut self, to: &MemberId, buckets: u64, requested_buckets: u64) {
        let me = self.identity().clone();
        let own = Member::alive(me.clone());
        let known = self.foca.iter_members().cloned().chain(std::iter::once(own));
        let mut members: Vec<_> =
            known.filter(|member| digest::is_in_buckets(buckets, member.id())).collect();
        // Start at a random member, so that members left out because of the budget or the limit on answers
        // are sent in a later exchange.
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

    /// Schedules the next comparison of views earlier than after a full announce period, because the view is
    /// known to differ from another member's.
    fn repeat_anti_entropy_soon(&mut self) {
        let soon = self.now + REPEAT_PROBE_PERIODS * self.probe_period;
        self.anti_entropy_at = self.anti_entropy_at.min(soon);
    }

    /// Among the listed members that this member has recorded as down in the same incarnation, picks one at
    /// random and sends the verdict to it and to the sender of the list. Only one verdict per list is sent,
    /// so that the traffic sent stays in proportion to the traffic received.
    fn send_verdict_on_random_down_member(&mut self, from: &MemberId, listed: &[Member<MemberId>]) {
        let known = self.foca.iter_membership_state();
        let down: HashSet<&MemberId> =
            known.filter(|member| member.state() == State::Down).map(|member| member.id()).collect();
        let mut down_members: Vec<MemberId> = Vec::new();
        for member in listed {
            if down.contains(member.id()) {
                down_members.push(member.id().clone());
            }
        }
        if down_members.is_empty() {
            return;
        }
        let target = down_members[self.random_below(down_members.len())].clone();
        self.send_verdict(target.addr, Member::down(target.clone()));
        self.send_verdict(from.addr, Member::down(target));
    }

    /// Suspects a member that another member has recorded as down, if this member has it as alive in the same
    /// incarnation. Otherwise a crash of which gossip did not inform this member would be detected only by
    /// its own probes, which can take as many probe periods as there are members. A member that is running
    /// refutes the suspicion or takes its next incarnation.
    fn suspect(&mut self, id: &MemberId) {
        let is_alive = |member: &&Member<MemberId>| member.id() == id && member.state() == State::Alive;
        let alive = self.foca.iter_members().find(is_alive);
        let Some(refutations) = alive.map(Member::incarnation) else { return };
        let suspected = Member::new(id.clone(), refutations, State::Suspect);
        let mut effects = FocaEffects::default();
        // If foca does not apply the suspicion, the next comparison of views raises it again.
        let _ = self.foca.apply_many(std::iter::once(suspected), true, &mut effects);
        self.apply(effects);
    }

    /// Sends a verdict on `member` to the address `to`. The receiver may be `member` itself or another
    /// member.
    pub(crate) fn send_verdict(&mut self, to: SocketAddr, member: Member<MemberId>) {
        self.send_payload(to, AntiEntropyPayload::Verdict { member });
    }

    fn send_payload(&mut self, to: SocketAddr, payload: AntiEntropyPayload) {
        let message = AntiEntropyMessage { from: self.identity().clone(), payload };
        self.send(to, PayloadKind::AntiEntropy, &message.encode());
    }

    /// Sends the digest of this view to a random other member, alive or down, and announces this server to a
    /// random seed that is not in its view.
    pub(crate) fn start_anti_entropy(&mut self) {
        let jitter = self.announce_period / JITTER_DIVISOR;
        let delay = self.rng.next_u64() % jitter.max(1);
        self.anti_entropy_at = self.now + self.announce_period - jitter / 2 + delay;
        let known = self.foca.iter_membership_state().len();
        let peer = self.random_below(known);
        let to = self.foca.iter_membership_state().nth(peer).map(|member| member.id().addr);
        if let Some(to) = to {
            let bucket_hashes = self.digest();
            self.send_payload(to, AntiEntropyPayload::Digest { bucket_hashes });
        }
        self.announce_to_unknown_seed();
    }

    /// Announces this server to a random seed that is not in its view. Parts of a fleet that were partitioned
    /// for longer than members are kept as down no longer know each other, and rediscover each other through
    /// the seeds.
    fn announce_to_unknown_seed(&mut self) {
        let known: HashSet<SocketAddr> = self.foca.iter_members().map(|member| member.id().addr).collect();
        let seeds = self.rejoin.seeds.iter().copied();
        let unknown: Vec<SocketAddr> = seeds.filter(|seed| !known.contains(seed)).collect();
        // A member that knows no other member announces itself to all seeds instead, see `rejoin`.
        if known.is_empty() || unknown.is_empty() {
            return;
        }
        let seed = unknown[self.random_below(unknown.len())];
        self.announce_to(seed);
    }

    /// A random number below `bound`, or 0 if `bound` is 0.
    fn random_below(&mut self, bound: usize) -> usize {
        if bound == 0 { 0 } else { (self.rng.next_u64() % bound as u64) as usize }
    }
}

fn has_valid_name(id: &MemberId) -> bool {
    !id.name.is_empty() && id.name.len() <= NAME_BYTES_MAX
}
