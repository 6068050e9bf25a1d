//! Suspects: who is told of it, and when a suspicion ends in a death.

use crate::identity::MemberId;
use crate::runtime::FocaEffects;
use crate::{Membership, Nanos};
use foca::State;
use std::collections::HashMap;

/// A suspicion that this member raised: the suspect is told of it until it is refuted or ends.
pub(crate) struct RaisedSuspicion {
    pub(crate) suspect: MemberId,
    pub(crate) refutations: u16,
    pub(crate) next: Nanos,
    pub(crate) until: Nanos,
}

/// How often a suspect is told within the suspicion time. At 20% loss each way an eighth part of the time
/// leaves 0.36^8, under 1 in 3,000, that no answer comes.
const TELLS: u64 = 8;

impl Membership {
    /// Suspects of this member's own probes are told so, until they are no suspects any more.
    pub(crate) fn tell_suspects(&mut self) {
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

    fn stands_suspect(&self, doubt: &RaisedSuspicion) -> bool {
        let mut members = self.foca.iter_members();
        members.any(|m| *m.id() == doubt.suspect && m.state() == State::Suspect)
    }

    /// Declares down each member held suspect for twice the suspicion time. foca leaves the timeout to
    /// the member whose probe failed; where that one's timer is lost (it crashed, or took a new
    /// incarnation, which voids its timers) and the suspect never heard of the suspicion, the suspect
    /// stayed so in every view for good: seen between five processes after a one-way cut. SWIM's own
    /// rule is that each member times out a suspicion by itself; twice the time lets the prober act first.
    pub(crate) fn expire_suspects(&mut self) {
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
        let mut effects = FocaEffects::default();
        let _ = self.foca.apply_many(expired.into_iter(), true, &mut effects);
        self.absorb(effects);
    }
}
