//! The client of replicated configuration on a server, driven by the membership task. A revision takes effect
//! after it was checked and written to disk on the blocking pool. The client reports to the publisher whether
//! the revision is in force or was rejected.

use crate::error::with_causes;
use crate::fleet::shared_state::LocalSharedState;
use crate::lifecycle::reload;
use crate::server::Server;
use async_channel::{Receiver, Sender};
use meadowstream_configuration::Replication as ReplicationOptions;
use meadowstream_membership::Nanos;
use meadowstream_membership::directory::Directory;
use meadowstream_replication::member::{Member, Settings};
use meadowstream_replication::message::{Location, Rejection};
use meadowstream_replication::persistence::PersistedState;
use meadowstream_replication::snapshot::Snapshot;
use meadowstream_shared_state::REPLICATION;
use std::path::PathBuf;
use std::rc::Rc;
use tracing::{info, warn};

/// Interval, in nanoseconds, between two checks of whether a revision has been applied or rejected.
const OUTCOME_POLL_INTERVAL_NS: Nanos = 10_000_000;
/// Maximum time, in nanoseconds, between two log lines about the status of replicated configuration. A
/// changed status is logged at once.
const LOG_EVERY_NS: Nanos = 10_000_000_000;

/// Outcome of applying a revision of the replicated configuration.
struct Outcome {
    /// Number of the revision.
    number: u64,
    /// Reason why the revision was rejected; `None` if the server now uses the revision.
    rejected: Option<String>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ReplicationStatus {
    in_force: u64,
    held: u64,
    refused: Option<Rejection>,
    stale: bool,
}

/// Reason why a server cannot take part in replicated configuration.
#[derive(Debug, thiserror::Error)]
pub enum ReplicationError {
    /// The settings name this server as a replica of the log of replicated configuration, but only control
    /// machines store this log.
    #[error("replica: {0:?} is a server; only `meadowstream control` stores the log")]
    ServingReplica(String),
    /// A setting is out of range.
    #[error(transparent)]
    Settings(#[from] meadowstream_replication::member::SettingsError),
}

/// The client of replicated configuration on this server. Receives new revisions and makes them the current
/// configuration.
pub struct Replication {
    member: Member,
    file: PathBuf,
    stale_after: Nanos,
    outcomes: (Sender<Outcome>, Receiver<Outcome>),
    is_checking: bool,
    logged: ReplicationStatus,
    logged_at: Nanos,
}

/// Converts the `<replication>` element of the options into the settings of the replication protocol.
pub fn replication_settings(options: &ReplicationOptions) -> Settings {
    let location = Location { region: options.region.clone(), zone: options.zone.clone() };
    Settings {
        pull_period: options.pull_period,
        bytes_per_second: options.bytes_a_second,
        ..Settings::new(location, options.replicas.clone())
    }
}

impl Replication {
    /// Creates the client of replicated configuration. If the server's configuration already includes a
    /// revision, the client starts from this revision. Returns an error if a setting is invalid.
    pub fn new(
        server: &Server,
        options: &ReplicationOptions,
        name: &str,
        file: PathBuf,
        now: Nanos,
    ) -> Result<Replication, ReplicationError> {
        if options.replicas.iter().any(|replica| replica == name) {
            return Err(ReplicationError::ServingReplica(name.to_string()));
        }
        let in_force = server.configuration.replicated.borrow().clone();
        let disk = in_force.map(|committed| PersistedState { committed, ..PersistedState::default() });
        let mut member =
            Member::new(name, replication_settings(options), server.configuration.seed ^ now, now, disk)?;
        if let Some(in_force) = member.next_to_apply() {
            member.on_applied(in_force.number(), now);
        }
        Ok(Replication {
            member,
            file,
            stale_after: options.stale_after,
            outcomes: async_channel::unbounded(),
            is_checking: false,
            logged: ReplicationStatus::default(),
            logged_at: 0,
        })
    }

    /// Handles a message about replicated configuration from another member.
    pub fn receive(&mut self, from: &str, body: &[u8], now: Nanos) {
        self.member.receive(now, from, body);
    }

    /// Performs the work that is due. Handles the outcomes of checked revisions, advances the replication
    /// protocol, starts to apply the next revision, and sends pending messages.
    pub fn advance(
        &mut self,
        server: &Rc<Server>,
        shared: &LocalSharedState,
        directory: &Directory,
        now: Nanos,
    ) {
        while let Ok(Outcome { number, rejected }) = self.outcomes.1.try_recv() {
            self.is_checking = false;
            match rejected {
                None => self.member.on_applied(number, now),
                Some(why) => {
                    warn!(target: "fleet", number, why, "a revision of the configuration was refused");
                    self.member.on_rejected(number, &why, now);
                }
            }
        }
        if now >= self.member.next_due() {
            self.member.advance(now, directory.names());
        }
        if let Some(snapshot) = self.member.next_to_apply() {
            self.is_checking = true;
            let saved = self.member.state_to_persist(&snapshot);
            let task =
                put_in_force(server.clone(), snapshot, saved, self.file.clone(), self.outcomes.0.clone());
            server.executor.spawn(task).detach();
        }
        for outgoing in self.member.take_outgoing() {
            shared.send_other(&outgoing.to, REPLICATION, outgoing.body);
        }
        self.log(now);
    }

    /// Returns the time at which [`Replication::advance`] must be called next if no message arrives, in Unix
    /// nanoseconds.
    pub fn due(&self, now: Nanos) -> Nanos {
        let outcome = if self.is_checking { now + OUTCOME_POLL_INTERVAL_NS } else { Nanos::MAX };
        self.member.next_due().min(outcome)
    }

    fn log(&mut self, now: Nanos) {
        let age = self.member.age(now);
        let status = ReplicationStatus {
            in_force: self.member.applied(),
            held: self.member.revision().number(),
            refused: self.member.rejected().cloned(),
            stale: age.is_none_or(|age| age > self.stale_after),
        };
        if status == self.logged && now < self.logged_at + LOG_EVERY_NS {
            return;
        }
        let age_ms = age.map_or(-1, |age| (age / 1_000_000) as i64);
        let ReplicationStatus { in_force, held, refused, stale } = &status;
        let refused = refused
            .as_ref()
            .map_or(String::new(), |rejection| format!("{}: {}", rejection.number, rejection.reason));
        let publisher = self.member.leader().unwrap_or("");
        let fetched = self.member.transferred_pairs().unwrap_or(0);
        let counts = serde_json::to_string(&self.member.counts).unwrap_or_default();
        info!(target: "fleet", in_force, held, age_ms, stale, publisher, refused, fetched, counts,
            "replication");
        if *stale && (self.logged_at == 0 || now >= self.logged_at + LOG_EVERY_NS || !self.logged.stale) {
            warn!(target: "fleet", in_force, age_ms,
                "no word of the configuration's publisher: goes by the last good");
        }
        (self.logged, self.logged_at) = (status, now);
    }
}

/// Checks a revision of the replicated configuration, writes the revision to disk and makes it the current
/// configuration. Sends the outcome to the client of replicated configuration.
async fn put_in_force(
    server: Rc<Server>,
    snapshot: Snapshot,
    saved: PersistedState,
    file: PathBuf,
    outcomes: Sender<Outcome>,
) {
    let number = snapshot.number();
    let outcome = reload::apply_replicated(&server, snapshot, saved, file).await;
    let rejected = outcome.err().map(|error| with_causes(&error));
    let _ = outcomes.send(Outcome { number, rejected }).await;
}
