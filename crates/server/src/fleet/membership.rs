//! The fleet's view: one task owns the membership core on its UDP socket, feeds it datagrams and time, sends
//! what it asks, and says in the log what changed and how the view stands. It feeds the module nothing yet.

use crate::configuration::fleet::Fleet;
use crate::fleet::replication::Replication;
use crate::fleet::rollout;
use crate::server::Server;
use async_io::{Async, Timer};
use futures_lite::future;
use meadowstream_membership::directory::Directory;
use meadowstream_membership::envelope::DATAGRAM_BYTES_MAX;
use meadowstream_membership::{
    Change, MemberId, MemberState, MemberStatus, Membership, Transmit, ViewChange,
};
use meadowstream_rollout::wire;
use meadowstream_shared_state::{REPLICATION, ROLLOUT_ORDERS, ROLLOUT_REPORTS, VERSION_ANNOUNCEMENTS};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use tracing::{info, warn};

/// What woke the task.
enum Step {
    Datagram(usize, SocketAddr),
    Due,
    Leave,
    Broken(std::io::Error),
}

/// Binds the socket; an address that cannot be had refuses the start.
pub fn bind(fleet: &Fleet) -> std::io::Result<Async<UdpSocket>> {
    Async::<UdpSocket>::bind(fleet.bind)
}

/// Runs until the server leaves; then says so to the fleet, so that it is seen down at once.
pub async fn keep(server: Rc<Server>, socket: Async<UdpSocket>, fleet: Fleet, incarnation: u64) {
    let now = || server.clock.now();
    let bound = socket.get_ref().local_addr().unwrap_or(fleet.bind);
    let addr = fleet.advertise.unwrap_or(bound);
    // The start time in Unix nanoseconds: a restart under the old name has a higher incarnation.
    let me = MemberId { name: fleet.name.clone(), addr, incarnation };
    let seed = server.configuration.seed ^ me.incarnation;
    let mut core = match Membership::new(me.clone(), &fleet.settings, seed, now()) {
        Ok(core) => core,
        Err(fault) => return warn!(target: "fleet", %fault, "membership off"),
    };
    info!(target: "fleet", member = me.name, %addr, %bound, incarnation = me.incarnation,
        fleet = fleet.settings.fleet, seeds = fleet.seeds.len(),
        bytes_a_second = fleet.settings.bytes_per_second, "joining");
    let given = server.configuration.options.borrow().replication.clone();
    let replication = given
        .zip(server.configuration.replication_file())
        .map(|(given, file)| Replication::new(&server, &given, &fleet.name, file, now()));
    let replication = match replication.transpose() {
        Ok(replication) => replication,
        Err(fault) => return warn!(target: "fleet", %fault, "<replication>: membership off"),
    };
    core.join(&fleet.seeds, now());
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX + 1];
    let mut shown: Option<Vec<(SocketAddr, u64, MemberState)>> = None;
    let mut dropped_shown = 0;
    let mut next_view = now();
    let mut shown_at = 0;
    let mut sharing = Sharing { replication, ..Sharing::default() };
    loop {
        sharing.play(&server, &mut core, now()).await;
        send(&socket, &mut core).await;
        for ViewChange { at, change } in core.take_changes() {
            say(&change, at);
        }
        if now() >= next_view {
            next_view = now() + fleet.settings.probe_period;
            let view = core.observe_view(now());
            let states: Vec<(SocketAddr, u64, MemberState)> =
                view.iter().map(|s| (s.addr, s.incarnation, s.state)).collect();
            // Shown again after an announce period even where nothing changed: the log drops a line that
            // finds the pipe full, and a reader must not be left with a view that no longer stands.
            let stale = now() >= shown_at + fleet.settings.announce_period;
            if stale || shown.as_ref() != Some(&states) || core.counts().dropped_all() != dropped_shown {
                show(&core, &view, &runs(&server, &view), now());
                shown_at = now();
                (shown, dropped_shown) = (Some(states), core.counts().dropped_all());
            }
        }
        let due = core.poll_timeout().unwrap_or(u64::MAX).min(next_view).min(sharing.due);
        let step = future::or(
            async {
                match socket.recv_from(&mut buffer).await {
                    Ok((count, from)) => Step::Datagram(count, from),
                    Err(error) => Step::Broken(error),
                }
            },
            future::or(
                async {
                    Timer::at(server.clock.instant(due)).await;
                    Step::Due
                },
                async {
                    let _ = server.left.recv().await;
                    Step::Leave
                },
            ),
        )
        .await;
        match step {
            Step::Datagram(count, from) => {
                // One byte more than UDP carries is read, so that an oversized datagram is seen as such.
                let _ = core.handle_datagram(from, &buffer[..count], now());
                core.handle_timeout(now());
            }
            Step::Due => core.handle_timeout(now()),
            Step::Leave => {
                core.leave(now());
                send(&socket, &mut core).await;
                return info!(target: "fleet", member = fleet.name, "left the fleet");
            }
            Step::Broken(error) => {
                // An ICMP refusal of an earlier datagram shows here on some systems; the socket stays.
                tracing::debug!(target: "fleet", %error, "receive");
            }
        }
    }
}

/// The part of the task that carries shared state between its core and the peers.
#[derive(Default)]
struct Sharing {
    replication: Option<Replication>,
    directory: Directory,
    due: u64,
    shown: crate::fleet::shared_state::Shown,
    shown_at: u64,
    /// When this server last told another what it and others run.
    told_at: u64,
}

const TOLD_EVERY: u64 = 200_000_000;

/// How often what is shared is shown at least.
const SHOWN_EVERY: u64 = 500_000_000;

impl Sharing {
    async fn play(&mut self, server: &Rc<Server>, core: &mut Membership, now: u64) {
        let Some(shared) = &server.shared else {
            self.due = u64::MAX;
            return;
        };
        let came = core.take_shared_state();
        let answers = !came.is_empty();
        shared.heard(came);
        for (from, topic, body) in shared.others() {
            if let Some(replication) = self.replication.as_mut().filter(|_| topic == REPLICATION) {
                replication.receive(&from.name, &body, now);
            }
            if topic == VERSION_ANNOUNCEMENTS
                && let Some((rollout, words)) = server.rollout.as_ref().zip(wire::decode(&body))
            {
                rollout.versions.borrow_mut().merge(words);
            }
            let order = (topic == ROLLOUT_ORDERS).then(|| wire::decode::<wire::Order>(&body)).flatten();
            let Some((rollout, order)) = server.rollout.as_ref().zip(order) else { continue };
            if let Some(report) = rollout::handle_order(server, rollout, order) {
                shared.send_other(&from.name, ROLLOUT_REPORTS, wire::encode(&report));
            }
        }
        if now < self.due && !answers {
            return;
        }
        self.directory.refresh(core, now);
        let directory = &self.directory;
        if let Some(replication) = &mut self.replication {
            replication.play(server, shared, directory, now);
        }
        let replication_due = self.replication.as_ref().map_or(u64::MAX, |replication| replication.due(now));
        self.due = (now + shared.due_in()).min(replication_due);
        let alive = directory.names();
        if let Some(rollout) = server.rollout.as_ref().filter(|_| now >= self.told_at + TOLD_EVERY) {
            self.told_at = now;
            let mut versions = rollout.versions.borrow_mut();
            versions.retain(|name| directory.address(name).is_some());
            if !alive.is_empty() {
                // Whoever comes next in turn, from a place that differs by server.
                let at = (now / TOLD_EVERY).wrapping_add(versions.own().incarnation) as usize % alive.len();
                shared.send_other(
                    &alive[at],
                    VERSION_ANNOUNCEMENTS,
                    wire::encode(&versions.announcement(now)),
                );
            }
        }
        let (out, again) = shared.advance(alive, &server.counters);
        for (name, body) in out {
            if let Some(to) = directory.address(&name) {
                core.send_shared_state(to, &body, now);
            }
        }
        if again {
            // A full queue means that the module will look at everything anyway.
            let _ = server.events.try_send(crate::event::Event::DownstreamCapacity);
        }
        let shown = shared.shown();
        let leases = |s: &crate::fleet::shared_state::Shown| (s.floor, s.leased, s.gives, s.ejected.clone());
        if leases(&shown) != leases(&self.shown) || now >= self.shown_at + SHOWN_EVERY {
            let (totals, tally) = shared.totals();
            let (routed, services) = shared.tier();
            let ejected = serde_json::to_string(&shown.ejected).unwrap_or_default();
            info!(target: "fleet", floor = shown.floor, leased = shown.leased, uses = shown.uses,
                gives = shown.gives, outstanding = shown.outstanding, ejected, services, routed, totals,
                tally, "shared");
            (self.shown, self.shown_at) = (shown, now);
        }
    }
}

async fn send(socket: &Async<UdpSocket>, core: &mut Membership) {
    for Transmit { to, datagram } in core.take_transmits() {
        if let Err(error) = socket.send_to(&datagram, to).await {
            tracing::debug!(target: "fleet", %to, %error, "send");
        }
    }
}

fn say(change: &Change, at: u64) {
    let (what, id) = match change {
        Change::Up(id) => ("up", Some(id)),
        Change::Down(id) => ("down", Some(id)),
        Change::Renamed { new: id, .. } => ("renamed", Some(id)),
        Change::Rejoined(id) => ("rejoined", Some(id)),
        Change::Active => ("active", None),
        Change::Idle => ("idle", None),
    };
    match id {
        Some(id) => info!(target: "fleet", change = what, member = id.name, addr = %id.addr,
            incarnation = id.incarnation, at, "member"),
        None => info!(target: "fleet", change = what, at, "this server"),
    }
}

/// The version and the hash of the settings of this server and each of the view, by name, as far as heard;
/// empty where the options name no `<rollout>`.
fn runs(server: &Server, view: &[MemberStatus]) -> String {
    let Some(rollout) = &server.rollout else { return String::new() };
    let versions = rollout.versions.borrow();
    let names = view.iter().map(|seen| seen.name.as_str()).chain([versions.own().name.as_str()]);
    let known = names.filter_map(|name| versions.get(name));
    let runs = known.map(|entry| (&entry.name, (&entry.version, format!("{:016x}", entry.settings_hash))));
    serde_json::to_string(&runs.collect::<std::collections::BTreeMap<_, _>>()).unwrap_or_default()
}

/// One line for the whole view: each member with its state and since when, the drops by reason.
fn show(core: &Membership, view: &[MemberStatus], runs: &str, now: u64) {
    let count = |state| view.iter().filter(|s| s.state == state).count();
    let members = serde_json::to_string(view).unwrap_or_default();
    let counts = serde_json::to_string(core.counts()).unwrap_or_default();
    let settled_ms = now.saturating_sub(core.last_change()) / 1_000_000;
    info!(target: "fleet", alive = count(MemberState::Alive), suspect = count(MemberState::Suspect),
        down = count(MemberState::Down), settled_ms, members, runs, counts, "view");
}
