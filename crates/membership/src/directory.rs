//! Names and addresses of the members that are not down, for callers that send to members by name. It is read
//! again only when the view has changed, since a lookup in foca's list is linear in the fleet's size
//! (`docs/CAPACITY.md`).

use crate::{Membership, Nanos};
use foca::State;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Longest time between two readings of the view, in case a change was not noticed.
const AGE_MAX_NS: Nanos = 10_000_000_000;

/// Addresses of the members alive or suspect, by name.
#[derive(Debug, Default)]
pub struct Directory {
    names: Arc<Vec<String>>,
    addresses: HashMap<String, SocketAddr>,
    last_read: Option<Reading>,
}

/// The view that a directory was read from.
#[derive(Debug)]
struct Reading {
    last_change: Nanos,
    active_members: usize,
    read_at: Nanos,
}

impl Directory {
    /// Reads the view again if it has changed; true where it was read.
    pub fn refresh(&mut self, membership: &Membership, now: Nanos) -> bool {
        let (last_change, active_members) = (membership.last_change(), membership.active_members());
        let is_current = self.last_read.as_ref().is_some_and(|reading| {
            reading.last_change == last_change
                && reading.active_members == active_members
                && now < reading.read_at.saturating_add(AGE_MAX_NS)
        });
        if is_current {
            return false;
        }
        self.last_read = Some(Reading { last_change, active_members, read_at: now });
        let members = membership.foca.iter_members().filter(|member| member.state() != State::Down);
        self.addresses = members.map(|member| (member.id().name.clone(), member.id().addr)).collect();
        let mut names: Vec<String> = self.addresses.keys().cloned().collect();
        names.sort_unstable();
        self.names = Arc::new(names);
        true
    }

    /// Names of the members alive or suspect, this server excluded, sorted.
    pub fn names(&self) -> &Arc<Vec<String>> {
        &self.names
    }

    /// Address of a member alive or suspect.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }
}
