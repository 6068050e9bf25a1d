//! The view as others read it: members and their states, changes, counts.

use crate::envelope::DropReason;
use crate::identity::MemberId;
use crate::{Membership, Nanos};
use foca::State;
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A member as this server sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberStatus {
    pub name: String,
    pub addr: SocketAddr,
    pub incarnation: u64,
    /// foca's SWIM incarnation: raised each time the member refuted a suspicion of itself.
    pub refutations: u16,
    pub state: MemberState,
    /// When this server first saw the present state (of this incarnation).
    pub since: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum MemberState {
    Alive,
    Suspect,
    Down,
}

impl From<State> for MemberState {
    fn from(state: State) -> MemberState {
        match state {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Down => MemberState::Down,
        }
    }
}

/// A change of the view, as this server learnt it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Change {
    Up(MemberId),
    Down(MemberId),
    /// The one before was replaced by a later incarnation at the same address.
    Renamed(MemberId, MemberId),
    /// This server is known to one other at least.
    Active,
    /// It knows no live member.
    Idle,
    /// The fleet declared this server down and it took a higher incarnation.
    Rejoined(MemberId),
}

/// Counts, from the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// Dropped datagrams by reason, in the order of [`DropReason::ALL`].
    pub dropped: [u64; 9],
    /// Bodies that foca would not send because they were longer than allowed.
    pub unsendable: u64,
}

impl Counts {
    pub fn dropped(&self, why: DropReason) -> u64 {
        self.dropped[DropReason::ALL.iter().position(|d| *d == why).expect("listed")]
    }

    pub fn dropped_all(&self) -> u64 {
        self.dropped.iter().sum()
    }
}

impl Membership {
    /// Every member this server knows of (down ones until forgotten), itself excluded, by address. `since`
    /// is the first time a view was asked for in which the member stood so: ask each probe period.
    pub fn view(&mut self, now: Nanos) -> Vec<MemberStatus> {
        self.now = self.now.max(now);
        let mut seen: Vec<MemberStatus> = Vec::with_capacity(self.foca.iter_membership_state().len());
        for member in self.foca.iter_membership_state() {
            let id = member.id();
            let state = MemberState::from(member.state());
            let (since, changed) = note(&mut self.since, id, state, self.now);
            if changed {
                self.last_change = self.last_change.max(self.now);
            }
            seen.push(MemberStatus {
                name: id.name.clone(),
                addr: id.addr,
                incarnation: id.incarnation,
                refutations: member.incarnation(),
                state,
                since,
            });
        }
        let live: std::collections::HashSet<SocketAddr> = seen.iter().map(|s| s.addr).collect();
        self.since.retain(|addr, _| live.contains(addr));
        seen.sort_by_key(|s| s.addr);
        seen
    }

    /// Members alive or suspect, itself excluded.
    pub fn active_members(&self) -> usize {
        self.foca.num_members()
    }

    /// Alive members' addresses, itself excluded, sorted: cheap enough for large simulations.
    pub fn alive_addresses(&self) -> Vec<SocketAddr> {
        let mut alive: Vec<SocketAddr> =
            self.foca.iter_members().filter(|m| m.state() == State::Alive).map(|m| m.id().addr).collect();
        alive.sort();
        alive
    }

    /// Members alive or suspect, itself excluded, as address and incarnation, sorted.
    pub fn members(&self) -> Vec<(SocketAddr, u64)> {
        let mut members: Vec<(SocketAddr, u64)> =
            self.foca.iter_members().map(|m| (m.id().addr, m.id().incarnation)).collect();
        members.sort();
        members
    }

    /// When the view last changed: a member came, went, was renamed or changed state.
    pub fn last_change(&self) -> Nanos {
        self.last_change
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Updates waiting to be piggybacked.
    pub fn backlog(&self) -> usize {
        self.foca.updates_backlog()
    }
}

/// Since when the member at `id`'s address has stood so, in this incarnation, and whether that is `now`
/// because it changed; a member first seen counts from `now` without a change.
fn note(
    since: &mut HashMap<SocketAddr, (u64, MemberState, Nanos)>,
    id: &MemberId,
    state: MemberState,
    now: Nanos,
) -> (Nanos, bool) {
    let entry = since.entry(id.addr).or_insert((id.incarnation, state, now));
    let changed = (entry.0, entry.1) != (id.incarnation, state);
    if changed {
        *entry = (id.incarnation, state, now);
    }
    (entry.2, changed)
}
