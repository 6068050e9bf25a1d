//! This server's part in a change by stages: it goes by the change or by its own settings as the coordinator
//! orders, and reports what it does. What it goes by stands in a file beside its options before it is
//! reported, so that it is the same after a crash.

use crate::fleet::interval_report::Record;
use crate::lifecycle::configuration::Candidate;
use crate::lifecycle::configuration::hash_of;
use crate::lifecycle::files;
use crate::lifecycle::reload;
use crate::server::Server;
use anyhow::Context;
use async_channel::Sender;
use meadowstream_rollout::plan::ChangeKind;
use meadowstream_rollout::version_table::{ServerVersion, VersionTable};
use meadowstream_rollout::wire::{Order, Report};
use meadowstream_shared_state::ServerId;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tracing::{info, warn};

/// Servers of which is remembered what they run.
const SERVER_VERSIONS_MAX: usize = 4096;

pub struct Rollout {
    pub record: Record,
    candidate: Candidate,
    /// What each server of the fleet runs.
    pub versions: RefCell<VersionTable>,
    /// Not known until [`know_program`] has read it; 0 where no change of the program may come.
    program: Cell<Option<OwnProgram>>,
    /// Told once it is to end for another program to be started.
    leave: Sender<()>,
    /// For how long a plan that is under way here is not given up for another.
    lease: u64,
    last: RefCell<Last>,
    /// What the server goes by, as it stands on disk.
    stands: Cell<Option<u64>>,
    refused: RefCell<Option<String>>,
    changing: Cell<bool>,
    intervals: Cell<u64>,
}

/// Hash of this program's own file, and whether it is one that a change named.
#[derive(Clone, Copy, Debug)]
struct OwnProgram {
    hash: u64,
    adopted: bool,
}

/// The last order that was taken.
#[derive(Default)]
struct Last {
    plan: String,
    life: u64,
    number: u64,
    at: u64,
}

impl Rollout {
    pub fn new(
        candidate: Candidate,
        me: ServerId,
        lease: u64,
        operations: &[String],
        leave: Sender<()>,
    ) -> Result<Rollout, String> {
        let may_change = candidate.program.is_some();
        if may_change {
            let own = std::env::current_exe().and_then(std::fs::File::open);
            own.map_err(|error| format!("cannot read this program: {error}"))?;
        }
        let program = (!may_change).then_some(OwnProgram { hash: 0, adopted: false });
        let settings = candidate.adopted.unwrap_or(candidate.own);
        let version = env!("CARGO_PKG_VERSION").to_string();
        let (name, incarnation) = (me.name, me.incarnation);
        let own = ServerVersion { name, incarnation, sequence: 0, version, settings_hash: settings };
        Ok(Rollout {
            record: Record::new(operations)?,
            versions: RefCell::new(VersionTable::new(own, SERVER_VERSIONS_MAX)),
            program: Cell::new(program),
            leave,
            stands: Cell::new(candidate.adopted),
            candidate,
            lease,
            last: RefCell::default(),
            refused: RefCell::default(),
            changing: Cell::new(false),
            intervals: Cell::new(0),
        })
    }
}

/// Reads the program's own file, where a change of it may come, beside the tasks that serve: it is large, and
/// read before these a restart left callers without an answer for as long.
pub async fn know_program(server: Rc<Server>) {
    let Some(rollout) = server.rollout.as_ref().filter(|rollout| rollout.program.get().is_none()) else {
        return;
    };
    let mark = rollout.candidate.program_mark.clone();
    let read = blocking::unblock(move || -> std::io::Result<OwnProgram> {
        let hash = hash_of(&std::env::current_exe().and_then(std::fs::read)?);
        let marked = std::fs::read_to_string(mark).unwrap_or_default();
        Ok(OwnProgram { hash, adopted: marked.starts_with(&format!("{hash:016x} ")) })
    });
    match read.await {
        Ok(program) => rollout.program.set(Some(program)),
        Err(error) => warn!(target: "fleet", %error, "cannot read this program: no order on it is answered"),
    }
}

/// An order, as an authenticated member gave it. `None` where there is nothing to answer: it is stale, the
/// same once more, or on a program that has not been read yet, which is asked again.
pub fn obey(server: &Rc<Server>, rollout: &Rollout, order: Order) -> Option<Report> {
    let now = server.clock.now();
    let mut last = rollout.last.borrow_mut();
    if (order.incarnation, order.sequence) <= (last.life, last.number) {
        return None;
    }
    let program = match order.kind {
        ChangeKind::Settings => None,
        ChangeKind::Program => Some(rollout.program.get()?),
    };
    let under_way = rollout.stands.get().is_some() && now < last.at + rollout.lease;
    let report = |refused| {
        let stands = rollout.stands.get();
        let (settings, adopted) = match program {
            None => (stands.unwrap_or(rollout.candidate.own), stands.is_some()),
            Some(program) => (program.hash, program.adopted),
        };
        Report {
            order_sequence: order.sequence,
            version: env!("CARGO_PKG_VERSION").to_string(),
            running_hash: settings,
            adopted,
            refused,
            interval: rollout.intervals.get(),
            classes: Vec::new(),
        }
    };
    if order.plan != last.plan && under_way {
        // Guards against a second coordinator that thinks it holds the lease.
        return Some(report(Some(format!("plan {:?} is under way here", last.plan))));
    }
    if order.plan != last.plan {
        *rollout.refused.borrow_mut() = None;
    }
    *last = Last { plan: order.plan, life: order.incarnation, number: order.sequence, at: now };
    drop(last);
    let (kind, adopt) = (order.kind, order.adopt);
    let does = match program {
        None => adopt == rollout.stands.get(),
        Some(program) => adopt == program.adopted.then_some(program.hash),
    };
    if !does && !rollout.changing.replace(true) {
        let server2 = server.clone();
        let task = async move {
            match kind {
                ChangeKind::Settings => change(server2, adopt).await,
                ChangeKind::Program => change_program(server2, adopt).await,
            }
        };
        server.executor.spawn(task).detach();
    }
    rollout.intervals.set(rollout.intervals.get() + 1);
    let refused = rollout.refused.borrow().clone();
    // One datagram holds either: a reason is told without figures.
    let classes = if refused.is_some() { Vec::new() } else { rollout.record.take() };
    Some(Report { classes, ..report(refused) })
}

/// Goes over to the change, or back. Back, the file goes first: a crash between both leaves a server that
/// starts with its own settings, or one that still says that it goes by the change.
async fn change(server: Rc<Server>, adopt: Option<u64>) {
    let Some(rollout) = &server.rollout else { return };
    let mark = rollout.candidate.mark.clone();
    let done = match adopt {
        None => match blocking::unblock(move || files::remove(&mark)).await {
            Ok(()) => reload::adopt(&server, None).await,
            Err(error) => Err(anyhow::Error::from(error).context("cannot take back the mark on disk")),
        },
        Some(hash) => match reload::adopt(&server, Some(hash)).await {
            Ok(()) => {
                let written =
                    blocking::unblock(move || files::write(&mark, format!("{hash:016x}\n").as_bytes())).await;
                written.map_err(|error| anyhow::Error::from(error).context("cannot put the mark on disk"))
            }
            Err(error) => Err(error),
        },
    };
    match done {
        Ok(()) => {
            rollout.stands.set(adopt);
            *rollout.refused.borrow_mut() = None;
            let settings = adopt.unwrap_or(rollout.candidate.own);
            rollout.versions.borrow_mut().set_settings(settings);
            let settings = format!("{settings:016x}");
            info!(target: "fleet", adopted = adopt.is_some(), settings, "settings");
            // What was done by other settings is not told as done by these.
            rollout.record.take();
        }
        Err(error) => {
            let why: String = format!("{error:#}").chars().take(200).collect();
            warn!(target: "fleet", why, "an order of a rollout was refused");
            *rollout.refused.borrow_mut() = Some(why);
        }
    }
    rollout.changing.set(false);
}

/// Names the program to be started next in the mark, or takes the mark back, and has the server leave as at a
/// SIGTERM. Nothing more is done here: the next life reports what it is.
async fn change_program(server: Rc<Server>, adopt: Option<u64>) {
    let Some(rollout) = &server.rollout else { return };
    let (mark, program) = (rollout.candidate.program_mark.clone(), rollout.candidate.program.clone());
    let done = blocking::unblock(move || -> anyhow::Result<()> {
        let Some(hash) = adopt else { return Ok(files::remove(&mark)?) };
        let program = program.context("<rollout>: program is not in the options")?;
        let shown = program.display();
        let found = hash_of(&std::fs::read(&program).with_context(|| format!("cannot read {shown}"))?);
        anyhow::ensure!(found == hash, "{shown} has the hash {found:016x}, not {hash:016x}");
        Ok(files::write(&mark, format!("{hash:016x} {shown}\n").as_bytes())?)
    })
    .await;
    match done {
        Ok(()) => {
            info!(target: "fleet", program = adopt.is_some(), "ends for another program");
            let stop = server.configuration.stop_ms * 1_000_000;
            server.stop_at.set(Some(server.clock.now() + stop));
            let _ = rollout.leave.try_send(());
        }
        Err(error) => {
            let why: String = format!("{error:#}").chars().take(200).collect();
            warn!(target: "fleet", why, "an order of a rollout was refused");
            *rollout.refused.borrow_mut() = Some(why);
            rollout.changing.set(false);
        }
    }
}
