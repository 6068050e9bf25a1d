//! `meadowstream control`: runs a control machine. A control machine is a member of the fleet, but serves no
//! callers. The machine stores one of the replicas of the replicated configuration, and publishes new
//! revisions while it holds the publishing lease.

use crate::configuration::fleet;
use crate::configuration::fleet::FleetSettings;
use crate::configuration::leases::PUBLISHING;
use crate::configuration::persisted_revision;
use crate::fleet::joined::NonServingMember;
use crate::fleet::replication::replication_settings;
use crate::lifecycle::files;
use anyhow::{Context, Result, anyhow, ensure};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use meadowstream_configuration::Options;
use meadowstream_configuration::Replication as ReplicationOptions;
use meadowstream_replication::member::Member;
use meadowstream_replication::persistence;
use meadowstream_shared_state::REPLICATION;
use std::path::{Path, PathBuf};
use tracing::{info, warn};

/// Delay, in nanoseconds, before a control machine tries again to write its copy of the replicated
/// configuration to disk, after a write has failed. During this time, the control machine does not request
/// the publishing lease.
const WRITE_RETRY_AFTER_NS: u64 = 1_000_000_000;
/// Maximum time, in nanoseconds, between two checks of whether this process holds the publishing lease.
const STEP_MAX_NS: u64 = 100_000_000;
/// Maximum time, in nanoseconds, between two log lines about the status of the control machine. A changed
/// status is logged at once.
const LOG_EVERY_NS: u64 = 10_000_000_000;

/// Settings that a control machine and the `publish` command read from an options file.
pub struct ControlSettings {
    /// Settings of the process as a member of the fleet.
    pub fleet: FleetSettings,
    /// The `<replication>` element.
    pub replication: ReplicationOptions,
    /// Path of the file in which a control machine stores its copy of the replicated configuration.
    pub file: PathBuf,
}

/// Reads the settings from the options file at `path`. If `name` is given, this name replaces the member name
/// in the options.
pub fn read_settings(path: &Path, name: Option<&str>) -> Result<ControlSettings> {
    let options_path = path.display();
    let options = Options::load(path)?;
    let replication =
        options.replication.clone().with_context(|| format!("{options_path}: <replication> is missing"))?;
    let membership =
        options.membership.as_ref().with_context(|| format!("{options_path}: <membership> is missing"))?;
    let mut fleet = fleet::fleet_settings(membership, name.unwrap_or(""), path)?;
    if let Some(name) = name {
        fleet.name = name.to_string();
    }
    ensure!(!fleet.name.is_empty(), "{options_path}: <membership>: name is missing");
    let replication_only = Options { shared_state: None, rollout: None, ..options };
    fleet.shared = fleet::shared_state_settings(&replication_only, fleet.settings.packet_max)?;
    replication_settings(&replication)
        .check()
        .map_err(|fault| anyhow!("{options_path}: <replication>: {fault}"))?;
    let file = path.parent().unwrap_or(Path::new(".")).join(&replication.file);
    Ok(ControlSettings { fleet, replication, file })
}

/// Runs a control machine until the process receives SIGTERM or SIGINT.
pub fn run(options: &Path) -> Result<()> {
    let settings = read_settings(options, None)?;
    let is_replica = settings.replication.replicas.contains(&settings.fleet.name);
    ensure!(
        is_replica,
        "<replication>: {:?} is not a <replica>; run servers with `serve`",
        settings.fleet.name
    );
    async_io::block_on(control(settings))
}

/// Status of a control machine. The status is logged when it changes, and otherwise at regular intervals.
#[derive(Default, PartialEq, Eq)]
struct ControlStatus {
    is_leader: bool,
    number: u64,
    lagging: usize,
}

struct Control {
    member: Member,
    file: PathBuf,
    /// Earliest time, in Unix nanoseconds, of the next write to disk. Set after a failed write. The control
    /// machine writes its copy of the replicated configuration to disk.
    write_after: u64,
    logged: ControlStatus,
    logged_at: u64,
}

impl Control {
    /// Writes this machine's copy of the replicated configuration to disk if the copy has unsaved changes.
    /// Messages that depend on the unsaved changes are sent only after the write.
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
        // On a control machine, a committed revision takes effect without further steps, because the machine
        // serves no callers.
        if let Some(snapshot) = self.member.next_to_apply() {
            self.member.on_applied(snapshot.number(), now);
        }
    }

    fn log(&mut self, now: u64) {
        let lagging = self.member.lagging();
        let publishes = self.member.is_leader();
        let number = self.member.revision().number();
        let status = ControlStatus { is_leader: publishes, number, lagging: lagging.len() };
        if status == self.logged && now < self.logged_at + LOG_EVERY_NS {
            return;
        }
        let members = self.member.members();
        let describe = |member: &meadowstream_replication::progress::LaggingMember| {
            let behind_ms = now.saturating_sub(member.since) / 1_000_000;
            format!("{} applies {}, {behind_ms} ms behind", member.name, member.applied.unwrap_or(0))
        };
        let described: Vec<String> = lagging.iter().take(8).map(describe).collect();
        let counts = serde_json::to_string(&self.member.counts).unwrap_or_default();
        let waits_for = described.join("; ");
        let waiting = lagging.len();
        info!(target: "fleet", publishes, number, members, waiting, waits_for, counts, "control");
        (self.logged, self.logged_at) = (status, now);
    }
}

async fn control(ControlSettings { fleet, replication, file }: ControlSettings) -> Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    // The start fails if the stored copy of the replicated configuration cannot be read. An empty copy must
    // not replace the stored copy, because other members may rely on entries that this control machine has
    // acknowledged.
    let disk = persisted_revision::read(&file).context("<replication>: file")?;
    let mut fleet_member = NonServingMember::join(&fleet)?;
    let (incarnation, name) = (fleet_member.incarnation, fleet.name.clone());
    let member = Member::new(&name, replication_settings(&replication), incarnation, incarnation, disk);
    let member = member.map_err(|fault| anyhow!("<replication>: {fault}"))?;
    let mut control =
        Control { member, file, write_after: 0, logged: ControlStatus::default(), logged_at: 0 };
    loop {
        let now = fleet_member.now();
        let may_write = now >= control.write_after;
        let may_publish = fleet_member.request_lease(PUBLISHING, may_write);
        control.member.set_holds_lease(may_publish);
        control.member.advance(now, fleet_member.directory.names());
        control.save(now);
        control.log(now);
        for outgoing in control.member.take_outgoing() {
            fleet_member.send(&outgoing.to, REPLICATION, outgoing.body);
        }
        let wake = control.member.next_due().clamp(now + 1_000_000, now + STEP_MAX_NS);
        let messages = future::or(async { Some(fleet_member.step(wake).await) }, async {
            signals.next().await;
            None
        });
        let Some(messages) = messages.await else { break };
        let now = fleet_member.now();
        for message in messages.into_iter().filter(|message| message.topic == REPLICATION) {
            control.member.receive(now, &message.from.name, &message.body);
        }
    }
    fleet_member.leave().await;
    info!(target: "fleet", member = name, "left the fleet");
    Ok(())
}
