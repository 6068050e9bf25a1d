//! The exchange of views, verdicts and doubts as one member plays it; [`messages`] has the messages.

use crate::envelope::{DropReason, PayloadKind};
use crate::identity::{MemberId, NAME_BYTES_MAX};
use crate::messages::{self, AntiEntropyMessage, AntiEntropyPayload};
use crate::runtime::FocaEffects;
use crate::{ENVELOPE_BYTES, Membership};
use foca::State;
use rand_chacha::rand_core::Rng;
use std::net::SocketAddr;

impl Membership {
    /// One of the messages of [`messages`].
    pub(crate) fn heard(
        &mut self,
        AntiEntropyMessage { from, what }: AntiEntropyMessage,
    ) -> Result<(), DropReason> {
        let named = |id: &MemberId| !id.name.is_empty() && id.name.len() <= NAME_BYTES_MAX;
        let mine = self.identity().clone();
        if !named(&from) || from.addr == mine.addr {
            return Err(DropReason::Protocol);
        }
        match what {
            AntiEntropyPayload::Digest(marks) => {
                let differing = messages::differing(&self.marks(), &marks);
                if differing != 0 {
                    self.answer(&from, differing, differing);
                }
            }
            AntiEntropyPayload::Members { want, members } => {
                // Only the living are told of: a death is gossip's to tell, and the member's own to refute.
                if members.iter().any(|m| !named(m.id()) || m.state() == State::Down) {
                    return Err(DropReason::Protocol);
                }
                // Answered first, so that what just came from it does not go back.
                if want != 0 {
                    self.answer(&from, want, 0);
                    self.compare_soon();
                }
                self.tell_one_held_down(&from, &members);
                let mut effects = FocaEffects::default();
                let others = members.into_iter().filter(|m| m.id().addr != mine.addr);
                let applied = self.foca.apply_many(others, true, &mut effects);
                self.absorb(effects);
                applied.map_err(|_| DropReason::Protocol)?;
            }
            AntiEntropyPayload::Verdict(member) => {
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
                let mut effects = FocaEffects::default();
                let applied = self.foca.apply_many(std::iter::once(member), true, &mut effects);
                // Whatever foca sends carries the refutation in its head, so the teller hears it at once.
                let _ = self.foca.announce(from, &mut effects);
                self.absorb(effects);
                applied.map_err(|_| DropReason::Protocol)?;
            }
        }
        Ok(())
    }

    /// The marks of this view: the members alive or suspect, and this one.
    fn marks(&self) -> Vec<u32> {
        let living = self.foca.iter_members().map(|m| m.id());
        messages::digest(living.chain(std::iter::once(self.foca.identity())))
    }

    /// Sends the living members of these buckets to `to`, asking for its own of `want`.
    fn answer(&mut self, to: &MemberId, buckets: u64, want: u64) {
        let me = self.identity().clone();
        let mine = foca::Member::alive(me.clone());
        let living = self.foca.iter_members().cloned().chain(std::iter::once(mine));
        let mut members: Vec<_> = living.filter(|m| buckets & (1 << messages::bucket(m.id())) != 0).collect();
        // Another start each time, so that what one answer has no room for comes with the next.
        let start = self.below(members.len());
        members.rotate_left(start);
        for body in messages::answers(&me, want, &members, self.sealer.body_max()) {
            if (body.len() + ENVELOPE_BYTES) as u64 > self.room() {
                self.compare_soon();
                return;
            }
            self.send(to.addr, PayloadKind::AntiEntropy, &body);
        }
    }

    /// Compares views again before an announce period is over, since this one is known to differ.
    fn compare_soon(&mut self) {
        self.exchange_at = self.exchange_at.min(self.now + 2 * self.probe_period);
    }

    /// Of the members that another hears and this one holds down in the same incarnation, one at random is
    /// told itself, and so is the one that hears it. One for each datagram, so that what is sent stays in
    /// proportion to what came.
    fn tell_one_held_down(&mut self, from: &MemberId, heard: &[foca::Member<MemberId>]) {
        let down: std::collections::HashSet<&MemberId> =
            self.foca.iter_membership_state().filter(|m| m.state() == State::Down).map(|m| m.id()).collect();
        let wronged: Vec<MemberId> =
            heard.iter().map(|m| m.id()).filter(|id| down.contains(id)).cloned().collect();
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
    fn suspect(&mut self, id: &MemberId) {
        let known = self.foca.iter_members().find(|m| m.id() == id && m.state() == State::Alive);
        let Some(refutations) = known.map(foca::Member::incarnation) else { return };
        let suspected = foca::Member::new(id.clone(), refutations, State::Suspect);
        let mut effects = FocaEffects::default();
        let _ = self.foca.apply_many(std::iter::once(suspected), true, &mut effects);
        self.absorb(effects);
    }

    /// Tells a member in what state this one holds it, or another.
    pub(crate) fn tell(&mut self, to: SocketAddr, held: foca::Member<MemberId>) {
        let said =
            AntiEntropyMessage { from: self.identity().clone(), what: AntiEntropyPayload::Verdict(held) };
        self.send(to, PayloadKind::AntiEntropy, &said.encode());
    }

    /// Compares the view with one other member's, alive or held down, and asks one seed that is not in it:
    /// a fleet cut for longer than those held down are remembered finds itself again by its seeds.
    pub(crate) fn compare(&mut self) {
        let part = self.announce_period / 8;
        let late = self.rng.next_u64() % part.max(1);
        self.exchange_at = self.now + self.announce_period - part / 2 + late;
        let known = self.foca.iter_membership_state().len();
        let at = self.below(known);
        let to = self.foca.iter_membership_state().nth(at).map(|m| m.id().addr);
        if let Some(to) = to {
            let said = AntiEntropyMessage {
                from: self.identity().clone(),
                what: AntiEntropyPayload::Digest(self.marks()),
            };
            self.send(to, PayloadKind::AntiEntropy, &said.encode());
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

    fn below(&mut self, most: usize) -> usize {
        if most == 0 { 0 } else { (self.rng.next_u64() % most as u64) as usize }
    }
}
