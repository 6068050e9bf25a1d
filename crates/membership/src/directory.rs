//! Names and addresses of the members that are not held down, kept by whoever sends to members by name. It is
//! built anew only when the view has changed: looking through 690 members for each datagram took more
//! time than all the rest of the membership (`docs/CAPACITY.md`).

use crate::{Membership, Nanos};
use foca::State;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Longest time in nanoseconds between two readings of the view, should a change have gone unnoticed.
const AGE_MAX: Nanos = 10_000_000_000;

#[derive(Debug, Default)]
pub struct Directory {
    names: Arc<Vec<String>>,
    addresses: HashMap<String, SocketAddr>,
    /// The last change of the view that is in it, and when it was read.
    read: Option<(Nanos, usize, Nanos)>,
}

impl Directory {
    /// Reads the view again if it has changed; true where it did.
    pub fn refresh(&mut self, membership: &Membership, now: Nanos) -> bool {
        let mark = (membership.last_change(), membership.active_members());
        let stands = |(change, active, at): (Nanos, usize, Nanos)| {
            (change, active) == mark && now < at.saturating_add(AGE_MAX)
        };
        if self.read.is_some_and(stands) {
            return false;
        }
        self.read = Some((mark.0, mark.1, now));
        let living = membership.foca.iter_members().filter(|member| member.state() != State::Down);
        self.addresses = living.map(|member| (member.id().name.clone(), member.id().addr)).collect();
        let mut names: Vec<String> = self.addresses.keys().cloned().collect();
        names.sort_unstable();
        self.names = Arc::new(names);
        true
    }

    /// Members alive or suspect, this one excluded, in the order of their names.
    pub fn names(&self) -> &Arc<Vec<String>> {
        &self.names
    }

    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }
}
