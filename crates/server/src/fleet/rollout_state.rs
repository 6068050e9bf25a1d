//! Rollout state of this server: the adopted change, the last order, and the contents of reports.

use crate::configuration::candidate::Candidate;
use crate::fleet::interval_report::{AnswerRecorder, HistogramError};
use async_channel::Sender;
use meadowstream_rollout::version_table::{ServerVersion, VersionTable};
use meadowstream_rollout::wire::{Order, Report};
use meadowstream_shared_state::ServerId;
use std::cell::{Cell, RefCell};

/// Maximum number of servers in the version table.
const SERVER_VERSIONS_MAX: usize = 4096;

/// Error that keeps the server from taking part in rollouts.
#[derive(Debug, thiserror::Error)]
pub enum RolloutError {
    /// A rollout may change the program, but the file of the running program cannot be read.
    #[error("cannot read this program: {0}")]
    ReadProgram(std::io::Error),
    /// The recorder of answers cannot be created.
    #[error(transparent)]
    Record(#[from] HistogramError),
}

/// Identity of the running program.
#[derive(Clone, Copy, Debug)]
pub struct OwnProgram {
    /// Hash of the program's file.
    pub hash: u64,
    /// Whether the program mark, which a rollout writes, names this program.
    pub adopted: bool,
}

/// The last order that this server accepted.
#[derive(Default)]
pub struct LastOrder {
    /// Name of the order's plan.
    pub plan: String,
    /// Incarnation of the coordinator.
    pub incarnation: u64,
    /// Sequence number of the order within the coordinator's incarnation.
    pub sequence: u64,
    /// Time at which the order was accepted, in Unix nanoseconds.
    pub at: u64,
}

/// Rollout state of this server.
pub struct Rollout {
    /// Records the answers since the last report.
    pub recorder: AnswerRecorder,
    /// Files of the settings and the program that a rollout may have this server adopt.
    pub candidate: Candidate,
    /// Program version and settings hash of each known server.
    pub versions: RefCell<VersionTable>,
    /// The running program; `None` until the program's file has been read. If no rollout may change the
    /// program, its hash is 0.
    pub program: Cell<Option<OwnProgram>>,
    /// Signalled when the server must exit for another program to be started.
    pub leave: Sender<()>,
    /// Time after the last order of a plan during which orders of other plans are refused, in nanoseconds.
    pub lease: u64,
    /// The last order that was accepted.
    pub last_order: RefCell<LastOrder>,
    /// Hash of the adopted settings, as marked on disk; `None` if the server runs its own settings.
    pub adopted: Cell<Option<u64>>,
    /// Reason for refusing the last change, if it was refused.
    pub refused: RefCell<Option<String>>,
    /// Whether a change is in progress.
    pub is_changing: Cell<bool>,
    /// Number of the last reported interval.
    pub intervals: Cell<u64>,
}

impl Rollout {
    /// Creates the state at the start of the server. `lease` is in nanoseconds.
    pub fn new(
        candidate: Candidate,
        me: ServerId,
        lease: u64,
        operations: &[String],
        leave: Sender<()>,
    ) -> Result<Rollout, RolloutError> {
        let may_change_program = candidate.program.is_some();
        if may_change_program {
            let program_file = std::env::current_exe().and_then(std::fs::File::open);
            program_file.map_err(RolloutError::ReadProgram)?;
        }
        let program = (!may_change_program).then_some(OwnProgram { hash: 0, adopted: false });
        let settings_hash = candidate.adopted.unwrap_or(candidate.own_hash);
        let version = env!("CARGO_PKG_VERSION").to_string();
        let (name, incarnation) = (me.name, me.incarnation);
        let own = ServerVersion { name, incarnation, sequence: 0, version, settings_hash };
        Ok(Rollout {
            recorder: AnswerRecorder::new(operations)?,
            versions: RefCell::new(VersionTable::new(own, SERVER_VERSIONS_MAX)),
            program: Cell::new(program),
            leave,
            adopted: Cell::new(candidate.adopted),
            candidate,
            lease,
            last_order: RefCell::default(),
            refused: RefCell::default(),
            is_changing: Cell::new(false),
            intervals: Cell::new(0),
        })
    }

    /// Returns whether this order, or one that was sent after it, has already been accepted.
    pub fn is_stale(&self, order: &Order) -> bool {
        let last = self.last_order.borrow();
        (order.incarnation, order.sequence) <= (last.incarnation, last.sequence)
    }

    /// Returns the plan in progress that the order would interrupt, if any. A second coordinator can send
    /// such an order if it wrongly believes that it holds the lease.
    pub fn plan_under_way(&self, order: &Order, now: u64) -> Option<String> {
        let last = self.last_order.borrow();
        let under_way = self.adopted.get().is_some() && now < last.at + self.lease;
        (under_way && order.plan != last.plan).then(|| last.plan.clone())
    }

    /// Builds the report that answers an order; the caller adds the recorded answers. `program` is set for an
    /// order to change the program.
    pub fn report(&self, order: &Order, program: Option<OwnProgram>, refused: Option<String>) -> Report {
        let settings = self.adopted.get();
        let (running_hash, adopted) = match program {
            None => (settings.unwrap_or(self.candidate.own_hash), settings.is_some()),
            Some(program) => (program.hash, program.adopted),
        };
        Report {
            order_sequence: order.sequence,
            version: env!("CARGO_PKG_VERSION").to_string(),
            running_hash,
            adopted,
            refused,
            interval: self.intervals.get(),
            classes: Vec::new(),
        }
    }
}
