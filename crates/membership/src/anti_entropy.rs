//! Anti-entropy (comparison of views between members) and verdicts, as performed by one member.
//! [`crate::messages`] describes the protocol.

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

/// Divisor that yields the jitter of the interval between comparisons of views: the interval is the announce
/// period, varied at random within a range of the announce period divided by this number. The jitter prevents
/// members that were started together from comparing their views at the same times.
const JITTER_DIVISOR: Nanos = 8;
/// Number of probe periods after which a member compares its view again, if it knows that the view may still
/// differ from another member's view.
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

    /// Compares a received digest with that of this member's view. If buckets differ, sends the members in
    /// these buckets to the sender of the digest, and requests the sender's members in the same buckets.
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
        // Reject a list that contains a member that is down. Members that are down are reported only by
        // gossip or by verdicts, which the member in question can refute.
        if members.iter().any(|member| !has_valid_name(member.id()) || member.state() == State::Down) {
            return Err(DropReason::Protocol);
        }
        // Answer before applying the received list, so that its members are not sent back to their sender.
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
        // The announcement acts as the refutation of the verdict, because every foca packet contains its
        // sender's SWIM incarnation in the header.
        let _ = self.foca.announce(from, &mut effects);
        self.apply(effects);
        applied.map_err(|_| DropReason::Protocol)
    }

    /// Digest of this member's view: the alive and suspect members, and this member itself.
    fn digest(&self) -> Vec<u32> {
        let members = self.foca.iter_members().map(|member| member.id());
        digest::digest(members.chain(std::iter::once(self.identity())))
    }

    /// Sends the alive and suspect members in the set of buckets `buckets`, including this member, to the
    /// member `to`. Stops when the send budget is used up.
    fn send_members(&mut self, to: &MemberId, buckets: u64, requested_buckets: u64) {
        let me = self.identity().clone();
        let own = Member::alive(me.clone());
        let known = self.foca.iter_members().cloned().chain(std::iter::once(own));
        let mut members: Vec<_> =
            known.filter(|member| digest::is_in_buckets(buckets, member.id())).collect();
        // Start the list at a random member. Members that are left out, because of the send budget or the
        // maximum number of answers, are then likely to be sent in a later exchange.
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

    /// Brings the next comparison of views forward, which would otherwise be due a full announce period after
    /// the previous one. Called when this member's view may still differ from another member's view.
    fn repeat_anti_entropy_soon(&mut self) {
        let soon = self.now + REPEAT_PROBE_PERIODS * self.probe_period;
        self.anti_entropy_at = self.anti_entropy_at.min(soon);
    }

    /// Picks a random member among those of `listed` that this member has recorded as down in the listed
    /// incarnation. Sends the verdict that the picked member is down to that member and to `from`, the sender
    /// of the list. The verdict concerns only one member per list, so that the traffic sent stays in
    /// proportion to the traffic received.
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

    /// Records as suspect a member that another member has recorded as down, if it is alive in this view in
    /// the same incarnation. Without this, a crash about which gossip did not inform this member would be
    /// detected only by this member's own probes, which can take as many probe periods as there are members.
    /// If the suspect is running, it refutes the suspicion or takes its next incarnation.
    fn suspect(&mut self, id: &MemberId) {
        let is_alive = |member: &&Member<MemberId>| member.id() == id && member.state() == State::Alive;
        let alive = self.foca.iter_members().find(is_alive);
        let Some(refutations) = alive.map(Member::incarnation) else { return };
        let suspected = Member::new(id.clone(), refutations, State::Suspect);
        let mut effects = FocaEffects::default();
        // Errors can be ignored: if foca does not apply the suspicion, the next comparison of views raises it
        // again.
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

    /// Sends the digest of this member's view to a random other member, which may be down, and announces this
    /// server to a random seed that is not in its view.
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

    /// Announces this server to a random seed that is not in its view. After a partition that lasts longer
    /// than members recorded as down are kept in the view, the parts of the fleet no longer know each other.
    /// They rediscover each other through the seeds.
    fn announce_to_unknown_seed(&mut self) {
        let known: HashSet<SocketAddr> = self.foca.iter_members().map(|member| member.id().addr).collect();
        let seeds = self.rejoin.seeds.iter().copied();
        let unknown: Vec<SocketAddr> = seeds.filter(|seed| !known.contains(seed)).collect();
        // If this member knows no other member, `rejoin` announces it to all seeds instead.
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
