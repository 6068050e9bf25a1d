//! What this server has adopted of a rollout, and what its reports say.

use crate::configuration::candidate::Candidate;
use crate::fleet::interval_report::{AnswerRecorder, HistogramError};
use async_channel::Sender;
use meadowstream_rollout::version_table::{ServerVersion, VersionTable};
use meadowstream_rollout::wire::{Order, Report};
use meadowstream_shared_state::ServerId;
use std::cell::{Cell, RefCell};

/// Servers whose versions are remembered.
const SERVER_VERSIONS_MAX: usize = 4096;

/// Why the server cannot take part in rollouts.
#[derive(Debug, thiserror::Error)]
pub enum RolloutError {
    /// A rollout may change the program, and its own file cannot be read.
    #[error("cannot read this program: {0}")]
    ReadProgram(std::io::Error),
    /// The record of answers cannot be made.
    #[error(transparent)]
    Record(#[from] HistogramError),
}

/// Hash of this program's own file, and whether it is one that a rollout named.
#[derive(Clone, Copy, Debug)]
pub struct OwnProgram {
    /// The hash.
    pub hash: u64,
    /// It was named by a rollout.
    pub adopted: bool,
}

/// The last order that was accepted.
#[derive(Default)]
pub struct LastOrder {
    /// The name of its plan.
    pub plan: String,
    /// The incarnation of the coordinator.
    pub incarnation: u64,
    /// Its number within the incarnation.
    pub sequence: u64,
    /// When it was accepted.
    pub at: u64,
}

/// This server's part in rollouts.
pub struct Rollout {
    /// What invocations were answered since the last report.
    pub recorder: AnswerRecorder,
    /// What may be adopted.
    pub candidate: Candidate,
    /// What each server of the fleet runs.
    pub versions: RefCell<VersionTable>,
    /// `None` until its file has been read; a hash of 0 where no rollout changes the program.
    pub program: Cell<Option<OwnProgram>>,
    /// Signalled once the server is to end for another program to be started.
    pub leave: Sender<()>,
    /// A plan that is under way here is not given up for another within this time of its last order.
    pub lease: u64,
    /// The last order that was accepted.
    pub last_order: RefCell<LastOrder>,
    /// Hash of the settings that are adopted, as it stands on disk.
    pub adopted: Cell<Option<u64>>,
    /// Why the last change was refused.
    pub refused: RefCell<Option<String>>,
    /// A change is being made.
    pub is_changing: Cell<bool>,
    /// Number of the last interval that was reported.
    pub intervals: Cell<u64>,
}

impl Rollout {
    /// As found at the start.
    pub fn new(
        candidate: Candidate,
        me: ServerId,
        lease: u64,
        operations: &[String],
        leave: Sender<()>,
    ) -> Result<Rollout, RolloutError> {
        let may_change_program = candidate.program.is_some();
        if may_change_program {
            let own = std::env::current_exe().and_then(std::fs::File::open);
            own.map_err(RolloutError::ReadProgram)?;
        }
        let program = (!may_change_program).then_some(OwnProgram { hash: 0, adopted: false });
        let settings_hash = candidate.adopted.unwrap_or(candidate.own);
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

    /// Whether an order was accepted before, or one that was sent after it.
    pub fn is_stale(&self, order: &Order) -> bool {
        let last = self.last_order.borrow();
        (order.incarnation, order.sequence) <= (last.incarnation, last.sequence)
    }

    /// The plan that the order would interrupt. Another coordinator may believe that it holds the lease.
    pub fn plan_under_way(&self, order: &Order, now: u64) -> Option<String> {
        let last = self.last_order.borrow();
        let under_way = self.adopted.get().is_some() && now < last.at + self.lease;
        (under_way && order.plan != last.plan).then(|| last.plan.clone())
    }

    /// The answer to an order, without figures. `program` is given for an order on the program.
    pub fn report(&self, order: &Order, program: Option<OwnProgram>, refused: Option<String>) -> Report {
        let settings = self.adopted.get();
        let (running_hash, adopted) = match program {
            None => (settings.unwrap_or(self.candidate.own), settings.is_some()),
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
