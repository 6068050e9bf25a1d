//! Logs this server's view of the fleet's members. Each change is logged when it occurs. The whole view is
//! logged after a change and at regular intervals.

use crate::server::Server;
use meadowstream_membership::{Change, MemberState, MemberStatus, Membership, Nanos, ViewChange};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tracing::info;

/// Properties of a member in a view of the fleet. The view is logged again if one of these properties
/// changes.
#[derive(PartialEq, Eq)]
struct MemberLine {
    address: SocketAddr,
    incarnation: u64,
    state: MemberState,
}

/// The view that was logged last.
#[derive(Default)]
pub struct ViewLog {
    members: Option<Vec<MemberLine>>,
    dropped: u64,
    logged_at: Nanos,
}

impl ViewLog {
    /// Logs the view of the fleet if the view or the number of dropped datagrams has changed. Otherwise logs
    /// the view once per `announce_period`.
    ///
    /// A log line is lost if the log's pipe is full at that moment. The next line follows after at most one
    /// announce period, and gives the reader of the log an up-to-date view.
    pub fn update(
        &mut self,
        server: &Server,
        membership: &mut Membership,
        announce_period: Nanos,
        now: Nanos,
    ) {
        let view = membership.observe_view(now);
        let members: Vec<MemberLine> = view.iter().map(MemberLine::new).collect();
        let dropped = membership.counts().dropped_all();
        let is_old = now >= self.logged_at + announce_period;
        if is_old || self.members.as_ref() != Some(&members) || dropped != self.dropped {
            log_view(membership, &view, &versions(server, &view), now);
            *self = Self { members: Some(members), dropped, logged_at: now };
        }
    }
}

impl MemberLine {
    fn new(status: &MemberStatus) -> Self {
        Self { address: status.addr, incarnation: status.incarnation, state: status.state }
    }
}

/// Logs one change of the view.
pub fn log_change(ViewChange { at, change }: &ViewChange) {
    let (kind, id) = match change {
        Change::Up(id) => ("up", Some(id)),
        Change::Down(id) => ("down", Some(id)),
        Change::Renamed { new: id, .. } => ("renamed", Some(id)),
        Change::Rejoined(id) => ("rejoined", Some(id)),
        Change::Active => ("active", None),
        Change::Idle => ("idle", None),
    };
    match id {
        Some(id) => info!(target: "fleet", change = kind, member = id.name, addr = %id.addr,
            incarnation = id.incarnation, at, "member"),
        None => info!(target: "fleet", change = kind, at, "this server"),
    }
}

/// Returns the known program versions and settings hashes as a JSON object whose keys are server names. The
/// object covers this server and all servers in the view. Returns an empty string if the options have no
/// `<rollout>` element.
fn versions(server: &Server, view: &[MemberStatus]) -> String {
    let Some(rollout) = &server.rollout else { return String::new() };
    let versions = rollout.versions.borrow();
    let names = view.iter().map(|status| status.name.as_str()).chain([versions.own().name.as_str()]);
    let mut known = BTreeMap::new();
    for entry in names.filter_map(|name| versions.get(name)) {
        known.insert(&entry.name, (&entry.version, format!("{:016x}", entry.settings_hash)));
    }
    serde_json::to_string(&known).unwrap_or_default()
}

/// Logs the whole view of the fleet in one line. The line contains the state of each member and the start
/// time of this state. The line also contains the number of dropped datagrams for each reason.
fn log_view(membership: &Membership, view: &[MemberStatus], runs: &str, now: Nanos) {
    let count = |state| view.iter().filter(|status| status.state == state).count();
    let members = serde_json::to_string(view).unwrap_or_default();
    let counts = serde_json::to_string(membership.counts()).unwrap_or_default();
    let settled_ms = now.saturating_sub(membership.last_change()) / 1_000_000;
    info!(target: "fleet", alive = count(MemberState::Alive), suspect = count(MemberState::Suspect),
        down = count(MemberState::Down), settled_ms, members, runs, counts, "view");
}
