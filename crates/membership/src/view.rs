//! The view as the caller reads it: members with their states, changes, counts.

use crate::envelope::DropReason;
use crate::identity::MemberId;
use crate::{Membership, Nanos};
use foca::State;
use serde::Serialize;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// A member in this server's view. The field names appear in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberStatus {
    /// The member's name.
    pub name: String,
    /// The member's address.
    pub addr: SocketAddr,
    /// The member's incarnation: one start of its process.
    pub incarnation: u64,
    /// The SWIM incarnation that foca keeps, raised each time the member refutes a suspicion.
    pub refutations: u16,
    /// The member's state.
    pub state: MemberState,
    /// When this server first saw the present state of this incarnation, in nanoseconds.
    pub since: Nanos,
}

/// State of a member, as in SWIM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum MemberState {
    /// It answers probes, or has refuted a suspicion.
    Alive,
    /// It did not answer a probe and has the suspicion time to refute that.
    Suspect,
    /// It left or did not refute a suspicion; it is forgotten after a while.
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

/// A change of the view, and when this server learnt of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// When this server learnt of the change, in nanoseconds.
    pub at: Nanos,
    /// The change.
    pub change: Change,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member joined or came back.
    Up(MemberId),
    /// A member left or was declared down.
    Down(MemberId),
    /// A member was replaced by a later incarnation at the same address.
    Renamed {
        /// The identity before.
        old: MemberId,
        /// The identity now.
        new: MemberId,
    },
    /// This server knows one other member at least.
    Active,
    /// This server knows no member that is not down.
    Idle,
    /// The fleet declared this server down, and it took this higher incarnation.
    Rejoined(MemberId),
}

impl Change {
    /// Whether a member came, went or was renamed.
    pub(crate) fn alters_members(&self) -> bool {
        match self {
            Change::Up(_) | Change::Down(_) | Change::Renamed { .. } | Change::Rejoined(_) => true,
            Change::Active | Change::Idle => false,
        }
    }
}

/// Counts of datagrams since the start. The field names appear in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent, envelopes included.
    pub sent_bytes: u64,
    /// Datagrams received, those dropped included.
    pub received: u64,
    /// Bytes of the datagrams received.
    pub received_bytes: u64,
    /// Dropped datagrams by reason, in the order of [`DropReason::ALL`].
    pub dropped: [u64; DropReason::ALL.len()],
    /// Bodies not sent because they were longer than allowed.
    pub unsendable: u64,
}

impl Counts {
    pub(crate) fn count_dropped(&mut self, reason: DropReason) {
        self.dropped[index_of(reason)] += 1;
    }

    /// Datagrams dropped for one reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[index_of(reason)]
    }

    /// Datagrams dropped for any reason.
    pub fn dropped_all(&self) -> u64 {
        self.dropped.iter().sum()
    }
}

fn index_of(reason: DropReason) -> usize {
    let index = DropReason::ALL.iter().position(|one| *one == reason);
    index.expect("DropReason::ALL has every reason")
}

/// The state in which a member was last read, and since when.
pub(crate) struct StateSince {
    incarnation: u64,
    state: MemberState,
    since: Nanos,
}

impl Membership {
    /// Observes the view: dates each change of state to this call where it is the first to see it, moves
    /// [`Membership::last_change`] along, and forgets the dates of members that are gone. To be called once a
    /// probe period.
    ///
    /// Returns every member that this server knows of, down ones until they are forgotten, without itself, by
    /// address.
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

    /// Number of members alive or suspect, this server excluded.
    pub fn active_members(&self) -> usize {
        self.foca.num_members()
    }

    /// Addresses of the members alive, this server excluded, sorted.
    pub fn alive_addresses(&self) -> Vec<SocketAddr> {
        let alive = self.foca.iter_members().filter(|member| member.state() == State::Alive);
        let mut addresses: Vec<SocketAddr> = alive.map(|member| member.id().addr).collect();
        addresses.sort();
        addresses
    }

    /// Address and incarnation of the members alive or suspect, this server excluded, sorted.
    pub fn members(&self) -> Vec<(SocketAddr, u64)> {
        let ids = self.foca.iter_members().map(|member| member.id());
        let mut members: Vec<(SocketAddr, u64)> = ids.map(|id| (id.addr, id.incarnation)).collect();
        members.sort();
        members
    }

    /// When the view last changed: a member came, went, was renamed or changed its state.
    pub fn last_change(&self) -> Nanos {
        self.last_change
    }

    /// Counts of datagrams since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }
}

/// Since when the member has been in this state and incarnation, and whether that is a change seen now. A
/// member seen for the first time is dated to `now` without a change.
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
