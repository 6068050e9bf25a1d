//! Directory that maps names of members to addresses, for callers that address members by name. Members that
//! are down are not included. The directory is a cache: looking a name up in foca's member list takes time
//! linear in the size of the fleet (`docs/CAPACITY.md`). The directory is rebuilt only after the view has
//! changed.

use crate::{Membership, Nanos};
use foca::State;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Age at which the directory is rebuilt even without a detected change of the view, because the detection
/// may have missed a change.
const AGE_MAX_NS: Nanos = 10_000_000_000;

/// Addresses of the alive and suspect members, indexed by the name of the member.
#[derive(Debug, Default)]
pub struct Directory {
    names: Arc<Vec<String>>,
    addresses: HashMap<String, SocketAddr>,
    built_from: Option<ViewVersion>,
}

/// Identifies the state of the view from which a directory was built. The directory is rebuilt when the state
/// of the current view is different.
#[derive(Debug)]
struct ViewVersion {
    last_change: Nanos,
    active_members: usize,
    built_at: Nanos,
}

impl Directory {
    /// Rebuilds the directory if the view has changed or the directory has reached the age `AGE_MAX_NS`.
    /// Returns whether the directory was rebuilt.
    pub fn refresh(&mut self, membership: &Membership, now: Nanos) -> bool {
        let (last_change, active_members) = (membership.last_change(), membership.active_members());
        let is_current = self.built_from.as_ref().is_some_and(|version| {
            version.last_change == last_change
                && version.active_members == active_members
                && now < version.built_at.saturating_add(AGE_MAX_NS)
        });
        if is_current {
            return false;
        }
        self.built_from = Some(ViewVersion { last_change, active_members, built_at: now });
        let members = membership.foca.iter_members().filter(|member| member.state() != State::Down);
        self.addresses = members.map(|member| (member.id().name.clone(), member.id().addr)).collect();
        let mut names: Vec<String> = self.addresses.keys().cloned().collect();
        names.sort_unstable();
        self.names = Arc::new(names);
        true
    }

    /// Returns the sorted names of the alive and suspect members. This server is not included.
    pub fn names(&self) -> &Arc<Vec<String>> {
        &self.names
    }

    /// Returns the address of the member with this name if it is alive or suspect, otherwise `None`.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }
}
