//! Carries out a rollout's orders on this server: it adopts the settings or the program of the change, or
//! returns to its own, and reports what it runs. What it has adopted is on disk before it is reported, so
//! that a crash does not change it.

use crate::configuration::candidate::hash_of;
use crate::error::with_causes;
use crate::fleet::rollout_state::{LastOrder, OwnProgram, Rollout};
use crate::lifecycle::files;
use crate::lifecycle::reload;
use crate::lifecycle::reload::ReloadError;
use crate::server::Server;
use meadowstream_rollout::plan::ChangeKind;
use meadowstream_rollout::wire::{Order, Report};
use std::io::Error;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tracing::{info, warn};

/// Longest reason of a refusal in a report, in characters.
const REASON_MAX: usize = 200;

/// Why an order of a rollout was refused; the server runs what it ran before.
#[derive(Debug, thiserror::Error)]
enum AdoptError {
    #[error("cannot take back the mark on disk")]
    RemoveMark(#[source] Error),
    #[error("cannot put the mark on disk")]
    WriteMark(#[source] Error),
    #[error(transparent)]
    Reload(#[from] ReloadError),
    #[error("<rollout>: program is not in the options")]
    NoProgram,
    #[error("cannot read {path}")]
    ReadProgram {
        path: PathBuf,
        #[source]
        error: Error,
    },
    #[error("{path} has the hash {found:016x}, not {expected:016x}")]
    OtherProgram { path: PathBuf, found: u64, expected: u64 },
    #[error(transparent)]
    ProgramMark(Error),
}

/// Reads the program's own file where a rollout may change it. It is large, so it is read on the blocking
/// pool after the start, and callers of a restarted server do not wait for it.
pub async fn read_program(server: Rc<Server>) {
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

/// Handles an order that an authenticated member has sent. `None` where there is nothing to answer: it is
/// stale or a duplicate, or on a program that has not been read yet, which the coordinator orders again.
pub fn handle_order(server: &Rc<Server>, rollout: &Rollout, order: Order) -> Option<Report> {
    let now = server.clock.now();
    if rollout.is_stale(&order) {
        return None;
    }
    let program = match order.kind {
        ChangeKind::Settings => None,
        ChangeKind::Program => Some(rollout.program.get()?),
    };
    if let Some(plan) = rollout.plan_under_way(&order, now) {
        let refused = format!("plan {plan:?} is under way here");
        return Some(rollout.report(&order, program, Some(refused)));
    }
    accept(rollout, &order, now);
    start_change(server, rollout, &order, program);
    rollout.intervals.set(rollout.intervals.get() + 1);
    let refused = rollout.refused.borrow().clone();
    // One datagram does not hold both a reason and figures.
    let classes = if refused.is_some() { Vec::new() } else { rollout.recorder.take() };
    Some(Report { classes, ..rollout.report(&order, program, refused) })
}

fn accept(rollout: &Rollout, order: &Order, now: u64) {
    let mut last = rollout.last_order.borrow_mut();
    if order.plan != last.plan {
        *rollout.refused.borrow_mut() = None;
    }
    let (incarnation, sequence) = (order.incarnation, order.sequence);
    *last = LastOrder { plan: order.plan.clone(), incarnation, sequence, at: now };
}

/// Starts the change that an order asks for, unless it is made already.
fn start_change(server: &Rc<Server>, rollout: &Rollout, order: &Order, program: Option<OwnProgram>) {
    let (kind, adopt) = (order.kind, order.adopt);
    let is_made = match program {
        None => adopt == rollout.adopted.get(),
        Some(program) => adopt == program.adopted.then_some(program.hash),
    };
    if is_made || rollout.is_changing.replace(true) {
        return;
    }
    let server_of_task = server.clone();
    let task = async move {
        match kind {
            ChangeKind::Settings => change_settings(server_of_task, adopt).await,
            ChangeKind::Program => change_program(server_of_task, adopt).await,
        }
    };
    server.executor.spawn(task).detach();
}

/// Adopts the settings of a rollout, or the server's own again.
async fn change_settings(server: Rc<Server>, adopt: Option<u64>) {
    let Some(rollout) = &server.rollout else { return };
    let changed = match adopt {
        None => adopt_own(&server, rollout).await,
        Some(hash) => adopt_candidate(&server, rollout, hash).await,
    };
    match changed {
        Ok(()) => {
            rollout.adopted.set(adopt);
            *rollout.refused.borrow_mut() = None;
            let settings = adopt.unwrap_or(rollout.candidate.own);
            rollout.versions.borrow_mut().set_settings(settings);
            let settings = format!("{settings:016x}");
            info!(target: "fleet", adopted = adopt.is_some(), settings, "settings");
            // Figures under the settings before are not reported as those of these.
            rollout.recorder.take();
        }
        Err(error) => refuse(rollout, &error),
    }
    rollout.is_changing.set(false);
}

/// The mark goes first: after a crash between both steps the server starts with its own settings.
async fn adopt_own(server: &Rc<Server>, rollout: &Rollout) -> Result<(), AdoptError> {
    let mark = rollout.candidate.mark.clone();
    let removed = blocking::unblock(move || files::remove(&mark)).await;
    removed.map_err(AdoptError::RemoveMark)?;
    Ok(reload::adopt(server, None).await?)
}

/// The mark is written last: after a crash between both steps the server starts with its own settings.
async fn adopt_candidate(server: &Rc<Server>, rollout: &Rollout, hash: u64) -> Result<(), AdoptError> {
    reload::adopt(server, Some(hash)).await?;
    let mark = rollout.candidate.mark.clone();
    let line = format!("{hash:016x}\n");
    let written = blocking::unblock(move || files::write(&mark, line.as_bytes())).await;
    written.map_err(AdoptError::WriteMark)
}

/// Names the program to be started next in the mark, or removes the mark, and has the server leave as at a
/// SIGTERM. The next incarnation reports what it runs.
async fn change_program(server: Rc<Server>, adopt: Option<u64>) {
    let Some(rollout) = &server.rollout else { return };
    let mark = rollout.candidate.program_mark.clone();
    let program = rollout.candidate.program.clone();
    let changed = blocking::unblock(move || set_program_mark(&mark, program, adopt)).await;
    match changed {
        Ok(()) => {
            info!(target: "fleet", program = adopt.is_some(), "ends for another program");
            let stop = server.configuration.stop_ms * 1_000_000;
            server.drain.end_by(server.clock.now() + stop);
            let _ = rollout.leave.try_send(());
        }
        Err(error) => {
            refuse(rollout, &error);
            rollout.is_changing.set(false);
        }
    }
}

fn set_program_mark(mark: &Path, program: Option<PathBuf>, adopt: Option<u64>) -> Result<(), AdoptError> {
    let Some(expected) = adopt else { return files::remove(mark).map_err(AdoptError::ProgramMark) };
    let path = program.ok_or(AdoptError::NoProgram)?;
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) => return Err(AdoptError::ReadProgram { path, error }),
    };
    let found = hash_of(&bytes);
    if found != expected {
        return Err(AdoptError::OtherProgram { path, found, expected });
    }
    let line = format!("{expected:016x} {}\n", path.display());
    files::write(mark, line.as_bytes()).map_err(AdoptError::ProgramMark)
}

fn refuse(rollout: &Rollout, error: &AdoptError) {
    let why: String = with_causes(error).chars().take(REASON_MAX).collect();
    warn!(target: "fleet", why, "an order of a rollout was refused");
    *rollout.refused.borrow_mut() = Some(why);
}
