//! Suspicions: the prober notifies its suspect directly, and every member ends suspicions that their prober
//! did not end.

use crate::identity::MemberId;
use crate::runtime::FocaEffects;
use crate::{Membership, Nanos};
use foca::{Member, State};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Number of notifications sent to a suspect within one suspicion time. With 20% loss in each direction, the
/// probability that none of them is answered is 0.36^8, less than 1 in 3,000.
const NOTIFICATIONS: u64 = 8;
/// Number of suspicion times after which every member ends a suspicion. The prober's own timer ends it after
/// one.
const EXPIRY_FACTOR: u64 = 2;

/// A suspicion raised by this member's own probe.
struct RaisedSuspicion {
    suspect: MemberId,
    /// The suspect's SWIM incarnation: the number of suspicions that it has refuted.
    refutations: u16,
    /// When the next notification of the suspect is due.
    notify_at: Nanos,
    /// When foca declares the suspect down.
    ends_at: Nanos,
}

/// Identifies a suspicion, raised by any member. A suspicion that is raised again after a refutation is a
/// different one, since the number of refutations has changed.
#[derive(PartialEq, Eq, Hash)]
struct SuspicionKey {
    addr: SocketAddr,
    incarnation: u64,
    refutations: u16,
}

/// The suspicions known to this member.
pub(crate) struct Suspicions {
    /// Suspicion time: how long a suspect has to refute its suspicion before foca declares it down.
    duration: Nanos,
    raised: Vec<RaisedSuspicion>,
    /// When this member first observed each suspicion, whether raised by itself or by another member.
    first_seen: HashMap<SuspicionKey, Nanos>,
    /// When [`Membership::expire_suspicions_if_due`] last checked for expired suspicions.
    checked_at: Nanos,
}

impl Suspicions {
    pub(crate) fn new(duration: Nanos, now: Nanos) -> Suspicions {
        Suspicions { duration, raised: Vec::new(), first_seen: HashMap::new(), checked_at: now }
    }

    /// Records a suspicion raised by this member. The suspect is notified at once and then periodically.
    pub(crate) fn raise(&mut self, suspect: MemberId, refutations: u16, now: Nanos, ends_at: Nanos) {
        self.raised.push(RaisedSuspicion { suspect, refutations, notify_at: now, ends_at });
    }

    /// When the next notification of a suspect is due or the next raised suspicion ends.
    pub(crate) fn deadline(&self) -> Option<Nanos> {
        self.raised.iter().map(|raised| raised.notify_at.min(raised.ends_at)).min()
    }
}

impl Membership {
    /// Notifies the members that this member's own probes made suspect, until they are no longer suspect.
    /// Gossip alone is not enough: each update is sent a fixed number of times, so with packet loss some
    /// suspects would never learn that they are suspected.
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

    /// Declares down every member that has been suspect for twice the suspicion time. In foca only the prober
    /// times out a suspicion. If the prober crashes or takes a new incarnation, its timer is lost, and the
    /// suspect would remain suspect in every view. As in SWIM, each member therefore times out suspicions by
    /// itself; waiting for twice the suspicion time lets the prober act first.
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
