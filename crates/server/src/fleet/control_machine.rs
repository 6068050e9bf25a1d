//! `meadowstream control`: a machine set aside for control. It is a member of the fleet that serves nothing,
//! keeps the log of configuration with the other control machines, and publishes while it holds the lease.

use crate::configuration::fleet;
use crate::configuration::fleet::FleetSettings;
use crate::configuration::leases::PUBLISHING;
use crate::configuration::persisted_revision;
use crate::fleet::joined::NonServingMember;
use crate::fleet::replication::settings;
use crate::lifecycle::files;
use anyhow::{Context, Result, anyhow, ensure};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use meadowstream_configuration::Options;
use meadowstream_configuration::Replication as Given;
use meadowstream_replication::member::Member;
use meadowstream_replication::persistence;
use meadowstream_shared_state::REPLICATION;
use std::path::{Path, PathBuf};
use tracing::{info, warn};

/// Pause before the next attempt after a failed write; the lease is not wanted until then.
const WRITE_RETRY_AFTER_NS: u64 = 1_000_000_000;
/// Longest wait of one turn, after which the lease is checked.
const TURN_MAX_NS: u64 = 100_000_000;
/// The status is logged this often where nothing changes.
const LOG_EVERY_NS: u64 = 10_000_000_000;

/// What a fleet member that serves nothing reads of an options file.
pub struct Read {
    /// Its part in the fleet.
    pub fleet: FleetSettings,
    /// The replication of configuration.
    pub replication: Given,
    /// Where the log is kept.
    pub file: PathBuf,
}

/// `name` is the member's, where it is not that of the options.
pub fn read(path: &Path, name: Option<&str>) -> Result<Read> {
    let shown = path.display();
    let options = Options::load(path)?;
    let replication =
        options.replication.clone().with_context(|| format!("{shown}: <replication> is missing"))?;
    let own = options.membership.as_ref().with_context(|| format!("{shown}: <membership> is missing"))?;
    let mut fleet = fleet::fleet_settings(own, name.unwrap_or(""), path)?;
    if let Some(name) = name {
        fleet.name = name.to_string();
    }
    ensure!(!fleet.name.is_empty(), "{shown}: <membership>: name is missing");
    let alone = Options { shared_state: None, rollout: None, ..options };
    fleet.shared = fleet::shared_state_settings(&alone, fleet.settings.packet_max)?;
    settings(&replication).check().map_err(|fault| anyhow!("{shown}: <replication>: {fault}"))?;
    let file = path.parent().unwrap_or(Path::new(".")).join(&replication.file);
    Ok(Read { fleet, replication, file })
}

/// Runs until SIGTERM or SIGINT.
pub fn run(options: &Path) -> Result<()> {
    let read = read(options, None)?;
    let is_replica = read.replication.replicas.contains(&read.fleet.name);
    ensure!(is_replica, "<replication>: {:?} is no <replica>: servers take part by `serve`", read.fleet.name);
    async_io::block_on(control(read))
}

/// What the log shows.
#[derive(Default, PartialEq, Eq)]
struct ControlStatus {
    is_leader: bool,
    number: u64,
    lagging: usize,
}

struct Control {
    member: Member,
    file: PathBuf,
    /// Nothing is written before this time, since the last write failed.
    write_after: u64,
    logged: ControlStatus,
    logged_at: u64,
}

impl Control {
    /// Writes what is to be on disk; what rests on it goes out only then.
    fn save(&mut self, now: u64) {
        while let Some(saved) = self.member.unsaved_state().filter(|_| now >= self.write_after) {
            if let Err(error) = files::write(&self.file, &persistence::encode(&saved)) {
                let file = self.file.display();
                warn!(target: "fleet", %error, %file, "cannot write the log: stands back");
                self.write_after = now + WRITE_RETRY_AFTER_NS;
                self.member.on_persist_failed();
                return;
            }
            self.member.on_persisted(&saved, now);
        }
        // Nothing is served here: what is committed is in force at once.
        if let Some(snapshot) = self.member.next_to_apply() {
            self.member.on_applied(snapshot.number(), now);
        }
    }

    fn log(&mut self, now: u64) {
        let waiting = self.member.lagging();
        let publishes = self.member.is_leader();
        let number = self.member.revision().number();
        let status = ControlStatus { is_leader: publishes, number, lagging: waiting.len() };
        if status == self.logged && now < self.logged_at + LOG_EVERY_NS {
            return;
        }
        let members = self.member.members();
        let describe = |one: &meadowstream_replication::progress::LaggingMember| {
            let lacks_ms = now.saturating_sub(one.since) / 1_000_000;
            format!("{} goes by {}, lacks {lacks_ms} ms", one.name, one.applied.unwrap_or(0))
        };
        let some: Vec<String> = waiting.iter().take(8).map(describe).collect();
        let counts = serde_json::to_string(&self.member.counts).unwrap_or_default();
        let waits_for = some.join("; ");
        let waiting = waiting.len();
        info!(target: "fleet", publishes, number, members, waiting, waits_for, counts, "control");
        (self.logged, self.logged_at) = (status, now);
    }
}

async fn control(read: Read) -> Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    // A log that cannot be read must not be begun anew: it may hold what others count on.
    let disk = persisted_revision::read(&read.file).context("<replication>: file")?;
    let mut joined = NonServingMember::join(&read.fleet)?;
    let (incarnation, name) = (joined.incarnation, read.fleet.name.clone());
    let member = Member::new(&name, settings(&read.replication), incarnation, incarnation, disk);
    let member = member.map_err(|fault| anyhow!("<replication>: {fault}"))?;
    let mut control =
        Control { member, file: read.file, write_after: 0, logged: ControlStatus::default(), logged_at: 0 };
    loop {
        let now = joined.now();
        let may_write = now >= control.write_after;
        let may_publish = joined.lease(PUBLISHING, may_write);
        control.member.set_holds_lease(may_publish);
        control.member.advance(now, joined.directory.names());
        control.save(now);
        control.log(now);
        for outgoing in control.member.take_outgoing() {
            joined.send(&outgoing.to, REPLICATION, outgoing.body);
        }
        let wake = control.member.next_due().clamp(now + 1_000_000, now + TURN_MAX_NS);
        let said = future::or(async { Some(joined.turn(wake).await) }, async {
            signals.next().await;
            None
        });
        let Some(said) = said.await else { break };
        let now = joined.now();
        for one in said.into_iter().filter(|one| one.topic == REPLICATION) {
            control.member.receive(now, &one.from.name, &one.body);
        }
    }
    joined.leave().await;
    info!(target: "fleet", member = name, "left the fleet");
    Ok(())
}
