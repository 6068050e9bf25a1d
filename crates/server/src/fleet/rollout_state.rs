//! State of rollouts on this server: the adopted change, the last order, and the data for reports.

use crate::configuration::candidate::Candidate;
use crate::fleet::interval_report::{AnswerRecorder, HistogramError};
use async_channel::Sender;
use meadowstream_rollout::version_table::{ServerVersion, VersionTable};
use meadowstream_rollout::wire::{Order, Report};
use meadowstream_shared_state::ServerId;
use std::cell::{Cell, RefCell};

/// Maximum number of servers whose program version and settings hash this server stores.
const SERVER_VERSIONS_MAX: usize = 4096;

/// Reason why the server cannot take part in rollouts.
#[derive(Debug, thiserror::Error)]
pub enum RolloutError {
    /// Rollouts may replace the program, but the file of the running program cannot be read.
    #[error("cannot read this program: {0}")]
    ReadProgram(std::io::Error),
    /// The recorder of answers, which provides the data for reports, cannot be created.
    #[error(transparent)]
    Record(#[from] HistogramError),
}

/// Identity of the program that this process runs: the hash of the program's file, and whether a rollout has
/// selected the program.
#[derive(Clone, Copy, Debug)]
pub struct OwnProgram {
    /// Hash of the program's file.
    pub hash: u64,
    /// True if a rollout has selected the running program. A selected program is named in the program mark, a
    /// file that the server writes for its supervisor.
    pub adopted: bool,
}

/// The last order of a rollout that this server accepted.
#[derive(Default)]
pub struct LastOrder {
    /// Name of the order's plan.
    pub plan: String,
    /// Incarnation of the coordinator that sent the order.
    pub incarnation: u64,
    /// Sequence number of the order. Each incarnation of the coordinator numbers its orders separately.
    pub sequence: u64,
    /// Time at which this server accepted the order, in Unix nanoseconds.
    pub at: u64,
}

/// Rollout state of this server.
pub struct Rollout {
    /// Recorder of the answers that this server has sent to callers, for the next report to the rollout's
    /// coordinator.
    pub recorder: AnswerRecorder,
    /// Files of the candidate settings and the candidate program, which a rollout may ask this server to
    /// adopt.
    pub candidate: Candidate,
    /// Table with the program version and the settings hash of each known server of the fleet.
    pub versions: RefCell<VersionTable>,
    /// Identity of the running program; `None` until the program's file has been read. The hash is 0 if no
    /// rollout may replace the program.
    pub program: Cell<Option<OwnProgram>>,
    /// Channel to the task that makes the server exit. After the exit, the server's supervisor starts another
    /// program.
    pub leave: Sender<()>,
    /// Duration, in nanoseconds, for which an order reserves this server for the order's plan. During this
    /// time, a server that runs adopted settings refuses orders of other plans.
    pub lease: u64,
    /// The last order that this server accepted.
    pub last_order: RefCell<LastOrder>,
    /// Hash of the candidate settings that the server runs; `None` if the server runs its own settings.
    pub adopted: Cell<Option<u64>>,
    /// Reason why this server refused the last change that a rollout's order requested; `None` if the server
    /// did not refuse this change.
    pub refused: RefCell<Option<String>>,
    /// True while this server changes its settings or its program because of a rollout's order.
    pub is_changing: Cell<bool>,
    /// Number of intervals that this server has reported to coordinators since its start. Each accepted order
    /// ends an interval, and the report contains the interval's number.
    pub intervals: Cell<u64>,
}

impl Rollout {
    /// Creates the rollout state when the server starts. `lease` is the duration, in nanoseconds, for which
    /// an order reserves the server for its plan.
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

    /// Returns whether the server has already accepted this order or a later order. In this case the server
    /// ignores the order.
    pub fn is_stale(&self, order: &Order) -> bool {
        let last = self.last_order.borrow();
        (order.incarnation, order.sequence) <= (last.incarnation, last.sequence)
    }

    /// Returns the name of the plan in progress on this server if the order belongs to a different plan. The
    /// server then refuses the order. Returns `None` if no different plan is in progress.
    ///
    /// A second coordinator may send an order of a different plan if it wrongly believes that it holds the
    /// rollout lease.
    pub fn plan_under_way(&self, order: &Order, now: u64) -> Option<String> {
        let last = self.last_order.borrow();
        let under_way = self.adopted.get().is_some() && now < last.at + self.lease;
        (under_way && order.plan != last.plan).then(|| last.plan.clone())
    }

    /// Builds the report in reply to an order. `program` must be set if the order changes the program, and
    /// must be `None` if the order changes the settings. The caller adds the recorded answers.
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
