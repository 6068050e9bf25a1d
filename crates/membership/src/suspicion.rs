//! Handling of suspicions. The prober, whose probe raised the suspicion, notifies the suspect directly, so
//! that the suspect can refute it. If the suspect does not refute the suspicion, the prober declares it down
//! after one suspicion time. The prober may be unable to do so, for example after a crash. Every other member
//! therefore declares the suspect down by itself after twice the suspicion time.

use crate::identity::MemberId;
use crate::runtime::FocaEffects;
use crate::{Membership, Nanos};
use foca::{Member, State};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Number of direct notifications that a suspect receives within one suspicion time. With 20% packet loss in
/// each direction, a notification is answered with probability 0.64. The probability that all 8 remain
/// unanswered is 0.36^8, less than 1 in 3,000.
const NOTIFICATIONS: u64 = 8;
/// Each member declares a suspect down by itself if the suspect is still suspect this many suspicion times
/// after the member first observed the suspicion. The prober, whose probe raised the suspicion, declares the
/// suspect down earlier: the prober's timer fires after one suspicion time.
const EXPIRY_FACTOR: u64 = 2;

/// A suspicion that was raised by a probe of this member.
struct RaisedSuspicion {
    suspect: MemberId,
    /// The suspect's SWIM incarnation, which is the number of suspicions that the suspect has refuted.
    refutations: u16,
    /// Time at which the suspect is next notified of the suspicion.
    notify_at: Nanos,
    /// Time at which foca declares the suspect down if the suspect has not refuted the suspicion.
    ends_at: Nanos,
}

/// Key of a suspicion. The key is the same whichever member raised the suspicion. It contains the suspect's
/// number of refutations. A new suspicion after a refutation therefore has a different key.
#[derive(PartialEq, Eq, Hash)]
struct SuspicionKey {
    addr: SocketAddr,
    incarnation: u64,
    refutations: u16,
}

/// The suspicions that this member knows of, raised by itself or by other members.
pub(crate) struct Suspicions {
    /// Suspicion time: the time that a suspect has to refute a suspicion before foca declares it down.
    duration: Nanos,
    raised: Vec<RaisedSuspicion>,
    /// Time at which this member first observed each suspicion. Includes suspicions raised by this member
    /// itself.
    first_seen: HashMap<SuspicionKey, Nanos>,
    /// Time at which [`Membership::expire_suspicions_if_due`] last checked for expired suspicions.
    checked_at: Nanos,
}

impl Suspicions {
    pub(crate) fn new(duration: Nanos, now: Nanos) -> Suspicions {
        Suspicions { duration, raised: Vec::new(), first_seen: HashMap::new(), checked_at: now }
    }

    /// Records a suspicion raised by this member. The suspect is notified of it at once and then
    /// periodically.
    pub(crate) fn raise(&mut self, suspect: MemberId, refutations: u16, now: Nanos, ends_at: Nanos) {
        self.raised.push(RaisedSuspicion { suspect, refutations, notify_at: now, ends_at });
    }

    /// Returns the earliest time at which a suspect is to be notified or declared down. Covers only
    /// suspicions raised by this member.
    pub(crate) fn deadline(&self) -> Option<Nanos> {
        self.raised.iter().map(|raised| raised.notify_at.min(raised.ends_at)).min()
    }
}

impl Membership {
    /// Notifies every suspect whose suspicion was raised by this member's own probe, if a notification is
    /// due. Notifications are repeated until the member is no longer suspect. Gossip alone is not enough,
    /// because each update is sent a fixed number of times: with packet loss, some suspects would never learn
    /// of the suspicion.
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

    /// Declares down every member that has been suspect for twice the suspicion time. In foca, only a timer
    /// of the prober, whose probe raised the suspicion, declares the suspect down. The timer fires after one
    /// suspicion time, but is lost if the prober crashes or takes a new incarnation. Without the timer, the
    /// suspect would remain suspect in every view. As in SWIM, each member therefore also times suspicions
    /// out. Waiting for twice the suspicion time lets the prober's timer fire first.
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
