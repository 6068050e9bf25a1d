//! The view that the caller receives: the members known to this server with their states, changes of the
//! view, and counts of datagrams.

use crate::envelope::DropReason;
use crate::identity::MemberId;
use crate::{Membership, Nanos};
use foca::State;
use serde::Serialize;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// A member in this server's view. The field names appear in the server's log output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberStatus {
    /// The member's name.
    pub name: String,
    /// The member's address.
    pub addr: SocketAddr,
    /// The member's incarnation. A member has a higher incarnation after each restart, and after rejoining a
    /// fleet that had declared it down.
    pub incarnation: u64,
    /// The member's SWIM incarnation, maintained by foca. It counts the suspicions that the member has
    /// refuted.
    pub refutations: u16,
    /// The member's state.
    pub state: MemberState,
    /// Time at which this server first observed the member in this state and incarnation, in nanoseconds of
    /// the caller's clock.
    pub since: Nanos,
}

/// State of a member, as in SWIM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum MemberState {
    /// The member answers probes, or has refuted a suspicion.
    Alive,
    /// The member did not answer a probe, and is suspected to have failed. If it does not refute the
    /// suspicion within the suspicion time, it is declared down.
    Suspect,
    /// The member left the fleet, or did not refute a suspicion in time. A member in this state is removed
    /// from the view after a multiple of the suspicion time.
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

/// A change of the view, with the time at which this server learned of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// Time at which this server learned of the change, in nanoseconds of the caller's clock.
    pub at: Nanos,
    /// The change.
    pub change: Change,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member joined, or is alive again after it was down.
    Up(MemberId),
    /// A member left or was declared down.
    Down(MemberId),
    /// A member was replaced by a new incarnation at the same address, for example after a restart.
    Renamed {
        /// The previous identity.
        old: MemberId,
        /// The new identity.
        new: MemberId,
    },
    /// This server has learned of another member that is alive or suspect. Before, it knew of no such member.
    Active,
    /// This server no longer knows any other member that is alive or suspect.
    Idle,
    /// The fleet had declared this server down. The server has rejoined with this identity, which has a
    /// higher incarnation.
    Rejoined(MemberId),
}

impl Change {
    /// Returns true if the change is that a member joined, left, was renamed or rejoined. Such a change
    /// updates the time of the view's last change.
    pub(crate) fn alters_members(&self) -> bool {
        match self {
            Change::Up(_) | Change::Down(_) | Change::Renamed { .. } | Change::Rejoined(_) => true,
            Change::Active | Change::Idle => false,
        }
    }
}

/// Counts of datagrams since the start of this member. The field names appear in the server's log output.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Number of datagrams sent.
    pub sent: u64,
    /// Bytes of all datagrams sent, including their headers and tags.
    pub sent_bytes: u64,
    /// Number of datagrams received, including those that were dropped.
    pub received: u64,
    /// Total size of all datagrams received, in bytes, including those that were dropped.
    pub received_bytes: u64,
    /// Number of dropped datagrams for each reason, in the order of [`DropReason::ALL`].
    pub dropped: [u64; DropReason::ALL.len()],
    /// Number of messages that were not sent because their body was longer than allowed.
    pub unsendable: u64,
}

impl Counts {
    pub(crate) fn count_dropped(&mut self, reason: DropReason) {
        self.dropped[index_of(reason)] += 1;
    }

    /// Returns the number of datagrams dropped for the given reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[index_of(reason)]
    }

    /// Returns the number of datagrams dropped for any reason.
    pub fn dropped_all(&self) -> u64 {
        self.dropped.iter().sum()
    }
}

fn index_of(reason: DropReason) -> usize {
    let index = DropReason::ALL.iter().position(|other| *other == reason);
    index.expect("DropReason::ALL has every reason")
}

/// The last observed incarnation and state of a member, and the time at which this server first observed this
/// incarnation and state together.
pub(crate) struct StateSince {
    incarnation: u64,
    state: MemberState,
    since: Nanos,
}

impl Membership {
    /// Returns all other members known to this server, ordered by address. Members that are down are included
    /// until they are removed from the view.
    ///
    /// The method also detects changes of state since its previous call. Each change is recorded with the
    /// time `now` and updates [`Membership::last_change`]. The caller calls this method once per probe
    /// period.
    pub fn observe_view(&mut self, now: Nanos) -> Vec<MemberStatus> {
        self.now = self.now.max(now);
        let mut view: Vec<MemberStatus> = Vec::with_capacity(self.foca.iter_membership_state().len());
        for member in self.foca.iter_membership_state() {
            let id = member.id();
            let state = MemberState::from(member.state());
            let (since, changed) = date_state(&mut self.state_since, id, state, self.now);
            if changed {
                self.last_change = self.last_change.max(self.now);
            }
            view.push(MemberStatus {
                name: id.name.clone(),
                addr: id.addr,
                incarnation: id.incarnation,
                refutations: member.incarnation(),
                state,
                since,
            });
        }
        let known: HashSet<SocketAddr> = view.iter().map(|member| member.addr).collect();
        self.state_since.retain(|addr, _| known.contains(addr));
        view.sort_by_key(|member| member.addr);
        view
    }

    /// Returns the number of members that are alive or suspect. This server is not counted.
    pub fn active_members(&self) -> usize {
        self.foca.num_members()
    }

    /// Returns the sorted addresses of the alive members. This server is not included.
    pub fn alive_addresses(&self) -> Vec<SocketAddr> {
        let alive = self.foca.iter_members().filter(|member| member.state() == State::Alive);
        let mut addresses: Vec<SocketAddr> = alive.map(|member| member.id().addr).collect();
        addresses.sort();
        addresses
    }

    /// Returns the sorted addresses and incarnations of the alive and suspect members. This server is not
    /// included.
    pub fn members(&self) -> Vec<(SocketAddr, u64)> {
        let ids = self.foca.iter_members().map(|member| member.id());
        let mut members: Vec<(SocketAddr, u64)> = ids.map(|id| (id.addr, id.incarnation)).collect();
        members.sort();
        members
    }

    /// Returns the time of the last change of the view: a member joined, left, was renamed or changed its
    /// state.
    pub fn last_change(&self) -> Nanos {
        self.last_change
    }

    /// Returns the counts of datagrams since the start of this member.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }
}

/// Returns the time at which the member was first observed in this state and incarnation. Also returns
/// whether its state or incarnation has changed since the previous observation; a first observation is not a
/// change.
fn date_state(
    state_since: &mut HashMap<SocketAddr, StateSince>,
    id: &MemberId,
    state: MemberState,
    now: Nanos,
) -> (Nanos, bool) {
    let present = || StateSince { incarnation: id.incarnation, state, since: now };
    let entry = state_since.entry(id.addr).or_insert_with(present);
    let changed = entry.incarnation != id.incarnation || entry.state != state;
    if changed {
        *entry = present();
    }
    (entry.since, changed)
}
