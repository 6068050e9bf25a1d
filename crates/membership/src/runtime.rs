//! What foca asks its host for.

use crate::identity::MemberId;
use crate::view::Change;
use foca::{Notification, Runtime, Timer};
use std::time::Duration;

/// What foca asks for while it is handled; drained into the core after each call.
#[derive(Default)]
pub(crate) struct FocaEffects {
    pub(crate) send: Vec<(MemberId, Vec<u8>)>,
    pub(crate) timers: Vec<(Duration, Timer<MemberId>)>,
    pub(crate) notes: Vec<Change>,
}

impl Runtime<MemberId> for FocaEffects {
    fn notify(&mut self, note: Notification<'_, MemberId>) {
        self.notes.push(match note {
            Notification::MemberUp(id) => Change::Up(id.clone()),
            Notification::MemberDown(id) => Change::Down(id.clone()),
            Notification::Rename(old, new) => Change::Renamed(old.clone(), new.clone()),
            Notification::Active => Change::Active,
            Notification::Idle => Change::Idle,
            Notification::Rejoin(id) => Change::Rejoined(id.clone()),
            // Defunct cannot come: identities renew themselves.
            _ => return,
        });
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberId>, after: Duration) {
        self.timers.push((after, event));
    }
}
