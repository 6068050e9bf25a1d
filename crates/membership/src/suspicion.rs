//! Suspicion: the prober notifies its suspect, and every member ends a suspicion that the prober did not end.

use crate::identity::MemberId;
use crate::runtime::FocaEffects;
use crate::{Membership, Nanos};
use foca::{Member, State};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Notifications of a suspect within one suspicion time. With 20% loss each way, the chance that none is
/// answered is 0.36^8, under 1 in 3,000.
const NOTIFICATIONS: u64 = 8;
/// A suspicion ends after so many suspicion times in every view; the prober's own timer ends it after one.
const EXPIRY_FACTOR: u64 = 2;

/// A suspicion that this member's own probe raised.
struct RaisedSuspicion {
    suspect: MemberId,
    /// The suspect's SWIM incarnation: the number of suspicions that it has refuted.
    refutations: u16,
    /// When the suspect is next notified.
    notify_at: Nanos,
    /// When foca declares the suspect down.
    ends_at: Nanos,
}

/// A suspicion as any member holds it: raised again after a refutation, it is another one.
#[derive(PartialEq, Eq, Hash)]
struct SuspicionKey {
    addr: SocketAddr,
    incarnation: u64,
    refutations: u16,
}

/// The suspicions that this member knows of.
pub(crate) struct Suspicions {
    /// How long foca leaves a suspect to refute its suspicion.
    duration: Nanos,
    raised: Vec<RaisedSuspicion>,
    /// When each suspicion was first seen, by this member or another.
    first_seen: HashMap<SuspicionKey, Nanos>,
    /// When [`Membership::expire_suspicions_if_due`] last looked.
    checked_at: Nanos,
}

impl Suspicions {
    pub(crate) fn new(duration: Nanos, now: Nanos) -> Suspicions {
        Suspicions { duration, raised: Vec::new(), first_seen: HashMap::new(), checked_at: now }
    }

    /// Notes a suspicion raised by this member; the suspect is notified at once and then periodically.
    pub(crate) fn raise(&mut self, suspect: MemberId, refutations: u16, now: Nanos, ends_at: Nanos) {
        self.raised.push(RaisedSuspicion { suspect, refutations, notify_at: now, ends_at });
    }

    /// When the next suspect is to be notified, or a raised suspicion ends.
    pub(crate) fn deadline(&self) -> Option<Nanos> {
        self.raised.iter().map(|raised| raised.notify_at.min(raised.ends_at)).min()
    }
}

impl Membership {
    /// Notifies the suspects of this member's own probes until they are no longer suspect. Gossip sends each
    /// update a fixed number of times, so under loss some suspects would never learn of their suspicion.
    pub(crate) fn notify_suspects(&mut self) {
        let now = self.now;
        if self.suspicions.deadline().is_none_or(|deadline| deadline > now) {
            return;
        }
        let mut raised = std::mem::take(&mut self.suspicions.raised);
        raised.retain(|raised| now < raised.ends_at && self.is_suspect(&raised.suspect));
        for raised in &mut raised {
            if raised.notify_at <= now {
                raised.notify_at = now + (self.suspicions.duration / NOTIFICATIONS).max(1);
                let verdict = Member::new(raised.suspect.clone(), raised.refutations, State::Suspect);
                self.send_verdict(raised.suspect.addr, verdict);
            }
        }
        self.suspicions.raised = raised;
    }

    fn is_suspect(&self, id: &MemberId) -> bool {
        self.foca.iter_members().any(|member| member.id() == id && member.state() == State::Suspect)
    }

    pub(crate) fn expire_suspicions_if_due(&mut self) {
        if self.now >= self.suspicions.checked_at + self.probe_period {
            self.suspicions.checked_at = self.now;
            self.expire_suspicions();
        }
    }

    /// Declares down each member that has been suspect for twice the suspicion time. foca leaves the timeout
    /// to the prober; when the prober crashes or takes a new incarnation its timer is lost, and the suspect
    /// would stay suspect in every view. In SWIM each member times out a suspicion by itself; twice the time
    /// lets the prober act first.
    fn expire_suspicions(&mut self) {
        let mut expired = Vec::new();
        let mut first_seen = HashMap::new();
        for member in self.foca.iter_members().filter(|member| member.state() == State::Suspect) {
            let (id, refutations) = (member.id(), member.incarnation());
            let key = SuspicionKey { addr: id.addr, incarnation: id.incarnation, refutations };
            let since = self.suspicions.first_seen.get(&key).copied().unwrap_or(self.now);
            if self.now.saturating_sub(since) >= EXPIRY_FACTOR * self.suspicions.duration {
                expired.push(Member::new(id.clone(), refutations, State::Down));
            }
            first_seen.insert(key, since);
        }
        self.suspicions.first_seen = first_seen;
        if expired.is_empty() {
            return;
        }
        let mut effects = FocaEffects::default();
        let _ = self.foca.apply_many(expired.into_iter(), true, &mut effects);
        self.apply(effects);
    }
}
