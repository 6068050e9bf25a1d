//! Collects the effects that foca requests while it handles an event, and executes them. The effects are
//! packets to send, timers to schedule, and notifications of changes of the view.

use crate::envelope::PayloadKind;
use crate::identity::MemberId;
use crate::view::{Change, ViewChange};
use crate::{Membership, Nanos, TimerKey};
use foca::{Notification, Runtime, Timer};
use std::time::Duration;

/// Effects of one call of foca: packets to send, timers to schedule, and changes of the view.
#[derive(Default)]
pub(crate) struct FocaEffects {
    packets: Vec<(MemberId, Vec<u8>)>,
    timers: Vec<(Duration, Timer<MemberId>)>,
    changes: Vec<Change>,
}

impl Runtime<MemberId> for FocaEffects {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        self.changes.push(match notification {
            Notification::MemberUp(id) => Change::Up(id.clone()),
            Notification::MemberDown(id) => Change::Down(id.clone()),
            Notification::Rename(old, new) => Change::Renamed { old: old.clone(), new: new.clone() },
            Notification::Active => Change::Active,
            Notification::Idle => Change::Idle,
            Notification::Rejoin(id) => Change::Rejoined(id.clone()),
            // `Defunct` is the only notification not handled above. It does not occur, because
            // `MemberId::renew` always returns a new identity.
            _ => return,
        });
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.packets.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberId>, after: Duration) {
        self.timers.push((after, event));
    }
}

impl Membership {
    /// Executes the effects that foca requested: schedules timers, sends packets, and records changes of the
    /// view.
    pub(crate) fn apply(&mut self, effects: FocaEffects) {
        for (after, timer) in effects.timers {
            let after = u64::try_from(after.as_nanos()).unwrap_or(u64::MAX);
            let deadline = self.now.saturating_add(after);
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                // The timer fires at the end of the suspicion time. foca schedules it only in the member
                // whose probe raised the suspicion. This member also notifies the suspect directly, so record
                // the suspicion as raised by this member.
                self.suspicions.raise(member_id.clone(), *incarnation, self.now, deadline);
            }
            self.schedule(deadline, timer);
        }
        for (to, body) in effects.packets {
            self.send(to.addr, PayloadKind::Swim, &body);
        }
        for change in effects.changes {
            if change.alters_members() {
                self.last_change = self.now;
            }
            self.changes.push(ViewChange { at: self.now, change });
        }
    }

    pub(crate) fn schedule(&mut self, deadline: Nanos, timer: Timer<MemberId>) {
        self.timer_sequence += 1;
        let key = TimerKey { deadline, sequence: self.timer_sequence };
        self.timers.insert(key, timer);
    }
}
