//! One member's part in anti-entropy and in the exchange of verdicts. In anti-entropy, two members compare
//! their views of the fleet and repair differences. A verdict reports that a member is suspect or down.
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

/// The interval between two comparisons of views has a random jitter. The width of the jitter is the announce
/// period divided by this number. The interval is the announce period plus or minus at most half of this
/// width. Without jitter, members that were started together would all compare their views at the same times.
const JITTER_DIVISOR: Nanos = 8;
/// If this member's view may still differ from another member's after a comparison, the next comparison
/// follows after at most this number of probe periods. In all other cases, the next comparison follows after
/// about one announce period.
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

    /// Compares a received digest with the digest of this member's view. If some buckets differ, sends this
    /// member's entries for these buckets to the sender of the digest, and requests the sender's entries for
    /// these buckets.
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
        // Reject a list that contains a member in the state down. Only gossip and verdicts may report a
        // member as down, because the reported member can refute these reports.
        if members.iter().any(|member| !has_valid_name(member.id()) || member.state() == State::Down) {
            return Err(DropReason::Protocol);
        }
        // Send this member's own list before applying the received list. Otherwise, the members just received
        // would be sent back to their sender.
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
            // A member with this server's own address is an earlier incarnation of this server. Do not
            // suspect it, because the current incarnation has replaced it.
            if member.id().addr != own.addr && member.state() == State::Down {
                self.suspect(member.id());
            }
            return Ok(());
        }
        let mut effects = FocaEffects::default();
        let applied = self.foca.apply_many(std::iter::once(member), true, &mut effects);
        // The announcement refutes the report that this member is suspect or down. The header of every foca
        // packet contains the sender's current SWIM incarnation. From this number, the receiver recognizes
        // that the report is outdated.
        let _ = self.foca.announce(from, &mut effects);
        self.apply(effects);
        applied.map_err(|_| DropReason::Protocol)
    }

    /// Computes the digest of this member's view. The digest covers this member and all members that are
    /// alive or suspect.
    fn digest(&self) -> Vec<u32> {
        let members = self.foca.iter_members().map(|member| member.id());
        digest::digest(members.chain(std::iter::once(self.identity())))
    }

    /// Sends the member `to` a list of members: this member and all members that are alive or suspect in this
    /// member's view. The list contains only members whose bucket is in the set `buckets`. Stops when the
    /// send budget is used up.
    fn send_members(&mut self, to: &MemberId, buckets: u64, requested_buckets: u64) {
        let me = self.identity().clone();
        let own = Member::alive(me.clone());
        let known = self.foca.iter_members().cloned().chain(std::iter::once(own));
        let mut members: Vec<_> =
            known.filter(|member| digest::is_in_buckets(buckets, member.id())).collect();
        // Start the list at a random member. The send budget or the maximum number of answers may cut the
        // list off. With a random start, members that were cut off are likely to be sent in a later exchange.
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

    /// Makes the next comparison of views due in at most [`REPEAT_PROBE_PERIODS`] probe periods. Called when
    /// this member's view may still differ from another member's view.
    fn repeat_anti_entropy_soon(&mut self) {
        let soon = self.now + REPEAT_PROBE_PERIODS * self.probe_period;
        self.anti_entropy_at = self.anti_entropy_at.min(soon);
    }

    /// Reports one member that is down to `from`, the sender of the received list `listed`, and to the
    /// reported member itself. The reported member is picked at random from the listed members that this
    /// member's view records as down in the same incarnation. Reporting only one member per list keeps the
    /// traffic sent in proportion to the traffic received.
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

    /// Records the member `id` as suspect after another member reported it down. Has an effect only if this
    /// member's view records the same incarnation of `id` as alive. A suspect that is running refutes the
    /// suspicion or takes its next incarnation. A suspect that has crashed is declared down once the
    /// suspicion has expired. Without this suspicion and without gossip about the crash, this member would
    /// detect the crash only by its own probes, which can take as many probe periods as there are members.
    fn suspect(&mut self, id: &MemberId) {
        let is_alive = |member: &&Member<MemberId>| member.id() == id && member.state() == State::Alive;
        let alive = self.foca.iter_members().find(is_alive);
        let Some(refutations) = alive.map(Member::incarnation) else { return };
        let suspected = Member::new(id.clone(), refutations, State::Suspect);
        let mut effects = FocaEffects::default();
        // Errors can be ignored: if foca does not apply the suspicion, a later comparison of views leads to
        // another attempt.
        let _ = self.foca.apply_many(std::iter::once(suspected), true, &mut effects);
        self.apply(effects);
    }

    /// Sends a verdict, the report that `member` is suspect or down, to the address `to`. The receiver may be
    /// `member` itself or another member.
    pub(crate) fn send_verdict(&mut self, to: SocketAddr, member: Member<MemberId>) {
        self.send_payload(to, AntiEntropyPayload::Verdict { member });
    }

    fn send_payload(&mut self, to: SocketAddr, payload: AntiEntropyPayload) {
        let message = AntiEntropyMessage { from: self.identity().clone(), payload };
        self.send(to, PayloadKind::AntiEntropy, &message.encode());
    }

    /// Starts one comparison of views: sends the digest of this member's view to a random other member, which
    /// may be down. Also announces this server to a random seed that is neither alive nor suspect in this
    /// member's view.
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

    /// Announces this server to a random seed that is neither alive nor suspect in this member's view.
    /// Members recorded as down are removed from the view after some time. After a partition that lasts
    /// longer than this time, the two parts of the fleet no longer know each other. They rediscover each
    /// other only through the seeds.
    fn announce_to_unknown_seed(&mut self) {
        let known: HashSet<SocketAddr> = self.foca.iter_members().map(|member| member.id().addr).collect();
        let seeds = self.rejoin.seeds.iter().copied();
        let unknown: Vec<SocketAddr> = seeds.filter(|seed| !known.contains(seed)).collect();
        // There is nothing to do if every seed is alive or suspect in this member's view. If this member
        // knows no other member, `rejoin_if_due` announces this server to all seeds instead.
        if known.is_empty() || unknown.is_empty() {
            return;
        }
        let seed = unknown[self.random_below(unknown.len())];
        self.announce_to(seed);
    }

    /// Returns a random number from 0 to `bound` - 1, or 0 if `bound` is 0.
    fn random_below(&mut self, bound: usize) -> usize {
        if bound == 0 { 0 } else { (self.rng.next_u64() % bound as u64) as usize }
    }
}

fn has_valid_name(id: &MemberId) -> bool {
    !id.name.is_empty() && id.name.len() <= NAME_BYTES_MAX
}
